"""Home targets of contents, chosen by rendezvous hashing."""

import unittest

from anvilshift.core.homes import choose_homes, rank_targets

DOMAINS = {f"e{n}": ("north", "south", "east")[n % 3] for n in range(9)}
CONTENTS = [f"c{n}" for n in range(900)]


class HomesTest(unittest.TestCase):
    def test_new_target_changes_homes_only_where_it_becomes_one(self):
        """Guards against new homes for every content when one engine is added."""
        for size in range(2, 9):
            known = dict(list(DOMAINS.items())[:size])
            added = f"e{size}"
            extended = {**known, added: DOMAINS[added]}
            for content in CONTENTS:
                before = set(choose_homes(content, known))
                after = set(choose_homes(content, extended))
                if added not in after:
                    self.assertEqual(before, after)
                self.assertLessEqual(len(after - before), 1)

    def test_homes_are_distributed_evenly_over_the_targets(self):
        homes = [name for c in CONTENTS for name in choose_homes(c, DOMAINS)]
        counts = [homes.count(name) for name in DOMAINS]
        self.assertGreater(min(counts), 140)
        self.assertLess(max(counts), 260)

    def test_loss_of_a_failure_domain_leaves_nearly_all_contents_a_home(self):
        """Guards against refusing a ninth of the work while a domain is down."""
        homes = [choose_homes(c, DOMAINS) for c in CONTENTS]
        same = [h for h in homes if DOMAINS[h[0]] == DOMAINS[h[1]]]
        self.assertLess(len(same), 900 / 20)

    def test_single_target_is_the_only_home(self):
        self.assertEqual(choose_homes("c", {"e1": "north"}), ("e1",))

    def test_ranking_does_not_depend_on_the_order_of_the_targets(self):
        names = list(DOMAINS)
        ranked = rank_targets("c", names, most=9)
        self.assertEqual(ranked, rank_targets("c", reversed(names), most=9))
        self.assertEqual(sorted(ranked), names)


if __name__ == "__main__":
    unittest.main()
