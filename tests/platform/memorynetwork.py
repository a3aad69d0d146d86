"""A network in memory whose open connections may fall silent while new ones work."""

import asyncio
import itertools

from anvilshift.wire.messages import Address
from anvilshift.wire.server import HttpServer
from anvilshift.wire.serverconnection import ServerConnection

_ONE_WAY_S = 0.002


class _Pipe(asyncio.Transport):
    """One end of a connection; what it writes reaches the other end's protocol."""

    def __init__(self, protocol) -> None:
        super().__init__()
        self.protocol = protocol
        self.peer: _Pipe | None = None
        self.is_silent = False
        self.peer_name: tuple[str, int] | None = None
        self._is_closing = False
        self._has_ended = False

    def write(self, data) -> None:
        if not self.is_silent and not self._is_closing:
            loop = asyncio.get_running_loop()
            loop.call_later(_ONE_WAY_S, self.peer.deliver, bytes(data))

    def deliver(self, data: bytes) -> None:
        """Hand over bytes that the other end wrote."""
        if self.is_silent or self._has_ended:
            return
        view = self.protocol.get_buffer(len(data))
        view[: len(data)] = data
        self.protocol.buffer_updated(len(data))

    def close(self) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        loop = asyncio.get_running_loop()
        loop.call_soon(self._end)
        if not self.is_silent:
            loop.call_later(_ONE_WAY_S, self.peer.handle_end)

    abort = close

    def handle_end(self) -> None:
        """Take note that the other end has closed, unless nothing comes through."""
        if not self.is_silent:
            self._is_closing = True
            self._end()

    def _end(self) -> None:
        if not self._has_ended:
            self._has_ended = True
            self.protocol.connection_lost(None)

    def is_closing(self) -> bool:
        return self._is_closing

    def get_extra_info(self, name, default=None):
        return self.peer_name if name == "peername" else default

    def get_write_buffer_size(self) -> int:
        return 0

    def pause_reading(self) -> None:
        """Nothing here is so long that it has to wait."""

    def resume_reading(self) -> None:
        """Nothing here is so long that it has to wait."""


class MemoryNetwork:
    """Connects the clients of some processes to one HTTP server.

    Parameters
    ----------
    source
        Address from which the server sees them connect.

    Attributes
    ----------
    opened
        Instants, by the loop, at which connections were opened.
    is_down
        Whether new connections never open.
    """

    def __init__(self, server: HttpServer, source: str = "") -> None:
        self._server = server
        self._source = source
        self._ends: list[_Pipe] = []
        self.opened: list[float] = []
        self.is_down = False

    async def open(self, protocol, address: Address) -> None:
        """Connect a protocol to the server."""
        self.opened.append(asyncio.get_running_loop().time())
        if self.is_down:
            await asyncio.Event().wait()
        await asyncio.sleep(2 * _ONE_WAY_S)
        near, far = _Pipe(protocol), _Pipe(ServerConnection(self._server))
        near.peer, far.peer = far, near
        far.peer_name = (self._source, 1) if self._source else None
        self._ends += [near, far]
        far.protocol.connection_made(far)
        protocol.connection_made(near)

    def silence(self) -> None:
        """Let nothing more through on the connections that are open now."""
        for end in self._ends:
            end.is_silent = True

    def count_open(self) -> int:
        """Return the number of connections that neither end has closed."""
        ends = itertools.islice(self._ends, 0, None, 2)
        return sum(not end.is_closing() for end in ends)
