"""The excuse for a bill of which every copy may be gone."""

import unittest

from bench.soak.journal import LOSS_SPAN, Journal, Receipt


class JournalTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.journal = Journal(lambda: self.now)
        self.receipt = Receipt("id", "kosice", "model, whole", at=1_000.0)

    def lose(self, *routers, at=2_000.0):
        self.now = at
        for router in routers:
            self.journal.record_router_loss(router)

    def test_three_lost_routers_may_have_had_every_copy(self):
        self.lose("r0", "r1", "r2")
        self.assertTrue(self.journal.may_lose_bill(self.receipt))

    def test_router_that_is_lost_again_has_no_second_copy(self):
        """Guards against excusing a lost bill that two live routers had."""
        self.lose("r0", "r1", "r1", "r0")
        self.assertFalse(self.journal.may_lose_bill(self.receipt))

    def test_losses_long_after_the_answer_excuse_nothing(self):
        self.lose("r0", "r1")
        self.lose("r2", at=1_000.0 + LOSS_SPAN + 1)
        self.assertFalse(self.journal.may_lose_bill(self.receipt))


if __name__ == "__main__":
    unittest.main()
