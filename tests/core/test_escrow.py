"""The escrow: what a holder may spend without asking the platform."""

import unittest

from anvilshift.core.escrow import Escrow
from anvilshift.core.ledger import Bill, Ledger


def make_escrow(tokens: int = 1_000, allowance: int = 100) -> tuple[Escrow, Ledger]:
    escrow = Escrow("r1")
    escrow.open("pounds", allowance, level=500)
    ledger = Ledger().top_up("pounds", "invoice", tokens)
    return escrow, commit(escrow, ledger)


def commit(escrow: Escrow, ledger: Ledger) -> Ledger:
    wish = escrow.begin_commit()
    ledger, outcome = ledger.apply(wish)
    escrow.finish_commit(wish, outcome)
    return ledger


class EscrowTest(unittest.TestCase):
    def test_reservations_never_exceed_the_grant(self):
        escrow, _ = make_escrow()
        self.assertTrue(escrow.reserve("pounds", "a", 400))
        self.assertFalse(escrow.reserve("pounds", "b", 101))
        self.assertTrue(escrow.reserve("pounds", "c", 100))

    def test_shortage_is_drawn_with_the_next_commit(self):
        escrow, ledger = make_escrow()
        self.assertFalse(escrow.reserve("pounds", "a", 800))
        commit(escrow, ledger)
        self.assertTrue(escrow.reserve("pounds", "a", 800))

    def test_early_release_stays_within_the_allowance(self):
        """The platform is out while answers end.

        Only what the ledger has set aside as the allowance may be released;
        were it more, sealing this router would hand the same tokens out again.
        """
        escrow, _ = make_escrow(allowance=100)
        for key, tokens in (("a", 70), ("b", 40)):
            escrow.reserve("pounds", key, tokens)
            escrow.bill("pounds", Bill(key, "kosice", tokens, "r1"))
        self.assertTrue(escrow.release_early("pounds", "a"))
        self.assertFalse(escrow.release_early("pounds", "b"))

    def test_tokens_given_back_are_gone_before_the_answer_comes(self):
        """A router gives tokens back and the platform's answer is lost.

        Another router may draw them at once, so this one must not count on
        them although it never learned that the write took effect.
        """
        escrow, ledger = make_escrow()
        ledger, _ = ledger.apply(escrow.give_back())
        self.assertEqual(ledger.account("pounds").free, 1_000)
        self.assertFalse(escrow.reserve("pounds", "a", 1))
