import asyncio
import errno
import unittest

from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.response import ExchangeError
from anvilshift.wire.server import HttpServer
from bench.fleet import wait_until

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


class SilentNeighboursTest(unittest.IsolatedAsyncioTestCase):
    """Guards against calls that find one silent connection after the other."""

    async def asyncSetUp(self):
        self.client = HttpClient()
        self.server = HttpServer(self.answer)
        self.address = await self.server.start(LOOPBACK)
        self.hangs = False
        self.delay = 0.02
        self.read = 0

    async def asyncTearDown(self):
        self.client.close()
        await self.server.close()

    async def answer(self, request: HttpRequest, responder: Responder) -> None:
        hangs = self.hangs
        self.read += 1
        await asyncio.sleep(2.0 if hangs else self.delay)
        await responder.send(Reply())

    async def call(self, timeout: float = 2_000.0) -> None:
        await self.client.call(self.address, "GET", "/", timeout=timeout)

    async def open_idle(self, count: int) -> None:
        await asyncio.gather(*(self.call() for _ in range(count)))

    def count_idle(self) -> int:
        return len(self.client._idle[self.address])

    async def fail(self) -> ExchangeError:
        self.hangs = True
        with self.assertRaises(ExchangeError) as caught:
            await self.call(timeout=400.0)
        self.hangs = False
        return caught.exception

    async def test_call_without_an_answer_closes_the_idle_connections(self):
        await self.open_idle(4)
        error = await self.fail()
        self.assertTrue(error.silent)
        self.assertEqual(self.count_idle(), 0)

    async def test_connection_heard_meanwhile_is_kept(self):
        await self.open_idle(4)
        failing = asyncio.create_task(self.fail())
        await asyncio.sleep(0.05)
        self.hangs = False
        await self.call()
        await failing
        self.assertEqual(self.count_idle(), 1)

    async def test_new_connection_without_an_answer_says_nothing_of_others(self):
        """Guards against a slow server that loses its connections at each call."""
        self.delay = 0.6
        calls = [asyncio.create_task(self.call()) for _ in range(2)]
        await wait_until(lambda: self.read == len(calls))
        error = await self.fail()
        await asyncio.gather(*calls)
        self.assertFalse(error.silent)
        self.assertEqual(self.count_idle(), 2)
