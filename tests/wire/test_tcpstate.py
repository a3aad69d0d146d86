"""What is known of connections whose bytes haven't been read, over loopback."""

import asyncio
import socket
import time
import unittest

from anvilshift.wire.client import HttpClient, TcpNetwork
from anvilshift.wire.messages import Address, HttpRequest
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer
from anvilshift.wire.tcpstate import has_peer_closed
from anvilshift.wire.tunnel import TunnelNetwork, TunnelServer

BUSY_S = 0.2
"""How long a turn of the event loop lasts."""
UNREAD = 150.0
"""What a request has waited at least that arrived as such a turn began."""
LARGE = bytes(8 * 1024 * 1024)
"""A body that fills all buffers of a connection."""
SMALL_BUFFER = 16 * 1024


def keep_busy() -> None:
    """Stand for work that keeps the event loop from reading."""
    time.sleep(BUSY_S)


class UnreadRequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.requests: list[HttpRequest] = []
        self.responders: list[Responder] = []
        self.server = HttpServer(self.handle)
        address = await self.server.start(Address("127.0.0.1", 0))
        self.addAsyncCleanup(self.server.close)
        self.sock = socket.create_connection((address.ip, address.port))
        self.addCleanup(self.sock.close)
        await self.wait_for(lambda: self.server.connections)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.requests.append(request)
        self.responders.append(responder)
        await asyncio.Event().wait()

    async def wait_for(self, holds) -> None:
        async with asyncio.timeout(5):
            while not holds():
                await asyncio.sleep(0)

    async def test_request_that_waited_unread_says_how_long(self):
        """Guards against deadlines that are counted from when a busy router reads."""
        self.sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        keep_busy()
        await self.wait_for(lambda: self.requests)
        self.assertGreaterEqual(self.requests[0].unread, UNREAD)

    async def test_close_behind_unread_bytes_is_known(self):
        """Guards against a caller that sends more before it leaves unheard."""
        self.sock.sendall(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        await self.wait_for(lambda: self.responders)
        (connection,) = self.server.connections
        self.assertFalse(has_peer_closed(connection._transport))
        self.sock.sendall(b"GET / HTTP/1.1\r\n")
        self.sock.close()
        self.assertTrue(has_peer_closed(connection._transport))


class AbandonedRequestTest(unittest.IsolatedAsyncioTestCase):
    """A server that reads slowly gets no more of a request once it is given up."""

    async def asyncSetUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.listener.close)
        self.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        self.listener.setblocking(False)
        self.address = Address("127.0.0.1", self.listener.getsockname()[1])
        self.client = HttpClient()
        self.addCleanup(self.client.close)

    async def give_up(self, connection) -> None:
        """Send a long request, give it up, and read what arrives of it."""
        loop = asyncio.get_running_loop()
        accepted, _ = await loop.sock_accept(self.listener)
        self.addCleanup(accepted.close)
        accepted.setblocking(False)

        async def ask():
            async with self.client.exchange(
                self.address, "POST", "/", [], LARGE, connection=connection
            ):
                self.fail("nobody answers")

        asking = asyncio.create_task(ask())
        received = len(await loop.sock_recv(accepted, 1024))
        asking.cancel()
        await asyncio.wait([asking])
        with self.assertRaises(ConnectionResetError):
            async with asyncio.timeout(5):
                while True:
                    chunk = await loop.sock_recv(accepted, 1024 * 1024)
                    self.assertTrue(chunk, "closed in order")
                    received += len(chunk)
        self.assertLess(received, len(LARGE) // 2)

    async def test_request_that_is_given_up_is_not_sent_on(self):
        """Guards against a narrow link that carries a request after its caller left."""
        await self.give_up(await self.client.open(self.address))

    async def test_request_that_is_given_up_is_not_sent_on_by_a_tunnel(self):
        """Guards against the same where another router forwards it."""
        tunnels = TunnelServer(lambda ip: True, lambda one: True, 2, 200.0)
        await tunnels.start(Address("127.0.0.1", 0))
        self.addAsyncCleanup(tunnels.close)
        proxy = Address("127.0.0.1", tunnels.port)
        network = TunnelNetwork(TcpNetwork(), proxy)
        await self.give_up(await self.client.open(self.address, 500.0, network, "r2"))
