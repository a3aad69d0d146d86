import unittest
from dataclasses import replace

from anvilshift.core.duties.storereaders import ReaderCandidate
from anvilshift.core.duties.storetries import find_turns, list_returned

PERIOD = 2_900.0
CALL_TIME = 1_000.0


def make_fleet(routers: int, domains: int = 1) -> list[ReaderCandidate]:
    return [ReaderCandidate(f"r{n}", f"d{n % domains}", False) for n in range(routers)]


class TurnTest(unittest.TestCase):
    def test_turns_of_a_domain_are_spread_over_a_period(self):
        """Guards against routers that all try at the same moment."""
        fleet = make_fleet(84, domains=3)
        near = [one for one in fleet if one.failure_domain == "d1"]
        firsts = sorted(find_turns(fleet, one, PERIOD).first for one in near)
        gaps = [
            later - first
            for first, later in zip([0.0, *firsts[:-1]], firsts, strict=True)
        ]
        self.assertAlmostEqual(max(gaps), (PERIOD - CALL_TIME) / 28)
        self.assertAlmostEqual(firsts[-1], PERIOD - CALL_TIME)

    def test_no_turn_is_later_than_a_period_after_the_store_was_out_of_reach(self):
        """Guards against a router that alone is answered and doesn't notice."""
        for routers in (9, 12, 28, 91):
            fleet = make_fleet(routers)
            for one in fleet:
                turns = find_turns(fleet, one, PERIOD)
                first = turns.find_due(0.0, CALL_TIME, 1, False)
                self.assertLessEqual(first, PERIOD)
                self.assertEqual(turns.find_due(0.0, CALL_TIME, 2, False), PERIOD)

    def test_routers_of_small_fleets_and_domains_take_no_turns(self):
        for fleet in (make_fleet(8), make_fleet(10, domains=5)):
            self.assertIsNone(find_turns(fleet, fleet[0], PERIOD))

    def test_what_has_a_probe_is_tried_more_rarely_while_that_fails(self):
        """Guards against calls that tell no more than the probe's, and against none."""
        fleet = make_fleet(12)
        turns = find_turns(fleet, fleet[0], PERIOD)
        self.assertEqual(turns.find_due(0.0, 0.0, 1, True), 3 * PERIOD)

    def test_only_a_router_that_was_out_of_reach_has_returned(self):
        """Guards against calls for a router that hasn't noticed the outage yet."""
        fleet = [replace(one, reaches_store=True) for one in make_fleet(3)]
        self.assertEqual(list_returned(fleet, {"r0", "r1", "r2"}), set())
        self.assertEqual(list_returned(fleet, {"r0", "r2"}), {"r1"})


if __name__ == "__main__":
    unittest.main()
