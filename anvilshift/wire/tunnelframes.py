"""Frame the bytes that come back through a tunnel, so that it can tell their end.

A process that is killed closes its connections in order, as a server does that ends
an answer with its connection.  Through a tunnel the two would look alike, so the
process in between tells when the server closed.  Frames are used if both processes
know them; without them every end counts as a failure.
"""

import asyncio
import struct
from collections.abc import Iterator
from typing import cast

FRAMES_HEADER = "tunnel-frames"
FRAMES_VERSION = "1"
SERVER_CLOSED = b"\0\0\0\0"
"""An empty frame: the server has closed its connection in order."""
_LENGTH = struct.Struct(">I")


def encode_frame(data: bytes) -> bytes:
    r"""Return a frame with some bytes of the server.

    Examples
    --------
    >>> encode_frame(b"ab")
    b'\x00\x00\x00\x02ab'
    """
    return _LENGTH.pack(len(data)) + data


class FrameReader:
    """Decode frames; parts of a frame are returned as they arrive.

    Examples
    --------
    >>> reader = FrameReader()
    >>> list(reader.feed(encode_frame(b"abc")[:6])), list(reader.feed(b"c"))
    ([b'ab'], [b'c'])
    >>> list(reader.feed(SERVER_CLOSED)), reader.ended
    ([], True)
    """

    def __init__(self) -> None:
        self.ended = False
        self._head = b""
        self._left = 0

    def feed(self, data: bytes) -> Iterator[bytes]:
        """Add bytes, and yield those of the server."""
        while data and not self.ended:
            if self._left:
                part, data = data[: self._left], data[self._left :]
                self._left -= len(part)
                yield part
                continue
            missing = _LENGTH.size - len(self._head)
            self._head, data = self._head + data[:missing], data[missing:]
            if len(self._head) == _LENGTH.size:
                (self._left,) = _LENGTH.unpack(self._head)
                self._head = b""
                self.ended = not self._left


class TunnelEnd(asyncio.Protocol):
    """Passes what comes through a tunnel on to the protocol that opened it.

    Parameters
    ----------
    framed
        Whether the bytes come in frames.
    """

    def __init__(
        self, inner: asyncio.BaseProtocol, transport: asyncio.Transport, framed: bool
    ) -> None:
        self._inner = inner
        self._transport = transport
        self._frames = FrameReader() if framed else None

    def data_received(self, data: bytes) -> None:
        """Pass the server's bytes on, and its orderly close."""
        if self._frames is None:
            self._pass_on(data)
            return
        if self._frames.ended:
            return
        for part in self._frames.feed(data):
            self._pass_on(part)
        if self._frames.ended:
            cast(asyncio.Protocol, self._inner).eof_received()
            self._transport.close()

    def _pass_on(self, data: bytes) -> None:
        if not isinstance(self._inner, asyncio.BufferedProtocol):
            cast(asyncio.Protocol, self._inner).data_received(data)
            return
        while data:
            buffer = memoryview(self._inner.get_buffer(len(data)))
            size = min(len(buffer), len(data))
            buffer[:size], data = data[:size], data[size:]
            self._inner.buffer_updated(size)

    def eof_received(self) -> bool:
        """Let the connection close; whether the server did is told by a frame."""
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that is using the tunnel, unless it has ended."""
        closed = ConnectionError("the connection through another router closed")
        self._inner.connection_lost(exc or closed)

    def pause_writing(self) -> None:
        """Pass the state of the write buffer on."""
        self._inner.pause_writing()

    def resume_writing(self) -> None:
        """Pass the state of the write buffer on."""
        self._inner.resume_writing()
