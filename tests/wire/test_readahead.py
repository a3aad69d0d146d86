"""Answers that their reader takes slowly, over loopback: what is read ahead."""

import asyncio
import contextlib
import random
import unittest

from anvilshift.core.admission.heldbytes import HeldBytes, Use
from anvilshift.core.clock import MonotonicClock
from anvilshift.wire.client import HttpClient
from anvilshift.wire.heldroom import HeldRoom
from anvilshift.wire.messages import Address

PIECE = b"x" * 1_000
PIECES = 6_000
"""Six megabytes: more than a connection reads ahead and the system buffers."""
FIXED_BOUND = 256 * 1024
"""Bytes that a connection without a common bound reads ahead."""


class SlowReadCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.written = asyncio.Event()
        self.server = await asyncio.start_server(self.answer, "127.0.0.1", 0)
        self.address = Address("127.0.0.1", self.server.sockets[0].getsockname()[1])
        self.client = HttpClient()

    async def asyncTearDown(self):
        self.client.close()
        self.server.close()

    async def answer(self, reader, writer) -> None:
        """Answer in small chunks, as fast as they are read."""
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for _ in range(PIECES):
            writer.write(b"%x\r\n%b\r\n" % (len(PIECE), PIECE))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        self.written.set()
        writer.close()


class StalledReadTest(SlowReadCase):
    async def test_answer_goes_on_after_much_was_read_ahead(self):
        """Guards against a connection that is never read again after a pause."""
        async with self.client.exchange(self.address, "GET", "/") as response:
            parts = response.chunks()
            received = len(await anext(parts))
            await asyncio.sleep(0.3)
            async with asyncio.timeout(5):
                async for part in parts:
                    received += len(part)
        self.assertEqual(received, PIECES * len(PIECE))


class ReadAheadTest(SlowReadCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.held = HeldBytes(limit=64 * 1024 * 1024)
        self.clock = MonotonicClock()
        self.client.room = HeldRoom(self.held, self.clock, random.Random(1))

    async def read_slowly(self) -> int:
        """Take one part, and the others when the target has written all or waits."""
        async with self.client.exchange(self.address, "GET", "/") as response:
            parts = response.chunks()
            received = len(await anext(parts))
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.written.wait(), 1.0)
            self.ahead = self.held.get(Use.AHEAD)
            async with asyncio.timeout(5):
                async for part in parts:
                    received += len(part)
        return received

    async def test_answer_that_is_not_read_is_taken_from_its_target(self):
        """Guards against a target that cuts off an answer which stays unread."""
        self.assertEqual(await self.read_slowly(), PIECES * len(PIECE))
        self.assertTrue(self.written.is_set())
        self.assertGreater(self.ahead, FIXED_BOUND)
        self.assertEqual(self.held.total, 0)

    async def test_answer_waits_at_its_target_without_room(self):
        """Guards against reading ahead beyond the memory of the host."""
        self.held.limit = 1024 * 1024
        self.assertEqual(await self.read_slowly(), PIECES * len(PIECE))
        self.assertLess(self.ahead, self.held.limit)
        self.assertEqual(self.held.total, 0)

    async def test_answer_is_read_on_once_others_give_room_up(self):
        """Guards against an answer that is cut off although there is room by then."""
        full = 64 * 1024 * 1024
        self.held.change(Use.UNREAD, full, self.clock.now(), count=1)
        async with self.client.exchange(self.address, "GET", "/") as response:
            await anext(response.chunks())
            with self.assertRaises(TimeoutError):
                await asyncio.wait_for(self.written.wait(), 0.5)
            self.held.change(Use.UNREAD, -full, self.clock.now(), count=-1)
            await asyncio.wait_for(self.written.wait(), 5.0)
        self.assertEqual(self.held.total, 0)


if __name__ == "__main__":
    unittest.main()
