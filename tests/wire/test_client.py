import asyncio
import errno
import unittest

from anvilshift.wire.client import ExchangeError, HttpClient
from anvilshift.wire.messages import Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer

LOOPBACK = Address("127.0.0.1", 0)


class FailureTextTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = HttpClient()
        self.reached = asyncio.Event()
        self.server = HttpServer(self.hang)
        self.address = await self.server.start(LOOPBACK)
        self.connection = await self.client.open(self.address)

    async def asyncTearDown(self):
        self.client.close()
        await self.server.close()

    async def hang(self, request: HttpRequest, responder: Responder) -> None:
        self.reached.set()
        await asyncio.sleep(1.0)
        await responder.send(Reply())

    async def exchange(self, timeout: float) -> str:
        """Return the text of the error that an exchange ends with."""
        with self.assertRaises(ExchangeError) as caught:
            async with self.client.exchange(
                self.address, "GET", "/", timeout=timeout, connection=self.connection
            ):
                pass
        self.assertTrue(caught.exception.sent)
        return str(caught.exception)

    async def test_host_that_is_dark_is_told_apart_from_a_slow_answer(self):
        """Guards against a log in which a dead host looks like a slow engine."""
        exchange = asyncio.create_task(self.exchange(timeout=5_000.0))
        await self.reached.wait()
        self.connection.connection_lost(TimeoutError(errno.ETIMEDOUT, "timed out"))
        self.assertEqual(await exchange, f"{self.address} acknowledged nothing")

    async def test_slow_answer_is_named_as_one(self):
        text = await self.exchange(timeout=30.0)
        self.assertEqual(text, f"{self.address} did not answer in time")
