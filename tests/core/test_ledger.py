"""Tests that the ledger counts every token once when messages are lost or repeated."""

import unittest
from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from anvilshift.core.ledger import (
    MAX_MARKS,
    Bill,
    BillState,
    Commit,
    Draw,
    Ledger,
)


def make_ledger(tokens: int = 1_000) -> Ledger:
    return Ledger().top_up("pounds", "invoice", tokens)


def draw(ledger: Ledger, holder: str, want: int, allowance: int = 0) -> Ledger:
    commit = Commit(holder, draws={"pounds": Draw(want, allowance)})
    return ledger.apply(commit)[0]


def bill(key: str, tokens: int, holder: str = "r1") -> tuple[str, Bill]:
    return "pounds", Bill(key, "kosice", tokens, holder)


class LedgerTest(unittest.TestCase):
    def test_draws_never_exceed_the_budget(self):
        ledger = draw(draw(make_ledger(), "r1", 700), "r2", 700)
        account = ledger.account("pounds")
        self.assertEqual(account.grants["r2"].held, 300)
        self.assertEqual(account.free, 0)

    def test_bill_recorded_twice_is_recorded_once(self):
        """Guards against billing a request twice when a commit is repeated.

        The commit took effect, but its response was lost, so it is sent again.
        """
        commit = Commit("r1", (bill("k", 100),))
        once, _ = draw(make_ledger(), "r1", 500).apply(commit)
        twice, outcome = once.apply(commit)
        self.assertEqual(twice.account("pounds").spent, 100)
        self.assertEqual(outcome.bills["pounds", "k"], BillState.RECORDED)

    def test_second_router_does_not_bill_the_same_request(self):
        """Guards against billing a request again after its router failed.

        The router failed after its bill was recorded but before the answer ended;
        the caller repeats the request through another router.
        """
        ledger = draw(draw(make_ledger(), "r1", 300), "r2", 300)
        ledger, _ = ledger.apply(Commit("r1", (bill("k", 100),)))
        ledger, outcome = ledger.apply(Commit("r2", (bill("k", 120, "r2"),)))
        self.assertEqual(outcome.bills["pounds", "k"], BillState.DUPLICATE)
        self.assertEqual(ledger.account("pounds").spent, 100)

    def test_sealed_holder_cannot_bill_or_draw(self):
        """Guards against commits of a router that resumes after it was sealed.

        The router was paused beyond its lease and still has pending bills.  All of
        its tokens but the allowance are free for others by then.
        """
        ledger = draw(make_ledger(), "r1", 600, allowance=100).seal("r1")
        self.assertEqual(ledger.account("pounds").free, 900)
        after, outcome = ledger.apply(Commit("r1", (bill("k", 50),)))
        self.assertTrue(outcome.sealed)
        self.assertEqual(after, ledger)

    def test_late_bills_take_only_what_is_in_doubt(self):
        ledger = draw(make_ledger(), "r1", 600, allowance=100).seal("r1")
        ledger, states = ledger.submit_late_bills("r1", (bill("a", 80), bill("b", 30)))
        self.assertEqual(states["pounds", "a"], BillState.RECORDED)
        self.assertEqual(states["pounds", "b"], BillState.REFUSED)
        account = ledger.account("pounds")
        self.assertEqual((account.spent, account.doubt, account.free), (80, 20, 900))

    def test_cushions_are_limited_to_a_share_and_needs_are_met(self):
        ledger = make_ledger()
        for holder, held in (("r1", 500), ("r2", 166), ("r3", 83)):
            commit = Commit(holder, draws={"pounds": Draw(700, 0, need=0)})
            ledger, outcome = ledger.apply(commit)
            self.assertEqual(outcome.grants["pounds"].held, held)
        commit = Commit("r4", draws={"pounds": Draw(700, 0, need=240)})
        self.assertEqual(ledger.apply(commit)[1].grants["pounds"].held, 242)

    def test_forgotten_holder_stays_sealed(self):
        """Guards against a removed holder that resumes and spends its old tokens.

        Thousands of routers are replaced a day, so sealed holders are removed to
        keep the ledger small.  A router paused meanwhile still counts on tokens
        that others have drawn.
        """
        ledger = draw(make_ledger(), "r1", 600).seal("r1").forget(0, holders_before=9)
        self.assertEqual(ledger.holders, {})
        self.assertEqual(ledger.account("pounds").grants, {})
        again = Commit("r1", (bill("k", 50),), joined=True)
        self.assertTrue(ledger.apply(again)[1].sealed)

    def test_bill_is_recorded_once_after_its_mark_is_forgotten(self):
        """Guards against billing a request again after its mark was dropped.

        A router is disconnected during a commit, which takes effect while its
        response is lost, and reconnects minutes later when the marks of that time
        are dropped.  Neither its commit nor a submission after sealing may bill the
        request again.
        """
        ledger = draw(make_ledger(), "r1", 500, allowance=100)
        one = bill("k", 60)
        ledger, _ = ledger.apply(Commit("r1", (one,), joined=True, number=1))
        ledger = ledger.forget(10_000, 0)
        self.assertIsNone(ledger.account("pounds").find(one[1]))
        again = Commit("r1", (one,), joined=True, number=2)
        after, outcome = ledger.apply(again)
        self.assertEqual(outcome.bills["pounds", "k"], BillState.RECORDED)
        self.assertEqual(after.account("pounds").spent, 60)
        sealed, states = ledger.seal("r1").submit_late_bills(
            "r1", (one,), attested_by="r1"
        )
        self.assertEqual(states["pounds", "k"], BillState.RECORDED)
        self.assertEqual(sealed.account("pounds").spent, 60)

    def test_only_the_witness_frees_the_remaining_doubt(self):
        commit = Commit("r1", draws={"pounds": Draw(600, 100, witness="r2")})
        ledger = make_ledger().apply(commit)[0].seal("r1")
        copies = (bill("a", 30),)
        kept, _ = ledger.submit_late_bills("r1", copies, attested_by="r3")
        self.assertEqual(kept.account("pounds").doubt, 70)
        closed, _ = ledger.submit_late_bills("r1", copies, attested_by="r2")
        account = closed.account("pounds")
        self.assertEqual((account.spent, account.doubt, account.free), (30, 0, 970))

    def test_closing_twice_returns_tokens_once(self):
        ledger = draw(make_ledger(), "r1", 600, allowance=100)
        draws = {"pounds": Draw(0, 0)}
        commit = Commit("r1", (bill("k", 50),), draws, joined=True, closing=True)
        ledger, _ = ledger.apply(commit)
        again, outcome = ledger.apply(commit)
        self.assertTrue(outcome.sealed)
        self.assertEqual((again.account("pounds").free, again.holders), (950, {}))

    def test_marks_stay_within_the_size_limit(self):
        """Guards against a ledger too large to write, which blocks all its budgets."""
        ledger = draw(make_ledger(), "r1", 600)
        slots = {str(n): {"r1": "x" * (MAX_MARKS // 4)} for n in range(1, 6)}
        account = replace(ledger.account("pounds"), recent=slots)
        ledger = replace(ledger, accounts={"pounds": account})
        ledger = ledger.apply(Commit("r1", (bill("k", 5),)))[0].forget(0, 0)
        self.assertEqual(sorted(ledger.account("pounds").recent), ["2", "3", "4", "5"])

    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["draw", "bill", "seal", "submit_late_bills", "topup"]),
                st.sampled_from(["r1", "r2", "r3"]),
                st.integers(0, 9),
                st.integers(0, 400),
            ),
            max_size=40,
        )
    )
    def test_no_sequence_of_operations_overspends(self, steps):
        ledger = make_ledger()
        for kind, holder, key, tokens in steps:
            one = (bill(f"k{key}", tokens, holder),)
            if kind == "draw":
                ledger = draw(ledger, holder, tokens, allowance=key * 10)
            elif kind == "bill":
                ledger, _ = ledger.apply(Commit(holder, one))
            elif kind == "seal":
                ledger = ledger.seal(holder)
            elif kind == "submit_late_bills":
                ledger, _ = ledger.submit_late_bills(holder, one)
            else:
                ledger = ledger.top_up("pounds", f"i{key}", tokens)
            account = ledger.account("pounds")
            kept = account.spent + account.held + account.doubt + account.free
            self.assertEqual(kept, account.total)
            self.assertGreaterEqual(account.free, 0)
