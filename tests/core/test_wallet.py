import unittest

from anvilshift.core.allotments import Allotment, Allotments, Share
from anvilshift.core.cushions import Purse
from anvilshift.core.usage import Use, UseRecord
from anvilshift.core.wallet import Wallet

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
        self.assertEqual(wallet.purses[POUNDS].available(2.0), 20)

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
        self.assertTrue(giver.reserve(POUNDS, "r2/1", 50, 0.0))
        given = giver.hand_over(POUNDS, "r2/1", 0.0)
        self.assertEqual(given, 50)
        receiver.receive(POUNDS, given)
        together = giver.purses[POUNDS].ready + receiver.purses[POUNDS].ready
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
        # 5 tokens a millisecond for ten seconds.
        self.assertAlmostEqual(cushion, 50_000, delta=0.15 * 50_000)

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
        purse = Purse(total=4_000_000, keepers=2, left=400_000)
        purse.rate, purse.rated_at, purse.rated_since = 5.0, 0.0, -60_000.0
        # A tenth is left: 0.45 of a tenth of it, among two keepers.
        self.assertEqual(purse.cushion(0.0), 9_000)

    def test_keepers_hold_most_of_what_is_left_once_its_use_can_be_proved(self):
        """All routers are cut from the store for 8 s, halfway through a total.

        What lies free in the store is out of reach then; what keepers hold is not
        stranded by a kill, for a successor proves how little of it was spent.
        """
        first = Purse(total=1_000_000, left=500_000, rank=0, provable=True)
        second = Purse(total=1_000_000, left=500_000, rank=1, provable=True)
        other = Purse(total=1_000_000, left=500_000, rank=None, provable=True)
        cushions = [one.cushion(0.0) for one in (first, second, other)]
        self.assertEqual(cushions, [275_000, 150_000, 0])

    def test_what_may_be_spent_unproved_shrinks_with_what_is_left(self):
        """All routers lose power near the end of a total.

        What each may spend at any time counts as spent; early in a total the large
        prompts of a cut need it, near its end it would be most of what is left.
        """
        early = Purse(total=1_000_000, left=900_000, ceiling=500_000)
        late = Purse(total=1_000_000, left=100_000, ceiling=55_000)
        self.assertEqual(early.make_use(0.0), Use(0, 54_000, 60_000))
        self.assertEqual(late.make_use(0.0), Use(0, 6_000, 55_000))

    def test_a_router_that_keeps_nothing_hands_back_what_lies_idle(self):
        wallet = make_wallet(ceiling=0)
        wallet.purses[POUNDS].rank = None
        wallet.receive(POUNDS, 80)
        self.assertTrue(wallet.reserve(POUNDS, "a", 60, 0.0))
        wallet.settle(POUNDS, "a", 50, 10.0)
        self.assertEqual(wallet.find_idle(900.0), {})
        self.assertEqual(wallet.find_idle(1_100.0), {POUNDS: 30})
        wallet.take_out(POUNDS, 30)
        self.assertEqual(wallet.purses[POUNDS].ready, 0)

    def test_a_router_that_keeps_nothing_spends_at_once_what_it_was_given(self):
        """A router stops keeping an organisation's tokens, and is asked for many.

        Held to the pace of a keeper's record, it would ask the keepers for each
        request anew while what they gave before lies unused.
        """
        wallet = make_wallet(ceiling=1_000)
        wallet.pace(UseRecord("r1", "ip", 0.0, uses=wallet.make_uses(0.0)))
        self.assertTrue(wallet.keeps_any())
        purse = wallet.purses[POUNDS]
        purse.rank = None
        self.assertTrue(wallet.keeps_any())
        wallet.settle_pace(UseRecord("r1", "ip", 1.0, uses=wallet.make_uses(1.0)))
        self.assertFalse(wallet.keeps_any())
        wallet.receive(POUNDS, 500)
        self.assertEqual(purse.available(1.0), 1_500)

    def test_a_router_that_keeps_nothing_draws_only_when_no_keeper_answers(self):
        wallet = make_wallet(ceiling=0)
        wallet.purses[POUNDS].rank = None
        wallet.reserve(POUNDS, "a", 60, 0.0)
        self.assertFalse(wallet.is_waited_for(0.0))
        wallet.note_unkept(POUNDS, 0.0)
        self.assertTrue(wallet.is_waited_for(10.0))
        self.assertEqual(wallet.make_wishes(10.0)[POUNDS].ceiling, 60)

    def test_a_request_waits_for_those_before_it(self):
        wallet = make_wallet(ceiling=1_000)
        wallet.pace(UseRecord("r1", "ip", 0.0, uses={POUNDS: Use(0, 100, 1_000)}))
        for key in ("a", "b"):
            self.assertFalse(wallet.reserve(POUNDS, key, 200, 0.0))
        # 100 of 900 more after the root of a ninth of eight seconds, 300 of a third.
        self.assertAlmostEqual(wallet.find_wait(POUNDS, "a", 0.0), 8_000.0 / 3)
        self.assertAlmostEqual(
            wallet.find_wait(POUNDS, "b", 0.0), 8_000.0 * (1 / 3) ** 0.5
        )

    def test_a_router_keeps_to_every_record_that_may_be_in_the_store(self):
        """A record of use is written, and its answer is lost.

        It may take effect or not.  A router that kept to one of the two only could
        spend more than whoever ends its share after a crash counts.
        """
        wallet = make_wallet(ceiling=1_000)
        uses = [Use(0, 300, 1_000), Use(100, 50, 900)]
        records = [UseRecord("r1", "ip", 0.0, uses={POUNDS: use}) for use in uses]
        wallet.pace(records[0])
        self.assertEqual(wallet.purses[POUNDS].available(0.0), 300)
        wallet.pace(records[1])
        self.assertEqual(wallet.purses[POUNDS].available(0.0), 150)
        wallet.settle_pace(records[0])
        self.assertEqual(wallet.purses[POUNDS].available(0.0), 300)

    def test_a_paced_router_lacks_nothing_and_draws_nothing(self):
        wallet = make_wallet(ceiling=1_000)
        wallet.pace(UseRecord("r1", "ip", 0.0, uses={POUNDS: Use(0, 100, 1_000)}))
        self.assertFalse(wallet.reserve(POUNDS, "a", 400, 0.0))
        self.assertFalse(wallet.is_waited_for(0.0))
        # A third of the other 900 after the root of a third of eight seconds.
        wait = wallet.purses[POUNDS].find_wait(400, 0.0)
        self.assertAlmostEqual(wait, 8_000.0 * (1 / 3) ** 0.5)
        self.assertTrue(wallet.reserve(POUNDS, "a", 400, wait + 5.0))

    def test_what_waits_is_recorded_as_if_spent(self):
        wallet = make_wallet(ceiling=1_000)
        wallet.purses[POUNDS].waiting["a"] = 400
        use = wallet.make_uses(0.0)[POUNDS]
        self.assertEqual((use.recorded, use.cushion), (400, 600))

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

    def test_one_write_tells_what_is_free_for_every_organisation(self):
        """Requests of many organisations come, each near the end of its total.

        The write that was made for the first told what is free for all of them.
        """
        wallet = Wallet("r1")
        names = ("inns", POUNDS)
        wallet.configure(dict.fromkeys(names, 1_000), 0.0)
        nearly_all = Allotment(1_000, 1, closed=950)
        wallet.take(Allotments(dict.fromkeys(names, nearly_all)), 0.0)
        self.assertFalse(wallet.reserve(POUNDS, "a", 60, 500.0))
        self.assertFalse(wallet.is_waited_for(500.0))
        self.assertTrue(wallet.is_dry(POUNDS, 500.0))
        self.assertTrue(wallet.is_waited_for(2_000.0))

    def test_what_is_free_may_make_up_what_lies_ready(self):
        wallet = Wallet("r1")
        wallet.configure({POUNDS: 1_000}, 0.0)
        shares = {"r1": Share(40, 0)}
        known = Allotment(1_000, 1, closed=930, shares=shares)
        wallet.take(Allotments({POUNDS: known}), 0.0)
        # Forty lie ready and thirty are free: enough for sixty.
        self.assertFalse(wallet.reserve(POUNDS, "a", 60, 500.0))
        self.assertTrue(wallet.is_waited_for(500.0))

    def test_a_total_that_grows_is_looked_at_at_once(self):
        wallet = Wallet("r1")
        wallet.configure({POUNDS: 1_000}, 0.0)
        known = Allotment(1_000, 1, closed=1_000)
        wallet.take(Allotments({POUNDS: known}), 0.0)
        wallet.reserve(POUNDS, "a", 60, 500.0)
        self.assertFalse(wallet.is_waited_for(500.0))
        wallet.configure({POUNDS: 2_000}, 600.0)
        self.assertTrue(wallet.is_waited_for(600.0))
