import random
import unittest

from anvilshift.core.usage import RELEASE_TIME, Use

_DRAWS = 3_000


def draw_use(rng: random.Random) -> Use:
    """Return a record whose tokens may be few and whose hold may be odd."""
    recorded, at_once, more = (
        rng.randrange(10 ** rng.randrange(1, 8)) for _ in range(3)
    )
    return Use(recorded, at_once, at_once + more, hold=rng.choice(_HOLDS))


_HOLDS = (0.0, 1.0, 1_600.0, 7_999.0, RELEASE_TIME, 9_000.0)


class HeldRecordTest(unittest.TestCase):
    def setUp(self):
        self.rng = random.Random(1)

    def test_successor_never_counts_less_than_what_could_be_spent(self):
        """Guards against overspending: a bound on the time is never too short."""
        for _ in range(_DRAWS):
            use = draw_use(self.rng)
            times = sorted(self.rng.uniform(0.0, 12_000.0) for _ in range(2))
            spent, counted = map(use.find_limit, times)
            self.assertLessEqual(spent, counted)

    def test_older_build_bounds_a_held_record_by_no_less(self):
        """Guards against overspending while two builds run: one ignores the field."""
        for _ in range(_DRAWS):
            held, elapsed = draw_use(self.rng), self.rng.uniform(0.0, 12_000.0)
            ignored = Use(held.recorded, held.at_once, held.cushion)
            self.assertLessEqual(held.find_limit(elapsed), ignored.find_limit(elapsed))

    def test_wait_ends_when_the_record_allows_the_tokens(self):
        for _ in range(_DRAWS):
            beyond = self.rng.randrange(1, 10_000)
            hold = self.rng.uniform(0.0, 6_000.0)
            use = Use(1_000, 0, 10_000, hold=hold)
            wait = use.find_wait(1_000 + beyond, 0.0)
            self.assertGreaterEqual(use.find_limit(wait + 1.0), 1_000 + beyond)
            self.assertLessEqual(use.find_limit(wait - 1.0), 1_000 + beyond)
