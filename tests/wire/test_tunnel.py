"""Tunnels between a client and a server, on loopback."""

import asyncio
import unittest

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.client import HttpClient, TcpNetwork
from anvilshift.wire.messages import Address, Reply, set_reset_on_close
from anvilshift.wire.response import ExchangeError
from anvilshift.wire.server import HttpServer
from anvilshift.wire.tunnel import TunnelNetwork, TunnelServer

LOOPBACK = Address("127.0.0.1", 0)
LARGE = b"x" * 3_000_000
OPEN_TIMEOUT: Millis = 5 * SECOND
"""Long enough for a process that stands still while it opens a connection."""


class TunnelTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.bodies: list[bytes] = []
        self.server = HttpServer(self.handle)
        self.address = await self.server.start(LOOPBACK)
        self.known = {self.address}
        self.allowed = True
        self.tunnels = TunnelServer(
            lambda ip: self.allowed,
            self.known.__contains__,
            most=2,
            timeout=OPEN_TIMEOUT,
        )
        await self.tunnels.start(LOOPBACK)
        self.proxy = Address("127.0.0.1", self.tunnels.port)
        self.client = HttpClient()
        self.addAsyncCleanup(self.server.close)
        self.addAsyncCleanup(self.tunnels.close)

    async def handle(self, request, responder):
        self.bodies.append(request.body)
        await responder.send(Reply(200, [("x-sign", "s1")], request.body))

    async def open(self):
        network = TunnelNetwork(TcpNetwork(), self.proxy)
        return await self.client.open(self.address, OPEN_TIMEOUT, network, "r2")

    async def call(self, connection, body=b"hello"):
        async with self.client.exchange(
            self.address, "POST", "/a", [], body, connection=connection
        ) as response:
            return response.headers.get("x-sign"), await response.read()

    async def test_bytes_pass_unchanged_in_both_directions(self):
        connection = await self.open()
        self.assertEqual(await self.call(connection, LARGE), ("s1", LARGE))
        self.assertEqual(self.bodies, [LARGE])

    async def test_an_idle_tunnel_is_used_again(self):
        first = await self.open()
        await self.call(first)
        again = self.client.take_idle(self.address, lambda one: one.via == "r2")
        self.assertIs(again, first)
        self.assertEqual((await self.call(again))[1], b"hello")
        self.assertEqual(self.tunnels.opened, 1)

    async def refuse(self, status: int):
        with self.assertRaises(ExchangeError) as raised:
            await self.open()
        self.assertFalse(raised.exception.sent)
        self.assertEqual(raised.exception.__cause__.status, status)

    async def test_only_known_processes_may_ask(self):
        self.allowed = False
        await self.refuse(403)

    async def test_only_known_servers_are_reached(self):
        """Guards against a router that forwards anything anywhere."""
        self.known.clear()
        await self.refuse(502)

    async def test_a_server_that_is_down_is_reported_before_anything_is_sent(self):
        await self.server.close()
        await self.refuse(502)

    async def test_no_tunnel_opens_beyond_the_limit(self):
        """Guards against a cut failure domain that uses up another's memory."""
        kept = [await self.open(), await self.open()]
        await self.refuse(503)
        kept[0].close()
        await asyncio.sleep(0.05)
        self.assertEqual((await self.call(await self.open()))[1], b"hello")

    async def test_the_server_sees_that_the_client_has_left(self):
        connection = await self.open()
        await asyncio.sleep(0.02)
        self.assertEqual(len(self.server.connections), 1)
        connection.close()
        await asyncio.sleep(0.05)
        self.assertEqual(len(self.server.connections), 0)

    async def serve_raw(self, answer) -> None:
        """Put a server behind the tunnels that writes its answers itself."""
        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        self.address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        self.known.add(self.address)

    async def check_broken(self, connection) -> None:
        with self.assertRaises(ExchangeError) as raised:
            await self.call(connection)
        self.assertTrue(raised.exception.sent)

    async def test_an_answer_that_the_server_ends_with_its_connection_is_served(self):
        """Guards against whole answers that a process in between makes unusable."""

        async def send_whole(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nx-sign: s1\r\n\r\na whole answer")
            await writer.drain()
            writer.close()

        await self.serve_raw(send_whole)
        answer = await self.call(await self.open())
        self.assertEqual(answer, ("s1", b"a whole answer"))

    async def test_an_answer_without_a_length_is_broken_when_the_tunnel_ends(self):
        """Guards against an answer cut short by the process in between.

        The system closes the connections of a killed process in order.
        """
        written = asyncio.Event()

        async def send_half(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf an answer")
            await writer.drain()
            written.set()
            await reader.read()

        await self.serve_raw(send_half)
        checking = asyncio.create_task(self.check_broken(await self.open()))
        await written.wait()
        await asyncio.sleep(0.05)
        for entrance in list(self.tunnels.entrances):
            entrance.transport.close()
        await checking

    async def test_an_answer_without_a_length_is_broken_when_its_server_resets(self):
        """Guards against a reset that the tunnel makes an orderly close of."""

        async def send_half(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\nhalf an answer")
            await writer.drain()
            await asyncio.sleep(0.05)
            set_reset_on_close(writer.transport, True)
            writer.transport.abort()

        await self.serve_raw(send_half)
        await self.check_broken(await self.open())

    async def test_an_answer_without_a_length_is_broken_through_an_older_process(self):
        """Guards against a process in between that can't tell who closed."""

        async def send_whole(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\n\r\na whole answer")
            await writer.drain()
            writer.close()

        async def relay(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            behind = await asyncio.open_connection(self.address.ip, self.address.port)
            writer.write(b"HTTP/1.1 200 \r\n\r\n")
            behind[1].write(await reader.readuntil(b"hello"))
            writer.write(await behind[0].read())
            behind[1].close()
            writer.close()

        await self.serve_raw(send_whole)
        proxy = await asyncio.start_server(relay, "127.0.0.1", 0)
        self.addCleanup(proxy.close)
        self.proxy = Address("127.0.0.1", proxy.sockets[0].getsockname()[1])
        await self.check_broken(await self.open())

    async def test_an_older_process_gets_the_bytes_without_frames(self):
        """Guards against routers of an older build that read frames as an answer."""
        reader, writer = await asyncio.open_connection(self.proxy.ip, self.proxy.port)
        self.addCleanup(writer.close)
        host = str(self.address).encode()
        writer.write(b"CONNECT %b HTTP/1.1\r\nHost: %b\r\n\r\n" % (host, host))
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertEqual(await reader.readexactly(8), b"HTTP/1.1")

    async def test_a_silent_client_is_dropped(self):
        reader, writer = await asyncio.open_connection(self.proxy.ip, self.proxy.port)
        self.addCleanup(writer.close)
        async with asyncio.timeout(5):
            self.assertEqual(await reader.read(), b"")
