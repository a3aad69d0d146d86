"""The caller's library: what it may say of work that it sent more than once."""

import asyncio
import unittest

from anvilshift.client.client import CallError, Client, Conversation
from anvilshift.core.errors import BUDGET_UNREACHABLE, DRAINING, AnvilshiftError
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.server import HttpServer, Responder

ANY = Address("127.0.0.1", 0)
ASKED = Conversation("m", [{"role": "user", "content": "tank"}], 8, deadline=4_000.0)


class ClientTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.steps = []
        self.silent = False
        self.server = HttpServer(self.handle)
        self.address = await self.server.start(ANY)
        self.given = [{"address": str(self.address)}]
        self.client = Client([self.address], "token")

    async def asyncTearDown(self):
        self.client.close()
        await self.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        if self.silent:
            await asyncio.Event().wait()
        if request.path == "/v1/addresses":
            found = {"addresses": self.given, "keep_ms": 1e6}
            await responder.send(Reply(200, [JSON_TYPE], dump_json(found)))
            return
        await self.steps.pop(0)(responder)

    async def cut(self, responder: Responder) -> None:
        responder.abort()

    async def refuse(self, responder: Responder) -> None:
        raise AnvilshiftError(DRAINING, "", 9_000.0)

    async def fall_silent(self, responder: Responder) -> None:
        await responder.start(200, [])
        await responder.write(b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n')
        self.silent = True
        await asyncio.Event().wait()

    async def garble(self, responder: Responder) -> None:
        await responder.start(200, [])
        await responder.write(b"data: {]\n\n")
        await responder.finish()

    async def test_router_that_knows_no_address_is_no_dead_end(self):
        """The one router that answers is leaving and hears no other: its answer
        to the look-up is empty.
        """
        self.given = []
        self.assertEqual(await self.client.look_up(), [self.address])

    async def test_order_that_may_have_run_is_never_told_not_run(self):
        """The first sending is cut off; the second is refused by a drain.

        The refusal says *not run* of itself.  Told so, the clerk would place
        the order again under a new key, and two trucks would leave.
        """
        self.steps = [self.cut, self.refuse]
        with self.assertRaises(CallError) as caught:
            await self.client.call(
                "book", "/runs", non_idempotent=True, deadline=4_000.0
            )
        self.assertEqual(
            (caught.exception.number, caught.exception.fate), (3004, "unknown")
        )

    async def test_first_refusal_is_told_not_run(self):
        self.steps = [self.refuse]
        with self.assertRaises(CallError) as caught:
            await self.client.call(
                "book", "/runs", non_idempotent=True, deadline=4_000.0
            )
        self.assertEqual(caught.exception.fate, "not run")
        self.assertEqual(caught.exception.retry_after, 9_000.0)

    async def test_paused_router_is_left_before_the_deadline(self):
        """A router is paused in mid-stream; its connection stays open."""
        self.steps = [self.fall_silent]
        texts = []
        with self.assertRaises(CallError) as caught:
            async with asyncio.timeout(10):
                async for text in self.client.stream(ASKED):
                    texts.append(text)
        self.assertEqual((texts, caught.exception.fate), (["a"], "unknown"))

    async def test_router_that_can_still_spend_is_found_at_once(self):
        """Guards against callers sent back and forth between routers without tokens."""
        others = [HttpServer(self.handle_without_tokens) for _ in range(3)]
        for server in others:
            self.addAsyncCleanup(server.close)
            self.given.append({"address": str(await server.start(ANY))})
        for _ in range(8):
            self.steps = [self.answer]
            client = Client([self.address], "token")
            self.addCleanup(client.close)
            async with asyncio.timeout(2):
                self.assertEqual(await client.ask(ASKED), "a")

    async def handle_without_tokens(self, request, responder):
        raise AnvilshiftError(BUDGET_UNREACHABLE, "", 2_000.0)

    async def answer(self, responder: Responder) -> None:
        await responder.start(200, [])
        await responder.write(b'data: {"choices":[{"delta":{"content":"a"}}]}\n\n')
        await responder.write(b"data: [DONE]\n\n")
        await responder.finish()

    async def test_unreadable_stream_is_tried_again(self):
        self.steps = [self.garble, self.refuse]
        with self.assertRaises(CallError) as caught:
            await self.client.ask(ASKED)
        self.assertEqual(caught.exception.number, 3004)
