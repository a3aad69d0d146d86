"""A server that refuses new connections for a while, over loopback."""

import asyncio
import socket
import unittest

from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.response import ExchangeError
from anvilshift.wire.server import HttpServer

LOOPBACK = Address("127.0.0.1", 0)
WAIT_S = 5.0


class ListeningTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = HttpClient()
        self.server = HttpServer(self.handle)
        self.address = await self.server.start(LOOPBACK)

    async def asyncTearDown(self):
        self.client.close()
        await self.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        await responder.send(Reply(200, [], request.body))

    async def call(self, client: HttpClient) -> bytes:
        answer = await client.call(self.address, "POST", "/", body=b"one")
        return answer.body

    async def can_connect(self) -> bool:
        client = HttpClient()
        try:
            return await self.call(client) == b"one"
        except ExchangeError as error:
            self.assertFalse(error.sent)
            return False
        finally:
            client.close()

    async def wait_until(self, wanted: bool) -> None:
        async with asyncio.timeout(WAIT_S):
            while await self.can_connect() != wanted:
                await asyncio.sleep(0.01)

    async def test_new_connections_are_refused_and_open_ones_are_served(self):
        """Guards against a request lost on a connection that was idle."""
        await self.call(self.client)
        self.server.set_listening(False)
        await self.wait_until(False)
        self.assertEqual(await self.call(self.client), b"one")
        self.server.set_listening(True)
        await self.wait_until(True)
        self.assertEqual(await self.call(self.client), b"one")

    async def test_connections_opened_just_before_are_served(self):
        """Guards against a caller whose connection is reset as it is accepted."""
        for _ in range(20):
            opened = [await self.open_unaccepted() for _ in range(8)]
            self.server.set_listening(False)
            for sock in opened:
                await self.check_served(sock)
            self.server.set_listening(True)
            await self.wait_until(True)

    async def open_unaccepted(self) -> socket.socket:
        """Open a connection in one turn of the loop, so that nobody accepts it."""
        sock = socket.create_connection((self.address.ip, self.address.port))
        self.addCleanup(sock.close)
        sock.setblocking(False)
        return sock

    async def check_served(self, sock: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertIn(b" 200 ", await loop.sock_recv(sock, 1000))

    async def test_listening_changes_quickly(self):
        """Guards against a server that is left deaf, or listens after its stop."""
        for _ in range(50):
            self.server.set_listening(False)
            await asyncio.sleep(0)
            self.server.set_listening(True)
        await self.wait_until(True)
        self.server.set_listening(False)
        await self.wait_until(False)
        self.server.set_listening(True)
        self.server.stop_listening()
        await asyncio.sleep(0.05)
        self.assertFalse(await self.can_connect())

    async def test_stopped_server_is_asked_for_nothing_more(self):
        """Guards against periodic work that ends as a full router stops."""
        self.server.stop_listening()
        self.server.set_listening(False)
        self.server.set_listening(True)
        await asyncio.sleep(0.05)
        self.assertFalse(await self.can_connect())
