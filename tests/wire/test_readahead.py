"""Answers that their reader takes slowly, over loopback: what is read ahead."""

import asyncio
import unittest

from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address

PIECE = b"x" * 1_000
PIECES = 6_000
"""Six megabytes: more than a connection reads ahead and the system buffers."""


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
        """Guards against a connection that never reads again after its reader paused."""
        async with self.client.exchange(self.address, "GET", "/") as response:
            parts = response.chunks()
            received = len(await anext(parts))
            await asyncio.sleep(0.3)
            async with asyncio.timeout(5):
                async for part in parts:
                    received += len(part)
        self.assertEqual(received, PIECES * len(PIECE))


if __name__ == "__main__":
    unittest.main()
