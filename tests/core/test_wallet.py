import unittest

from anvilshift.core.allotments import Allotment, Allotments, Share
from anvilshift.core.wallet import COVER, Purse, Wallet

POUNDS = "pounds"


def make_wallet(ceiling: int, total: int = 10_000, now: float = 0.0) -> Wallet:
    wallet = Wallet("r1")
    wallet.configure({POUNDS: total}, now)
    shares = {"r1": Share(ceiling, 0)}
    wallet.take(Allotments({POUNDS: Allotment(total, 1, shares=shares)}), now)
    return wallet


class WalletTest(unittest.TestCase):
    def test_a_request_sets_its_most_aside_and_gives_the_rest_back(self):
        wallet = make_wallet(ceiling=100)
        self.assertTrue(wallet.reserve(POUNDS, "a", 80, 0.0))
        self.assertFalse(wallet.reserve(POUNDS, "b", 30, 0.0))
        wallet.settle(POUNDS, "a", 50, 1.0)
        self.assertTrue(wallet.reserve(POUNDS, "b", 30, 2.0))
        self.assertEqual(wallet.purses[POUNDS].available, 20)

    def test_a_request_never_costs_more_than_it_reserved(self):
        wallet = make_wallet(ceiling=100)
        wallet.reserve(POUNDS, "a", 80, 0.0)
        wallet.settle(POUNDS, "a", 1_000, 1.0)
        self.assertEqual(wallet.purses[POUNDS].spent, 80)

    def test_an_organisation_without_a_total_is_not_limited(self):
        wallet = Wallet("r1")
        wallet.configure({POUNDS: None}, 0.0)
        self.assertTrue(wallet.reserve(POUNDS, "a", 10**9, 0.0))
        self.assertFalse(wallet.wants_change(0.0))

    def test_what_a_wish_lowers_is_given_up_before_it_is_sent(self):
        """A router gives tokens back and the answer to its write is lost.

        The write took effect, and another router draws the tokens.  If this
        one counted on them until it heard, both would spend them.
        """
        wallet = make_wallet(ceiling=9_000)
        wish = wallet.make_wishes(now=0.0)[POUNDS]
        self.assertLess(wish.ceiling, 9_000)
        self.assertEqual(wallet.purses[POUNDS].ceiling, wish.ceiling)

    def test_a_gift_counts_once_and_never_twice(self):
        giver, receiver = make_wallet(ceiling=100), make_wallet(ceiling=0)
        given = giver.give(POUNDS, 1_000)
        self.assertEqual(given, 50)
        receiver.receive(POUNDS, given)
        together = giver.purses[POUNDS].available + receiver.purses[POUNDS].available
        self.assertEqual(together, 100)

    def test_a_cut_total_gives_up_what_lies_ready_at_once(self):
        wallet = make_wallet(ceiling=1_000)
        wallet.reserve(POUNDS, "a", 10, 0.0)
        wallet.configure({POUNDS: 500}, 1.0)
        self.assertFalse(wallet.reserve(POUNDS, "b", 10, 1.0))

    def test_a_cushion_follows_the_rate_of_use(self):
        wallet = make_wallet(ceiling=200_000, total=200_000)
        for second in range(30):
            now = second * 1_000.0
            wallet.reserve(POUNDS, str(second), 5_000, now)
            wallet.settle(POUNDS, str(second), 5_000, now)
        cushion = wallet.purses[POUNDS].cushion(29_000.0)
        # 5 tokens a millisecond over the time that a cushion covers.
        self.assertAlmostEqual(cushion, 5 * COVER, delta=0.15 * 5 * COVER)

    def test_a_router_that_has_just_started_asks_for_little(self):
        """A router starts, hears nobody yet and takes a sixth of each total.

        Killed a second later it strands what all others together would need
        for seconds.
        """
        wallet = Wallet("r1")
        wallet.configure({POUNDS: 1_000_000}, 0.0)
        self.assertEqual(wallet.make_wishes(0.0)[POUNDS].ceiling, 2_000)

    def test_cushions_shrink_as_the_total_ends(self):
        """All routers are killed near the end of an organisation's total.

        Cushions that lasted for as long as at the start would be a third of
        what is left, and lost; requests after the restart would be refused.
        """
        purse = Purse(total=4_000_000, routers=4, left=400_000)
        purse.rate, purse.rated_at, purse.rated_since = 5.0, 0.0, -60_000.0
        # A tenth is left: 0.45 of a tenth of it, among four routers.
        self.assertEqual(purse.cushion(0.0), 4_500)

    def test_exhaustion_is_certain_only_without_doubt(self):
        wallet = make_wallet(ceiling=0, total=100)
        known = Allotment(100, 1, closed=60, shares={"r2": Share(40, 40)})
        wallet.take(Allotments({POUNDS: known}), 0.0)
        self.assertTrue(wallet.is_exhausted(POUNDS, 1))
        doubtful = Allotment(100, 1, closed=60, doubt=5, shares={"r2": Share(40, 40)})
        wallet.take(Allotments({POUNDS: doubtful}), 0.0)
        self.assertFalse(wallet.is_exhausted(POUNDS, 5))
        self.assertTrue(wallet.is_exhausted(POUNDS, 6))

    def test_nothing_is_drawn_again_while_nothing_is_free(self):
        wallet = make_wallet(ceiling=0, total=100)
        known = Allotment(100, 1, closed=100)
        wallet.reserve(POUNDS, "a", 10, 0.0)
        wallet.take(Allotments({POUNDS: known}), 0.0)
        self.assertFalse(wallet.wants_change(1_500.0))
        self.assertTrue(wallet.wants_change(2_500.0))
