"""Orders run at most once, and no order that ran is reported as *not run*."""

import asyncio
import json
import unittest
from unittest import mock

from anvilshift.client.client import Conversation
from anvilshift.core.claims import LIFETIME_S, Claim, ClaimState
from anvilshift.core.errors import BUDGET_UNREACHABLE, AnvilshiftError
from anvilshift.objects.records import decode, encode
from anvilshift.router.claims import CLAIM_KIND
from anvilshift.router.requests import digest
from anvilshift.standins.engine import make_answer
from anvilshift.standins.memory import MemoryFaults
from bench.fleet import wait_until
from tests.router.fleetlet import Fleetlet, read_code


class ClaimedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleetlet(routers=2)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        self.store = self.fleet.store

    @property
    def ran(self) -> int:
        return sum(self.fleet.service.ran.values())

    def read_claim(self, key: str) -> Claim | None:
        body = self.store.read_ignoring_faults(CLAIM_KIND, digest("pound", key))
        return decode(Claim, body) if body else None

    async def test_order_whose_bill_fails_is_not_told_not_run(self):
        """A failed bill must not void the claim of an order that ran.

        When a router's grant is sealed while an order runs, the bill fails for lack
        of tokens with code 2002, *not run*.  If that voided the claim, the client
        would repeat the key and the order would run twice.
        """
        failing = AnvilshiftError(BUDGET_UNREACHABLE)
        budgets = self.fleet.nodes[0].budgets
        with mock.patch.object(budgets, "settle", side_effect=failing):
            self.assertEqual(read_code(await self.fleet.book("k")), (4005, "ran"))
        again = await self.fleet.book("k", router=1)
        self.assertEqual(read_code(again)[1], "ran")
        self.assertEqual(self.ran, 1)

    async def test_record_that_fails_leaves_the_answer(self):
        """An order whose outcome can't be recorded must not be reported as *not run*.

        The platform fails while an order runs.  The caller must get the answer
        instead of code 5001, and the claim must be finished once the platform is
        back.
        """
        self.fleet.service.faults.hold_ms = 100.0
        order = asyncio.create_task(self.fleet.book("k"))
        await wait_until(lambda: self.ran)
        self.assertIs(self.read_claim("k").state, ClaimState.OPEN)
        self.store.faults.cut.add("r1")
        first = await order
        self.assertEqual(first.status, 201)
        self.assertEqual((await self.fleet.book("k")).body, first.body)
        self.store.faults.cut.clear()
        await wait_until(lambda: self.read_claim("k").state is ClaimState.DONE)
        self.assertEqual((await self.fleet.book("k", router=1)).body, first.body)
        self.assertEqual(self.ran, 1)

    async def test_new_order_in_an_outage_is_promptly_not_run(self):
        self.store.faults.outage = True
        answer = await self.fleet.book("k")
        self.assertEqual(read_code(answer), (5001, "not run"))
        self.assertEqual(answer.headers.get("retry-after"), "2")
        self.assertEqual(self.ran, 0)

    async def test_claim_whose_answers_were_lost_does_not_block_the_key(self):
        """A claim whose write was not confirmed must be voided later.

        The write takes effect, its answer is lost, and the platform then becomes
        unreachable.  The order is refused as *not run*.  If its claim stayed open,
        each repeat would wait until its deadline and end as *unknown*.
        """

        async def cut(caller: str, verb: str) -> None:
            if verb == "put" and self.read_claim("k"):
                self.store.faults.cut.add("r1")

        self.store.faults.after = cut
        self.assertEqual(read_code(await self.fleet.book("k")), (5001, "not run"))
        self.assertIs(self.read_claim("k").state, ClaimState.OPEN)
        self.store.faults = MemoryFaults()
        self.assertEqual((await self.fleet.book("k", router=1)).status, 201)
        self.assertEqual(self.ran, 1)

    async def test_answer_lost_once_runs_once(self):
        self.store.faults.lose_answers = 1
        self.assertEqual((await self.fleet.book("k")).status, 201)
        self.assertEqual(self.ran, 1)

    async def test_repeats_at_both_routers_get_one_answer(self):
        self.fleet.service.faults.delay_ms = 150.0
        calls = (self.fleet.book("k", router=i % 2) for i in range(6))
        answers = await asyncio.gather(*calls)
        self.assertEqual({answer.body for answer in answers}, {answers[0].body})
        self.assertEqual(self.ran, 1)
        self.assertEqual(self.fleet.spent, 10)

    async def test_another_body_under_the_key_is_refused(self):
        await self.fleet.book("k")
        for router in (0, 1):
            answer = await self.fleet.book("k", drums=2, router=router)
            self.assertEqual(read_code(answer), (1007, "not run"))

    async def test_order_goes_on_when_its_caller_leaves(self):
        """An order must run to its end when its caller disconnects.

        If the call to the service were cancelled, its outcome would be lost and a
        repeat would end as *unknown* although the order ran.
        """
        self.fleet.service.faults.delay_ms = 100.0
        order = asyncio.create_task(self.fleet.book("k"))
        await wait_until(lambda: self.read_claim("k"))
        order.cancel()
        answer = await self.fleet.book("k", router=1)
        self.assertEqual(answer.status, 201)
        self.assertEqual(self.ran, 1)

    async def test_order_is_read_on_at_a_router_that_is_leaving(self):
        """A stopping router must answer repeats of an order that it is running.

        The caller's connection breaks when the planned stop begins.  The repeat must
        not be refused with code 3004, *not run*, while new work still is.
        """
        self.fleet.service.faults.delay_ms = 200.0
        order = asyncio.create_task(self.fleet.book("k"))
        await wait_until(lambda: self.read_claim("k"))
        order.cancel()
        self.fleet.nodes[0].callers.refusing = True
        self.assertEqual(read_code(await self.fleet.book("new")), (3004, "not run"))
        self.assertEqual((await self.fleet.book("k")).status, 201)
        self.assertEqual(self.ran, 1)

    async def test_order_of_a_dead_router_is_unknown_at_once(self):
        """A repeat of an order whose router was killed must end at once.

        The claim stays open, so the outcome is unknown and the order must not be
        sent again.  The caller must not wait until its deadline for that error.
        """
        content = digest("book", "POST", "runs", json.dumps({"drums": 1}).encode())
        claim = Claim(content, "r9-0123456789ab", "t", at=0)
        name = digest("pound", "k")
        await self.store.put(CLAIM_KIND, name, encode(claim), 0)
        async with asyncio.timeout(2):
            answer = await self.fleet.book("k")
        self.assertEqual(read_code(answer), (4003, "unknown"))
        self.assertEqual(self.ran, 0)

    async def test_service_that_cuts_off_leaves_unknown_for_everyone(self):
        self.fleet.service.faults.lose_answers = True
        for router in (0, 0, 1):
            answer = await self.fleet.book("k", router=router)
            self.assertEqual(read_code(answer), (4003, "unknown"))
        self.assertEqual(self.ran, 1)

    async def test_order_that_never_left_may_be_sent_again(self):
        address = (
            self.fleet.nodes[0].access_control.catalogue.groups["ss"].engines[0].address
        )
        await self.fleet.service.close()
        answer = await self.fleet.book("k")
        self.assertEqual(read_code(answer)[1], "not run")
        await self.fleet.service.start(type(self.fleet.addresses[0]).parse(address))
        self.assertEqual((await self.fleet.book("k", router=1)).status, 201)

    async def test_claimed_stream_is_read_while_it_is_made(self):
        """The stream of a claimed run must reach callers while it is generated.

        Two requests with the same key read the same run, and the stream's end mark
        is sent only after the outcome is recorded.
        """
        self.fleet.engines[0].faults.slow = 20.0
        headers = (("idempotency-key", "k"), ("anvilshift-non-idempotent", "true"))
        client = self.fleet.client()
        message = {"role": "user", "content": "order"}
        conversation = Conversation(
            "m", [message], 20, 8_000.0, "k", non_idempotent=True
        )
        texts = []
        async for text in client.stream(conversation):
            if not texts:
                second = asyncio.create_task(
                    self.fleet.chat("order", *headers, tokens=20)
                )
            texts.append(text)
        client.close()
        self.assertGreater(len(texts), 2)
        self.assertEqual("".join(texts), make_answer("order", 20))
        self.assertIs(self.read_claim("k").state, ClaimState.DONE)
        repeated = json.loads((await second).body)
        self.assertEqual(
            repeated["choices"][0]["message"]["content"], make_answer("order", 20)
        )
        self.assertEqual(len(self.fleet.engines[0].runs), 1)

    async def test_claimed_stream_that_breaks_is_unknown(self):
        self.fleet.engines[0].faults.break_after = 3
        headers = (("idempotency-key", "k"), ("anvilshift-non-idempotent", "true"))
        answer = await self.fleet.chat("order", *headers, extra={"stream": True})
        self.assertIn(b'"code":4003', answer.body)
        self.assertNotIn(b"[DONE]", answer.body)
        again = await self.fleet.chat("order", *headers, router=1)
        self.assertEqual(read_code(again), (4003, "unknown"))
        self.assertEqual(len(self.fleet.engines[0].runs), 1)

    async def test_expired_claims_are_deleted_and_others_kept(self):
        node = self.fleet.nodes[0]
        now = node.clock.wall()
        for name, at in (("old", now - LIFETIME_S - 1), ("new", now - 1)):
            claim = Claim("digest", "r1-x", name, at)
            await self.store.put(CLAIM_KIND, name, encode(claim), 0)
        self.assertEqual(await node.claims.delete_expired(pause=0.0), 1)
        self.assertEqual(self.store.names(CLAIM_KIND), ["new"])

    async def test_answer_too_large_to_keep_says_ran(self):
        text = "x" * 1_100_000
        path = "/services/book/echo"
        headers = ("idempotency-key", "k")
        first = await self.fleet.post(path, text.encode(), headers)
        self.assertEqual(len(first.body), len(text))
        again = await self.fleet.post(path, text.encode(), headers, router=1)
        self.assertEqual(read_code(again), (4005, "ran"))
        self.assertEqual(self.ran, 1)
