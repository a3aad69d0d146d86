"""All routers together keep to what a cold engine stands, whatever fails meanwhile.

The bound is the users' own: the rate times the overage, and the allowance, in any one
second.  Each scenario offers far more than that.
"""

import asyncio
import unittest

from tests.gateway.coldcourse import (
    PRESSING,
    run_amid_course,
    run_course,
    start_pressed,
)
from tests.gateway.coldfleet import BOUND, RATE, ColdFleet, run_cold

LEAST_USE = 0.7
"""Part of the rate that is used while work waits and the routers' views are steady."""
SEEDS = (1,)
COURSE_SEEDS = (3, 5, 11)
AMID_SEEDS = (1, 2, 3)


class SteadyTest(unittest.TestCase):
    def check_use(self, size: int, cold_s: float = 20.0, **rest):
        async def scenario(fleet):
            await start_pressed(fleet, 200.0 / size)
            fleet.return_cold()
            await asyncio.sleep(cold_s)

        fleet = run_cold(scenario, size, cold_s=cold_s, **rest)
        self.assertLessEqual(fleet.count_most(), BOUND)
        engine = fleet.engines["e0"]
        begin, end = engine.terms[0]
        used = engine.count(begin + 2.0, end) / (end - begin - 2.0)
        self.assertGreaterEqual(used, LEAST_USE * RATE)

    def test_twenty_eight_routers_keep_to_the_bound_and_use_it(self):
        """Guards against routers that each send a cold engine what it stands alone."""
        self.check_use(28)

    def test_small_fleets_and_a_single_router_use_it(self):
        for size in (1, 2, 5):
            with self.subTest(size=size):
                self.check_use(size)

    def test_lost_datagrams_cost_little(self):
        async def scenario(fleet):
            await start_pressed(fleet)
            fleet.return_cold()
            await asyncio.sleep(20.0)

        fleet = run_cold(scenario, 28, loss=0.1, cold_s=20.0)
        self.assertLessEqual(fleet.count_most(), BOUND)


class ColdCase(unittest.TestCase):
    """Base of tests that run one scenario under some seeds."""

    def check(self, scenario, size: int = 28, engines: int = 1, **rest) -> ColdFleet:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                fleet = run_cold(scenario, size, seed, engines=engines, **rest)
                self.assertLessEqual(fleet.count_most(), BOUND)
        return fleet


class ReturnTest(ColdCase):
    def test_a_whole_domain_returns_cold(self):
        """Guards against the idle engines that return getting all requests at once."""

        async def scenario(fleet):
            await start_pressed(fleet, 20.0)
            fleet.return_cold()
            await asyncio.sleep(4.0)

        fleet = self.check(scenario, engines=12)
        served = sum(len(one.arrivals) for one in fleet.engines.values())
        self.assertGreater(served, 12 * RATE)

    def test_a_domain_returns_while_some_routers_have_just_started(self):
        """Guards against routers with a partial view that each issue permits."""

        async def scenario(fleet):
            await start_pressed(fleet)
            for index in range(9):
                fleet.kill(f"r{3 * index}")
            await asyncio.sleep(1.0)
            for index in range(9):
                fleet.start(f"r{3 * index}")
            await asyncio.sleep(0.2)
            fleet.return_cold()
            await asyncio.sleep(4.0)

        self.check(scenario, engines=4)

    def test_all_routers_start_together(self):
        """Guards against one issuer for each router that sees no other one yet."""

        async def scenario(fleet):
            fleet.return_cold()
            fleet.offer(PRESSING)
            await asyncio.sleep(5.0)
            for name in list(fleet.nodes):
                fleet.kill(name)
            fleet.go_dark()
            await asyncio.sleep(1.0)
            fleet.return_cold()
            for index in range(28):
                fleet.start(f"r{index}")
                await asyncio.sleep(0.01)
            await asyncio.sleep(4.0)

        self.check(scenario)

    def test_an_issuer_is_killed_in_the_second_of_the_return(self):
        """Guards against two issuers whose permits add up beyond the bound."""

        async def scenario(fleet):
            await start_pressed(fleet)
            fleet.return_cold()
            await asyncio.sleep(0.8)
            issuer = fleet.find_issuer()
            fleet.kill(issuer)
            await asyncio.sleep(0.3)
            fleet.start(issuer)
            await asyncio.sleep(9.0)

        self.check(scenario, cold_s=10.0)

    def test_routers_are_killed_and_come_back(self):
        """Guards against what a router forgets when it is killed."""

        async def scenario(fleet):
            await start_pressed(fleet)
            fleet.return_cold()
            for index in range(20):
                name = f"r{index}"
                fleet.kill(name)
                await asyncio.sleep(0.25)
                fleet.start(name)
                await asyncio.sleep(0.25)

        self.check(scenario, cold_s=12.0)

    def test_an_engine_becomes_cold_while_it_is_in_use(self):
        """Guards against what routers send before they know that an engine is cold."""

        async def scenario(fleet):
            fleet.offer(0.25)
            await asyncio.sleep(6.0)
            fleet.engines["e0"].become_cold(3.0)
            await asyncio.sleep(0.5)
            fleet.offer(PRESSING)
            await asyncio.sleep(3.0)

        self.check(scenario)


class CutTest(ColdCase):
    def test_a_router_is_cut_off_from_all_others(self):
        """Guards against a lone router that takes itself for the only one."""

        async def scenario(fleet):
            await start_pressed(fleet)
            fleet.cut("r5")
            await asyncio.sleep(1.0)
            fleet.return_cold()
            await asyncio.sleep(9.0)

        self.check(scenario, cold_s=9.0)

    def test_all_routers_are_cut_off_from_each_other(self):
        """Guards against parts that are small, but add up over twenty-eight routers."""

        async def scenario(fleet):
            await start_pressed(fleet)
            for name in list(fleet.nodes):
                fleet.cut(name)
            await asyncio.sleep(3.0)
            fleet.return_cold()
            await asyncio.sleep(9.0)

        self.check(scenario, cold_s=9.0)

    def test_a_router_without_the_store_or_the_others_does_not_know(self):
        """Guards against one unaware router beside the permits of all others."""

        async def scenario(fleet):
            fleet.offer(0.15)
            await asyncio.sleep(6.0)
            fleet.cut("r5")
            fleet.nodes["r5"].reads_store = False
            fleet.engines["e0"].become_cold(6.0)
            await asyncio.sleep(1.5)
            for name, node in fleet.nodes.items():
                if name != "r5":
                    node.start_task(node.keep_calling(PRESSING, 1_000.0))
            await asyncio.sleep(5.0)

        self.check(scenario)

    def test_an_issuer_learns_from_those_that_ask_it(self):
        """Guards against an issuer that grants all asks, as it heard of nothing."""

        async def scenario(fleet):
            fleet.offer(0.25)
            await asyncio.sleep(6.0)
            fleet.is_mute = True
            issuer = fleet.find_issuer()
            fleet.nodes[issuer].reads_store = False
            fleet.engines["e0"].become_cold(6.0)
            await asyncio.sleep(2.0)
            for name, node in fleet.nodes.items():
                if name != issuer:
                    node.start_task(node.keep_calling(40.0, 1_000.0))
            await asyncio.sleep(4.0)

        self.check(scenario, size=3)

    def test_engines_return_while_no_entry_can_be_read(self):
        """Guards against an outage of the store beside a failure domain's return."""

        async def scenario(fleet):
            fleet.offer(0.25)
            await asyncio.sleep(6.0)
            for node in fleet.nodes.values():
                node.reads_store = False
            fleet.go_dark()
            fleet.offer(PRESSING)
            await asyncio.sleep(2.5)
            for engine in fleet.engines.values():
                engine.up = True
                engine.become_cold(3.0)
            await asyncio.sleep(4.0)

        fleet = self.check(scenario, engines=4)
        self.assertGreater(sum(len(e.arrivals) for e in fleet.engines.values()), 0)

    def test_two_halves_are_cut_for_longer_than_a_minute(self):
        """Guards against halves that forget each other and use the whole rate each."""

        async def scenario(fleet):
            await start_pressed(fleet, 1.0)
            fleet.isolate_half()
            await asyncio.sleep(70.0)
            fleet.offer(PRESSING)
            fleet.return_cold()
            await asyncio.sleep(6.0)
            fleet.cuts.clear()
            await asyncio.sleep(6.0)

        self.check(scenario, cold_s=12.0)


class PermitAgeTest(ColdCase):
    def test_permits_do_not_bunch_up_behind_slow_connections(self):
        """Guards against permits of some seconds that are used within one."""

        async def scenario(fleet):
            await start_pressed(fleet)
            fleet.return_cold()
            await asyncio.sleep(3.0)
            fleet.stalled_until = fleet.now() + 4.0
            await asyncio.sleep(5.5)

        self.check(scenario, cold_s=9.0)


class RandomCourseTest(unittest.TestCase):
    def test_no_course_of_failures_breaks_the_bound(self):
        """Guards against failures that come together."""
        for seed in COURSE_SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(run_course(seed).count_most(), BOUND)

    def test_no_failure_amid_a_return_breaks_the_bound(self):
        """Guards against routers that start, stall or part as engines return."""
        for seed in AMID_SEEDS:
            with self.subTest(seed=seed):
                self.assertLessEqual(run_amid_course(seed).count_most(), BOUND)


if __name__ == "__main__":
    unittest.main()
