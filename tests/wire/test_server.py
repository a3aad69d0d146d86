"""Tests of the HTTP server and the HTTP client, connected over loopback."""

import asyncio
import unittest
from dataclasses import replace

from anvilshift.core.errors import OVERLOADED, AnvilshiftError
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, HttpRequest, Limits, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.response import ExchangeError
from anvilshift.wire.server import HttpServer

LOOPBACK = Address("127.0.0.1", 0)


class ServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = HttpClient()
        self.handler_ended = asyncio.Event()
        self.gate = asyncio.Event()
        self.gate.set()
        limits = Limits(head_bytes=2048, body_bytes=1024, head_timeout=200.0)
        self.server = HttpServer(self.handle, limits)
        self.address = await self.server.start(LOOPBACK)

    async def asyncTearDown(self):
        self.client.close()
        await self.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path == "/refuse":
            raise AnvilshiftError(OVERLOADED, retry_after=1_500.0)
        await self.gate.wait()
        if request.path == "/hang":
            try:
                await responder.start(200, [])
                await responder.write(b"first")
                await asyncio.Event().wait()
            finally:
                self.handler_ended.set()
        if request.path == "/fill":
            await responder.start(200, [])
            (connection,) = self.server.connections
            while not connection._transport.get_write_buffer_size():
                await responder.write(bytes(4096))
            await responder.finish()
            self.handler_ended.set()
            return
        await responder.send(Reply(200, [], request.body))

    async def test_connection_is_reused(self):
        for body in (b"one", b"two"):
            answer = await self.client.call(self.address, "POST", "/", body=body)
            self.assertEqual(answer.body, body)
        self.assertEqual(len(self.server.connections), 1)

    async def open_kept(
        self, head_timeout: float
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Return a connection that has had one answer, with a short idle timeout."""
        self.server.limits = replace(
            self.server.limits, idle_timeout=500.0, head_timeout=head_timeout
        )
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address.port)
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\none")
        await reader.readuntil(b"one")
        return reader, writer

    async def test_head_that_begins_before_the_idle_timeout_has_its_own(self):
        """Guards against a 408 for a request whose head comes in two packets."""
        reader, writer = await self.open_kept(head_timeout=5_000.0)
        await asyncio.sleep(0.25)
        writer.write(b"POST / HTTP/1.1\r\nHost: a\r\n")
        await asyncio.sleep(0.4)
        writer.write(b"Content-Length: 3\r\n\r\ntwo")
        self.assertIn(b" 200 ", await reader.readuntil(b"\r\n"))
        writer.close()

    async def test_head_that_trickles_in_ends_at_the_head_timeout(self):
        """Guards against a caller that prolongs its head's timeout byte by byte."""
        reader, writer = await self.open_kept(head_timeout=200.0)
        began = asyncio.get_running_loop().time()
        reading = asyncio.create_task(reader.readuntil(b"\r\n"))
        writer.write(b"POST / HTTP/1.1\r\nA: ")
        for _ in range(200):
            writer.write(b"b")
            await asyncio.sleep(0.01)
            if reading.done():
                break
        self.assertIn(b" 408 ", await reading)
        self.assertLess(asyncio.get_running_loop().time() - began, 1.0)
        writer.close()

    async def read_bodies(self, reader: asyncio.StreamReader, count: int) -> list[str]:
        """Return what is announced of the connection, for some answers in a row."""
        announced = []
        for _ in range(count):
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            await reader.readexactly(3)
            announced.append("close" if "connection: close" in head else "keep")
        return announced

    async def send_pipelined(self) -> asyncio.StreamReader:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address.port)
        self.addCleanup(writer.close)
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
        writer.write(head + b"one" + head + b"two" + head + b"ten")
        return reader

    async def test_pipelined_requests_are_answered_while_the_server_drains(self):
        """Guards against a close on whole requests that were read with another."""
        self.server.is_draining = True
        reader = await self.send_pipelined()
        async with asyncio.timeout(5):
            self.assertEqual(
                await self.read_bodies(reader, 3), ["keep", "keep", "close"]
            )
            self.assertEqual(await reader.read(), b"")

    async def test_pipelined_requests_are_answered_as_the_server_stops_listening(self):
        """Guards against a stop that drops whole requests that were read."""
        self.gate.clear()
        reader = await self.send_pipelined()
        async with asyncio.timeout(5):
            while not any(one.busy for one in self.server.connections):
                await asyncio.sleep(0.01)
            self.server.stop_listening()
            self.gate.set()
            self.assertEqual(len(await self.read_bodies(reader, 3)), 3)
            self.assertEqual(await reader.read(), b"")

    async def check_rest(self, first: bytes, rest: bytes) -> None:
        """Check that a request is answered which arrives around the server's stop."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.address.port)
        self.addCleanup(writer.close)
        writer.write(first)
        async with asyncio.timeout(5):
            while not self.server.count_unfinished():
                await asyncio.sleep(0.01)
            self.server.stop_listening()
            writer.write(rest)
            self.assertIn(b" 200 ", await reader.readuntil(b"\r\n"))

    async def test_request_whose_head_has_begun_is_answered_in_a_stop(self):
        """Guards against a close on a request of which a part was read."""
        await self.check_rest(
            b"POST / HTTP/1.1\r\nHost: a\r\n", b"Content-Length: 3\r\n\r\none"
        )

    async def test_request_whose_body_is_on_its_way_is_answered_in_a_stop(self):
        """Guards against a close on a request of which a part was read."""
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\n"
        await self.check_rest(head, b"one")

    async def test_answer_that_is_not_handed_to_the_system_is_counted(self):
        """Guards against a stop that drops the end of an answer that is read late."""
        reader, writer = await asyncio.open_connection(
            "127.0.0.1", self.address.port, limit=1024
        )
        self.addCleanup(writer.close)
        writer.write(b"GET /fill HTTP/1.1\r\nHost: a\r\n\r\n")
        async with asyncio.timeout(10):
            await self.handler_ended.wait()
            self.assertEqual(self.server.count_unfinished(), 1)
            while self.server.count_unfinished():
                await reader.read(64 * 1024)

    async def test_refusal_carries_retry_after(self):
        answer = await self.client.call(self.address, "GET", "/refuse")
        self.assertEqual(answer.status, 503)
        self.assertEqual(answer.headers.get("retry-after"), "2")
        self.assertIn(b'"fate":"not run"', answer.body)

    async def test_client_disconnect_cancels_the_handler(self):
        async with self.client.exchange(self.address, "GET", "/hang") as response:
            async for chunk in response.chunks():
                self.assertEqual(chunk, b"first")
                break
        async with asyncio.timeout(5):
            await self.handler_ended.wait()

    async def test_refused_connection_is_reported_as_not_sent(self):
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

    async def test_malformed_request_is_answered_with_its_code(self):
        answer = await self.send_raw(b"nonsense\r\n\r\n")
        self.assertIn(b"400", answer.splitlines()[0])
        self.assertIn(b'"code":1001', answer)

    async def test_oversized_body_is_answered_with_its_code(self):
        head = b"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5000\r\n\r\n"
        answer = await self.send_raw(head + b"x" * 5000)
        self.assertIn(b'"code":1002', answer)

    async def test_slow_request_times_out(self):
        answer = await self.send_raw(b"POST / HTTP/1.1\r\nHost:")
        self.assertIn(b'"code":1003', answer)


class PooledConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def test_unsolicited_bytes_are_not_read_as_a_later_answer(self):
        """An engine sends a second answer to a request after a short delay.

        The connection is idle in the pool by then, and the next caller would
        receive that answer to its own request.
        """
        send_second = asyncio.Event()

        async def serve(reader, writer):
            head = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n"
            await reader.readuntil(b"\r\n\r\n")
            writer.write(head + b"one")
            await send_second.wait()
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
        pooled = client._idle[address][0]
        send_second.set()
        await served.wait()
        async with asyncio.timeout(5):
            while not pooled.closed:
                await asyncio.sleep(0)
        second = await client.call(address, "GET", "/")
        self.assertEqual(second.body, b"one")
        client.close()
        server.close()
