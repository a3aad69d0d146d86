"""Callers that send long bodies or read slowly, over loopback, and little memory."""

import asyncio
import random
import socket
import unittest

from anvilshift.core.admission.heldbytes import HeldBytes, Use
from anvilshift.core.clock import MonotonicClock
from anvilshift.wire.heldroom import HeldRoom
from anvilshift.wire.messages import Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer

LIMIT = 1_000_000
LONG = 400_000
"""A body that takes more than bodies have of the limit."""
UNREAD = 12_000_000
"""An answer that no buffer of the system holds."""
SMALL_BUFFER = 64 * 1024


class RoomCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.held = HeldBytes(LIMIT)
        self.refused, self.cut, self.handled = [], [], []
        self.server = HttpServer(self.handle)
        self.server.room = HeldRoom(
            self.held,
            MonotonicClock(),
            random.Random(1),
            self.refused.append,
            self.cut.append,
        )
        self.address = await self.server.start(Address("127.0.0.1", 0))
        self.answer = b"ok"
        self.may_answer = asyncio.Event()
        self.may_answer.set()

    async def asyncTearDown(self):
        await self.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.handled.append(len(request.body))
        await self.may_answer.wait()
        await responder.send(Reply(200, [], self.answer))

    async def connect(self, buffer: int | None = None):
        sock = socket.socket()
        if buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, buffer)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, (self.address.ip, self.address.port))
        reader, writer = await asyncio.open_connection(sock=sock)
        self.addCleanup(writer.transport.abort)
        return reader, writer

    async def wait_for(self, holds) -> None:
        async with asyncio.timeout(5):
            while not holds():
                await asyncio.sleep(0.01)


def make_head(length: int) -> bytes:
    return b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n" % length


class BodyTest(RoomCase):
    async def test_caller_is_told_at_once_before_its_body_is_read(self):
        """Guards against bodies of many callers that exceed the host's memory."""
        reader, writer = await self.connect()
        writer.write(make_head(LONG))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
        self.assertTrue(head.startswith(b"HTTP/1.1 503"), head)
        self.assertIn(b"retry-after: ", head.lower())
        self.assertEqual((self.refused, self.handled), ([LONG], []))
        self.assertEqual(self.held.total, 0)

    async def test_caller_that_sends_on_still_gets_the_refusal(self):
        """Guards against a reset in the place of the answer."""
        reader, writer = await self.connect()
        writer.write(make_head(LONG) + b"x" * LONG)
        await writer.drain()
        answer = await asyncio.wait_for(reader.read(), 5.0)
        self.assertIn(b"overloaded", answer)
        self.assertEqual(self.handled, [])

    async def test_body_of_unknown_length_is_refused_as_it_grows(self):
        """Guards against chunks that fill the memory unannounced."""
        reader, writer = await self.connect()
        writer.write(
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        for _ in range(LONG // 10_000):
            writer.write(b"%x\r\n%b\r\n" % (10_000, b"x" * 10_000))
        head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1.0)
        self.assertTrue(head.startswith(b"HTTP/1.1 503"), head)
        await self.wait_for(lambda: self.held.total == 0)

    async def test_room_is_held_until_the_answer_and_then_given_up(self):
        self.may_answer.clear()
        reader, writer = await self.connect()
        writer.write(make_head(60_000) + b"x" * 60_000)
        await self.wait_for(lambda: self.handled)
        self.assertEqual(self.held.get(Use.BODY), 120_000)
        self.may_answer.set()
        await reader.readuntil(b"ok")
        await self.wait_for(lambda: self.held.total == 0)

    async def test_room_of_a_caller_that_leaves_is_given_up(self):
        """Guards against room that is lost with each caller that leaves."""
        for sent in (100, 60_000):
            self.may_answer.clear()
            _, writer = await self.connect()
            writer.write(make_head(60_000) + b"x" * sent)
            await self.wait_for(lambda: self.held.total)
            writer.transport.abort()
            await self.wait_for(lambda: not self.held.total)


class UnreadTest(RoomCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.answer = b"y" * UNREAD

    async def test_answer_that_is_there_is_delivered_beyond_the_limit(self):
        """Guards against a ready answer that is cut off while there is memory."""
        self.held.limit = UNREAD
        reader, writer = await self.connect(SMALL_BUFFER)
        writer.write(make_head(0))
        await self.wait_for(lambda: self.held.get(Use.UNREAD))
        await reader.readuntil(b"\r\n\r\n")
        self.assertEqual(await reader.readexactly(UNREAD), self.answer)
        await self.wait_for(lambda: self.held.total == 0)
        self.assertEqual(self.cut, [])

    async def test_slowest_caller_is_cut_off_above_the_ceiling(self):
        """Guards against a process that ends for memory with all of its streams."""
        self.held.limit = 1.5 * UNREAD
        slow_reader, slow = await self.connect(SMALL_BUFFER)
        slow.write(make_head(0))
        await self.wait_for(lambda: self.held.get(Use.UNREAD))
        reader, writer = await self.connect(SMALL_BUFFER)
        writer.write(make_head(0))
        await self.wait_for(lambda: self.cut)
        await reader.readuntil(b"\r\n\r\n")
        self.assertEqual(await reader.readexactly(UNREAD), self.answer)
        with self.assertRaises((ConnectionError, asyncio.IncompleteReadError)):
            await slow_reader.readexactly(UNREAD)
        self.assertEqual(len(self.cut), 1)


if __name__ == "__main__":
    unittest.main()
