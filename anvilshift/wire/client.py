"""HTTP/1.1 client on top of h11 with a connection pool."""

import asyncio
import contextlib
import math
import time
from collections import defaultdict, deque
from collections.abc import AsyncIterator
from typing import Protocol

import h11

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.messages import (
    RECEIVE_BUFFER,
    Address,
    HeaderFields,
    Headers,
    HttpResponse,
    set_tcp_timeouts,
)

_READ_AHEAD_BYTES = 256 * 1024
_MAX_IDLE_PER_ADDRESS = 64
_IDLE_TIMEOUT_FRACTION = 0.8
_DEFAULT_IDLE_TIMEOUT_S = 30.0
"""Used if the server sends no keep-alive timeout.  It may close the connection
earlier; the client is notified of that at once."""
_MAX_HEAD_BYTES = 64 * 1024
DEFAULT_BODY_BYTES = 16 * 1024 * 1024


class ExchangeError(ConnectionError):
    """An exchange with a server failed.

    Parameters
    ----------
    detail
        What failed.
    sent
        Whether any byte of the request may have been sent.  Only if this is
        False is it certain that the server did not process the request.
    reused
        Whether the request was sent on a connection that earlier requests had used.
    """

    def __init__(self, detail: str, sent: bool, reused: bool = False) -> None:
        super().__init__(detail)
        self.sent = sent
        self.reused = reused


class _Connection(asyncio.BufferedProtocol):
    """One connection to a server, used for one exchange at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._events: deque[h11.Event] = deque()
        self._buffered = 0
        self._event_ready = asyncio.Event()
        self._failure: Exception | None = None
        self.closed = False
        self._idle = False
        self.idle_until = math.inf
        self.reused = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        set_tcp_timeouts(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self._failure is None:
            self._failure = exc or ConnectionError("the server closed the connection")
        self._event_ready.set()

    def eof_received(self) -> bool:
        self._feed(b"")
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        return RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._idle:
            # Unsolicited bytes on an idle connection would be read as the answer
            # to the next request on it, which belongs to another caller.
            self.close()
            return
        self._feed(bytes(RECEIVE_BUFFER[:nbytes]))

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            while True:
                event = self._h11.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    break
                if isinstance(event, h11.ConnectionClosed):
                    break
                assert not isinstance(event, type)
                self._events.append(event)
                if isinstance(event, h11.Data):
                    self._buffered += len(event.data)
                if isinstance(event, h11.EndOfMessage):
                    break
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._failure = error
            if self.transport is not None:
                self.transport.abort()
        # An engine that streams faster than its caller reads would exhaust the
        # router's memory, so reading is paused until the backlog is consumed.
        if self._buffered > _READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._event_ready.set()

    def send(self, method: str, path: str, headers: HeaderFields, body: bytes) -> None:
        assert self.transport is not None
        # Latin-1 round-trips every byte, so the caller's header fields are
        # forwarded unchanged.
        raw = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        target = path.encode("latin-1")
        head = h11.Request(method=method, target=target, headers=raw)
        parts = [self._h11.send(head)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        # Does not wait for the write buffer to drain: a server may answer without
        # reading all of a long body, and the client must then read that answer.
        self.transport.write(b"".join(part for part in parts if part))

    async def receive(self) -> h11.Event:
        while not self._events:
            if self._failure is not None:
                raise self._failure
            self._event_ready.clear()
            await self._event_ready.wait()
        event = self._events.popleft()
        if isinstance(event, h11.Data):
            before = self._buffered
            self._buffered -= len(event.data)
            if before > _READ_AHEAD_BYTES >= self._buffered and self.transport:
                self.transport.resume_reading()
        return event

    def take_buffered(self) -> bytes:
        """Return the body bytes that are already buffered, without waiting."""
        parts = []
        while self._events and isinstance(self._events[0], h11.Data):
            event = self._events.popleft()
            assert isinstance(event, h11.Data)
            self._buffered -= len(event.data)
            parts.append(bytes(event.data))
        return b"".join(parts)

    def reset(self) -> bool:
        """Prepare for another exchange; return False if that is not possible."""
        if self.closed or self._events or self._failure is not None:
            return False
        try:
            self._h11.start_next_cycle()
        except h11.ProtocolError:
            return False
        self._idle = not self._h11.trailing_data[0]
        return self._idle

    def try_reuse(self) -> bool:
        """Leave the idle state; return False if the connection closed or expired."""
        self._idle = False
        self.reused = True
        return not self.closed and time.monotonic() < self.idle_until

    def close(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class Response:
    """An answer whose body is read as it arrives."""

    def __init__(self, status: int, headers: Headers, connection: _Connection) -> None:
        self.status = status
        self.headers = headers
        self.whole = False
        self._connection = connection

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body in chunks; data that is already buffered forms one chunk.

        Raises
        ------
        ExchangeError
            If the connection fails before the end of the body.
        """
        while not self.whole:
            try:
                event = await self._connection.receive()
            except (OSError, h11.ProtocolError, RuntimeError) as error:
                raise ExchangeError(
                    f"the connection failed during the answer: {error}",
                    True,
                    self._connection.reused,
                ) from error
            if isinstance(event, h11.EndOfMessage):
                self.whole = True
            elif isinstance(event, h11.Data):
                yield bytes(event.data) + self._connection.take_buffered()

    async def read(self, limit: int = DEFAULT_BODY_BYTES) -> bytes:
        """Read the body to its end and return it.

        Raises
        ------
        ExchangeError
            If the connection fails before the end of the body, or the body
            exceeds the limit.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit:
                raise ExchangeError("the answer exceeds the size limit", True)
        return bytes(body)


class Network(Protocol):
    """Opens connections to servers."""

    async def open(self, protocol: asyncio.BaseProtocol, address: Address) -> None:
        """Connect a protocol to an address.

        Raises
        ------
        OSError
            If no connection can be opened.
        """


class TcpNetwork:
    """Opens TCP connections on the running event loop."""

    async def open(self, protocol: asyncio.BaseProtocol, address: Address) -> None:
        """Connect a protocol to an address."""
        loop = asyncio.get_running_loop()
        await loop.create_connection(lambda: protocol, address.ip, address.port)


async def _open_connection(
    network: Network, address: Address, timeout: Millis
) -> _Connection:
    """Connect to an address within a timeout.

    `asyncio.wait_for` is not used: if its task is cancelled just as the connection
    is opened, Python 3.11 returns the connection and drops the cancellation.  A
    request whose caller has disconnected would continue, and a task that is being
    stopped would never end.
    """
    opened = _Connection()
    async with asyncio.timeout(timeout / SECOND):
        await network.open(opened, address)
    return opened


def _read_idle_timeout(headers: Headers) -> float:
    """Return the seconds for which an idle connection may be reused.

    A request sent while the server closes the connection is lost or may have run,
    so the connection is dropped a little before the server's keep-alive timeout.
    """
    for name, value in headers.pairs:
        if name == "keep-alive":
            for parameter in value.split(","):
                key, _, number = parameter.strip().partition("=")
                if key.lower() == "timeout" and number.isdecimal():
                    return int(number) * _IDLE_TIMEOUT_FRACTION
    return _DEFAULT_IDLE_TIMEOUT_S


class HttpClient:
    """HTTP client that keeps idle connections for reuse.

    Parameters
    ----------
    connect_timeout
        Milliseconds until an attempt to connect fails.
    network
        Opens the connections; TCP if omitted.
    """

    def __init__(
        self, connect_timeout: Millis = SECOND, network: Network | None = None
    ) -> None:
        self._connect_timeout = connect_timeout
        self._network = network or TcpNetwork()
        self._idle: dict[Address, list[_Connection]] = defaultdict(list)

    async def _connect(self, address: Address) -> _Connection:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.try_reuse():
                return connection
            connection.close()
        try:
            opened = await _open_connection(
                self._network, address, self._connect_timeout
            )
        except (OSError, TimeoutError) as error:
            raise ExchangeError(f"can't connect to {address}", False) from error
        return opened

    def _release(
        self, address: Address, connection: _Connection, idle_timeout_s: float
    ) -> None:
        idle = self._idle[address]
        if len(idle) < _MAX_IDLE_PER_ADDRESS and connection.reset():
            connection.idle_until = time.monotonic() + idle_timeout_s
            idle.append(connection)
        else:
            connection.close()

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        address: Address,
        method: str,
        path: str,
        headers: HeaderFields | None = None,
        body: bytes = b"",
        timeout: Millis | None = None,
        host: str | None = None,
    ) -> AsyncIterator[Response]:
        """Send a request and yield its answer once the head has arrived.

        Leaving the block before the end of the body closes the connection, which
        tells the server that the answer is no longer needed.

        Parameters
        ----------
        timeout
            Milliseconds within which the head of the answer must arrive.
        host
            Value of the Host header; the address if omitted.

        Raises
        ------
        ExchangeError
            If the exchange fails; ``sent`` is False if no byte of the request
            was sent.
        """
        connection = await self._connect(address)
        fields = [("host", host or str(address)), *(headers or [])]
        fields.append(("content-length", str(len(body))))
        response: Response | None = None
        try:
            async with asyncio.timeout(timeout / SECOND if timeout else None):
                connection.send(method, path, fields, body)
                head = await connection.receive()
                while isinstance(head, h11.InformationalResponse):
                    head = await connection.receive()
            assert isinstance(head, h11.Response)
            response = Response(
                head.status_code, Headers.from_raw(head.headers.raw_items()), connection
            )
        except TimeoutError as error:
            connection.close()
            detail = f"{address} did not answer in time"
            raise ExchangeError(detail, True, connection.reused) from error
        except (OSError, h11.ProtocolError, RuntimeError, AssertionError) as error:
            connection.close()
            detail = f"{address} failed during the exchange: {error}"
            raise ExchangeError(detail, True, connection.reused) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        try:
            yield response
        finally:
            if response.whole:
                idle_timeout_s = _read_idle_timeout(response.headers)
                self._release(address, connection, idle_timeout_s)
            else:
                connection.close()

    async def call(
        self,
        address: Address,
        method: str,
        path: str,
        headers: HeaderFields | None = None,
        body: bytes = b"",
        timeout: Millis | None = None,
    ) -> HttpResponse:
        """Send a request and return the complete answer within one timeout."""
        try:
            async with (
                asyncio.timeout(timeout / SECOND if timeout else None),
                self.exchange(address, method, path, headers, body) as response,
            ):
                content = await response.read()
                return HttpResponse(response.status, response.headers, content)
        except TimeoutError as error:
            raise ExchangeError(f"{address} did not answer in time", True) from error

    async def check(self, address: Address, timeout: Millis) -> bool:
        """Return whether a server accepts connections."""
        try:
            opened = await _open_connection(self._network, address, timeout)
        except (OSError, TimeoutError):
            return False
        opened.close()
        return True

    def forget(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
