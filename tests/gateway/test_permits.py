"""Limits that an engine names, kept by routers that lose messages, die and are cut."""

import asyncio
import unittest

from tests.gateway.permitfleet import SPAN_S, STABLE_S, play


def find_allowed(rate: float) -> float:
    """Return what the users' rule allows in a span."""
    return 1.5 * rate * SPAN_S + 5


class BoundTest(unittest.TestCase):
    def check_steady(self, size: int, rate: float, offered: float, seconds: float = 20):
        """Let many callers come, and a limit be named; return what was used of it."""

        async def course(fleet):
            fleet.offer(offered / size)
            await asyncio.sleep(5.0)
            fleet.engine.rate = rate
            named = fleet.now()
            await asyncio.sleep(seconds)
            return fleet, named

        fleet, named = play(course, size)
        most = fleet.engine.count_most(named + STABLE_S)
        self.assertLessEqual(most, find_allowed(rate))
        used = fleet.engine.count(named + 7.0, named + seconds)
        return used / (rate * (seconds - 7.0))

    def test_five_routers_keep_to_a_limit_together_and_use_it(self):
        for rate in (1.0, 1.6, 5.0, 20.0):
            with self.subTest(rate=rate):
                self.assertGreater(self.check_steady(5, rate, offered=60.0), 0.8)

    def test_a_limit_below_one_a_second_is_kept_and_used(self):
        for rate in (0.2, 0.5):
            with self.subTest(rate=rate):
                used = self.check_steady(5, rate, offered=30.0, seconds=60)
                self.assertGreater(used, 0.7)

    def test_thirty_two_routers_that_are_told_of_few_sends_keep_to_it(self):
        """Equal parts would be a request in half a minute each, and lie unused."""
        self.assertGreater(self.check_steady(32, 1.0, offered=64.0), 0.8)

    def test_a_single_router_keeps_to_it(self):
        self.assertGreater(self.check_steady(1, 2.0, offered=20.0), 0.8)


class FaultTest(unittest.TestCase):
    def play_faults(self, course, size: int = 5, rate: float = 2.0, loss: float = 0.0):
        """Play faults under a steady limit; return the fleet and when it was named."""

        async def whole(fleet):
            fleet.offer(40.0 / size)
            fleet.engine.rate = rate
            await asyncio.sleep(5.0)
            await course(fleet)
            return fleet

        fleet = play(whole, size, loss=loss)
        most = fleet.engine.count_most(STABLE_S)
        self.assertLessEqual(most, find_allowed(rate))
        return fleet

    def find_issuer(self, fleet) -> str:
        return next(iter(fleet.nodes.values())).limits.find_issuer("e1")

    def test_lost_datagrams_spend_no_permit_twice(self):
        async def course(fleet):
            await asyncio.sleep(20.0)

        fleet = self.play_faults(course, loss=0.2)
        self.assertGreater(fleet.engine.count(5.0, 25.0), 0.5 * 2.0 * 20)

    def test_the_issuer_is_killed_and_another_one_goes_on(self):
        async def course(fleet):
            for _ in range(4):
                issuer = self.find_issuer(fleet)
                fleet.kill(issuer)
                await asyncio.sleep(2.0)
                fleet.start(issuer)
                await asyncio.sleep(2.0)

        fleet = self.play_faults(course)
        self.assertGreater(fleet.engine.count(5.0, 21.0), 0.4 * 2.0 * 16)

    def test_an_issuer_that_was_frozen_spends_nothing_of_before(self):
        async def course(fleet):
            for _ in range(3):
                issuer = self.find_issuer(fleet)
                fleet.freeze(issuer)
                await asyncio.sleep(2.0)
                fleet.wake(issuer)
                await asyncio.sleep(3.0)

        self.play_faults(course)

    def test_both_sides_of_a_cut_together_keep_to_the_limit(self):
        """A router that is cut off from all others would issue all permits anew."""

        async def course(fleet):
            fleet.cut("r0")
            await asyncio.sleep(15.0)
            fleet.heal()
            await asyncio.sleep(5.0)

        for rate in (1.0, 8.0):
            with self.subTest(rate=rate):
                self.play_faults(course, rate=rate)

    def test_all_routers_restart_one_after_the_other(self):
        async def course(fleet):
            for name in sorted(fleet.nodes):
                fleet.kill(name)
                await asyncio.sleep(1.0)
                fleet.start(name)
                await asyncio.sleep(1.0)

        self.play_faults(course)

    def test_callers_that_leave_are_not_remembered_by_the_issuer(self):
        async def course(fleet):
            fleet.engine.rate = 1.0
            fleet.offer(10.0, patience=3_000.0)
            await asyncio.sleep(6.0)
            for node in fleet.nodes.values():
                for task in node.tasks[1:]:
                    task.cancel()
            await asyncio.sleep(3.0)
            return [len(node.permits._askers) for node in fleet.nodes.values()]

        self.assertEqual(play(course, 4), [0, 0, 0, 0])


class CourseTest(unittest.TestCase):
    def test_a_limit_that_falls_is_kept_soon(self):
        async def course(fleet):
            fleet.offer(8.0)
            fleet.engine.rate = 10.0
            await asyncio.sleep(8.0)
            fleet.engine.rate = 1.0
            fell = fleet.now()
            await asyncio.sleep(10.0)
            return fleet.engine.count_most(fell + SPAN_S + 1.0)

        self.assertLessEqual(play(course, 5), find_allowed(1.0))

    def test_an_ended_limit_lets_work_back_step_by_step(self):
        async def course(fleet):
            fleet.offer(8.0)
            fleet.engine.rate = 1.0
            await asyncio.sleep(8.0)
            fleet.engine.rate = None
            ended = fleet.now()
            await asyncio.sleep(12.0)
            engine = fleet.engine
            first = engine.count(ended, ended + 2.0)
            return first, engine.count(ended + 10.0, ended + 12.0)

        first, last = play(course, 5)
        self.assertLess(first, 16)
        self.assertGreater(last, 60)

    def test_an_engine_that_starts_anew_has_no_limit(self):
        async def course(fleet):
            fleet.offer(8.0)
            fleet.engine.rate = 1.0
            await asyncio.sleep(8.0)
            fleet.restart_engine()
            began = fleet.now()
            await asyncio.sleep(1.0)
            return fleet.engine.count(began, began + 1.0)

        self.assertGreater(play(course, 5), 25)

    def test_an_answer_from_before_the_naming_ends_no_limit(self):
        async def course(fleet):
            node = fleet.nodes["r0"]
            node.limits.note_answer("e1", 2.0, sent=0.0, identity="a")
            await asyncio.sleep(1.0)
            node.limits.note_answer("e1", None, sent=-50.0, identity="b")
            return node.loads.targets["e1"].limit.ended

        self.assertIsNone(play(course, 1))


class CallersTest(unittest.TestCase):
    def test_who_can_have_no_permit_in_time_is_refused_at_once(self):
        """Held until its deadline, a caller could go nowhere else."""

        async def course(fleet):
            fleet.engine.rate = 1.0
            fleet.offer(8.0, patience=2_000.0)
            await asyncio.sleep(20.0)
            return [span for node in fleet.nodes.values() for span in node.refused[20:]]

        spans = play(course, 5)
        self.assertGreater(len(spans), 100)
        quick = sum(span < 200.0 for span in spans)
        self.assertGreater(quick / len(spans), 0.9)

    def test_the_most_urgent_goes_first(self):
        async def course(fleet):
            await self.name_limit(fleet)
            calls = [
                fleet.nodes[f"r{n % 3}"].call(8_000.0, rank=rank)
                for n, rank in enumerate((7, 3, 1, 7, 3, 1))
            ]
            done = asyncio.gather(*calls)
            await asyncio.sleep(3.2)
            served = [r for node in fleet.nodes.values() for _, r in node.served]
            await done
            return served

        served = play(course, 3)
        self.assertEqual(sorted(served)[:2], [1, 1])
        self.assertNotIn(7, served)

    def test_an_organisation_with_few_requests_has_its_turn(self):
        async def course(fleet):
            await self.name_limit(fleet)
            loud = [fleet.nodes["r0"].call(9_000.0, "loud") for _ in range(12)]
            quiet = [fleet.nodes["r1"].call(9_000.0, "quiet") for _ in range(2)]
            answers = await asyncio.gather(*loud, *quiet)
            return answers[-2:]

        self.assertEqual(play(course, 3), [True, True])

    async def name_limit(self, fleet) -> None:
        fleet.engine.rate = 1.0
        for node in fleet.nodes.values():
            node.limits.note_answer("e1", 1.0, fleet.clock.now(), "id")
        await asyncio.sleep(1.0)
