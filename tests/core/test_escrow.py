"""Tests of the tokens that a holder may spend without a call to the platform."""

import unittest

from anvilshift.core.errors import BUDGET_EXHAUSTED, BUDGET_UNREACHABLE
from anvilshift.core.escrow import Escrow
from anvilshift.core.ledger import Bill, BillState, Grant, Ledger


def make_holder_accounts(
    tokens: int = 1_000, allowance: int = 100
) -> tuple[Escrow, Ledger]:
    holder_accounts = Escrow("r1")
    holder_accounts.open("pounds", allowance, level=500)
    ledger = Ledger().top_up("pounds", "invoice", tokens)
    return holder_accounts, commit(holder_accounts, ledger)


def commit(holder_accounts: Escrow, ledger: Ledger) -> Ledger:
    request = holder_accounts.begin_commit()
    ledger, outcome = ledger.apply(request)
    holder_accounts.finish_commit(request, outcome)
    return ledger


class EscrowTest(unittest.TestCase):
    def test_reservations_never_exceed_the_grant(self):
        holder_accounts, _ = make_holder_accounts()
        self.assertTrue(holder_accounts.reserve("pounds", "a", 400))
        self.assertFalse(holder_accounts.reserve("pounds", "b", 101))
        self.assertTrue(holder_accounts.reserve("pounds", "c", 100))

    def test_shortage_is_drawn_with_the_next_commit(self):
        holder_accounts, ledger = make_holder_accounts()
        self.assertFalse(holder_accounts.reserve("pounds", "a", 800))
        commit(holder_accounts, ledger)
        self.assertTrue(holder_accounts.reserve("pounds", "a", 800))

    def test_early_release_stays_within_the_allowance(self):
        """Guards against releasing more than the allowance in a platform outage.

        Only the allowance stays in doubt when this router is sealed.  Tokens
        released beyond it would be given to another holder a second time.
        """
        holder_accounts, _ = make_holder_accounts(allowance=100)
        for key, tokens in (("a", 70), ("b", 40)):
            holder_accounts.reserve("pounds", key, tokens)
            holder_accounts.bill("pounds", Bill(key, "kosice", tokens, "r1"))
        self.assertTrue(holder_accounts.release_early("pounds", "a"))
        self.assertFalse(holder_accounts.release_early("pounds", "b"))

    def test_early_release_waits_while_the_witness_changes(self):
        """Guards against a retried release that the new witness has no copy of.

        The ledger may name the new witness already; closing the holder, it would free
        the tokens of an answer that ended with a copy elsewhere.
        """
        holder_accounts, ledger = make_holder_accounts(allowance=100)
        holder_accounts.reserve("pounds", "a", 70)
        holder_accounts.bill("pounds", Bill("a", "kosice", 70, "r1"))
        self.assertTrue(holder_accounts.release_early("pounds", "a"))
        holder_accounts.choose_witness("r2")
        self.assertFalse(holder_accounts.release_early("pounds", "a"))
        ledger.apply(holder_accounts.begin_commit())
        self.assertFalse(holder_accounts.release_early("pounds", "a"))

    def test_returned_tokens_are_unavailable_before_the_response(self):
        """Guards against spending returned tokens when the response is lost.

        Another router may draw them at once, so this one must stop counting on
        them before it knows whether the write took effect.
        """
        holder_accounts, ledger = make_holder_accounts()
        ledger, _ = ledger.apply(holder_accounts.give_back())
        self.assertEqual(ledger.account("pounds").free, 1_000)
        self.assertFalse(holder_accounts.reserve("pounds", "a", 1))

    def test_lowered_allowance_applies_when_the_response_is_lost(self):
        """Guards against releasing more than a lowered allowance.

        An operator lowers the allowance and raises it again; the ledger stores the
        lower one and the response is lost.  If the router used the old allowance, it
        would release more than sealing leaves in doubt, and the difference would be
        drawn a second time.
        """
        holder_accounts, ledger = make_holder_accounts(allowance=100)
        holder_accounts.open("pounds", 10, level=500)
        ledger, _ = ledger.apply(holder_accounts.begin_commit())
        holder_accounts.open("pounds", 100, level=500)
        holder_accounts.reserve("pounds", "a", 70)
        holder_accounts.bill("pounds", Bill("a", "kosice", 70, "r1"))
        self.assertFalse(holder_accounts.release_early("pounds", "a"))
        self.assertEqual(ledger.seal("r1").account("pounds").doubt, 10)

    def test_no_early_release_while_the_witness_changes(self):
        holder_accounts, ledger = make_holder_accounts(allowance=100)
        holder_accounts.choose_witness("r2-a")
        holder_accounts.reserve("pounds", "a", 70)
        holder_accounts.bill("pounds", Bill("a", "kosice", 70, "r1"))
        self.assertFalse(holder_accounts.release_early("pounds", "a"))
        ledger = commit(holder_accounts, ledger)
        self.assertEqual(ledger.account("pounds").grants["r1"].witness, "r2-a")

    def test_request_sent_again_while_its_bill_waits_is_one_bill(self):
        holder_accounts, ledger = make_holder_accounts()
        for tokens in (40, 60):
            holder_accounts.reserve("pounds", "a", tokens)
            holder_accounts.bill("pounds", Bill("a", "kosice", tokens, "r1"))
        self.assertEqual(commit(holder_accounts, ledger).account("pounds").spent, 40)

    def test_idle_router_returns_its_cushion(self):
        holder_accounts, ledger = make_holder_accounts(allowance=50)
        holder_accounts.reserve("pounds", "a", 10, now=0.0)
        request = holder_accounts.begin_commit(now=60_000.0)
        ledger, _ = ledger.apply(request)
        self.assertEqual(ledger.account("pounds").held, 60)

    def test_successor_bills_pending_requests_of_a_sealed_holder(self):
        holder_accounts, ledger = make_holder_accounts()
        holder_accounts.reserve("pounds", "a", 40)
        holder_accounts.bill("pounds", Bill("a", "kosice", 40, "r1"))
        ledger = ledger.seal("r1")
        successor = holder_accounts.succeed("r1.1")
        request = successor.begin_commit()
        ledger, outcome = ledger.apply(request)
        successor.finish_commit(request, outcome)
        self.assertEqual(outcome.bills["pounds", "a"], BillState.RECORDED)
        self.assertEqual(ledger.account("pounds").spent, 40)

    def test_refusal_tells_unreachable_from_exhausted(self):
        holder_accounts, _ = make_holder_accounts()
        grant_state = holder_accounts.grant_states["pounds"]
        grant_state.update_grant(Grant(), free=0, elsewhere=300, now=0.0)
        self.assertEqual(grant_state.refuse("a", 300, now=0.0), BUDGET_UNREACHABLE)
        self.assertEqual(grant_state.refuse("a", 301, now=0.0), BUDGET_EXHAUSTED)
        self.assertEqual(grant_state.recall_refusal(400, now=500.0), BUDGET_EXHAUSTED)
        self.assertIsNone(grant_state.recall_refusal(300, now=500.0))
        self.assertIsNone(grant_state.recall_refusal(400, now=900.0))

    def test_tokens_in_doubt_are_no_reason_for_a_final_refusal(self):
        """Guards against 402 for tokens that a lost router's witness frees later."""
        lost, ledger = make_holder_accounts(allowance=50)
        ledger = ledger.seal("r1")
        doubt, free = ledger.account("pounds").doubt, ledger.account("pounds").free
        self.assertEqual(doubt, 50)
        holder_accounts = lost.succeed("r1.1")
        self.assertFalse(holder_accounts.reserve("pounds", "a", doubt + free))
        commit = holder_accounts.begin_commit()
        ledger, outcome = ledger.apply(commit)
        holder_accounts.finish_commit(commit, outcome)
        state = holder_accounts.grant_states["pounds"]
        self.assertEqual(state.refuse("a", doubt + free, 0.0), BUDGET_UNREACHABLE)
        self.assertTrue(state.lacks_doubtful(doubt + free))
        self.assertEqual(state.refuse("a", doubt + free + 1, 0.0), BUDGET_EXHAUSTED)
