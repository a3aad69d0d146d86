"""A model engine that streams events, by PROTOCOL.md."""

import asyncio
import secrets
import time

from review.standins_2.http import Message, Server, write_answer
from review.standins_2.record import Record
from review.standins_2.store import Store

_BEAT_S = 1.2
_EVENT = "id: {number}\ndata: {version}-{number}\n\n"


class StreamEngine:
    """An engine whose events name the version of its software.

    Parameters
    ----------
    events, pace_s
        Events of each stream, and the time between two of them.
    """

    def __init__(
        self, store: Store, record: Record, service: str, zone: str, events: int
    ) -> None:
        self._store, self._record = store, record
        self._service, self._zone = service, zone
        self._events, self._pace_s = events, 0.1
        self._task: asyncio.Task[None] | None = None
        self.name = f"i-{secrets.token_hex(5)}"
        self.server = Server(self._handle)
        self.version = ""
        self.began: list[str] = []
        """Ids of the attempts that it began since its start, without those resumed."""

    async def start(self, version: str, registers_after_s: float = 0.0) -> None:
        """Start with a version, under the same id and at the same address."""
        self.version, self.began = version, []
        self._born = int(time.time() * 1000)
        port = self.server.port
        self.server = Server(self._handle)
        await self.server.start(port=port)
        self._task = asyncio.create_task(self._beat(registers_after_s))
        self._record.write(f"engine {self.name} starts with {version}")

    async def _beat(self, registers_after_s: float) -> None:
        await asyncio.sleep(registers_after_s)
        number = 0
        while True:
            number += 1
            spec = {
                "service": self._service,
                "address": f"127.0.0.1:{self.server.port}",
                "zone": self._zone,
                "version": self.version,
                "slots": 64,
                "state": "ready",
                "coldLeftMs": 0,
                "phase": "colocated",
                "modelList": [{"name": "m", "version": 1, "loras": []}],
                "sequence": number,
                "born": self._born,
            }
            if number == 1:
                self._record.write(f"engine {self.name} registers {self.version}")
            self._store.beat(self.name, spec)
            await asyncio.sleep(_BEAT_S)

    def crash(self) -> None:
        """End at once; connections are reset."""
        if self._task is not None:
            self._task.cancel()
        self.server.end()
        self._record.write(f"engine {self.name} crashes")

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        instance = [("Anvilshift-Instance-Id", self.name)]
        if request.first[1] == "/v1/report":
            body = (
                b'{"phase":"colocated","modelList":[{"name":"m","version":1,"loras":[]}'
                b'],"busy":false,"sequence":0,"queued":0,"active":0,"kvInUse":0,'
                b'"kvSize":428428,"kvHandles":0,"born":%d}' % self._born
            )
            write_answer(writer, 200, [("Content-Type", "application/json")], body)
            return True
        if request.first[1] == "/healthz":
            write_answer(writer, 200, instance)
            return True
        if request.get("anvilshift-expect-instance") not in (None, self.name):
            write_answer(writer, 421, instance)
            return True
        await self._stream(request, writer)
        return True

    async def _stream(self, request: Message, writer: asyncio.StreamWriter) -> None:
        identity = request.get("anvilshift-attempt-id") or ""
        since, version = int(request.get("last-event-id") or 0), self.version
        self._record.write(
            f"engine {self.name} ({version}) runs {identity} from event {since + 1}"
        )
        if not since:
            self.began.append(identity)
        head = (
            "HTTP/1.1 200 OK",
            f"Anvilshift-Attempt-Id: {identity}",
            f"Anvilshift-Engine-Signature: {self.name}.1",
            "Anvilshift-Weight-Versions: 1",
            "Anvilshift-Engine-Load: 1,0,64",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
        )
        writer.write("\r\n".join([*head, "", ""]).encode())
        for number in range(since + 1, self._events + 1):
            event = _EVENT.format(number=number, version=version).encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self._pace_s)
        writer.write(b"0\r\n\r\n")
