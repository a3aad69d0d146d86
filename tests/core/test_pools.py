"""The ranking of a pool's targets for a content."""

import unittest

from anvilshift.core.pools import Kind, Pool


def make_pool(count):
    return Pool({f"e{n}": 0 for n in range(count)}, Kind())


class OrderTest(unittest.TestCase):
    def test_ranking_contains_every_target_of_a_small_pool_once(self):
        """A ranking with repeated targets could leave a content no second target."""
        for count in range(1, 13):
            pool = make_pool(count)
            for n in range(50):
                names = pool.order(f"c{n}")
                self.assertEqual(sorted(names), sorted(f"e{n}" for n in range(count)))

    def test_contents_are_distributed_evenly_over_the_targets(self):
        pool = make_pool(9)
        first_ranked = [pool.order(f"c{n}")[0] for n in range(900)]
        second_ranked = [pool.order(f"c{n}")[1] for n in range(900)]
        for names in (first_ranked, second_ranked):
            counts = [names.count(f"e{n}") for n in range(9)]
            self.assertGreater(min(counts), 60)
            self.assertLess(max(counts), 140)

    def test_ranking_is_the_same_at_every_router(self):
        self.assertEqual(make_pool(9).order("c1"), make_pool(9).order("c1"))


if __name__ == "__main__":
    unittest.main()
