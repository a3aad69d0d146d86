"""Peers that don't read for some seconds, and peers that are gone, over loopback."""

import asyncio
import ctypes
import socket
import struct
import unittest
from dataclasses import replace

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.response import ExchangeError
from anvilshift.wire.server import HttpServer
from anvilshift.wire.tunnel import TunnelNetwork, TunnelServer

LOOPBACK = Address("127.0.0.1", 0)
SO_ATTACH_FILTER = 26
SMALL_BUFFER = 64 * 1024
UNREAD_S = 4.5
"""Longer than a host may leave data without an acknowledgement."""
WRITE_TIMEOUT: Millis = 500.0
"""Time in which a caller reads a part of its answer, but never all."""
NOTICED_S = 6.0
"""Time within which a host that is gone is noticed."""
LONG = bytes(range(256)) * 16 * 1024
"""A body that fills all buffers."""
SHORT = LONG[: 1024 * 1024]
"""A body that fills the peer's window, and that the sender's own buffer holds."""


def drop_all(sock: socket.socket) -> None:
    """Let a socket receive nothing more, as if its host were gone."""
    reject_all = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(reject_all))
    sock.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


class UnreadCase(unittest.IsolatedAsyncioTestCase):
    body = LONG

    async def asyncSetUp(self):
        self.ended = asyncio.Event()
        self.server = HttpServer(self.handle)
        self.address = await self.server.start(LOOPBACK)

    async def asyncTearDown(self):
        await self.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        try:
            await responder.send(Reply(200, [], self.body))
        finally:
            self.ended.set()

    async def connect(self, head: bytes = b"") -> socket.socket:
        """Send a request with a connection that buffers little of the answer."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (self.address.ip, self.address.port))
        await loop.sock_sendall(sock, b"GET / HTTP/1.1\r\nHost: a\r\n%b\r\n" % head)
        self.addCleanup(sock.close)
        return sock

    async def read_late(self, head: bytes = b"") -> bytes:
        """Return the body of an answer that its caller begins to read late."""
        sock = await self.connect(head)
        await asyncio.sleep(UNREAD_S)
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            async with asyncio.timeout(10):
                await reader.readuntil(b"\r\n\r\n")
                return await reader.readexactly(len(self.body))
        finally:
            writer.close()


class UnreadAnswerTest(UnreadCase):
    async def test_caller_that_reads_late_gets_a_long_answer(self):
        """Guards against a caller that is cut while it acknowledges and reads late."""
        self.assertEqual(await self.read_late(), LONG)

    async def test_caller_that_reads_late_gets_an_answer_that_is_already_sent(self):
        """Guards against a cut while only the system still holds the answer."""
        self.body = SHORT
        self.assertEqual(await self.read_late(), SHORT)

    async def test_caller_that_reads_late_gets_the_last_answer_of_a_connection(self):
        """Guards against a cut after the process has closed the connection."""
        self.body = SHORT
        self.assertEqual(await self.read_late(b"Connection: close\r\n"), SHORT)


class SlowReaderTest(UnreadCase):
    body = LONG * 4

    async def test_caller_that_reads_slowly_gets_a_long_answer(self):
        """Guards against a caller that is taken for one that stopped reading."""
        self.server.limits = replace(self.server.limits, write_timeout=WRITE_TIMEOUT)
        sock = await self.connect()
        loop, received = asyncio.get_running_loop(), 0
        began = loop.time()
        while received < len(self.body):
            part = await loop.sock_recv(sock, SMALL_BUFFER)
            self.assertTrue(part, f"cut off after {received} bytes")
            received += len(part)
            await asyncio.sleep(0.01)
        self.assertGreater(loop.time() - began, 3 * WRITE_TIMEOUT / SECOND)


class GoneCallerTest(UnreadCase):
    async def check_noticed(self) -> None:
        began = asyncio.get_running_loop().time()
        async with asyncio.timeout(4 * NOTICED_S):
            while self.server.connections:
                await asyncio.sleep(0.02)
        self.assertLess(asyncio.get_running_loop().time() - began, NOTICED_S)

    async def test_host_that_is_gone_before_its_answer_is_noticed(self):
        """Guards against data for a lost host that waits for minutes."""
        self.body = SHORT
        sock = await self.connect(b"Content-Length: 1\r\n")
        drop_all(sock)
        await asyncio.get_running_loop().sock_sendall(sock, b"x")
        await self.check_noticed()

    async def test_host_that_is_gone_while_idle_is_noticed(self):
        """Guards against a connection to a lost host that is kept."""
        self.body = b"ok"
        sock = await self.connect()
        await asyncio.get_running_loop().sock_recv(sock, 1000)
        drop_all(sock)
        await self.check_noticed()

    async def test_host_that_is_gone_while_it_reads_nothing_is_noticed(self):
        """Guards against a lost host that is taken for one that reads late."""
        sock = await self.connect()
        await asyncio.sleep(1.5)
        drop_all(sock)
        await self.check_noticed()


class UnreadRequestTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.got = b""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        sock.bind(("127.0.0.1", 0))
        self.target = await asyncio.start_server(self.accept, sock=sock, limit=1024)
        self.address = Address("127.0.0.1", sock.getsockname()[1])

    async def asyncTearDown(self):
        self.target.close()

    async def accept(self, reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(UNREAD_S)
        self.got = await reader.readexactly(len(LONG))
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        await writer.drain()
        writer.close()

    async def check(self, client: HttpClient) -> None:
        self.addCleanup(client.close)
        try:
            answer = await client.call(self.address, "POST", "/", body=LONG)
        except ExchangeError as error:
            self.fail(f"the body was cut off: {error}")
        self.assertEqual((answer.body, self.got), (b"ok", LONG))

    async def test_target_that_reads_late_gets_a_long_body(self):
        """Guards against a target that is cut off while it is silent for a time."""
        await self.check(HttpClient())

    async def test_target_that_reads_late_gets_a_long_body_through_a_tunnel(self):
        """Guards against a router in between that cuts a silent target off."""
        tunnels = TunnelServer(lambda ip: True, lambda address: True, 4, 1_000.0)
        await tunnels.start(LOOPBACK)
        proxy = Address("127.0.0.1", tunnels.port)
        network = TunnelNetwork(HttpClient()._network, proxy)
        await self.check(HttpClient(network=network))
        await tunnels.close()
