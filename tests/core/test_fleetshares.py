import unittest

from anvilshift.core.fleetshares import MAX_AGE, FleetShares

WINDOW = 10_000.0
WAIT = MAX_AGE + WINDOW


def make_shares(*names: str, at: float = 0.0) -> FleetShares:
    shares = FleetShares("r1", WINDOW)
    for name in names:
        shares.add(name, at)
    return shares


class FleetSharesTest(unittest.TestCase):
    def test_a_router_that_joins_waits_until_all_others_count_it(self):
        """Guards against a share that others still use, or used in this window."""
        shares = make_shares("r1", "r2")
        shares.confirm(WAIT)
        self.assertIsNone(shares.count(WAIT - 1.0))
        self.assertEqual(shares.count(WAIT), 2)

    def test_a_router_without_a_record_has_no_share(self):
        shares = make_shares("r2", "r3")
        shares.confirm(10 * WAIT)
        self.assertIsNone(shares.count(10 * WAIT))

    def test_a_settled_router_that_starts_anew_waits_for_a_window(self):
        """Guards against a share that the former process used just before."""
        shares = FleetShares("r1", WINDOW)
        shares.add("r1", 0.0, settled=True)
        shares.confirm(WINDOW)
        self.assertIsNone(shares.count(WINDOW - 1.0))
        self.assertEqual(shares.count(WINDOW), 1)

    def test_knowledge_that_is_too_old_gives_no_share(self):
        """Guards against a router that is cut off and divides by an old number."""
        shares = make_shares("r1", "r2")
        shares.confirm(WAIT)
        self.assertEqual(shares.count(WAIT + MAX_AGE), 2)
        self.assertIsNone(shares.count(WAIT + MAX_AGE + 1.0))

    def test_a_new_router_is_counted_at_once(self):
        shares = make_shares("r1")
        shares.confirm(WAIT)
        shares.add("r2", WAIT)
        self.assertEqual(shares.count(WAIT), 2)

    def test_a_removed_router_is_counted_until_its_use_lies_outside(self):
        """Guards against a share divided anew while its router may still use it."""
        shares = make_shares("r1", "r2")
        shares.confirm(WAIT)
        shares.remove("r2", WAIT)
        shares.confirm(2 * WAIT)
        self.assertEqual(shares.count(2 * WAIT), 2)
        self.assertEqual(shares.count(2 * WAIT + 1.0), 1)

    def test_a_router_whose_record_was_removed_waits_again(self):
        """Guards against a router that was given up and goes on with its share."""
        shares = make_shares("r1", "r2")
        shares.confirm(WAIT)
        shares.remove("r1", WAIT)
        self.assertIsNone(shares.count(WAIT))
        shares.add("r1", WAIT + 100.0)
        shares.confirm(2 * WAIT + 100.0)
        self.assertIsNone(shares.count(2 * WAIT + 99.0))
        self.assertEqual(shares.count(2 * WAIT + 100.0), 2)

    def test_the_shares_of_any_fleet_add_up_to_at_most_the_whole(self):
        """Guards against a least share that a large fleet has many times over."""
        for size in (1, 5, 78, 2_200):
            with self.subTest(size=size):
                shares = make_shares("r1", *(f"r{n}" for n in range(2, size + 1)))
                shares.confirm(WAIT)
                self.assertLessEqual(size * (58.0 / shares.count(WAIT)), 58.0 + 1e-9)
