"""An engine of a plain service, by PROTOCOL.md."""

import asyncio
import secrets
import time
from collections.abc import Callable

from review.standins_2.http import Message, Server, write_answer
from review.standins_2.record import Record
from review.standins_2.store import Store

_BEAT_S = 1.2
_SILENCES = 3
"""Heartbeats without one after which the store removes an entry."""
_SLOTS = 6


class Engine:
    """An engine that a poison request crashes, and that comes back under a new id.

    Parameters
    ----------
    is_poison
        Tells whether a request crashes the engine that begins to run it.
    back_s
        Time from a crash until it is back.
    work_s
        Time that it works on a request.
    make_fields
        Returns further header fields of the answer to a request.
    """

    def __init__(
        self,
        store: Store,
        record: Record,
        service: str,
        zone: str,
        is_poison: Callable[[Message], bool],
        back_s: float = 4.0,
        work_s: float = 0.03,
        make_fields: Callable[[Message], list[tuple[str, str]]] = lambda request: [],
    ) -> None:
        self._store, self._record = store, record
        self._service, self._zone = service, zone
        self._is_poison = is_poison
        self._back_s, self._work_s = back_s, work_s
        self._make_fields = make_fields
        self._task: asyncio.Task[None] | None = None
        self.name = ""
        self.poison_runs: list[tuple[float, str]] = []
        """When it ran requests that crashed it, and their ids."""
        self.answered: list[str] = []
        """Ids of the requests that it ran to a good end."""

    async def start(self) -> None:
        """Start a new incarnation."""
        self.name = f"i-{secrets.token_hex(5)}"
        self._born = int(time.time() * 1000)
        self._running = 0
        self.server = Server(self._handle)
        await self.server.start()
        self._task = asyncio.create_task(self._beat())
        self._record.write(f"engine {self.name} starts at port {self.server.port}")

    async def _beat(self) -> None:
        number = 0
        while True:
            number += 1
            spec = {
                "service": self._service,
                "address": f"127.0.0.1:{self.server.port}",
                "zone": self._zone,
                "version": "v1",
                "slots": _SLOTS,
                "state": "ready",
                "coldLeftMs": 0,
                "sequence": number,
                "born": self._born,
            }
            self._store.beat(self.name, spec)
            await asyncio.sleep(_BEAT_S)

    def crash(self) -> None:
        """End this incarnation; another one starts later."""
        assert self._task is not None
        self._task.cancel()
        self.server.end()
        self._record.write(f"engine {self.name} crashes")
        loop = asyncio.get_running_loop()
        name = self.name
        expires = _BEAT_S * _SILENCES
        born = self._born
        loop.call_later(expires, self._expire, name, born)
        loop.call_later(self._back_s, lambda: asyncio.ensure_future(self.start()))

    def _expire(self, name: str, born: int) -> None:
        """Remove the entry of an incarnation, unless a later one has written it."""
        found = self._store.objects.get(("servers", name))
        if found is not None and found["spec"]["born"] == born:
            self._store.remove("servers", name)

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        instance = [("Anvilshift-Instance-Id", self.name)]
        if request.first[1] == "/v1/report":
            write_answer(writer, 200, instance, b'{"born":%d}' % self._born)
            return True
        if request.first[1] == "/healthz":
            write_answer(writer, 200, instance)
            return True
        if request.get("anvilshift-expect-instance") not in (None, self.name):
            write_answer(writer, 421, instance)
            return True
        identity = request.get("anvilshift-attempt-id") or ""
        if self._running >= _SLOTS:
            write_answer(writer, 503, [("Anvilshift-Not-Executed", "1")])
            return True
        if self._is_poison(request):
            self.poison_runs.append((self._record.now(), identity))
            self._record.write(f"engine {self.name} runs poison {identity}")
            self.crash()
            return False
        self._running += 1
        try:
            await asyncio.sleep(self._work_s)
        finally:
            self._running -= 1
        load = f"{self._running},0,{_SLOTS}"
        headers = [
            ("Anvilshift-Attempt-Id", identity),
            ("Anvilshift-Engine-Signature", f"{self.name}.1"),
            ("Anvilshift-Engine-Load", load),
            *self._make_fields(request),
        ]
        self.answered.append(identity)
        write_answer(writer, 200, headers, b"x" * 800)
        return True
