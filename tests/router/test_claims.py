"""Claims on a platform that sends invalid answers, or none."""

import asyncio
import random
import types
import unittest

from anvilshift.core.claims import LIFETIME_S, Claim, ClaimState
from anvilshift.core.clock import MonotonicClock
from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.httpstore import HttpObjectStore
from anvilshift.objects.records import encode
from anvilshift.router.claims import CLAIM_KIND, ClaimStore
from anvilshift.standins.memory import MemoryStore
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer


def make_job(content: str = "digest", span: float = 5_000.0):
    deadline = MonotonicClock().now() + span
    return types.SimpleNamespace(identity="i", content=content, deadline=deadline)


class OddPlatformTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.reply: Reply | None = None
        self.calls = 0
        self.server = HttpServer(self.handle)
        address = await self.server.start(Address("127.0.0.1", 0))
        self.client = HttpClient()
        store = HttpObjectStore(self.client, address)
        self.claims = ClaimStore(store, MonotonicClock(), "r1-x", random.Random(0))

    async def asyncTearDown(self):
        self.claims.close()
        self.client.close()
        await self.server.close()

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.calls += 1
        if self.reply is None:
            await asyncio.Event().wait()
        await responder.send(self.reply)

    async def test_any_answer_but_a_claim_is_promptly_not_run(self):
        for reply in (
            None,
            Reply(500),
            Reply(409),
            Reply(200, [], b"\x00{garbage"),
            Reply(200, [], b"[]"),
            Reply(200, [], b'{"kind":"Claim","name":"i","version":3,"body":{"x":1}}'),
            Reply(200, [], b"[" * 100_000),
            Reply(403),
        ):
            self.reply = reply
            async with asyncio.timeout(2):
                with self.assertRaises(AnvilshiftError) as caught:
                    await self.claims.acquire(make_job())
            self.assertEqual(caught.exception.code.number, 5001, reply)
            self.assertEqual(caught.exception.code.fate.value, "not run")
            self.assertIsNotNone(caught.exception.retry_after)
            self.claims._unrecorded.clear()


class WaitingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = MemoryStore()
        self.claims = self.make_claims("r1-x")

    def make_claims(self, holder: str) -> ClaimStore:
        claims = ClaimStore(
            self.store,
            MonotonicClock(),
            holder,
            random.Random(holder),
            lambda h: True,
        )
        self.addCleanup(claims.close)
        return claims

    async def test_waiting_for_another_router_reads_a_few_objects(self):
        """A repeat that waits for another router must read the claim rarely.

        With a read every 20 ms, a hundred waiting orders would use up the platform's
        rate limit.
        """
        await self.make_claims("r2-x").acquire(make_job())
        before = self.store.calls["get"]
        with self.assertRaises(AnvilshiftError) as caught:
            await self.claims.acquire(make_job(span=2_000.0))
        self.assertEqual(caught.exception.code.number, 4003)
        self.assertLessEqual(self.store.calls["get"] - before, 6)
        self.assertEqual(self.store.calls["list"], 0)

    async def test_platform_that_goes_out_while_waiting_leaves_unknown(self):
        """An outage while waiting for another router's claim must end as *unknown*.

        The work may have run at that router, so *not run* could be wrong.
        """
        await self.make_claims("r2-x").acquire(make_job())
        waiting = asyncio.create_task(self.claims.acquire(make_job()))
        while self.store.calls["get"] < 3:
            await asyncio.sleep(0)
        self.store.faults.outage = True
        with self.assertRaises(AnvilshiftError) as caught:
            await waiting
        self.assertEqual(caught.exception.code.fate.value, "unknown")

    async def test_work_whose_own_task_is_gone_is_unknown_at_once(self):
        claim = await self.claims.acquire(make_job())
        self.claims._running.discard(claim.token)
        async with asyncio.timeout(1):
            with self.assertRaises(AnvilshiftError) as caught:
                await self.claims.acquire(make_job())
        self.assertEqual(caught.exception.code.number, 4003)

    async def test_late_void_of_one_sending_leaves_the_next_alone(self):
        first = await self.claims.acquire(make_job())
        await self.claims.record("i", first.void())
        await self.claims.acquire(make_job())
        await self.claims.record("i", first.void())
        self.assertEqual(
            self.store.read_ignoring_faults(CLAIM_KIND, "i")["state"], "open"
        )

    async def test_sweep_passes_over_what_it_cannot_read(self):
        await self.store.put(CLAIM_KIND, "a", {"x": 1}, 0)
        at = MonotonicClock().wall() - LIFETIME_S - 1
        old = Claim("digest", "r1-x", "t", at, ClaimState.DONE)
        await self.store.put(CLAIM_KIND, "b", encode(old), 0)
        self.assertEqual(await self.claims.delete_expired(pause=0.0), 1)
        self.assertEqual(self.store.names(CLAIM_KIND), ["a"])
