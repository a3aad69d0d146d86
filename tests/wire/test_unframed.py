"""Answers that the server ends with the connection, as their callers see them end."""

import asyncio
import os
import signal
import sys
import unittest

from anvilshift.wire.client import HttpClient
from anvilshift.wire.endings import Ending, Framing
from anvilshift.wire.messages import Address, HttpRequest
from anvilshift.wire.responder import Responder
from anvilshift.wire.response import ExchangeError
from anvilshift.wire.server import HttpServer

LOOPBACK = Address("127.0.0.1", 0)
LARGE = b"x" * 3_000_000
SERVING = """
import asyncio
from anvilshift.wire.messages import Address
from anvilshift.wire.server import HttpServer

async def handle(request, responder):
    await responder.start(200, [], framed=False)
    await responder.write(b"half an answer")
    await asyncio.Event().wait()

async def serve():
    server = HttpServer(handle)
    address = await server.start(Address("127.0.0.1", 0))
    print(address.port, flush=True)
    await asyncio.Event().wait()

asyncio.run(serve())
"""
"""A server in a process of its own, which a test kills."""


class UnframedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.server = HttpServer(self.handle)
        self.address = await self.server.start(LOOPBACK)
        self.client = HttpClient()
        self.addAsyncCleanup(self.server.close)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        framed = request.headers.get("x-framed") == "1"
        await responder.start(200, [], framed=framed)
        await responder.write(b"first ")
        if request.path == "/abort":
            responder.abort()
            return
        await responder.finish(LARGE if request.path == "/large" else b"last")

    async def call(self, path: str):
        async with self.client.exchange(self.address, "GET", path) as response:
            self.assertIs(response.framing, Framing.CONNECTION)
            try:
                return await response.read(), response.ending
            except ExchangeError:
                return None, response.ending

    async def test_whole_answer_ends_with_an_orderly_close(self):
        self.assertEqual(await self.call("/a"), (b"first last", Ending.CLOSED))

    async def test_answer_larger_than_the_buffers_ends_with_an_orderly_close(self):
        """Guards against a reset that discards the end of a whole answer."""
        answer = await self.call("/large")
        self.assertEqual(answer, (b"first " + LARGE, Ending.CLOSED))

    async def test_aborted_answer_ends_with_a_reset(self):
        """Guards against a broken answer that its caller takes for a whole one."""
        self.assertEqual(await self.call("/abort"), (None, Ending.BROKEN))

    async def test_answer_to_an_old_client_that_is_aborted_ends_with_a_reset(self):
        """Guards against the same where the protocol's version forbids chunks."""
        reader, writer = await asyncio.open_connection(
            self.address.ip, self.server.port
        )
        writer.write(b"GET /abort HTTP/1.0\r\nHost: a\r\nX-Framed: 1\r\n\r\n")
        with self.assertRaises(ConnectionResetError):
            await reader.read()
        writer.close()

    async def test_answer_of_a_process_that_is_killed_ends_with_a_reset(self):
        """Guards against a killed router whose last answer looks whole."""
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", SERVING, stdout=asyncio.subprocess.PIPE
        )
        assert process.stdout is not None
        port = int(await process.stdout.readline())
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
        await reader.readuntil(b"half an answer")
        os.kill(process.pid, signal.SIGKILL)
        with self.assertRaises(ConnectionResetError):
            await reader.read()
        await process.wait()
        writer.close()
