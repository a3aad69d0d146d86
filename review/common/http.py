"""HTTP/1.1 on asyncio streams, as far as the stand-ins need it."""

import asyncio
from dataclasses import dataclass, field

Fields = list[tuple[str, str]]


@dataclass
class Message:
    """A request or an answer.

    Attributes
    ----------
    first
        The words of its first line.
    fields
        Its header fields, with names in lower case.
    """

    first: list[str]
    fields: Fields = field(default_factory=list)
    body: bytes = b""

    def get(self, name: str, default: str = "") -> str:
        """Return the value of a header field."""
        return dict(self.fields).get(name, default)

    @property
    def status(self) -> int:
        """Return the status of an answer."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message; None if the connection ends before it."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    pairs = [line.partition(":") for line in lines]
    fields = [(name.lower(), value.strip()) for name, _, value in pairs]
    return Message(first.split(" ", 2), fields)


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Return the body of a message that has a length or chunks.

    Raises
    ------
    ConnectionError, asyncio.IncompleteReadError
        When the connection ends before it.
    """
    if "chunked" not in head.get("transfer-encoding"):
        return await reader.readexactly(int(head.get("content-length", "0")))
    body = b""
    while size := int((await reader.readuntil(b"\n")).split(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readuntil(b"\n")
    await reader.readuntil(b"\n")
    return body


def write_head(first: str, fields: Fields, body: bytes | None = b"") -> bytes:
    """Return a message; one without a body is left open."""
    lines = [first, *(f"{name}: {value}" for name, value in fields)]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


class Caller:
    """One connection of a client, on which it sends one request after the other."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._streams: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None = None

    async def open(self) -> None:
        """Connect within a second, as clients do."""
        async with asyncio.timeout(1.0):
            self._streams = await asyncio.open_connection(*self.address)

    async def ask(
        self,
        method: str,
        target: str,
        fields: Fields,
        body: bytes = b"",
        timeout: float = 10.0,
    ) -> tuple[str, Message | None]:
        """Send a request; return how it ended, and the answer if there is one.

        The ends are ``answered``, ``closed`` (without a whole answer) and
        ``unanswered`` (within the time).
        """
        try:
            async with asyncio.timeout(timeout):
                if self._streams is None:
                    await self.open()
                assert self._streams is not None
                reader, writer = self._streams
                writer.write(write_head(f"{method} {target} HTTP/1.1", fields, body))
                head = await read_head(reader)
                if head is None:
                    return "closed", None
                if method != "HEAD":
                    head.body = await read_body(reader, head)
                return "answered", head
        except TimeoutError:
            return "unanswered", None
        except (OSError, asyncio.IncompleteReadError):
            return "closed", None

    def close(self) -> None:
        """Close the connection."""
        if self._streams is not None:
            self._streams[1].close()
            self._streams = None
