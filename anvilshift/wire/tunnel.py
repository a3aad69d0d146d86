"""Reach a server through another process, by HTTP CONNECT.

The bytes pass unchanged in both directions, so whoever opens the tunnel speaks with
the server as if it had connected itself.  Those of the server come in frames, which
also tell that it has closed its connection.

References
----------
RFC 9110, section 9.3.6.
"""

import asyncio
from collections.abc import Callable
from typing import cast

import h11

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.client import Network, TcpNetwork
from anvilshift.wire.connecttimeout import limit_connecting
from anvilshift.wire.messages import Address, set_reset_on_close
from anvilshift.wire.peertimeouts import PeerTimeouts
from anvilshift.wire.tunnelframes import (
    FRAMES_HEADER,
    FRAMES_VERSION,
    SERVER_CLOSED,
    TunnelEnd,
    encode_frame,
)

_MAX_HEAD_BYTES = 4 * 1024
_HEAD_TIMEOUT: Millis = 1 * SECOND
_OPENED, _FORBIDDEN, _UNREACHABLE, _REFUSED = 200, 403, 502, 503


class TunnelRefusedError(ConnectionError):
    """A process did not open a tunnel; no byte reached the server behind it.

    Parameters
    ----------
    status
        Status of its answer to CONNECT.
    """

    def __init__(self, status: int) -> None:
        super().__init__(f"no tunnel was opened: status {status}")
        self.status = status


class _Handshake(asyncio.Protocol):
    """Asks for a tunnel and waits for the answer.

    Attributes
    ----------
    framed
        Whether the server's bytes come in frames.
    early
        Bytes that came behind the answer.
    """

    def __init__(self, address: Address) -> None:
        self._address = str(address)
        self.framed = False
        self.early = b""
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self.transport: asyncio.Transport | None = None
        self.opened: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        headers = [("host", self._address), (FRAMES_HEADER, FRAMES_VERSION)]
        request = h11.Request(method="CONNECT", target=self._address, headers=headers)
        self.transport.write(self._h11.send(request) or b"")

    def data_received(self, data: bytes) -> None:
        if self.opened.done():
            self.early += data
            return
        try:
            self._h11.receive_data(data)
            event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            self._fail(ConnectionError(str(error)))
            return
        if not isinstance(event, h11.Response):
            return
        if event.status_code == _OPENED:
            self.framed = _wants_frames(event)
            self.early = self._h11.trailing_data[0]
            self.opened.set_result(None)
        else:
            self._fail(TunnelRefusedError(event.status_code))

    def connection_lost(self, exc: Exception | None) -> None:
        self._fail(exc or ConnectionError("the connection closed before the answer"))

    def _fail(self, error: Exception) -> None:
        if not self.opened.done():
            self.opened.set_exception(error)
            # Nobody waits for it if the connection itself took too long.
            self.opened.exception()


class TunnelNetwork:
    """Opens connections to servers through another process.

    Parameters
    ----------
    network
        Opens the connection to that process.
    proxy
        Address on which it accepts CONNECT.
    """

    def __init__(self, network: Network, proxy: Address) -> None:
        self._network = network
        self._proxy = proxy

    async def open(self, protocol: asyncio.BaseProtocol, address: Address) -> None:
        """Connect a protocol to an address.

        Raises
        ------
        OSError
            If no tunnel could be opened.
        """
        handshake = _Handshake(address)
        await self._network.open(handshake, self._proxy)
        transport = handshake.transport
        assert transport is not None
        try:
            await handshake.opened
        except BaseException:
            transport.abort()
            raise
        end = TunnelEnd(protocol, transport, handshake.framed)
        transport.set_protocol(end)
        protocol.connection_made(transport)
        if handshake.early:
            end.data_received(handshake.early)


class _End(asyncio.Protocol):
    """One end of a tunnel; what it receives is written at the other end.

    Parameters
    ----------
    framed
        Whether to write it in frames.
    """

    def __init__(self, framed: bool = False) -> None:
        self.transport: asyncio.Transport | None = None
        self.other: _End | None = None
        self._framed = framed
        self._timeouts: PeerTimeouts | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self._timeouts = PeerTimeouts(transport)

    def data_received(self, data: bytes) -> None:
        if self.other is not None:
            self.other.write(encode_frame(data) if self._framed else data)

    def write(self, data: bytes) -> None:
        """Write bytes that were received at the other end."""
        if self.transport is not None:
            self.transport.write(data)
        if self._timeouts is not None:
            self._timeouts.record_write()

    def pause_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.pause_reading()

    def resume_writing(self) -> None:
        if self.other is not None and self.other.transport is not None:
            self.other.transport.resume_reading()

    def eof_received(self) -> bool:
        if self._framed and self.other is not None and self.other.transport is not None:
            self.other.transport.write(SERVER_CLOSED)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        if self._timeouts is not None:
            self._timeouts.end()
        other, self.other = self.other, None
        if other is None or other.transport is None:
            return
        if exc is None:
            other.transport.close()
        else:
            other.transport.abort()


class _Entrance(_End):
    """The end at which a tunnel is asked for."""

    def __init__(self, server: "TunnelServer") -> None:
        super().__init__()
        self._server = server
        self._h11 = h11.Connection(
            h11.SERVER, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        self._server.entrances.add(self)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_HEAD_TIMEOUT / SECOND, self.abort)

    def data_received(self, data: bytes) -> None:
        if self.other is not None:
            super().data_received(data)
            return
        try:
            self._h11.receive_data(data)
            event = self._h11.next_event()
        except h11.RemoteProtocolError:
            self.abort()
            return
        if isinstance(event, h11.Request) and self._task is None:
            self._clear_timer()
            opening = self._open(event)
            self._task = asyncio.get_running_loop().create_task(opening)

    async def _open(self, request: h11.Request) -> None:
        status = await self._server.open(self, request)
        if self.transport is None or self.transport.is_closing():
            if self.other is not None and self.other.transport is not None:
                self.other.transport.abort()
            return
        known = [(FRAMES_HEADER, FRAMES_VERSION)] if _wants_frames(request) else []
        response = h11.Response(status_code=status, headers=known)
        self.transport.write(self._h11.send(response) or b"")
        if status != _OPENED:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        self._clear_timer()
        self._server.entrances.discard(self)
        if self._task is not None:
            self._task.cancel()
        if self.other is not None and self.other.transport is not None:
            # What it asked for is wanted no more; a close would first send the rest.
            set_reset_on_close(self.other.transport, exc is not None)
            self.other.transport.abort()
        super().connection_lost(exc)

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class TunnelServer:
    """Opens tunnels for those that may ask, to servers that it may reach for them.

    Parameters
    ----------
    may_ask
        Tells by the IP address whether a process may ask for tunnels.
    may_reach
        Tells whether a tunnel to an address may be opened now.
    most
        Largest number of tunnels at a time.
    timeout
        Time in which a connection to a server must open.

    Attributes
    ----------
    entrances
        Connections of those that ask, with or without a tunnel.
    opened
        Number of tunnels opened so far.
    stopping
        Whether no further tunnels are opened.
    """

    def __init__(
        self,
        may_ask: Callable[[str], bool],
        may_reach: Callable[[Address], bool],
        most: int,
        timeout: Millis,
        network: Network | None = None,
    ) -> None:
        self._may_ask = may_ask
        self._may_reach = may_reach
        self._most = most
        self._timeout = timeout
        self._network = network or TcpNetwork()
        self._server: asyncio.Server | None = None
        self.entrances: set[_Entrance] = set()
        self.opened = 0
        self.stopping = False

    async def start(self, address: Address) -> None:
        """Start listening."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _Entrance(self), address.ip, address.port, backlog=256
        )

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    async def open(self, entrance: _Entrance, request: h11.Request) -> int:
        """Connect one end of a tunnel to a server; return the status of the answer."""
        transport = entrance.transport
        peer = transport.get_extra_info("peername") if transport else None
        if peer is None or not self._may_ask(peer[0]):
            return _FORBIDDEN
        if self.stopping or len(self.entrances) > self._most:
            return _REFUSED
        address = _read_address(request)
        if address is None or not self._may_reach(address):
            return _UNREACHABLE
        end = _End(framed=_wants_frames(request))
        try:
            async with limit_connecting(self._timeout):
                await self._network.open(end, address)
        except (OSError, TimeoutError):
            return _UNREACHABLE
        if end.transport is None or end.transport.is_closing():
            return _UNREACHABLE
        end.other, entrance.other = entrance, end
        self.opened += 1
        return _OPENED

    async def close(self) -> None:
        """Stop listening and abort all tunnels."""
        self.stopping = True
        if self._server is not None:
            self._server.close()
        for entrance in list(self.entrances):
            entrance.abort()
        await asyncio.sleep(0)


def _wants_frames(message: h11.Request | h11.Response) -> bool:
    fields = dict(message.headers)
    return fields.get(FRAMES_HEADER.encode()) == FRAMES_VERSION.encode()


def _read_address(request: h11.Request) -> Address | None:
    if request.method != b"CONNECT":
        return None
    try:
        return Address.parse(request.target.decode("latin-1"))
    except ValueError:
        return None
