"""HTTP/1.1 messages on asyncio streams, as far as the stand-ins need them."""

import asyncio
import contextlib
import socket
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

_REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone"}


@dataclass
class Message:
    """One request or answer."""

    first: list[str]
    headers: list[tuple[str, str]] = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str) -> str | None:
        """Return the value of a header field, None if it is absent."""
        return next((v for n, v in self.headers if n == name), None)

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first[1])


Handler = Callable[[Message, asyncio.StreamWriter], Awaitable[bool]]
"""Answers a request; returns whether the connection takes another one."""


async def read_head(reader: asyncio.StreamReader) -> Message:
    """Read the head of a message."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = text.split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    headers = [(name.strip().lower(), value.strip()) for name, _, value in pairs]
    return Message(first.split(" ", 2), headers)


async def read_message(reader: asyncio.StreamReader, is_answer: bool) -> Message:
    """Read a whole message.

    Raises
    ------
    EOFError
        When the connection ends before the message does.
    """
    message = await read_head(reader)
    if (message.get("transfer-encoding") or "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).strip() or b"", 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readline()
        message.body = b"".join(parts)
    elif (length := message.get("content-length")) is not None:
        message.body = await reader.readexactly(int(length))
    elif is_answer:
        message.body = await reader.read()
    return message


def write_answer(
    writer: asyncio.StreamWriter,
    status: int,
    headers: list[tuple[str, str]],
    body: bytes = b"",
) -> None:
    """Write an answer with a length."""
    fields = [*headers, ("Content-Length", str(len(body)))]
    lines = [f"HTTP/1.1 {status} {_REASONS.get(status, 'Other')}"]
    lines += [f"{name}: {value}" for name, value in fields]
    writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


class Server:
    """A server that passes each request to a handler."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, ip: str = "127.0.0.1", port: int = 0) -> None:
        """Listen on a port, a free one by default."""
        self._server = await asyncio.start_server(self._accept, ip, port, backlog=256)
        self.port = self._server.sockets[0].getsockname()[1]

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while await self._handler(await read_message(reader, False), writer):
                await writer.drain()
        except (EOFError, ConnectionError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):
                writer.close()

    def end(self) -> None:
        """Stop listening and reset all connections, as a process that crashes."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            reset(writer)
