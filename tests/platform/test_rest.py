"""Targets that ask for rest, or say that they are leaving, get nothing more."""

import asyncio
import random
import unittest

from anvilshift.core.clock import ManualClock
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import TargetInfo
from anvilshift.gateway.limits import RateLimits
from tests.gateway.silent import SilentJournal
from tests.platform.cutnetwork import CutNetwork
from tests.platform.gatewaycase import GatewayCase

INFO = TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8, born=1)
CALLS = 6


class SilentPeers:
    """Takes messages to other routers and sends none."""

    def broadcast(self, message) -> None:
        pass


class RestTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.loads = LoadMap()
        self.loads.declare(INFO)
        self.limits = RateLimits(
            "r1", "r1.a", self.loads, SilentPeers(), self.clock, SilentJournal()
        )

    def find_rest(self) -> float:
        return self.loads.targets["e1"].paused_until - self.clock.now()

    def test_a_long_rest_is_kept_to_its_end(self):
        """Guards against a target that gets requests again after 5 s of 30."""
        self.limits.record_refusal("e1", 30_000.0, "a")
        self.clock.advance(29_000.0)
        self.assertEqual(self.find_rest(), 1_000.0)

    def test_a_later_refusal_that_names_less_shortens_nothing(self):
        self.limits.record_refusal("e1", 3_000.0, "a")
        self.clock.advance(500.0)
        self.limits.record_refusal("e1", 1_000.0, "b")
        self.assertEqual(self.find_rest(), 2_500.0)

    def test_a_rest_outlives_a_target_list_that_is_read_anew(self):
        """Guards against a rest that is forgotten with a target's entry."""
        self.limits.record_refusal("e1", 3_000.0, "a")
        self.loads.remove("e1", self.clock.now())
        self.loads.declare(INFO)
        self.assertEqual(self.find_rest(), 3_000.0)

    def test_a_target_that_is_started_anew_needs_no_rest(self):
        self.limits.record_refusal("e1", 3_000.0, "a")
        self.loads.remove("e1", self.clock.now())
        self.loads.declare(
            TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8, born=2)
        )
        self.assertLess(self.find_rest(), 0.0)

    def test_rests_of_any_order_end_with_the_last(self):
        rng = random.Random(1)
        for _ in range(200):
            self.setUp()
            ends = []
            for _ in range(5):
                wait = rng.uniform(0.0, 40_000.0)
                ends.append(self.clock.now() + wait)
                self.limits.record_refusal("e1", wait, "a")
                self.clock.advance(rng.uniform(0.0, 3_000.0))
            left = max(ends) - self.clock.now()
            self.assertAlmostEqual(self.find_rest(), left)


class SlowNetwork(CutNetwork):
    """A network on which connections open late."""

    delay = 0.0

    async def open(self, protocol, address) -> None:
        await asyncio.sleep(self.delay)
        await super().open(protocol, address)


class TargetNeedTest(GatewayCase):
    def make_network(self) -> SlowNetwork:
        self.network = SlowNetwork()
        return self.network

    async def call_desks(self) -> list[int]:
        await self.add_target("d1", "desk")
        await self.add_target("d2", "desk")
        await self.add_target("e1", "llm")
        await self.start_fleet(1)
        node = self.nodes[0]
        return [(await self.call_at(node, f"/read/{n}"))[0] for n in range(CALLS)]

    def count_arrivals(self, name: str) -> int:
        return len(self.targets[name].arrivals)

    async def test_a_503_that_may_have_run_asks_for_rest_as_well(self):
        """Guards against a rest that is read only beside *not executed*."""
        await self.call_desks()
        resting, node = self.targets["d1"], self.nodes[0]
        resting.status, resting.rest = 503, "3"
        # The target may have run it, so an order is not sent to the other one.
        while resting.status == 503:
            status, _, _ = await self.call_at(node, "/order/1")
            if status == 503:
                resting.status = 200
        before = self.count_arrivals("d1")
        for number in range(CALLS):
            self.assertEqual((await self.call_at(node, f"/read/{number}"))[0], 200)
        self.assertEqual(self.count_arrivals("d1"), before)

    async def test_a_request_on_its_way_turns_back_when_its_target_asks_for_rest(self):
        """Guards against requests that arrive late since their connection did."""
        await self.call_desks()
        node = self.nodes[0]
        node.client.close()
        self.network.delay = 0.15
        calls = [
            asyncio.create_task(self.call_at(node, f"/read/{n}")) for n in range(CALLS)
        ]
        await asyncio.sleep(0.05)
        before = self.count_arrivals("d1")
        node.limits.record_refusal("d1", 1_000.0, "a")
        statuses = [status for status, _, _ in await asyncio.gather(*calls)]
        self.assertEqual(statuses, [200] * CALLS)
        self.assertEqual(self.count_arrivals("d1"), before)

    async def test_a_target_that_says_it_is_leaving_gets_nothing_more(self):
        """Guards against work sent to a target whose leaving only its answers told."""
        await self.call_desks()
        node = self.nodes[0]
        leaving = self.targets["d1"]
        leaving.leaving = True
        await self.wait_until_called(node, "d1")
        before = self.count_arrivals("d1")
        for number in range(CALLS):
            self.assertEqual((await self.call_at(node, f"/read/{number}"))[0], 200)
        self.assertEqual(self.count_arrivals("d1"), before)

    async def wait_until_called(self, node, name: str) -> None:
        before = self.count_arrivals(name)
        async with asyncio.timeout(10):
            while self.count_arrivals(name) == before:
                await self.call_at(node, "/read/1")

    async def test_a_list_read_anew_does_not_bring_a_leaving_target_back(self):
        """Guards against a target that is used again since its entry still stands."""
        await self.call_desks()
        node = self.nodes[0]
        self.targets["d1"].leaving = True
        await self.wait_until_called(node, "d1")
        info = node.loads.targets["d1"].info
        node.loads.remove("d1", node.clock.now())
        node.loads.declare(TargetInfo(**{**vars(info), "leaving": False}))
        self.assertTrue(node.loads.targets["d1"].info.leaving)
        node.loads.declare(TargetInfo(**{**vars(info), "leaving": False, "born": 2}))
        self.assertFalse(node.loads.targets["d1"].info.leaving)
