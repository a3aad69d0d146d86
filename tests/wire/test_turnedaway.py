"""Connections that a full router takes or turns away, over loopback."""

import asyncio
import unittest

from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.response import ExchangeError
from anvilshift.wire.server import HttpServer

LOOPBACK = Address("127.0.0.1", 0)


class FakeAdmission:
    """Takes and keeps connections as it is told."""

    def __init__(self) -> None:
        self.takes = self.keeps = True

    def takes_connection(self) -> bool:
        return self.takes

    def keeps_connection(self) -> bool:
        return self.keeps


class TurnedAwayTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.client = HttpClient()
        self.handled: list[bytes] = []
        self.server = HttpServer(self.handle)
        self.admission = self.server.admission = FakeAdmission()
        self.address = await self.server.start(LOOPBACK)

    async def asyncTearDown(self):
        self.client.close()
        await self.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.handled.append(request.body)
        await responder.send(Reply(200, [], request.body))

    async def call(self, body: bytes) -> bytes:
        answer = await self.client.call(self.address, "POST", "/", body=body)
        return answer.body

    async def test_request_of_a_connection_turned_away_is_not_read(self):
        """Guards against a request that is run and repeated elsewhere."""
        self.admission.takes = False
        with self.assertRaises(ExchangeError):
            await self.call(b"one")
        await asyncio.sleep(0.05)
        self.assertEqual(self.handled, [])
        self.assertEqual(self.server.connections, set())
        self.assertEqual(self.server.traffic.received.stream_bytes, 0)

    async def test_kept_connection_is_served_while_new_ones_are_turned_away(self):
        """Guards against a request lost on a connection that was idle."""
        await self.call(b"one")
        self.admission.takes = False
        self.assertEqual(await self.call(b"two"), b"two")

    async def test_answer_of_a_full_router_is_whole_and_announces_the_close(self):
        """Guards against an answer that is replaced by a failure."""
        self.admission.keeps = False
        answer = await self.client.call(self.address, "POST", "/", body=b"one")
        self.assertEqual((answer.status, answer.body), (200, b"one"))
        self.assertIn(("connection", "close"), answer.headers.pairs)

    async def test_traffic_is_counted(self):
        await self.call(bytes(500))
        self.assertGreater(self.server.traffic.received.stream_bytes, 500)
        self.assertGreater(self.server.traffic.sent.stream_bytes, 500)
        self.assertEqual(
            self.client.traffic.sent.stream_bytes,
            self.server.traffic.received.stream_bytes,
        )
