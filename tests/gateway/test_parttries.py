"""How one request with a suspect part waits for its try."""

import unittest
from types import SimpleNamespace

from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.partrecord import PartCrash
from anvilshift.gateway.parttries import PartTry
from anvilshift.standins.virtual import VirtualClock, run_virtual
from tests.gateway.partrouter import SCOPE, PartRouter


class Tries:
    """Answers asks as told, and notes them.

    Attributes
    ----------
    granted
        Answers to the next asks; the last one is given from then on.
    """

    def __init__(self, *granted):
        self.granted = list(granted)
        self.asked, self.ended = [], []

    async def ask(self, wanted):
        self.asked.append(wanted)
        return self.granted.pop(0) if len(self.granted) > 1 else self.granted[0]

    def start(self, granted):
        self.running = granted

    def end(self, granted, crashed=""):
        self.ended.append((granted.run, crashed))


class PartTryTest(unittest.TestCase):
    def run_scenario(self, scenario, *granted):
        async def run():
            self.clock = VirtualClock()
            self.router = PartRouter(self.clock)
            self.tries = Tries(*granted)
            runs = iter(f"r1.x/{n}" for n in range(100))
            shared = SimpleNamespace(
                parts=self.router.watch,
                tries=self.tries,
                clock=self.clock,
                next_run=lambda: next(runs),
            )
            info = self.router.declare("e1")
            self.choice = SimpleNamespace(target=SimpleNamespace(info=info))
            chooser = SimpleNamespace(choose_spare=lambda failed: self.choice)
            routed = self.router.route("a", "bad")
            routed.end = 10_000.0
            self.part_try = PartTry(shared, routed, chooser)
            self.crash(1)
            await scenario()

        run_virtual(run())

    def crash(self, number, tried=False):
        crash = PartCrash(f"e{number}/1", number * 1_000.0, tried)
        self.router.watch.blame.record_crash(SCOPE, ["bad"], crash)

    def test_request_without_a_suspect_part_is_sent_as_ever(self):
        async def scenario():
            self.router.watch.blame.record_answer(SCOPE, ["bad"], 2_000.0)
            self.assertIsNone(await self.part_try.admit(set()))
            self.assertEqual(self.tries.asked, [])

        self.run_scenario(scenario, True)

    def test_request_asks_for_the_same_try_until_it_is_granted(self):
        """Guards against a place held by a try whose grant came too late."""

        async def scenario():
            self.assertIs(await self.part_try.admit(set()), self.choice)
            self.assertEqual(len(self.tries.asked), 3)
            self.assertEqual({one.run for one in self.tries.asked}, {"r1.x/0"})
            self.part_try.end("e1/1")
            self.assertEqual(self.tries.ended, [("r1.x/0", "e1/1")])

        self.run_scenario(scenario, False, False, True)

    def test_second_attempt_of_a_request_is_another_try(self):
        async def scenario():
            await self.part_try.admit(set())
            self.part_try.end()
            await self.part_try.admit(set())
            runs = [one.run for one in self.tries.asked]
            self.assertEqual(runs, ["r1.x/0", "r1.x/1"])

        self.run_scenario(scenario, True)

    def test_request_that_gets_no_try_is_told_so_after_two_seconds(self):
        async def scenario():
            with self.assertRaises(AnvilshiftError) as caught:
                await self.part_try.admit(set())
            self.assertEqual(caught.exception.code.number, 3001)
            self.assertIn(round(self.clock.now()), range(1_900, 2_200))
            self.assertFalse(self.part_try.is_granted)

        self.run_scenario(scenario, False)

    def test_waiting_request_is_refused_once_its_part_is_proven(self):
        """Guards against a try granted by a router that doesn't know the proof."""

        async def scenario():
            for number in range(2, 5):
                self.crash(number, tried=True)
            with self.assertRaises(AnvilshiftError) as caught:
                await self.part_try.admit(set())
            self.assertEqual(caught.exception.code.number, 3003)

        self.run_scenario(scenario, True)
