"""Answers of plain services that end without framing."""

import asyncio
import unittest

from anvilshift.core.failures import Failure
from anvilshift.engines.http import HttpPlainService, TargetError
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


class PlainServiceTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, body: bytes) -> bytes:
        """Return the body of an answer that its connection's end delimits."""

        async def answer(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(HEAD + body)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(answer, "127.0.0.1", 0)
        self.addCleanup(server.close)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        service = HttpPlainService(HttpClient(), address)
        return (await service.call("POST", "/a", [], b"", 1_000.0)).body

    async def test_half_a_json_text_is_no_answer(self):
        """Guards against a truncated answer that is recorded as the work's outcome."""
        with self.assertRaises(TargetError) as raised:
            await self.call(b'{"lobsters": [1,')
        self.assertIs(raised.exception.failure, Failure.BROKE_OFF)

    async def test_a_whole_json_text_is_an_answer(self):
        self.assertEqual(await self.call(b"[1]"), b"[1]")
