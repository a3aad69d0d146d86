"""The HTTP server and client against each other on loopback."""

import asyncio
import unittest

from anvilshift.core.errors import OVERLOADED, AnvilshiftError
from anvilshift.wire.client import ExchangeError, HttpClient
from anvilshift.wire.messages import Address, HttpRequest, Limits, Reply
from anvilshift.wire.server import HttpServer, Responder

LOOPBACK = Address("127.0.0.1", 0)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = HttpClient()
        self.gone = asyncio.Event()
        limits = Limits(head_bytes=2048, body_bytes=1024, head_timeout=200.0)
        self.server = HttpServer(self.handle, limits)
        self.address = await self.server.start(LOOPBACK)

    async def asyncTearDown(self):
        self.client.close()
        await self.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/refuse":
            raise AnvilshiftError(OVERLOADED, retry_after=1_500.0)
        if request.path == "/hang":
            try:
                await responder.start(200, [])
                await responder.write(b"first")
                await asyncio.Event().wait()
            finally:
                self.gone.set()
        await responder.send(Reply(200, [], request.body))

    async def test_connection_is_used_again(self):
        for body in (b"one", b"two"):
            answer = await self.client.call(self.address, "POST", "/", body=body)
            self.assertEqual(answer.body, body)
        self.assertEqual(len(self.server.connections), 1)

    async def test_refusal_says_when_to_come_back(self):
        answer = await self.client.call(self.address, "GET", "/refuse")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers.get("retry-after"), "2")
        self.assertIn(b'"fate":"not run"', answer.body)

    async def test_leaving_early_tells_the_handler(self):
        async with self.client.exchange(self.address, "GET", "/hang") as response:
            async for chunk in response.chunks():
                self.assertEqual(chunk, b"first")
                break
        async with asyncio.timeout(5):
            await self.gone.wait()

    async def test_connection_refused_was_provably_not_sent(self):
        await self.server.close()
        with self.assertRaises(ExchangeError) as caught:
            await self.client.call(self.address, "GET", "/")
        self.assertFalse(caught.exception.sent)

    async def send_raw(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection(
            self.address.ip, self.address.port
        )
        writer.write(data)
        answer = await reader.read()
        writer.close()
        return answer

    async def test_malformed_request_gets_a_numbered_answer(self):
        answer = await self.send_raw(b"nonsense\r\n\r\n")
        self.assertIn(b"400", answer.splitlines()[0])
        self.assertIn(b'"code":1001', answer)

    async def test_oversized_body_gets_a_numbered_answer(self):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n"
        answer = await self.send_raw(head + b"x" * 5000)
        self.assertIn(b'"code":1002', answer)

    async def test_slow_sender_is_cut(self):
        answer = await self.send_raw(b"POST / HTTP/1.1\r\nHost:")
        self.assertIn(b'"code":1003', answer)


class PooledConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_bytes_nobody_asked_for_answer_no_later_request(self):
        """An engine answers one request twice; the second comes a little late.

        The connection was kept for reuse, and the next caller's request would
        be answered by the bytes that lay there.
        """
        answered = asyncio.Event()

        async def serve(reader, writer):
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + b"one")
            await answered.wait()
            writer.write(head + b"bad")
            served.set()
            await reader.read()
            writer.close()

        served = asyncio.Event()
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        address = Address("127.0.0.1", server.sockets[0].getsockname()[1])
        client = HttpClient()
        first = await client.call(address, "GET", "/")
        self.assertEqual(first.body, b"one")
        kept = client._idle[address][0]
        answered.set()
        await served.wait()
        async with asyncio.timeout(5):
            while not kept.closed:
                await asyncio.sleep(0)
        second = await client.call(address, "GET", "/")
        self.assertEqual(second.body, b"one")
        client.close()
        server.close()
