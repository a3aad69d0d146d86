"""Tests of the client library: retries, reported fates and paused routers."""

import asyncio
import unittest

from anvilshift.client.client import CallError, Client, Conversation
from anvilshift.core.errors import BUDGET_UNREACHABLE, DRAINING, AnvilshiftError
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer

ANY_PORT = Address("127.0.0.1", 0)
CONVERSATION = Conversation(
    "m", [{"role": "user", "content": "tank"}], 8, deadline=4_000.0
)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.handlers = []
        self.paused = False
        self.server = HttpServer(self.handle)
        self.address = await self.server.start(ANY_PORT)
        self.listed_addresses = [{"address": str(self.address)}]
        self.client = Client([self.address], "token")

    async def asyncTearDown(self):
        self.client.close()
        await self.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        if self.paused:
            await asyncio.Event().wait()
        if request.path == "/v1/addresses":
            found = {"addresses": self.listed_addresses, "keep_ms": 1e6}
            await responder.send(Reply(200, [JSON_TYPE], dump_json(found)))
            return
        await self.handlers.pop(0)(responder)

    async def abort_connection(self, responder: Responder) -> None:
        responder.abort()

    async def refuse_draining(self, responder: Responder) -> None:
        raise AnvilshiftError(DRAINING, "", 9_000.0)

    async def pause_in_stream(self, responder: Responder) -> None:
        await responder.start(200, [])
        await responder.write(b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n')
        self.paused = True
        await asyncio.Event().wait()

    async def send_malformed_event(self, responder: Responder) -> None:
        await responder.start(200, [])
        await responder.write(b"data: {]\n\n")
        await responder.finish()

    async def test_empty_lookup_answer_falls_back_to_the_seeds(self):
        """The only router that answers is draining and receives no heartbeats of
        others, so its answer to the address lookup is empty.
        """
        self.listed_addresses = []
        self.assertEqual(await self.client.look_up(), [self.address])

    async def test_replaced_lookup_decides_where_a_call_goes(self):
        """Guards against callers with their own discovery that are sent elsewhere."""
        found = Address.parse("127.0.0.1:1")

        async def look_up():
            return [found]

        self.client.look_up = look_up
        self.handlers = [self.abort_connection] * 9
        with self.assertRaises(CallError):
            await self.client.call("book", "/runs", deadline=300.0)
        self.assertEqual(len(self.handlers), 9)

    async def test_work_that_may_have_run_is_not_reported_as_not_run(self):
        """The first attempt loses its connection; a draining router refuses the second.

        The refusal's *not run* concerns the second attempt only.  If the client
        reported it, the caller would send the work again under a new key, and it
        could run twice.
        """
        self.handlers = [self.abort_connection, self.refuse_draining]
        with self.assertRaises(CallError) as caught:
            await self.client.call(
                "book", "/runs", non_idempotent=True, deadline=4_000.0
            )
        self.assertEqual(
            (caught.exception.number, caught.exception.fate), (3004, "unknown")
        )

    async def test_refusal_of_the_first_attempt_is_reported_as_not_run(self):
        self.handlers = [self.refuse_draining]
        with self.assertRaises(CallError) as caught:
            await self.client.call(
                "book", "/runs", non_idempotent=True, deadline=4_000.0
            )
        self.assertEqual(caught.exception.fate, "not run")
        self.assertEqual(caught.exception.retry_after, 9_000.0)

    async def test_paused_router_is_abandoned_before_the_deadline(self):
        """A router is paused in mid-stream, and its connection stays open."""
        self.handlers = [self.pause_in_stream]
        texts = []
        with self.assertRaises(CallError) as caught:
            async with asyncio.timeout(10):
                async for text in self.client.stream(CONVERSATION):
                    texts.append(text)
        self.assertEqual((texts, caught.exception.fate), (["a"], "unknown"))

    async def test_router_that_can_still_spend_is_found_at_once(self):
        """Guards against clients that alternate between routers without tokens."""
        others = [HttpServer(self.refuse_without_tokens) for _ in range(3)]
        for server in others:
            self.addAsyncCleanup(server.close)
            self.listed_addresses.append({"address": str(await server.start(ANY_PORT))})
        for _ in range(8):
            self.handlers = [self.answer]
            client = Client([self.address], "token")
            self.addCleanup(client.close)
            async with asyncio.timeout(2):
                self.assertEqual(await client.ask(CONVERSATION), "a")

    async def refuse_without_tokens(self, request, responder):
        raise AnvilshiftError(BUDGET_UNREACHABLE, "", 2_000.0)

    async def answer(self, responder: Responder) -> None:
        await responder.start(200, [])
        await responder.write(b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n')
        await responder.write(b"data: [DONE]\n\n")
        await responder.finish()

    async def test_malformed_stream_is_retried(self):
        self.handlers = [self.send_malformed_event, self.refuse_draining]
        with self.assertRaises(CallError) as caught:
            await self.client.ask(CONVERSATION)
        self.assertEqual(caught.exception.number, 3004)
