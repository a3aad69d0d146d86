import unittest

from anvilshift.core.allotments import Allotment, Allotments, Share
from anvilshift.core.balances import Balances
from anvilshift.core.cushions import Balance
from anvilshift.core.usage import Use, UseRecord

POUNDS = "pounds"


def make_balances(ceiling: int, total: int = 10_000, now: float = 0.0) -> Balances:
    balances = Balances("r1")
    balances.configure({POUNDS: total}, now)
    shares = {"r1": Share(ceiling, 0)}
    balances.apply_allotments(
        Allotments({POUNDS: Allotment(total, 1, shares=shares)}), now
    )
    return balances


class BalancesTest(unittest.TestCase):
    def test_a_request_reserves_its_maximum_and_returns_the_rest(self):
        balances = make_balances(ceiling=100)
        self.assertTrue(balances.reserve(POUNDS, "a", 80, 0.0))
        self.assertFalse(balances.reserve(POUNDS, "b", 30, 0.0))
        balances.settle(POUNDS, "a", 50, 1.0)
        self.assertTrue(balances.reserve(POUNDS, "b", 30, 2.0))
        self.assertEqual(balances.by_name[POUNDS].available(2.0), 20)

    def test_a_request_never_costs_more_than_it_reserved(self):
        balances = make_balances(ceiling=100)
        balances.reserve(POUNDS, "a", 80, 0.0)
        balances.settle(POUNDS, "a", 1_000, 1.0)
        self.assertEqual(balances.by_name[POUNDS].spent, 80)

    def test_an_organisation_without_a_total_is_not_limited(self):
        balances = Balances("r1")
        balances.configure({POUNDS: None}, 0.0)
        self.assertTrue(balances.reserve(POUNDS, "a", 10**9, 0.0))
        self.assertFalse(balances.wants_change(0.0))

    def test_a_reduction_applies_before_it_is_sent(self):
        """Guards against spending returned tokens when the response is lost.

        The write took effect and another router draws the tokens.  If this router
        counted on them until the response arrived, both could spend them.
        """
        balances = make_balances(ceiling=9_000)
        request = balances.make_share_requests(now=0.0)[POUNDS]
        self.assertLess(request.ceiling, 9_000)
        self.assertEqual(balances.by_name[POUNDS].ceiling, request.ceiling)

    def test_transferred_tokens_count_once(self):
        giver, receiver = make_balances(ceiling=100), make_balances(ceiling=0)
        self.assertTrue(giver.reserve(POUNDS, "r2/1", 50, 0.0))
        given = giver.transfer_reservation(POUNDS, "r2/1", 0.0)
        self.assertEqual(given, 50)
        receiver.credit(POUNDS, given)
        together = giver.by_name[POUNDS].ready + receiver.by_name[POUNDS].ready
        self.assertEqual(together, 100)

    def test_a_reduced_total_disables_held_tokens_at_once(self):
        balances = make_balances(ceiling=1_000)
        balances.reserve(POUNDS, "a", 10, 0.0)
        balances.configure({POUNDS: 500}, 1.0)
        self.assertFalse(balances.reserve(POUNDS, "b", 10, 1.0))

    def test_a_cushion_follows_the_rate_of_use(self):
        balances = make_balances(ceiling=200_000, total=200_000)
        for second in range(30):
            now = second * 1_000.0
            balances.reserve(POUNDS, str(second), 5_000, now)
            balances.settle(POUNDS, str(second), 5_000, now)
        cushion = balances.by_name[POUNDS].cushion(29_000.0)
        # 5 tokens per millisecond for 10 s.
        self.assertAlmostEqual(cushion, 50_000, delta=0.15 * 50_000)

    def test_a_new_router_requests_few_tokens(self):
        """Guards against a new router that draws a sixth of each total.

        It does not know the other routers yet.  If it were killed a second later,
        tokens that all others together need for seconds would be unusable.
        """
        balances = Balances("r1")
        balances.configure({POUNDS: 1_000_000}, 0.0)
        self.assertEqual(balances.make_share_requests(0.0)[POUNDS].ceiling, 2_000)

    def test_cushions_shrink_as_the_total_ends(self):
        """Guards against losing much of a nearly used total when routers are killed.

        All routers are killed near the end of an organisation's total.  Cushions
        for the same duration as at the start would be a third of what is left and
        would be lost, and requests after the restart would be refused.
        """
        balance = Balance(total=4_000_000, allocators=2, left=400_000)
        balance.rate, balance.rate_updated_at, balance.rate_since = 5.0, 0.0, -60_000.0
        # A tenth is left: two allocators share 0.45 * 0.1 of it.
        self.assertEqual(balance.cushion(0.0), 9_000)

    def test_allocators_hold_most_of_the_rest_while_use_is_provable(self):
        """Guards against refusals when all routers lose the store for 8 s.

        Free tokens in the store are unreachable then, halfway through a total.  Tokens
        of allocators are not lost when an allocator is killed, because a successor can
        prove how few of them were spent.
        """
        first = Balance(total=1_000_000, left=500_000, rank=0, provable=True)
        second = Balance(total=1_000_000, left=500_000, rank=1, provable=True)
        other = Balance(total=1_000_000, left=500_000, rank=None, provable=True)
        cushions = [one.cushion(0.0) for one in (first, second, other)]
        self.assertEqual(cushions, [275_000, 150_000, 0])

    def test_tokens_spendable_without_proof_shrink_with_the_rest(self):
        """Guards against losing most of a nearly used total in a power failure.

        When all routers lose power, the tokens that each may spend at any time count
        as spent.  Early in a total, large prompts need them while the store is
        unreachable; near its end they would be most of what is left.
        """
        early = Balance(total=1_000_000, left=900_000, ceiling=500_000)
        late = Balance(total=1_000_000, left=100_000, ceiling=55_000)
        self.assertEqual(early.make_use(0.0), Use(0, 54_000, 60_000))
        self.assertEqual(late.make_use(0.0), Use(0, 6_000, 55_000))

    def test_tokens_in_doubt_shrink_what_is_spent_without_a_record(self):
        """Guards against losing as much at a third loss of power as at the first.

        Three parts in a hundred of a total may be lost; here all or half of them are.
        """
        none = Balance(total=1_000_000, left=900_000, ceiling=500_000)
        half = Balance(total=1_000_000, left=900_000, ceiling=500_000, doubt=15_000)
        all_of_it = Balance(
            total=1_000_000, left=900_000, ceiling=500_000, doubt=30_000
        )
        self.assertEqual(none.make_use(0.0), Use(0, 54_000, 60_000))
        self.assertEqual(half.make_use(0.0), Use(0, 27_000, 30_000))
        self.assertEqual(all_of_it.make_use(0.0), Use(0, 16_200, 16_200))

    def test_a_router_that_is_no_allocator_returns_idle_tokens(self):
        balances = make_balances(ceiling=0)
        balances.by_name[POUNDS].rank = None
        balances.credit(POUNDS, 80)
        self.assertTrue(balances.reserve(POUNDS, "a", 60, 0.0))
        balances.settle(POUNDS, "a", 50, 10.0)
        self.assertEqual(balances.find_returnable(900.0), {})
        self.assertEqual(balances.find_returnable(1_100.0), {POUNDS: 30})
        balances.debit(POUNDS, 30)
        self.assertEqual(balances.by_name[POUNDS].ready, 0)

    def test_a_router_that_is_no_allocator_spends_received_tokens_at_once(self):
        """Guards against unused transferred tokens at a router that is no allocator.

        A router that stopped being an allocator serves many requests.  If the pace of
        its old record still limited it, it would ask the allocators for tokens for each
        request while tokens that they had transferred stay unused.
        """
        balances = make_balances(ceiling=1_000)
        balances.limit_by_record(
            UseRecord("r1", "ip", 0.0, uses=balances.make_uses(0.0))
        )
        self.assertTrue(balances.must_record_use())
        balance = balances.by_name[POUNDS]
        balance.rank = None
        self.assertTrue(balances.must_record_use())
        balances.confirm_record(
            UseRecord("r1", "ip", 1.0, uses=balances.make_uses(1.0))
        )
        self.assertFalse(balances.must_record_use())
        balances.credit(POUNDS, 500)
        self.assertEqual(balance.available(1.0), 1_500)

    def test_a_router_that_is_no_allocator_draws_only_when_no_allocator_answers(self):
        balances = make_balances(ceiling=0)
        balances.by_name[POUNDS].rank = None
        balances.reserve(POUNDS, "a", 60, 0.0)
        self.assertFalse(balances.has_drawable_waiters(0.0))
        balances.record_missing_allocator(POUNDS, 0.0)
        self.assertTrue(balances.has_drawable_waiters(10.0))
        self.assertEqual(balances.make_share_requests(10.0)[POUNDS].ceiling, 60)

    def test_a_request_waits_for_those_before_it(self):
        balances = make_balances(ceiling=1_000)
        balances.limit_by_record(
            UseRecord("r1", "ip", 0.0, uses={POUNDS: Use(0, 100, 1_000)})
        )
        for key in ("a", "b"):
            self.assertFalse(balances.reserve(POUNDS, key, 200, 0.0))
        # Of the other 900 tokens, 100 unlock after 8 s * sqrt(1/9) and 300 after
        # 8 s * sqrt(1/3).
        self.assertAlmostEqual(balances.find_wait(POUNDS, "a", 0.0), 8_000.0 / 3)
        self.assertAlmostEqual(
            balances.find_wait(POUNDS, "b", 0.0), 8_000.0 * (1 / 3) ** 0.5
        )

    def test_spending_obeys_every_record_that_may_be_stored(self):
        """Guards against spending more than the record of use in the store allows.

        The response to the write of a record is lost, so it may take effect or not.
        If the router obeyed only one of the two records, it could spend more than is
        counted when its share is ended after a crash.
        """
        balances = make_balances(ceiling=1_000)
        uses = [Use(0, 300, 1_000), Use(100, 50, 900)]
        records = [UseRecord("r1", "ip", 0.0, uses={POUNDS: use}) for use in uses]
        balances.limit_by_record(records[0])
        self.assertEqual(balances.by_name[POUNDS].available(0.0), 300)
        balances.limit_by_record(records[1])
        self.assertEqual(balances.by_name[POUNDS].available(0.0), 150)
        balances.confirm_record(records[0])
        self.assertEqual(balances.by_name[POUNDS].available(0.0), 300)

    def test_a_paced_router_lacks_nothing_and_draws_nothing(self):
        balances = make_balances(ceiling=1_000)
        balances.limit_by_record(
            UseRecord("r1", "ip", 0.0, uses={POUNDS: Use(0, 100, 1_000)})
        )
        self.assertFalse(balances.reserve(POUNDS, "a", 400, 0.0))
        self.assertFalse(balances.has_drawable_waiters(0.0))
        # A third of the other 900 tokens unlocks after 8 s * sqrt(1/3).
        wait = balances.by_name[POUNDS].find_wait(400, 0.0)
        self.assertAlmostEqual(wait, 8_000.0 * (1 / 3) ** 0.5)
        self.assertTrue(balances.reserve(POUNDS, "a", 400, wait + 5.0))

    def test_waiting_requests_are_recorded_as_spent(self):
        balances = make_balances(ceiling=1_000)
        balances.by_name[POUNDS].waiting["a"] = 400
        use = balances.make_uses(0.0)[POUNDS]
        self.assertEqual((use.recorded, use.cushion), (400, 600))

    def test_exhaustion_is_certain_only_without_doubt(self):
        balances = make_balances(ceiling=0, total=100)
        shares = {"r2": Share(40, 40, 40)}
        known = Allotment(100, 1, closed=60, shares=shares, settled=60)
        balances.apply_allotments(Allotments({POUNDS: known}), 0.0)
        self.assertTrue(balances.is_exhausted(POUNDS, 1))
        doubtful = Allotment(100, 1, closed=60, doubt=5, shares=shares, settled=55)
        balances.apply_allotments(Allotments({POUNDS: doubtful}), 0.0)
        self.assertFalse(balances.is_exhausted(POUNDS, 5))
        self.assertTrue(balances.is_exhausted(POUNDS, 6))

    def test_tokens_spent_or_reserved_of_unknown_kind_are_not_exhausted(self):
        """Guards against a final refusal for tokens that requests only reserve.

        An entry of an older build doesn't say how many of its tokens are settled.
        """
        balances = make_balances(ceiling=0, total=100)
        known = Allotment(100, 1, closed=60, shares={"r2": Share(40, 40)})
        balances.apply_allotments(Allotments({POUNDS: known}), 0.0)
        self.assertFalse(balances.is_exhausted(POUNDS, 1))
        self.assertTrue(balances.is_exhausted(POUNDS, 101))

    def test_nothing_is_drawn_again_while_nothing_is_free(self):
        balances = make_balances(ceiling=0, total=100)
        known = Allotment(100, 1, closed=100)
        balances.reserve(POUNDS, "a", 10, 0.0)
        balances.apply_allotments(Allotments({POUNDS: known}), 0.0)
        self.assertFalse(balances.wants_change(1_500.0))
        self.assertTrue(balances.wants_change(2_500.0))

    def test_one_write_returns_the_free_tokens_of_every_organisation(self):
        """Guards against one billed write per organisation.

        Requests of many organisations arrive, each near the end of its total.  The
        write made for the first returned the free tokens of all of them.
        """
        balances = Balances("r1")
        names = ("inns", POUNDS)
        balances.configure(dict.fromkeys(names, 1_000), 0.0)
        nearly_all = Allotment(1_000, 1, closed=950)
        balances.apply_allotments(Allotments(dict.fromkeys(names, nearly_all)), 0.0)
        self.assertFalse(balances.reserve(POUNDS, "a", 60, 500.0))
        self.assertFalse(balances.has_drawable_waiters(500.0))
        self.assertTrue(balances.is_depleted(POUNDS, 500.0))
        self.assertTrue(balances.has_drawable_waiters(2_000.0))

    def test_free_tokens_supplement_held_tokens(self):
        balances = Balances("r1")
        balances.configure({POUNDS: 1_000}, 0.0)
        shares = {"r1": Share(40, 0)}
        known = Allotment(1_000, 1, closed=930, shares=shares)
        balances.apply_allotments(Allotments({POUNDS: known}), 0.0)
        # 40 tokens are held and 30 are free, enough for 60.
        self.assertFalse(balances.reserve(POUNDS, "a", 60, 500.0))
        self.assertTrue(balances.has_drawable_waiters(500.0))

    def test_an_increased_total_is_drawn_from_at_once(self):
        balances = Balances("r1")
        balances.configure({POUNDS: 1_000}, 0.0)
        known = Allotment(1_000, 1, closed=1_000)
        balances.apply_allotments(Allotments({POUNDS: known}), 0.0)
        balances.reserve(POUNDS, "a", 60, 500.0)
        self.assertFalse(balances.has_drawable_waiters(500.0))
        balances.configure({POUNDS: 2_000}, 600.0)
        self.assertTrue(balances.has_drawable_waiters(600.0))
