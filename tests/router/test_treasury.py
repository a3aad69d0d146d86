"""Budgets on a failing platform: none is overspent, and callers get correct errors."""

import asyncio
import unittest

from anvilshift.core.declarations import Budget
from anvilshift.core.errors import (
    BUDGET_EXHAUSTED,
    BUDGET_FROZEN,
    BUDGET_UNREACHABLE,
    NOT_RECORDED,
    AnvilshiftError,
)
from anvilshift.core.ledger import Ledger
from anvilshift.objects import ledgers
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import update
from anvilshift.router.budgets import LEDGER_KIND, LEDGER_NAME, RouterBudgets
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, run_virtual

SPACING = 200.0


class Bank:
    """A platform and the budgets of several routers that exchange tokens."""

    def __init__(
        self, routers: int = 1, tokens: int = 1_000, allowance: int = 100
    ) -> None:
        self.store = MemoryStore()
        self.budget = Budget("pounds", allowance=allowance, grant=500)
        self.tokens = tokens
        self.all_router_budgets = [self.make(f"r{n}") for n in range(1, routers + 1)]

    def make(self, name: str) -> RouterBudgets:
        view = self.store.view(name)
        budgets = RouterBudgets(view, VirtualClock(), f"{name}-a", SPACING)
        budgets.configure({"pounds": self.budget})

        async def ask(account: str) -> None:
            others = [t for t in self.all_router_budgets if t is not budgets]
            await asyncio.gather(*(t.give_back(account) for t in others))

        budgets.ask_peers = ask
        return budgets

    async def open(self) -> None:
        await ledgers.top_up(self.store, "pounds", "invoice", self.tokens)
        for budgets in self.all_router_budgets:
            budgets.start()

    async def spend(
        self, budgets: RouterBudgets, key: str, tokens: int, **more
    ) -> None:
        await budgets.reserve("pounds", key, tokens)
        await budgets.settle("pounds", key, "kosice", tokens, **more)

    @property
    def account(self):
        ledger = decode(
            Ledger, self.store.read_ignoring_faults(LEDGER_KIND, LEDGER_NAME) or {}
        )
        return ledger.account("pounds")


def virtual(test):
    def run(self):
        run_virtual(test(self))

    run.__name__, run.__doc__ = test.__name__, test.__doc__
    return run


class TreasuryTest(unittest.TestCase):
    async def refused(self, work) -> AnvilshiftError:
        with self.assertRaises(AnvilshiftError) as caught:
            await work
        return caught.exception

    @virtual
    async def test_sealed_router_bills_what_it_had_in_hand(self):
        """Answers that end after their router's holder was sealed must be billed.

        The router was paused for longer than its lease and finds its holder sealed
        when it resumes.  Its next holder must record the bills; otherwise callers get
        "not recorded" for answers that they received in full.
        """
        bank = Bank(routers=2)
        await bank.open()
        first, second = bank.all_router_budgets
        await first.reserve("pounds", "a", 50)
        await first.reserve("pounds", "b", 50)
        await second.seal("r1-a")
        await first.settle("pounds", "a", "kosice", 40)
        await first.settle("pounds", "b", "kosice", 30)
        self.assertEqual(bank.account.spent, 70)
        await asyncio.sleep(2)
        self.assertEqual(bank.account.doubt, 0)

    @virtual
    async def test_sealed_in_an_outage_the_released_is_billed_once(self):
        """An answer completed within the allowance must be billed exactly once.

        The platform is unreachable when the answer ends, and the router is taken for
        lost and sealed before its bill is recorded.
        """
        bank = Bank(routers=2)
        await bank.open()
        first, second = bank.all_router_budgets
        await first.reserve("pounds", "a", 60)
        await first.reserve("pounds", "b", 60)
        bank.store.faults.cut = {"r1"}
        await first.settle("pounds", "a", "kosice", 60)
        self.assertEqual(bank.account.spent, 0)
        waiting = asyncio.create_task(first.settle("pounds", "b", "kosice", 60))
        await second.seal("r1-a")
        self.assertEqual(bank.account.doubt, 100)
        bank.store.faults.cut = set()
        await waiting
        await asyncio.sleep(5)
        self.assertEqual((bank.account.spent, bank.account.doubt), (120, 0))

    @virtual
    async def test_bill_of_a_router_that_is_cut_off_and_killed_is_recorded(self):
        """The bill of a completed answer must survive the router that completed it.

        The router reached neither the platform nor other routers when the answer
        ended, so that no other process has the bill.
        """
        bank = Bank(routers=2)
        await bank.open()
        first, second = bank.all_router_budgets
        await first.reserve("pounds", "a", 60)
        bank.store.faults.cut = {"r1"}
        await first.settle("pounds", "a", "kosice", 60)
        await second.seal("r1-a")
        await second.seal_lost(["r2-a"])
        await asyncio.sleep(60)
        self.assertEqual(bank.account.spent, 60)

    @virtual
    async def test_broken_account_freezes_and_others_go_on(self):
        """An invalid account must stop only its own budget.

        An operator's script writes an account that has spent more than its total.
        If that ended the task that commits, every budget of the router would stop
        without an error.
        """
        bank = Bank()
        await bank.open()
        budgets = bank.all_router_budgets[0]
        await ledgers.top_up(bank.store, "drums", "invoice", 500)

        def overspend(body):
            ledger = decode(Ledger, body)
            body = encode(ledger)
            body["accounts"]["pounds"]["spent"] = 5_000
            return body

        await update(bank.store, LEDGER_KIND, LEDGER_NAME, overspend)
        error = await self.refused(bank.spend(budgets, "a", 10))
        self.assertEqual(error.code, BUDGET_FROZEN)
        await budgets.reserve("drums", "b", 10)
        await budgets.settle("drums", "b", "counter", 10)

    @virtual
    async def test_last_tokens_are_within_reach_of_every_router(self):
        """A small budget must be usable in full through any router.

        Other routers hold most of it in their grants.  If they were not asked to
        return unused tokens, the budget would be reported as exhausted.
        """
        bank = Bank(routers=5, tokens=1_000, allowance=100)
        await bank.open()
        for budgets in bank.all_router_budgets:
            await bank.spend(budgets, f"first-{id(budgets)}", 10)
        for number in range(9):
            await bank.spend(bank.all_router_budgets[0], f"k{number}", 100)
        self.assertEqual(bank.account.spent, 950)

    @virtual
    async def test_many_requests_short_at_once_are_all_paid(self):
        """Requests that wait at the same time for a larger grant must all get tokens.

        A burst finds the grant empty.
        """
        bank = Bank(tokens=10_000)
        await bank.open()
        work = [bank.spend(bank.all_router_budgets[0], f"k{n}", 400) for n in range(20)]
        await asyncio.gather(*work)
        self.assertEqual(bank.account.spent, 8_000)

    @virtual
    async def test_exhausted_budget_costs_no_write_a_request(self):
        """Requests to an exhausted budget must be refused without a write each."""
        bank = Bank(routers=2, tokens=300, allowance=0)
        await bank.open()
        first = bank.all_router_budgets[0]
        await bank.spend(first, "a", 300)
        await self.refused(bank.spend(first, "b", 100))
        before = bank.store.calls["put"]
        for number in range(200):
            error = await self.refused(bank.spend(first, f"c{number}", 100))
            self.assertEqual(error.code, BUDGET_EXHAUSTED)
            await asyncio.sleep(0.01)
        self.assertLessEqual(bank.store.calls["put"] - before, 2)
        await ledgers.top_up(bank.store, "pounds", "invoice-2", 500)
        await asyncio.sleep(1)
        await bank.spend(first, "d", 100)
        self.assertEqual(bank.account.spent, 400)

    @virtual
    async def test_unreachable_is_not_called_exhausted(self):
        """Tokens reserved by requests at another router may become free again.

        The error must therefore be *unreachable*, with a retry delay.
        """
        bank = Bank(routers=2, tokens=300, allowance=0)
        await bank.open()
        first, second = bank.all_router_budgets
        await first.reserve("pounds", "a", 300)
        error = await self.refused(second.reserve("pounds", "b", 100))
        self.assertEqual(error.code, BUDGET_UNREACHABLE)
        self.assertIsNotNone(error.retry_after)

    @virtual
    async def test_bill_that_fits_nowhere_ends_before_the_deadline(self):
        """A bill that can't be recorded must fail before the deadline.

        The platform is unreachable and the allowance is too small.  The caller must
        learn that the work ran and its bill isn't recorded, instead of an unknown
        outcome.
        """
        bank = Bank(allowance=50)
        await bank.open()
        budgets = bank.all_router_budgets[0]
        await budgets.reserve("pounds", "a", 80)
        bank.store.faults.outage = True
        started_at = VirtualClock().now()
        settling = budgets.settle("pounds", "a", "kosice", 80, until=started_at + 3_000)
        error = await self.refused(settling)
        self.assertEqual(error.code, NOT_RECORDED)
        self.assertLess(VirtualClock().now(), started_at + 3_000)
        bank.store.faults.outage = False
        await asyncio.sleep(3)
        self.assertEqual(bank.account.spent, 80)

    @virtual
    async def test_slow_platform_does_not_hold_the_end_of_an_answer(self):
        """A platform that answers only after seconds must not delay an answer."""
        bank = Bank()
        await bank.open()
        budgets = bank.all_router_budgets[0]
        await budgets.reserve("pounds", "a", 80)

        async def wait(caller, verb):
            await asyncio.sleep(5)

        bank.store.faults.after = wait
        started_at = VirtualClock().now()
        await budgets.settle("pounds", "a", "kosice", 80)
        self.assertLess(VirtualClock().now() - started_at, 500)

    @virtual
    async def test_lost_answers_bill_and_close_once(self):
        """Writes whose answers were lost must not bill or close twice."""
        bank = Bank()
        await bank.open()
        budgets = bank.all_router_budgets[0]
        for number in range(5):
            bank.store.faults.lose_answers = 1
            await bank.spend(budgets, f"k{number}", 20)
        bank.store.faults.lose_answers = 1
        await budgets.close()
        self.assertEqual((bank.account.spent, bank.account.free), (100, 900))

    @virtual
    async def test_first_bill_after_a_quiet_time_commits_at_once(self):
        bank = Bank()
        await bank.open()
        await bank.spend(bank.all_router_budgets[0], "a", 10)
        await asyncio.sleep(10)
        await bank.all_router_budgets[0].reserve("pounds", "b", 10)
        await asyncio.sleep(2 * SPACING / 1_000)
        started_at = VirtualClock().now()
        await bank.all_router_budgets[0].settle("pounds", "b", "kosice", 10)
        self.assertEqual(VirtualClock().now(), started_at)

    @virtual
    async def test_orphaned_grant_comes_back(self):
        """The grant of a router that died before its first record must be returned.

        Such a router is in no roster.
        """
        bank = Bank(routers=2, allowance=0)
        await bank.open()
        await bank.all_router_budgets[0].reserve("pounds", "a", 300)
        for _ in range(20):
            await bank.all_router_budgets[1].seal_lost([])
            await asyncio.sleep(1)
        self.assertEqual(bank.account.free, 1_000)

    @virtual
    async def test_top_up_reaches_routers_on_both_sides_of_a_cut(self):
        """A router that couldn't reach the platform must use a top-up afterwards."""
        bank = Bank(routers=2, tokens=200)
        await bank.open()
        first, second = bank.all_router_budgets
        await bank.spend(first, "a", 50)
        bank.store.faults.cut = {"r1"}
        await ledgers.top_up(bank.store, "pounds", "invoice-2", 400)
        await bank.spend(second, "b", 400)
        error = await self.refused(first.reserve("pounds", "c", 400))
        self.assertEqual(error.code, BUDGET_UNREACHABLE)
        bank.store.faults.cut = set()
        await asyncio.sleep(2)
        await bank.spend(first, "d", 100)
        self.assertEqual(bank.account.spent, 550)

    @virtual
    async def test_crumbs_of_all_pay_for_one_of_those_who_wait(self):
        """One of several waiting requests must get the remaining tokens of a budget.

        Three routers hold small remainders, and a request waits at each of them.  If
        each router kept its remainder for its own request, all three would be refused
        although the budget could pay for one.
        """
        bank = Bank(routers=3, tokens=300, allowance=0)
        await bank.open()
        for budgets in bank.all_router_budgets:
            await budgets.reserve("pounds", "crumb", 90)
        for budgets in bank.all_router_budgets:
            budgets.release("pounds", "crumb")
        work = [t.reserve("pounds", "k", 250) for t in bank.all_router_budgets]
        results = await asyncio.gather(*work, return_exceptions=True)
        self.assertEqual(
            sorted(result is None for result in results)[1:], [False, True]
        )

    @virtual
    async def test_refusals_that_ask_peers_cost_one_commit_a_round(self):
        bank = Bank(routers=3, tokens=300, allowance=0)
        await bank.open()
        await bank.all_router_budgets[1].reserve("pounds", "a", 200)
        await bank.all_router_budgets[0].reserve("pounds", "warm", 10)
        before = bank.store.calls["put"]
        work = [
            bank.all_router_budgets[0].reserve("pounds", f"k{n}", 250)
            for n in range(50)
        ]
        await asyncio.gather(*work, return_exceptions=True)
        self.assertLessEqual(bank.store.calls["put"] - before, 6)

    @virtual
    async def test_answer_that_ends_just_before_its_deadline_is_released(self):
        """An answer that ends just before its deadline must be released in time.

        The next commit would end after the deadline.  The caller would get "not
        recorded" for an answer that was already complete.
        """
        bank = Bank()
        await bank.open()
        budgets = bank.all_router_budgets[0]
        await budgets.reserve("pounds", "a", 80)
        bank.store.faults.after = lambda caller, verb: asyncio.sleep(0.3)
        until = VirtualClock().now() + 200
        await budgets.settle("pounds", "a", "kosice", 80, until=until)
        self.assertLess(VirtualClock().now(), until)
