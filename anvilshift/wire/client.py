"""Call HTTP/1.1 servers through h11 with pooled connections."""

import asyncio
import contextlib
import math
import time
from collections import defaultdict, deque
from collections.abc import AsyncIterator

import h11

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.messages import (
    RECEIVE_BUFFER,
    Address,
    Fields,
    Headers,
    HttpAnswer,
    tune_socket,
)

_READ_AHEAD_BYTES = 256 * 1024
_IDLE_PER_ADDRESS = 64
_IDLE_PART = 0.8
_IDLE_S = 30.0
"""Where a server names no time: it may close earlier, which shows at once."""
_HEAD_BYTES = 64 * 1024
DEFAULT_BODY_BYTES = 16 * 1024 * 1024


class ExchangeError(ConnectionError):
    """An exchange with a server failed.

    Parameters
    ----------
    detail
        What failed.
    sent
        Whether any byte of the request may have left.  Only when this is False
        is the request provably not run.
    """

    def __init__(self, detail: str, sent: bool) -> None:
        super().__init__(detail)
        self.sent = sent


class _Connection(asyncio.BufferedProtocol):
    """One connection to a server; it carries one exchange at a time."""

    def __init__(self) -> None:
        self.transport: asyncio.Transport | None = None
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=_HEAD_BYTES)
        self._events: deque[h11.Event] = deque()
        self._buffered = 0
        self._arrived = asyncio.Event()
        self._failure: Exception | None = None
        self.closed = False
        self._idle = False
        self.idle_until = math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        tune_socket(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        if self._failure is None:
            self._failure = exc or ConnectionError("the server closed the connection")
        self._arrived.set()

    def eof_received(self) -> bool:
        self._feed(b"")
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        return RECEIVE_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        if self._idle:
            # Bytes that nobody asked for would be read as the answer to the
            # next request on this connection, which is another caller's.
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
        # An engine that streams faster than its caller reads would fill the
        # router's memory; reading stops until the backlog is taken.
        if self._buffered > _READ_AHEAD_BYTES and self.transport is not None:
            self.transport.pause_reading()
        self._arrived.set()

    def send(self, method: str, path: str, headers: Fields, body: bytes) -> None:
        assert self.transport is not None
        # Fields that a caller sent pass on as the bytes that they were.
        raw = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        target = path.encode("latin-1")
        head = h11.Request(method=method, target=target, headers=raw)
        parts = [self._h11.send(head)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        # Not awaited until it is written: a server may answer before it has read
        # a long body, and its answer would wait behind a body it doesn't read.
        self.transport.write(b"".join(part for part in parts if part))

    async def receive(self) -> h11.Event:
        while not self._events:
            if self._failure is not None:
                raise self._failure
            self._arrived.clear()
            await self._arrived.wait()
        event = self._events.popleft()
        if isinstance(event, h11.Data):
            before = self._buffered
            self._buffered -= len(event.data)
            if before > _READ_AHEAD_BYTES >= self._buffered and self.transport:
                self.transport.resume_reading()
        return event

    def take_ready(self) -> bytes:
        """Return body bytes that have arrived already, without waiting."""
        parts = []
        while self._events and isinstance(self._events[0], h11.Data):
            event = self._events.popleft()
            assert isinstance(event, h11.Data)
            self._buffered -= len(event.data)
            parts.append(bytes(event.data))
        return b"".join(parts)

    def reset(self) -> bool:
        """Make ready for another exchange; False when the connection can't."""
        if self.closed or self._events or self._failure is not None:
            return False
        try:
            self._h11.start_next_cycle()
        except h11.ProtocolError:
            return False
        self._idle = not self._h11.trailing_data[0]
        return self._idle

    def wake(self) -> bool:
        """Begin another exchange; False when the connection was closed."""
        self._idle = False
        return not self.closed and time.monotonic() < self.idle_until

    def close(self) -> None:
        self.closed = True
        if self.transport is not None:
            self.transport.abort()


class Response:
    """An answer whose body is still arriving."""

    def __init__(self, status: int, headers: Headers, connection: _Connection) -> None:
        self.status = status
        self.headers = headers
        self.whole = False
        self._connection = connection

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body piece by piece; what has arrived together stays together.

        Raises
        ------
        ExchangeError
            When the body breaks off before its end.
        """
        while not self.whole:
            try:
                event = await self._connection.receive()
            except (OSError, h11.ProtocolError, RuntimeError) as error:
                raise ExchangeError(f"the answer broke off: {error}", True) from error
            if isinstance(event, h11.EndOfMessage):
                self.whole = True
            elif isinstance(event, h11.Data):
                yield bytes(event.data) + self._connection.take_ready()

    async def read(self, limit: int = DEFAULT_BODY_BYTES) -> bytes:
        """Return the whole body.

        Raises
        ------
        ExchangeError
            When the body breaks off or is over the limit.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if len(body) > limit:
                raise ExchangeError("the answer is over the limit", True)
        return bytes(body)


async def _open(address: Address, timeout: Millis) -> _Connection:
    """Connect within a time.

    Not by `asyncio.wait_for`: when its task is cancelled as the connection is made,
    Python 3.11 returns the connection and drops the cancellation.  A request whose
    caller left would go on, and a task that is stopped would never end.
    """
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(timeout / SECOND):
        _, made = await loop.create_connection(_Connection, address.ip, address.port)
    return made


def _read_idle_span(headers: Headers) -> float:
    """Return the seconds for which a server keeps an idle connection.

    A request that crosses the server's close is lost or may have run, so the
    connection is given up a little earlier than the server says.
    """
    for name, value in headers.pairs:
        if name == "keep-alive":
            for word in value.split(","):
                key, _, number = word.strip().partition("=")
                if key.lower() == "timeout" and number.isdecimal():
                    return int(number) * _IDLE_PART
    return _IDLE_S


class HttpClient:
    """Exchange requests with servers, keeping idle connections for reuse.

    Parameters
    ----------
    connect_timeout
        Milliseconds until an attempt to connect is given up.
    """

    def __init__(self, connect_timeout: Millis = SECOND) -> None:
        self._connect_timeout = connect_timeout
        self._idle: dict[Address, list[_Connection]] = defaultdict(list)

    async def _connect(self, address: Address) -> _Connection:
        idle = self._idle[address]
        while idle:
            connection = idle.pop()
            if connection.wake():
                return connection
            connection.close()
        try:
            made = await _open(address, self._connect_timeout)
        except (OSError, TimeoutError) as error:
            raise ExchangeError(f"can't connect to {address}", False) from error
        return made

    def _release(
        self, address: Address, connection: _Connection, idle_s: float
    ) -> None:
        idle = self._idle[address]
        if len(idle) < _IDLE_PER_ADDRESS and connection.reset():
            connection.idle_until = time.monotonic() + idle_s
            idle.append(connection)
        else:
            connection.close()

    @contextlib.asynccontextmanager
    async def exchange(
        self,
        address: Address,
        method: str,
        path: str,
        headers: Fields | None = None,
        body: bytes = b"",
        timeout: Millis | None = None,
        host: str | None = None,
    ) -> AsyncIterator[Response]:
        """Send a request and give its answer once the head has arrived.

        Leaving the block before the body's end closes the connection, which is
        how a server learns that nobody waits any more.

        Parameters
        ----------
        timeout
            Milliseconds until the head of the answer must have arrived.
        host
            Name to ask for; the address where it is left out.

        Raises
        ------
        ExchangeError
            With ``sent`` False when the request provably never left.
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
            raise ExchangeError(f"{address} did not answer in time", True) from error
        except (OSError, h11.ProtocolError, RuntimeError, AssertionError) as error:
            connection.close()
            raise ExchangeError(f"{address} broke off: {error}", True) from error
        except asyncio.CancelledError:
            connection.close()
            raise
        try:
            yield response
        finally:
            if response.whole:
                idle_s = _read_idle_span(response.headers)
                self._release(address, connection, idle_s)
            else:
                connection.close()

    async def call(
        self,
        address: Address,
        method: str,
        path: str,
        headers: Fields | None = None,
        body: bytes = b"",
        timeout: Millis | None = None,
    ) -> HttpAnswer:
        """Send a request and return its whole answer within one timeout."""
        try:
            async with (
                asyncio.timeout(timeout / SECOND if timeout else None),
                self.exchange(address, method, path, headers, body) as response,
            ):
                whole = await response.read()
                return HttpAnswer(response.status, response.headers, whole)
        except TimeoutError as error:
            raise ExchangeError(f"{address} did not answer in time", True) from error

    async def check(self, address: Address, timeout: Millis) -> bool:
        """Tell whether a server still accepts connections."""
        try:
            made = await _open(address, timeout)
        except (OSError, TimeoutError):
            return False
        made.close()
        return True

    def forget(self, address: Address) -> None:
        """Close the idle connections to an address."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close the idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
        self._idle.clear()
