"""HTTP/1.1 server for asyncio; h11 parses requests and serialises answers."""

import asyncio
import socket
from typing import Any

from absl import logging

from anvilshift.wire.connectionowner import CallerAdmission, Handler
from anvilshift.wire.heldroom import HeldRoom
from anvilshift.wire.messages import DEFAULT_LIMITS, Address, Limits
from anvilshift.wire.serverconnection import ServerConnection
from anvilshift.wire.traffic import TrafficCounter

_BACKLOG = 1024


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
        self._socket: socket.socket | None = None
        self._address: Address | None = None
        self._is_wanted = True
        self._resuming: asyncio.Task[None] | None = None
        self._taking: set[asyncio.Task[Any]] = set()

    async def start(self, address: Address) -> Address:
        """Start listening and return the address; port 0 selects a free port."""
        await self._listen(address)
        assert self._socket is not None
        self._address = Address(address.ip, self._socket.getsockname()[1])
        return self._address

    async def _listen(self, address: Address) -> None:
        family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
        listener = socket.create_server(
            (address.ip, address.port), family=family, backlog=_BACKLOG
        )
        listener.setblocking(False)
        loop = asyncio.get_running_loop()
        try:
            self._server = await loop.create_server(
                self._make_connection, sock=listener, backlog=_BACKLOG
            )
        except BaseException:
            listener.close()
            raise
        self._socket = listener

    def _make_connection(self) -> ServerConnection:
        return ServerConnection(self)

    @property
    def port(self) -> int:
        """Return the port on which the server listens."""
        assert self._address is not None
        return self._address.port

    def set_listening(self, wanted: bool) -> None:
        """Refuse new connections, or take them again; open ones continue."""
        if self.stopping or wanted == self._is_wanted or self._address is None:
            return
        self._is_wanted = wanted
        if not wanted:
            self._pause()
        elif self._resuming is None or self._resuming.done():
            self._resuming = asyncio.get_running_loop().create_task(self._resume())

    def _pause(self) -> None:
        if self._server is None or self._socket is None:
            return
        self._accept_waiting(self._socket)
        self._server.close()
        self._server = self._socket = None

    def _accept_waiting(self, listener: socket.socket) -> None:
        """Take the connections that the network has opened.

        They would be reset as the socket is closed, behind a request that was sent.
        """
        loop = asyncio.get_running_loop()
        while True:
            try:
                accepted, _ = listener.accept()
            except ConnectionAbortedError:
                continue
            except BlockingIOError:
                return
            except OSError as error:
                logging.error("not accepted address=%s reason=%s", self._address, error)
                return
            accepted.setblocking(False)
            taking = loop.connect_accepted_socket(self._make_connection, accepted)
            task = loop.create_task(taking)
            self._taking.add(task)
            task.add_done_callback(self._taking.discard)

    async def _resume(self) -> None:
        assert self._address is not None
        if self._server is not None:
            return
        try:
            await self._listen(self._address)
        except OSError as error:
            logging.error("not listening address=%s reason=%s", self._address, error)
            self._is_wanted = False
            return
        if self.stopping or not self._is_wanted:
            self._pause()

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
