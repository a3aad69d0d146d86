import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.allotments import (
    Allotment,
    Allotments,
    Share,
    ShareRequest,
    Totals,
)
from anvilshift.core.usage import SpendingBounds

POUNDS = "pounds"


def grant(
    allotments: Allotments, holder: str, ceiling: int, spent: int = 0, **rest: int
) -> Allotments:
    totals = Totals(rest.get("version", 1), {POUNDS: rest.get("total", 1_000)})
    request = ShareRequest(ceiling, rest.get("least", spent), spent)
    return allotments.grant(holder, {POUNDS: request}, totals)


class AllotmentsTest(unittest.TestCase):
    def test_needed_tokens_are_granted_before_the_cushion(self):
        found = grant(Allotments(), "r1", ceiling=900, least=700)
        # 700 are needed; the cushion may take half of the 300 that stay free.
        self.assertEqual(found.ceiling(POUNDS, "r1"), 850)

    def test_ceilings_never_exceed_the_total(self):
        found = grant(Allotments(), "r1", ceiling=1_000, least=800)
        found = grant(found, "r2", ceiling=1_000, least=800)
        self.assertEqual(found.of(POUNDS).free, 0)
        self.assertEqual(found.ceiling(POUNDS, "r2"), 100)

    def test_a_lower_ceiling_returns_only_unspent_tokens(self):
        found = grant(Allotments(), "r1", ceiling=500, least=500)
        found = grant(found, "r1", ceiling=100, spent=300)
        self.assertEqual(found.of(POUNDS).shares["r1"], Share(300, 300))

    def test_an_old_configuration_does_not_restore_a_reduced_total(self):
        """An operator reduces a total from 1,000 to 200.

        One router has the new configuration and writes.  Another, disconnected from
        the operator, still has the old total and requests more.  If the old total
        were used, the organisation would spend five times its total.
        """
        found = grant(Allotments(), "r1", 100, least=100, version=2, total=200)
        found = grant(found, "r2", 900, least=900, version=1, total=1_000)
        self.assertEqual(found.of(POUNDS).total, 200)
        self.assertEqual(found.ceiling(POUNDS, "r2"), 100)

    def test_a_total_below_the_ceilings_withdraws_unspent_tokens(self):
        found = grant(Allotments(), "r1", ceiling=500, least=500)
        found = grant(found, "r2", ceiling=500, least=500)
        found = grant(found, "r1", ceiling=500, spent=100, version=2, total=600)
        # The ceilings exceed the total by 400; the first holder that writes returns
        # 400 of its 500.
        self.assertEqual(found.ceiling(POUNDS, "r1"), 100)
        self.assertEqual(found.of(POUNDS).free, 0)

    def test_the_whole_ceiling_of_a_killed_holder_counts_as_spent(self):
        found = grant(Allotments(), "r1", ceiling=400, least=400)
        found = grant(found, "r1", ceiling=400, spent=150).end("r1")
        self.assertEqual(found.of(POUNDS).closed, 400)
        self.assertEqual(found.of(POUNDS).doubt, 250)
        self.assertEqual(found.of(POUNDS).spent_at_least(), 150)

    def test_a_holder_that_reports_its_spending_leaves_no_doubt(self):
        found = grant(Allotments(), "r1", ceiling=400, least=400)
        found = found.end("r1", {POUNDS: SpendingBounds(150, 150)})
        self.assertEqual(found.of(POUNDS), Allotment(1_000, 1, 150, 0, {}))

    def test_ending_a_holder_twice_counts_it_once(self):
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
    def test_no_sequence_of_grants_and_ends_exceeds_the_total(self, steps):
        found, spent = Allotments(), {"r1": 0, "r2": 0, "r3": 0}
        ended_spent = 0
        for holder, ceiling, use, ends in steps:
            found = grant(found, holder, ceiling, spent[holder], least=ceiling)
            own = found.ceiling(POUNDS, holder)
            spent[holder] = max(spent[holder], min(use, own))
            if ends:
                found = found.end(holder)
                ended_spent += spent[holder]
                spent[holder] = 0
            self.assertGreaterEqual(found.of(POUNDS).free, 0)
            self.assertLessEqual(ended_spent + sum(spent.values()), 1_000)
