"""Observation of a run: ledger writes, views of the platform, callers' requests."""

from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.core.ledger import Ledger
from anvilshift.objects.ledgers import LEDGER_KIND, read_body
from anvilshift.objects.store import Body, Stored
from anvilshift.standins.memory import MemoryStore, MemoryView
from bench.soak.network import NodeProcess


class ObservedStore(MemoryStore):
    """A platform store that passes every written ledger to a callback."""

    def __init__(self, observe: Callable[[Ledger], None]) -> None:
        super().__init__()
        self._observe = observe

    def _write(self, kind: str, name: str, body: Body | None, version: int) -> Stored:
        stored = super()._write(kind, name, body, version)
        if kind == LEDGER_KIND and body is not None:
            self._observe(read_body(body))
        return stored


class ProcessView(MemoryView):
    """The platform as seen by the process of one incarnation of a node.

    If calls were blocked by the node's name alone, a killed node would go on writing
    as soon as its successor had started under the same name.
    """

    def __init__(self, store: MemoryStore, process: NodeProcess) -> None:
        super().__init__(store, process.name)
        self._process = process

    async def _begin(self, verb: str) -> None:
        await super()._begin(verb)
        await self._process.wait_running()
        self._reach()

    async def _end(self, verb: str) -> None:
        await super()._end(verb)
        await self._process.wait_running()
        self._reach()


@dataclass(frozen=True)
class CallerRequest:
    """A caller's request, against which its bill and its answer are checked."""

    organisation: str
    text: str
    cost: int
