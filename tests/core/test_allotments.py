import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.allotments import Allotment, Allotments, Share, Totals, Wish
from anvilshift.core.usage import Spent

POUNDS = "pounds"


def grant(
    allotments: Allotments, holder: str, ceiling: int, spent: int = 0, **rest: int
) -> Allotments:
    totals = Totals(rest.get("version", 1), {POUNDS: rest.get("total", 1_000)})
    wish = Wish(ceiling, rest.get("least", spent), spent)
    return allotments.grant(holder, {POUNDS: wish}, totals)


class AllotmentsTest(unittest.TestCase):
    def test_what_requests_need_goes_before_the_cushion(self):
        found = grant(Allotments(), "r1", ceiling=900, least=700)
        # 700 are needed; of the 300 that stay free a cushion may take half.
        self.assertEqual(found.ceiling(POUNDS, "r1"), 850)

    def test_ceilings_never_exceed_the_total(self):
        found = grant(Allotments(), "r1", ceiling=1_000, least=800)
        found = grant(found, "r2", ceiling=1_000, least=800)
        self.assertEqual(found.of(POUNDS).free, 0)
        self.assertEqual(found.ceiling(POUNDS, "r2"), 100)

    def test_a_lower_wish_gives_tokens_back_but_not_what_is_spent(self):
        found = grant(Allotments(), "r1", ceiling=500, least=500)
        found = grant(found, "r1", ceiling=100, spent=300)
        self.assertEqual(found.of(POUNDS).shares["r1"], Share(300, 300))

    def test_a_router_with_an_old_configuration_hands_out_nothing_taken_back(self):
        """An operator cuts a total from 1,000 to 200.

        One router has the new configuration and writes; another, cut off from
        the operator, still knows the old total and asks for more.  If its old
        total counted, the organisation would spend five times what it has.
        """
        found = grant(Allotments(), "r1", 100, least=100, version=2, total=200)
        found = grant(found, "r2", 900, least=900, version=1, total=1_000)
        self.assertEqual(found.of(POUNDS).total, 200)
        self.assertEqual(found.ceiling(POUNDS, "r2"), 100)

    def test_a_total_cut_below_the_ceilings_takes_what_is_unspent(self):
        found = grant(Allotments(), "r1", ceiling=500, least=500)
        found = grant(found, "r2", ceiling=500, least=500)
        found = grant(found, "r1", ceiling=500, spent=100, version=2, total=600)
        # 400 too much are out; the first to write gives up 400 of its 500.
        self.assertEqual(found.ceiling(POUNDS, "r1"), 100)
        self.assertEqual(found.of(POUNDS).free, 0)

    def test_a_killed_holder_counts_whole_and_leaves_a_doubt(self):
        found = grant(Allotments(), "r1", ceiling=400, least=400)
        found = grant(found, "r1", ceiling=400, spent=150).end("r1")
        self.assertEqual(found.of(POUNDS).closed, 400)
        self.assertEqual(found.of(POUNDS).doubt, 250)
        self.assertEqual(found.of(POUNDS).spent_at_least(), 150)

    def test_a_holder_that_says_what_it_spent_leaves_no_doubt(self):
        found = grant(Allotments(), "r1", ceiling=400, least=400)
        found = found.end("r1", {POUNDS: Spent(150, 150)})
        self.assertEqual(found.of(POUNDS), Allotment(1_000, 1, 150, 0, {}))

    def test_ending_twice_counts_once(self):
        found = grant(Allotments(), "r1", ceiling=400, least=400).end("r1")
        self.assertEqual(found.end("r1", {POUNDS: 5}), found)

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["r1", "r2", "r3"]),
                st.integers(0, 1_200),
                st.integers(0, 1_200),
                st.booleans(),
            ),
            max_size=30,
        )
    )
    def test_no_course_of_grants_and_deaths_exceeds_the_total(self, steps):
        found, spent = Allotments(), {"r1": 0, "r2": 0, "r3": 0}
        dead_spent = 0
        for holder, ceiling, use, dies in steps:
            found = grant(found, holder, ceiling, spent[holder], least=ceiling)
            own = found.ceiling(POUNDS, holder)
            spent[holder] = max(spent[holder], min(use, own))
            if dies:
                found = found.end(holder)
                dead_spent += spent[holder]
                spent[holder] = 0
            self.assertGreaterEqual(found.of(POUNDS).free, 0)
            self.assertLessEqual(dead_spent + sum(spent.values()), 1_000)
