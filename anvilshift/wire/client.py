"""HTTP/1.1 client on top of h11 with a connection pool."""

import asyncio
import contextlib
import math
import time
from collections import defaultdict
from collections.abc import AsyncIterator, Callable
from typing import Protocol

import h11

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.connection import Connection
from anvilshift.wire.endings import Ending, Framing, find_framing, judge_body
from anvilshift.wire.messages import Address, HeaderFields, Headers, HttpResponse

_MAX_IDLE_PER_ADDRESS = 64
_IDLE_TIMEOUT_FRACTION = 0.8
_DEFAULT_IDLE_TIMEOUT_S = 30.0
"""Used if the server sends no keep-alive timeout.  It may close the connection
earlier; the client is notified of that at once."""
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
    hung
        Whether the connection was neither opened nor refused in time.
    """

    def __init__(
        self, detail: str, sent: bool, reused: bool = False, hung: bool = False
    ) -> None:
        super().__init__(detail)
        self.sent = sent
        self.reused = reused
        self.hung = hung


class Response:
    """An answer whose body is read as it arrives.

    Attributes
    ----------
    framing
        What shows where its body ends.
    ending
        How the body ended; None before that.
    """

    def __init__(
        self, method: str, status: int, headers: Headers, connection: Connection
    ) -> None:
        self.status = status
        self.headers = headers
        self.framing = find_framing(method, status, headers)
        self.ending: Ending | None = None
        self._connection = connection

    @property
    def whole(self) -> bool:
        """Return whether the body was read to its end."""
        return self.ending is not None and self.ending.is_complete

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
                self.ending = Ending.BROKEN
                raise ExchangeError(
                    f"the connection failed during the answer: {error}",
                    True,
                    self._connection.reused,
                ) from error
            if isinstance(event, h11.EndOfMessage):
                closed = self.framing is Framing.CONNECTION
                self.ending = Ending.CLOSED if closed else Ending.FRAMED
            elif isinstance(event, h11.Data):
                yield bytes(event.data) + self._connection.take_buffered()

    async def read(
        self,
        limit: int = DEFAULT_BODY_BYTES,
        on_part: Callable[[], None] | None = None,
    ) -> bytes:
        """Read the body to its end and return it.

        Parameters
        ----------
        on_part
            Called as each part of the body arrives.

        Raises
        ------
        ExchangeError
            If the connection fails before the end of the body, the body shows
            that a part of it is missing, or it exceeds the limit.
        """
        body = bytearray()
        async for chunk in self.chunks():
            body += chunk
            if on_part is not None:
                on_part()
            if len(body) > limit:
                raise ExchangeError("the answer exceeds the size limit", True)
        assert self.ending is not None
        self.ending = judge_body(self.ending, self.headers, bytes(body))
        if not self.ending.is_complete:
            detail = f"the answer ended {self.ending.value}"
            raise ExchangeError(detail, True, self._connection.reused)
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
        self._idle: dict[Address, list[Connection]] = defaultdict(list)

    def take_idle(
        self, address: Address, is_usable: Callable[[Connection], bool] | None = None
    ) -> Connection | None:
        """Return an idle connection to an address, the last used one first.

        Parameters
        ----------
        is_usable
            Selects among the idle connections, all if omitted; the others stay.
        """
        kept = self._idle[address]
        for connection in reversed(list(kept)):
            if connection.closed:
                kept.remove(connection)
            elif is_usable is None or is_usable(connection):
                kept.remove(connection)
                if connection.try_reuse():
                    return connection
                connection.close()
        return None

    async def open(
        self,
        address: Address,
        timeout: Millis | None = None,
        network: Network | None = None,
        via: str = "",
    ) -> Connection:
        """Open a new connection.

        `asyncio.wait_for` is not used: if its task is cancelled just as the connection
        is opened, Python 3.11 returns the connection and drops the cancellation.  A
        request whose caller has disconnected would continue, and a task that is being
        stopped would never end.

        Parameters
        ----------
        network, via
            Opens the connection, through the process of that name.

        Raises
        ------
        ExchangeError
            If it can't be opened.
        """
        opened = Connection(address, via)
        try:
            async with asyncio.timeout((timeout or self._connect_timeout) / SECOND):
                await (network or self._network).open(opened, address)
        except (OSError, TimeoutError) as error:
            raise ExchangeError(
                f"can't connect to {address}",
                False,
                hung=isinstance(error, TimeoutError),
            ) from error
        return opened

    async def _connect(self, address: Address) -> Connection:
        return self.take_idle(address) or await self.open(address)

    def release(
        self, connection: Connection, idle_timeout_s: float = _DEFAULT_IDLE_TIMEOUT_S
    ) -> None:
        """Keep a connection for reuse, or close it if that is not possible."""
        idle = self._idle[connection.address]
        if len(idle) < _MAX_IDLE_PER_ADDRESS and connection.reset():
            connection.idle_until = time.monotonic() + idle_timeout_s
            idle.append(connection)
        else:
            connection.close()

    def return_unused(self, connection: Connection) -> None:
        """Keep a connection on which nothing was sent, if that is possible."""
        idle = self._idle[connection.address]
        # How long a server keeps a connection is known from its answers only.
        is_known = connection.idle_until < math.inf
        if is_known and len(idle) < _MAX_IDLE_PER_ADDRESS and connection.make_idle():
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
        connection: Connection | None = None,
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
        connection
            The connection to use; an idle or a new one if omitted.

        Raises
        ------
        ExchangeError
            If the exchange fails; ``sent`` is False if no byte of the request
            was sent.
        """
        connection = connection or await self._connect(address)
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
            received = Headers.from_raw(head.headers.raw_items())
            response = Response(method, head.status_code, received, connection)
        except TimeoutError as error:
            connection.close()
            # The system reports a peer that acknowledges nothing by the same class.
            is_dark = error.errno is not None
            what = "acknowledged nothing" if is_dark else "did not answer in time"
            raise ExchangeError(f"{address} {what}", True, connection.reused) from error
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
                self.release(connection, idle_timeout_s)
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
            opened = await self.open(address, timeout)
        except ExchangeError:
            return False
        opened.close()
        return True

    async def is_refused(self, address: Address, timeout: Millis) -> bool:
        """Return whether a host is there and refuses connections to an address."""
        try:
            opened = await self.open(address, timeout)
        except ExchangeError as error:
            refusals = (ConnectionRefusedError, ConnectionResetError)
            return isinstance(error.__cause__, refusals)
        opened.close()
        return False

    def close_idle(self, is_unusable: Callable[[Connection], bool]) -> None:
        """Close the idle connections that a function selects."""
        for idle in self._idle.values():
            for connection in [one for one in idle if is_unusable(one)]:
                idle.remove(connection)
                connection.close()

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
