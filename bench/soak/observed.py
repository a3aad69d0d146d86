"""What a run of the soak observes of the platform and of its callers."""

from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.core.ledger import Ledger
from anvilshift.objects.ledgers import LEDGER_KIND, read_body
from anvilshift.objects.store import Body, Stored
from anvilshift.standins.memory import MemoryStore, MemoryView
from bench.soak.network import Presence


class ObservedStore(MemoryStore):
    """A platform that tells the run what every write of a ledger recorded."""

    def __init__(self, observe: Callable[[Ledger], None]) -> None:
        super().__init__()
        self._observe = observe

    def _write(self, kind: str, name: str, body: Body | None, version: int) -> Stored:
        stored = super()._write(kind, name, body, version)
        if kind == LEDGER_KIND and body is not None:
            self._observe(read_body(body))
        return stored


class PresentView(MemoryView):
    """The platform as one incarnation of a node reaches it.

    Held by name alone, a killed node would go on writing as soon as its successor
    had started under the same name.
    """

    def __init__(self, store: MemoryStore, presence: Presence) -> None:
        super().__init__(store, presence.name)
        self._presence = presence

    async def _begin(self, verb: str) -> None:
        await super()._begin(verb)
        await self._presence.pass_through()
        self._reach()

    async def _end(self, verb: str) -> None:
        await super()._end(verb)
        await self._presence.pass_through()
        self._reach()


@dataclass(frozen=True)
class Asked:
    """What a caller asked for, by which its bill and its answer are judged."""

    organisation: str
    request: str
    cost: int
