"""The part that ends engines is found through several routers, and no other one."""

import itertools
import unittest

from anvilshift.core.clock import SECOND
from anvilshift.core.partblame import PartBlame, PartReport
from anvilshift.core.partrecord import PartCrash, PartKey
from tests.core.partfleet import MAX_ENDS, SCOPE, Fleet

MAX_LATE = 3


def crash(number: int, tried: bool = False, at: float | None = None) -> PartCrash:
    return PartCrash(f"e{number}/1", number * SECOND if at is None else at, tried)


class PartBlameTest(unittest.TestCase):
    def setUp(self):
        self.blame = PartBlame()

    def record(self, parts, *crashes):
        for one in crashes:
            self.blame.record_crash(SCOPE, parts, one)

    def is_refused(self, *parts, at=5.0):
        return self.blame.is_refused(SCOPE, parts, at * SECOND)

    def list_suspects(self, *parts, at=5.0):
        return self.blame.list_suspects(SCOPE, parts, at * SECOND)

    def prove(self, *parts):
        self.record(parts, *(crash(n, n == 4) for n in range(1, 5)))

    def report(self, part, *crashes, companions=()):
        return PartReport(PartKey(SCOPE, part), crashes, frozenset(companions))

    def test_part_is_refused_after_four_engines_of_which_a_try_ended_one(self):
        self.record(["bad"], crash(1), crash(2), crash(3, True))
        self.assertFalse(self.is_refused("bad"))
        self.record(["bad"], crash(4))
        self.assertTrue(self.is_refused("bad"))

    def test_part_is_not_refused_without_a_try(self):
        """Guards against a sound part refused because it was there by chance."""
        self.record(["rare"], *(crash(n) for n in range(1, 9)))
        self.assertFalse(self.is_refused("rare", at=9.0))

    def test_part_on_engines_that_ended_together_is_not_refused(self):
        """Guards against a sound part refused because a failure domain was lost."""
        together = (crash(n, at=SECOND + 10.0 * n) for n in range(8))
        self.record(["rare"], *together, crash(9, True))
        self.assertFalse(self.is_refused("rare", at=10.0))

    def test_part_needs_one_crash_more_where_engines_end_without_it(self):
        """Guards against a sound part refused as kills end its tries."""
        for number in range(10, 13):
            self.record(["other"], crash(number, at=SECOND))
        self.prove("rare")
        self.assertFalse(self.is_refused("rare"))
        self.record(["rare"], crash(5, True))
        self.assertTrue(self.is_refused("rare", at=6.0))

    def test_answered_parts_beside_a_bad_one_are_blamed_for_its_first_crash_alone(self):
        """Guards against a hot part refused because two bad ones come with it."""
        self.blame.record_answer(SCOPE, ["hot"], 0.5)
        for number in range(1, 12):
            bad = "bad" if number % 2 else "worse"
            self.record(["hot", bad], crash(number, number > 2))
        self.assertTrue(self.is_refused("hot", "bad", at=12.0))
        self.assertTrue(self.is_refused("hot", "worse", at=12.0))
        self.assertFalse(self.is_refused("hot", at=12.0))

    def test_part_that_was_answered_before_is_not_suspect_after_one_crash(self):
        """Guards against the parts that all use being tried one at a time."""
        self.blame.record_answer(SCOPE, ["hot"], 0.5)
        self.record(["hot", "new"], crash(1))
        self.assertEqual(self.list_suspects("hot", "new"), ["new"])
        self.record(["hot"], crash(2))
        self.assertEqual(self.list_suspects("hot"), ["hot"])

    def test_answer_clears_a_part_of_all_that_came_before(self):
        self.prove("a")
        self.assertEqual(self.blame.record_answer(SCOPE, ["a"], 9_000.0), ["a"])
        self.assertFalse(self.is_refused("a", at=10.0))
        self.assertFalse(self.blame.merge(self.report("a", crash(4, True))))

    def test_parts_that_always_came_together_are_refused_only_together(self):
        """Guards against a sound part refused because it came with a bad one."""
        self.prove("bad", "beside")
        self.assertTrue(self.is_refused("bad", "beside"))
        self.assertFalse(self.is_refused("beside"))
        self.assertEqual(self.list_suspects("beside"), ["beside"])
        self.blame.record_answer(SCOPE, ["beside"], 6_000.0)
        self.assertTrue(self.is_refused("bad", at=7.0))

    def test_part_that_came_with_changing_ones_is_refused_alone(self):
        """Guards against one engine more for each part that came with a bad one."""
        for number in range(1, 5):
            parts = ["bad", f"beside {number}"]
            self.record(parts, crash(number, number == 4))
        self.assertTrue(self.is_refused("bad"))

    def test_proven_part_takes_its_crashes_off_the_others(self):
        """Guards against parts that stay suspect for the engines another one ended."""
        self.record(["stood by"], crash(1), crash(2), crash(3))
        self.prove("bad")
        self.assertEqual(self.list_suspects("stood by"), [])
        self.blame.merge(self.report("stood by", crash(1)))
        self.assertEqual(self.list_suspects("stood by"), [])

    def test_refused_part_is_tried_again_later_and_ever_later(self):
        """Guards against a part refused for good after chance had it refused once."""
        self.prove("a")
        self.assertTrue(self.is_refused("a", at=123.0))
        self.assertFalse(self.is_refused("a", at=125.0))
        self.assertEqual(self.list_suspects("a", at=125.0), ["a"])
        self.record(["a"], crash(6, True, at=130 * SECOND))
        self.assertTrue(self.is_refused("a", at=369.0))
        self.assertFalse(self.is_refused("a", at=371.0))

    def test_end_of_an_engine_that_lives_is_forgotten(self):
        """Guards against a part refused because a router was cut off from engines."""
        self.prove("a")
        self.blame.retract("e4/1")
        self.assertFalse(self.is_refused("a"))

    def test_model_of_another_name_reads_another_part(self):
        self.prove("a")
        self.assertFalse(self.blame.is_refused("llm/other", ["a"], 5 * SECOND))

    def test_reports_in_any_order_lead_to_the_same(self):
        crashes = [crash(n, n > 2) for n in range(1, 5)]
        for order in itertools.permutations(crashes):
            blame = PartBlame()
            for one in (*order, *order):
                blame.merge(self.report("a", one, companions={"a"}))
            self.assertTrue(blame.is_refused(SCOPE, ["a"], 9 * SECOND))

    def test_parts_that_callers_invent_take_no_place_of_a_proven_one(self):
        """Guards against a caller who makes routers forget the bad part."""
        self.prove("bad")
        for number in range(3_000):
            at = 10 * SECOND + number
            self.record([f"invented {number}"], crash(9, at=at))
        self.assertTrue(self.is_refused("bad", at=15.0))
        self.assertLessEqual(len(self.blame.list_keys(15 * SECOND, 10_000)), 1_000)


class FleetTest(unittest.TestCase):
    def play(self, seconds=25, bad_rate=4.0, bad=("bad",), seeds=25, **trouble):
        for seed in range(seeds):
            fleet = Fleet(seed, bad, **trouble)
            fleet.play(seconds, bad_rate)
            self.assertGreater(fleet.served_sound, 100)
            self.assertEqual(fleet.refused_sound, 0, f"seed {seed}")
            yield seed, fleet

    def check_ends(self, most=MAX_ENDS, **trouble):
        for seed, fleet in self.play(**trouble):
            for part in fleet.bad:
                ended = len(fleet.end_times[part])
                self.assertLessEqual(ended, most, f"seed {seed}, {part}")
                self.assertLessEqual(fleet.count_late(part), MAX_LATE, f"seed {seed}")

    def test_one_part_ends_five_engines_at_most(self):
        self.check_ends(bad_rate=5.0)
        self.check_ends(bad_rate=0.5, seconds=40)

    def test_each_of_two_parts_ends_five_engines_at_most(self):
        self.check_ends(bad=("bad", "worse"), bad_rate=5.0)

    def test_lost_messages_let_no_more_engines_end(self):
        self.check_ends(loss=0.05)

    def test_engines_that_end_for_other_reasons_let_no_more_engines_end(self):
        self.check_ends(kills=1.0)

    def test_routers_that_start_anew_let_no_more_engines_end(self):
        self.check_ends(restarts=0.5)

    def test_failure_domains_that_end_at_once_get_no_part_refused(self):
        """Guards against a part refused as it was on many engines of a domain."""
        for _, fleet in self.play(bad_rate=0.0, domains=0.5, seeds=60):
            self.assertEqual(fleet.refused_sound, 0)

    def test_no_part_is_refused_where_engines_end_for_other_reasons(self):
        """Guards against sound requests refused while engines are killed in series."""
        for _, fleet in self.play(bad_rate=0.0, kills=4.0, seeds=60):
            self.assertEqual(fleet.refused_sound, 0)

    def test_burst_ends_only_what_it_reached_at_once(self):
        for seed, fleet in self.play(bad_rate=30.0):
            self.assertLessEqual(fleet.count_late("bad"), MAX_LATE, f"seed {seed}")
