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
from anvilshift.wire.connecttimeout import limit_connecting
from anvilshift.wire.heldroom import HeldRoom
from anvilshift.wire.messages import Address, HeaderFields, Headers, HttpResponse
from anvilshift.wire.response import ExchangeError, Response
from anvilshift.wire.traffic import TrafficCounter

_MAX_IDLE_PER_ADDRESS = 64
_IDLE_TIMEOUT_FRACTION = 0.8
_DEFAULT_IDLE_TIMEOUT_S = 30.0
"""Used if the server sends no keep-alive timeout.  It may close the connection
earlier; the client is notified of that at once."""


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


def _describe_failure(
    address: Address,
    error: TimeoutError | ExchangeError,
    connection: Connection | None,
) -> ExchangeError:
    """Return how a call failed, and whether its connection was silent."""
    reused = connection is not None and connection.reused
    if isinstance(error, ExchangeError):
        error.silent = reused and isinstance(error.__cause__, TimeoutError)
        return error
    detail = f"{address} did not answer in time"
    return ExchangeError(detail, connection is not None, reused, silent=reused)


class HttpClient:
    """HTTP client that keeps idle connections for reuse.

    Parameters
    ----------
    connect_timeout
        Milliseconds until an attempt to connect fails.
    network
        Opens the connections; TCP if omitted.

    Attributes
    ----------
    opened
        How many connections it has opened.
    traffic
        Counts what its connections send and receive.
    room
        Memory for what is read ahead of answers' readers; None if it isn't bounded.
    """

    def __init__(
        self, connect_timeout: Millis = SECOND, network: Network | None = None
    ) -> None:
        self._connect_timeout = connect_timeout
        self._network = network or TcpNetwork()
        self._idle: dict[Address, list[Connection]] = defaultdict(list)
        self.opened = 0
        self.traffic = TrafficCounter()
        self.room: HeldRoom | None = None

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
        opened = Connection(address, via, self.traffic, self.room)
        try:
            async with limit_connecting(timeout or self._connect_timeout):
                await (network or self._network).open(opened, address)
        except (OSError, TimeoutError) as error:
            raise ExchangeError(
                f"can't connect to {address}",
                False,
                hung=isinstance(error, TimeoutError),
            ) from error
        self.opened += 1
        return opened

    def count_idle(self) -> int:
        """Return the number of connections that wait for reuse."""
        return sum(len(idle) for idle in self._idle.values())

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
        """Send a request and return the complete answer within one timeout.

        If a connection that had worked before is silent, the idle ones that were heard
        no later are closed: what silenced it may have silenced them.
        """
        began = time.monotonic() * SECOND
        connection: Connection | None = None
        try:
            async with asyncio.timeout(timeout / SECOND if timeout else None):
                connection = await self._connect(address)
                async with self.exchange(
                    address, method, path, headers, body, connection=connection
                ) as response:
                    content = await response.read()
                    return HttpResponse(response.status, response.headers, content)
        except (TimeoutError, ExchangeError) as error:
            failure = _describe_failure(address, error, connection)
            if failure.silent:
                self.close_unheard(address, began)
            if failure is error:
                raise
            raise failure from error

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

    def close_unheard(self, address: Address, since: Millis) -> None:
        """Close the idle connections to an address that were not heard since then."""
        self.close_idle(lambda one: one.address == address and one.heard < since)

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
