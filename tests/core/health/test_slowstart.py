import random
import unittest

from anvilshift.core.health.slowstart import Outcome, SlowStart, find_rank, judge_answer
from tests.core.health.slowstartfleet import SlowStartFleet

MOST = 1.25
OPENING = 3_000.0


class FleetTest(unittest.TestCase):
    def test_target_that_answers_as_others_do_is_open_within_three_seconds(self):
        """Guards against a sound target that is left idle after its return."""
        for work in (20.0, 150.0, 600.0):
            for seed in range(5):
                fleet = SlowStartFleet(lambda now, w=work: w, seed=seed)
                fleet.run(until=5_000.0)
                with self.subTest(work=work, seed=seed):
                    self.assertIsNotNone(fleet.opened)
                    self.assertLessEqual(fleet.opened, OPENING)
                    self.assertLessEqual(fleet.most, 12 * MOST)
                    self.assertEqual((fleet.late, fleet.missed), (0, 0))

    def test_target_is_open_in_time_though_most_messages_are_lost(self):
        """Guards against routers that wait for answers of which nobody tells them."""
        for seed in range(5):
            fleet = SlowStartFleet(lambda now: 150.0, hears=0.5, seed=seed)
            fleet.run(until=5_000.0)
            self.assertLessEqual(fleet.opened or 9_999.0, OPENING)
            self.assertLessEqual(fleet.most, 12 * MOST)

    def test_target_that_never_becomes_fast_holds_few_requests(self):
        """Guards against deadlines missed at a target that doesn't recover."""
        fleet = SlowStartFleet(lambda now: 2_000.0)
        fleet.run(until=20_000.0)
        self.assertIsNone(fleet.opened)
        self.assertEqual(fleet.missed, 0)
        # Four at first; after they were late two, then one at a time.
        self.assertLessEqual(fleet.most, 4)
        self.assertLessEqual(fleet.ends, 4 + 20)

    def test_target_that_rejects_at_first_opens_when_it_takes_requests(self):
        """Guards against a target that is given up for its first moments."""
        fleet = SlowStartFleet(lambda now: 100.0, rejects=lambda now: now < 300.0)
        fleet.run(until=10_000.0)
        self.assertIsNotNone(fleet.opened)
        self.assertLessEqual(fleet.most, 12 * MOST)

    def test_target_without_any_answer_gets_no_more_than_at_first(self):
        """Guards against a flood for a target that accepts and never answers."""
        fleet = SlowStartFleet(lambda now: 1e9)
        fleet.run(until=60_000.0)
        self.assertIsNone(fleet.opened)
        self.assertEqual(fleet.most, 4)

    def test_target_whose_cache_is_empty_opens_as_its_answers_become_quick(self):
        """Guards against long prompts at once for a target without their prefixes."""
        fleet = SlowStartFleet(lambda now: 900.0 if now < 1_500.0 else 150.0)
        fleet.run(until=10_000.0)
        self.assertIsNotNone(fleet.opened)
        self.assertEqual(fleet.missed, 0)


class SlowStartTest(unittest.TestCase):
    def test_requests_together_never_exceed_slots_and_a_quarter(self):
        """Guards against routers whose views of the answers lie far apart."""
        rng = random.Random(1)
        for _ in range(300):
            slots, routers = rng.randint(1, 64), rng.randint(1, 60)
            names = [(f"r{n}", False) for n in range(routers)]
            total = 0
            for name, _ in names:
                pace = SlowStart.begin(slots, 0.0)
                for i in range(rng.randrange(0, 90)):
                    outcome = rng.choices(list(Outcome), (8, 1, 1, 1))[0]
                    pace.record(outcome, sent=float(i), now=float(i) + 0.5)
                total += pace.count_share(find_rank(name, names, "t"), routers)
            self.assertLessEqual(total, max(1, slots * MOST), (slots, routers))

    def test_requests_that_were_sent_before_a_closing_close_no_further(self):
        """Guards against one slow moment that closes a target four times."""
        pace = SlowStart.begin(12, 0.0)
        for _ in range(4):
            pace.record(Outcome.LATE, sent=1.0, now=900.0)
        self.assertEqual(pace.window, 2.0)

    def test_answers_to_requests_before_the_return_say_nothing(self):
        pace = SlowStart.begin(12, now=100.0)
        for outcome in Outcome:
            pace.record(outcome, sent=50.0, now=120.0)
        self.assertEqual(pace.window, 4.0)

    def test_target_that_flaps_begins_with_one_request(self):
        """Guards against four requests lost at each turn of a flapping target."""
        first = SlowStart.begin(12, 0.0)
        for n in range(11):
            first.record(Outcome.IN_TIME, sent=float(n), now=float(n))
        again = SlowStart.begin(12, 5_000.0, first)
        self.assertEqual(again.window, 1.0)
        later = SlowStart.begin(12, 90_000.0, again)
        self.assertEqual(later.window, 4.0)

    def test_small_target_isnt_open_before_it_has_answered(self):
        for slots in (1, 2, 3):
            pace = SlowStart.begin(slots, 0.0)
            self.assertFalse(pace.is_open(0.0))
            pace.record(Outcome.IN_TIME, sent=1.0, now=2.0)
            self.assertTrue(pace.is_open(2.0))

    def test_overload_of_all_targets_is_not_this_ones_fault(self):
        """Guards against returning targets that stay closed while all are full."""
        self.assertIs(judge_answer(2_000.0, 645.0, 1_900.0), Outcome.IN_TIME)


class RankTest(unittest.TestCase):
    def test_routers_near_the_target_come_first_and_targets_differ(self):
        """Guards against one router that probes all targets of a domain at once."""
        routers = [(f"r{n}", n < 10) for n in range(40)]
        firsts = set()
        for n in range(20):
            ranks = {name: find_rank(name, routers, f"t{n}") for name, _ in routers}
            self.assertEqual(sorted(ranks.values()), list(range(40)))
            self.assertEqual({r for r, rank in ranks.items() if rank < 10}, near(10))
            firsts |= {name for name, rank in ranks.items() if rank == 0}
        self.assertGreaterEqual(len(firsts), 5)


def near(count: int) -> set[str]:
    return {f"r{n}" for n in range(count)}


if __name__ == "__main__":
    unittest.main()
