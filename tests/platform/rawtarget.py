"""A target that writes the bytes of its answers itself."""

import asyncio
import socket
import struct
from dataclasses import dataclass, field
from enum import Enum

from anvilshift.wire.messages import Address

RESET_ON_CLOSE = struct.pack("ii", 1, 0)

REPORT = b'HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{"born":1}'


class Frame(Enum):
    """How an answer says where its body ends."""

    NONE = "none"
    CHUNKS = "chunks"
    LENGTH = "length"


class End(Enum):
    """What a target does behind the last byte of an answer."""

    CLOSE = "close"
    RESET = "reset"
    KEEP = "keep"
    WAIT = "wait"


def make_events(first: int, last: int, end: bytes = b"\n") -> bytes:
    """Return events of a stream, with ids from `first` to `last`."""
    numbers = range(first, last + 1)
    return b"".join(b"id: %d%bdata: t%d%b%b" % (n, end, n, end, end) for n in numbers)


@dataclass
class RawAnswer:
    """The bytes of one answer.

    Parameters
    ----------
    pieces
        Parts of the body, each written by itself.
    pace
        Seconds between two parts.
    before, after
        Bytes before the head, and behind the whole answer.
    """

    pieces: list[bytes]
    frame: Frame = Frame.NONE
    end: End = End.CLOSE
    content_type: str = "text/event-stream"
    status: int = 200
    version: str = "1.1"
    headers: list[str] = field(default_factory=list)
    pace: float = 0.0
    before: bytes = b""
    after: bytes = b""


class RawTarget:
    """A target that always gives the same answer.

    Attributes
    ----------
    resumed
        Answer to requests that take a stream up; the same if None.
    hangs_up
        Whether it closes the connection instead of answering.
    """

    def __init__(
        self, name: str, answer: RawAnswer, resumed: RawAnswer | None = None
    ) -> None:
        self.name = name
        self.answer = answer
        self.resumed = resumed
        self.requests: list[dict[str, str]] = []
        self.connections = 0
        self.hangs_up = False
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def port(self) -> int:
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    @property
    def server(self) -> "RawTarget":
        """Return what a test case closes at its end."""
        return self

    async def start(self) -> Address:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        return Address("127.0.0.1", self.port)

    async def close(self) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(self, reader, writer) -> None:
        self.connections += 1
        task = asyncio.current_task()
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            while await self._answer(reader, writer):
                pass
        except (asyncio.CancelledError, EOFError, ConnectionError):
            writer.transport.abort()

    async def _answer(self, reader, writer) -> bool:
        """Answer one request; return whether the connection takes another one."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").splitlines()
        fields = dict(line.lower().split(": ", 1) for line in head[1:] if line)
        await reader.readexactly(int(fields.get("content-length", 0)))
        if head[0].startswith("GET /v1/report "):
            writer.write(REPORT)
            return True
        self.requests.append(fields)
        if self.hangs_up:
            writer.close()
            return False
        takes_up = self.resumed is not None and "last-event-id" in fields
        answer = self.resumed if takes_up else self.answer
        writer.write(answer.before + self._make_head(answer, fields))
        for piece in answer.pieces:
            chunked = answer.frame is Frame.CHUNKS
            writer.write(b"%x\r\n%b\r\n" % (len(piece), piece) if chunked else piece)
            await writer.drain()
            await asyncio.sleep(answer.pace)
        await self._end(answer, reader, writer)
        return answer.end is End.KEEP

    def _make_head(self, answer: RawAnswer, fields: dict[str, str]) -> bytes:
        lines = [
            f"HTTP/{answer.version} {answer.status} Fine",
            f"Anvilshift-Attempt-Id: {fields['anvilshift-attempt-id']}",
            f"Anvilshift-Engine-Signature: {self.name}.1",
            *answer.headers,
        ]
        if answer.content_type:
            lines.append(f"Content-Type: {answer.content_type}")
        if answer.frame is Frame.CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        elif answer.frame is Frame.LENGTH:
            lines.append(f"Content-Length: {sum(map(len, answer.pieces))}")
        return "\r\n".join([*lines, "", ""]).encode()

    async def _end(self, answer: RawAnswer, reader, writer) -> None:
        whole = answer.end is not End.RESET
        if answer.frame is Frame.CHUNKS and whole:
            writer.write(b"0\r\n\r\n")
        writer.write(answer.after)
        await writer.drain()
        if answer.end is End.WAIT:
            await reader.read()
        if answer.end is End.RESET:
            # What was written must have arrived: a reset discards the rest.
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            writer.transport.abort()
        elif answer.end is End.CLOSE:
            writer.close()
