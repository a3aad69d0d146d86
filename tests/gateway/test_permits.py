"""Routers respect an engine's rate limit despite lost messages, crashes and cuts."""

import asyncio
import unittest

from tests.gateway.permitfleet import SPAN_S, STABLE_S, run_scenario


def find_allowed(rate: float) -> float:
    """Return the most requests in a span that the specified bound allows."""
    return 1.5 * rate * SPAN_S + 5


class BoundTest(unittest.TestCase):
    def check_constant_limit(
        self, size: int, rate: float, offered: float, seconds: float = 20
    ):
        """Announce a limit under overload; return the fraction of it that was used."""

        async def scenario(fleet):
            fleet.offer(offered / size)
            await asyncio.sleep(5.0)
            fleet.engine.rate = rate
            announced_at = fleet.now()
            await asyncio.sleep(seconds)
            return fleet, announced_at

        fleet, announced_at = run_scenario(scenario, size)
        most = fleet.engine.count_most(announced_at + STABLE_S)
        self.assertLessEqual(most, find_allowed(rate))
        used = fleet.engine.count(announced_at + 7.0, announced_at + seconds)
        return used / (rate * (seconds - 7.0))

    def test_five_routers_together_respect_a_limit_and_use_it(self):
        for rate in (1.0, 1.6, 5.0, 20.0):
            with self.subTest(rate=rate):
                self.assertGreater(
                    self.check_constant_limit(5, rate, offered=60.0), 0.8
                )

    def test_a_limit_below_one_per_second_is_respected_and_used(self):
        for rate in (0.2, 0.5):
            with self.subTest(rate=rate):
                used = self.check_constant_limit(5, rate, offered=30.0, seconds=60)
                self.assertGreater(used, 0.7)

    def test_thirty_two_routers_that_hear_of_few_sends_respect_it(self):
        """Equal parts would be one request per half minute each and remain unused."""
        self.assertGreater(self.check_constant_limit(32, 1.0, offered=64.0), 0.8)

    def test_a_single_router_respects_it(self):
        self.assertGreater(self.check_constant_limit(1, 2.0, offered=20.0), 0.8)


class FaultTest(unittest.TestCase):
    def run_with_faults(
        self, scenario, size: int = 5, rate: float = 2.0, loss: float = 0.0
    ):
        """Run a scenario with faults under a constant limit; return the fleet."""

        async def run_overloaded(fleet):
            fleet.offer(40.0 / size)
            fleet.engine.rate = rate
            await asyncio.sleep(5.0)
            await scenario(fleet)
            return fleet

        fleet = run_scenario(run_overloaded, size, loss=loss)
        most = fleet.engine.count_most(STABLE_S)
        self.assertLessEqual(most, find_allowed(rate))
        return fleet

    def find_issuer(self, fleet) -> str:
        return next(iter(fleet.nodes.values())).limits.find_issuer("e1")

    def test_no_permit_is_used_twice_when_datagrams_are_lost(self):
        async def scenario(fleet):
            await asyncio.sleep(20.0)

        fleet = self.run_with_faults(scenario, loss=0.2)
        self.assertGreater(fleet.engine.count(5.0, 25.0), 0.5 * 2.0 * 20)

    def test_another_router_takes_over_from_a_killed_issuer(self):
        async def scenario(fleet):
            for _ in range(4):
                issuer = self.find_issuer(fleet)
                fleet.kill(issuer)
                await asyncio.sleep(2.0)
                fleet.start(issuer)
                await asyncio.sleep(2.0)

        fleet = self.run_with_faults(scenario)
        self.assertGreater(fleet.engine.count(5.0, 21.0), 0.4 * 2.0 * 16)

    def test_a_suspended_issuer_grants_no_permits_for_the_past(self):
        async def scenario(fleet):
            for _ in range(3):
                issuer = self.find_issuer(fleet)
                fleet.freeze(issuer)
                await asyncio.sleep(2.0)
                fleet.wake(issuer)
                await asyncio.sleep(3.0)

        self.run_with_faults(scenario)

    def test_both_sides_of_a_partition_together_respect_the_limit(self):
        """An isolated router would issue permits for the whole limit again."""

        async def scenario(fleet):
            fleet.cut("r0")
            await asyncio.sleep(15.0)
            fleet.heal()
            await asyncio.sleep(5.0)

        for rate in (1.0, 8.0):
            with self.subTest(rate=rate):
                self.run_with_faults(scenario, rate=rate)

    def test_a_rolling_restart_respects_the_limit(self):
        async def scenario(fleet):
            for name in sorted(fleet.nodes):
                fleet.kill(name)
                await asyncio.sleep(1.0)
                fleet.start(name)
                await asyncio.sleep(1.0)

        self.run_with_faults(scenario)

    def test_the_issuer_forgets_cancelled_requests(self):
        async def scenario(fleet):
            fleet.engine.rate = 1.0
            fleet.offer(10.0, patience=3_000.0)
            await asyncio.sleep(6.0)
            for node in fleet.nodes.values():
                for task in node.tasks[1:]:
                    task.cancel()
            await asyncio.sleep(3.0)
            return [len(node.permits._askers) for node in fleet.nodes.values()]

        self.assertEqual(run_scenario(scenario, 4), [0, 0, 0, 0])


class LimitChangeTest(unittest.TestCase):
    def test_a_reduced_limit_is_soon_respected(self):
        async def scenario(fleet):
            fleet.offer(8.0)
            fleet.engine.rate = 10.0
            await asyncio.sleep(8.0)
            fleet.engine.rate = 1.0
            reduced_at = fleet.now()
            await asyncio.sleep(10.0)
            return fleet.engine.count_most(reduced_at + SPAN_S + 1.0)

        self.assertLessEqual(run_scenario(scenario, 5), find_allowed(1.0))

    def test_load_returns_gradually_after_a_limit_ends(self):
        async def scenario(fleet):
            fleet.offer(8.0)
            fleet.engine.rate = 1.0
            await asyncio.sleep(8.0)
            fleet.engine.rate = None
            ended = fleet.now()
            await asyncio.sleep(12.0)
            engine = fleet.engine
            first = engine.count(ended, ended + 2.0)
            return first, engine.count(ended + 10.0, ended + 12.0)

        first, last = run_scenario(scenario, 5)
        self.assertLess(first, 16)
        self.assertGreater(last, 60)

    def test_a_restarted_engine_has_no_limit(self):
        async def scenario(fleet):
            fleet.offer(8.0)
            fleet.engine.rate = 1.0
            await asyncio.sleep(8.0)
            fleet.restart_engine()
            restarted_at = fleet.now()
            await asyncio.sleep(1.0)
            return fleet.engine.count(restarted_at, restarted_at + 1.0)

        self.assertGreater(run_scenario(scenario, 5), 25)

    def test_an_answer_older_than_the_limit_does_not_end_it(self):
        async def scenario(fleet):
            node = fleet.nodes["r0"]
            node.limits.apply_answer("e1", 2.0, sent=0.0, identity="a")
            await asyncio.sleep(1.0)
            node.limits.apply_answer("e1", None, sent=-50.0, identity="b")
            return node.loads.targets["e1"].limit.ended

        self.assertIsNone(run_scenario(scenario, 1))


class CallersTest(unittest.TestCase):
    def test_a_request_without_a_permit_in_time_is_refused_at_once(self):
        """A caller that waited until its deadline couldn't use another target."""

        async def scenario(fleet):
            fleet.engine.rate = 1.0
            fleet.offer(8.0, patience=2_000.0)
            await asyncio.sleep(20.0)
            return [span for node in fleet.nodes.values() for span in node.refused[20:]]

        spans = run_scenario(scenario, 5)
        self.assertGreater(len(spans), 100)
        quick = sum(span < 200.0 for span in spans)
        self.assertGreater(quick / len(spans), 0.9)

    def test_the_most_urgent_requests_are_sent_first(self):
        async def scenario(fleet):
            await self.announce_limit(fleet)
            calls = [
                fleet.nodes[f"r{n % 3}"].call(8_000.0, rank=rank)
                for n, rank in enumerate((7, 3, 1, 7, 3, 1))
            ]
            done = asyncio.gather(*calls)
            await asyncio.sleep(3.2)
            served = [r for node in fleet.nodes.values() for _, r in node.served]
            await done
            return served

        served = run_scenario(scenario, 3)
        self.assertEqual(sorted(served)[:2], [1, 1])
        self.assertNotIn(7, served)

    def test_an_organisation_with_few_requests_is_served(self):
        async def scenario(fleet):
            await self.announce_limit(fleet)
            loud = [fleet.nodes["r0"].call(9_000.0, "loud") for _ in range(12)]
            quiet = [fleet.nodes["r1"].call(9_000.0, "quiet") for _ in range(2)]
            answers = await asyncio.gather(*loud, *quiet)
            return answers[-2:]

        self.assertEqual(run_scenario(scenario, 3), [True, True])

    async def announce_limit(self, fleet) -> None:
        fleet.engine.rate = 1.0
        for node in fleet.nodes.values():
            node.limits.apply_answer("e1", 1.0, fleet.clock.now(), "id")
        await asyncio.sleep(1.0)
