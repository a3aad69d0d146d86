"""Which runs get a copy, where, and which go on from it."""

import random
import unittest
from dataclasses import replace

from anvilshift.core.health.coldtargets import ColdTerm
from anvilshift.core.streams.runcopies import (
    LIKELY_FOR,
    BrokenRun,
    CopyLimits,
    RunCopies,
)
from anvilshift.core.targetload import Prompt, TargetInfo, TargetLoad

PROMPT = Prompt((("a", 900),), 900, 100)
NEED = 1_000
CAPACITY = 10_000
LIMITS = CopyLimits(run_tokens=NEED, rate=NEED, all_targets=True)
INFO = TargetInfo("e1", "llm", "10.0.0.1:80", "north", 8, born=1, version="v1")


def make_target(number: int, **rest) -> TargetLoad:
    address = f"10.0.0.{number}:80"
    return TargetLoad(replace(INFO, name=f"e{number}", address=address, **rest))


class ChoiceTest(unittest.TestCase):
    def setUp(self):
        self.copies = RunCopies(LIMITS)
        self.source = make_target(1)
        self.rng = random.Random(7)

    def choose(self, *targets: TargetLoad, run: str = "r1", now: float = 0.0) -> str:
        chosen = self.copies.choose(
            run, PROMPT, self.source, targets, CAPACITY, now, self.rng
        )
        return chosen.info.name if chosen else ""

    def test_another_failure_domain_is_preferred(self):
        """Guards against a copy that the fault of one domain takes as well."""
        near, far = make_target(2), make_target(3, failure_domain="south")
        self.assertEqual(self.choose(near, far), "e3")

    def test_target_that_the_run_can_not_go_on_at_gets_no_copy(self):
        """Guards against copies that are paid for and can't be used."""
        cold, rests, full = make_target(2), make_target(2), make_target(2, slots=0)
        cold.set_cold(ColdTerm(until=9_000.0, rate=5.0))
        rests.paused_until = 100.0
        unknown = make_target(2)
        unknown.is_start_doubted = True
        same_host = TargetLoad(replace(INFO, name="e2", address="10.0.0.1:81"))
        leaving, other = make_target(2, leaving=True), make_target(2, version="v2")
        for one in (cold, rests, full, unknown, same_host, leaving, other):
            self.assertEqual(self.choose(one), "")
        self.assertEqual(self.copies.begun, 0)

    def test_copies_leave_half_of_the_memory_of_their_target(self):
        """Guards against copies that take the room of requests."""
        self.copies = RunCopies(replace(LIMITS, rate=1e9))
        target = make_target(2)
        given = [self.choose(target, run=f"r{n}") for n in range(9)]
        self.assertEqual(given.count("e2"), 5)
        self.copies.end("r0")
        self.assertEqual(self.choose(target, run="later"), "e2")

    def test_copied_tokens_stay_within_the_rate(self):
        """Guards against a bill for moved memory that nobody has agreed to."""
        target = make_target(2)
        for step in range(100):
            self.choose(target, run=f"r{step}", now=step * 100.0)
            self.copies.end(f"r{step}")
        self.assertLessEqual(self.copies.tokens, LIMITS.rate * 9.9 + NEED)
        self.assertGreaterEqual(self.copies.begun, 9)


class WantTest(unittest.TestCase):
    def wants(self, **limits) -> bool:
        copies = RunCopies(replace(LIMITS, **limits))
        return copies.wants(PROMPT, make_target(1), now=0.0)

    def test_run_gets_a_copy_within_the_limits_only(self):
        """Guards against copies that the operators haven't allowed."""
        self.assertTrue(self.wants())
        for limits in (
            {"run_tokens": NEED - 1},
            {"rate": 0.0},
            {"least_answer": 101},
            {"all_targets": False},
        ):
            self.assertFalse(self.wants(**limits), limits)
        self.assertFalse(RunCopies().wants(PROMPT, make_target(1), 0.0))

    def test_targets_that_flap_are_likely_to_end_for_a_while(self):
        """Guards against copies at sound targets, and none at those that flap."""
        copies = RunCopies(replace(LIMITS, all_targets=False))
        again = make_target(1, born=2)
        for info in (INFO, again.info):
            copies.unsteady.note_entry(info, now=0.0)
        self.assertTrue(copies.wants(PROMPT, again, now=1.0))
        self.assertFalse(copies.wants(PROMPT, make_target(2), now=1.0))
        self.assertFalse(copies.wants(PROMPT, again, now=LIKELY_FOR))

    def test_planned_restart_makes_no_target_unsteady(self):
        """Guards against copies for every run after a roll of the targets."""
        copies = RunCopies(replace(LIMITS, all_targets=False))
        again = make_target(1, born=2)
        for info in (INFO, replace(INFO, leaving=True), again.info):
            copies.unsteady.note_entry(info, now=0.0)
        self.assertFalse(copies.wants(PROMPT, again, now=1.0))


class ContinuationTest(unittest.TestCase):
    def test_run_goes_on_only_where_its_target_works_on_it_no_more(self):
        """Guards against one request that two targets work on."""
        broken = BrokenRun("7", True, True, has_ended=True, targets=1, most=1)
        self.assertTrue(broken.may_continue())
        for change in (
            {"last_id": None},
            {"is_lost": False},
            {"is_direct": False},
            {"has_ended": False},
            {"targets": 2},
        ):
            self.assertFalse(replace(broken, **change).may_continue(), change)
        self.assertTrue(replace(broken, has_ended=False, most=2).may_continue())


if __name__ == "__main__":
    unittest.main()
