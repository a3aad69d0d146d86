"""HTTP/1.1 server for asyncio; h11 parses requests and serialises answers."""

import asyncio

from anvilshift.wire.connectionowner import CallerAdmission, Handler
from anvilshift.wire.heldroom import HeldRoom
from anvilshift.wire.messages import DEFAULT_LIMITS, Address, Limits
from anvilshift.wire.serverconnection import ServerConnection
from anvilshift.wire.traffic import TrafficCounter


class HttpServer:
    """Server that listens on an address and passes each request to a handler.

    Parameters
    ----------
    handler
        Coroutine function that answers a request.  If it raises an
        `AnvilshiftError` before it starts the answer, that error is the answer.
    limits
        Limits on the size and duration of requests.

    Attributes
    ----------
    is_draining
        Whether answers carry ``connection: close``, so that callers connect to
        another router.
    closed
        Whether it has ended every connection itself.
    admission
        Decides which connections are taken and kept; None to take and keep all.
    traffic
        Counts what callers send and are sent.
    room
        Memory for what callers send slowly or read slowly; None if it isn't bounded.
    """

    def __init__(self, handler: Handler, limits: Limits = DEFAULT_LIMITS) -> None:
        self.handler = handler
        self.limits = limits
        self.connections: set[ServerConnection] = set()
        self.stopping = False
        self.closed = False
        self.is_draining = False
        self.admission: CallerAdmission | None = None
        self.traffic = TrafficCounter()
        self.room: HeldRoom | None = None
        self._server: asyncio.Server | None = None

    async def start(self, address: Address) -> Address:
        """Start listening and return the address; port 0 selects a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: ServerConnection(self), address.ip, address.port, backlog=1024
        )
        return Address(address.ip, self.port)

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        assert self._server is not None
        port: int = self._server.sockets[0].getsockname()[1]
        return port

    def stop_listening(self) -> None:
        """Stop accepting connections and close idle ones; requests continue."""
        self.stopping = True
        if self._server is not None:
            self._server.close()
        for connection in list(self.connections):
            connection.close_idle()

    def count_unfinished(self) -> int:
        """Return the number of connections with a request or a part of an answer."""
        return sum(one.is_unfinished for one in self.connections)

    async def close(self) -> None:
        """Stop listening and abort every connection."""
        self.stop_listening()
        self.closed = True
        for connection in list(self.connections):
            connection.abort()
        await asyncio.sleep(0)
