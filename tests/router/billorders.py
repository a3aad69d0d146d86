"""Routers whose messages, kills and clocks are forced into an order by a test.

The rule that the tests state: the bill of a completed answer survives the router that
completed it; nothing is billed that did not run; each request is billed once.
"""

import asyncio

from anvilshift.core.clock import SECOND
from anvilshift.core.errors import NOT_RECORDED, AnvilshiftError
from anvilshift.router.budgets import LEDGER_KIND, LEDGER_NAME, RouterBudgets
from anvilshift.router.messages import make_keep_request, read_bills
from anvilshift.standins.virtual import VirtualClock
from tests.router.nodes import VirtualTestCase
from tests.router.test_treasury import SPACING, Bank

DAY_S = 24 * 3_600
TOKENS = 60
WITNESS = "r2-a"


class WallClock(VirtualClock):
    """A clock whose wall time is wrong by a number of seconds."""

    def __init__(self, error: int) -> None:
        self._error = error

    def wall(self) -> int:
        return 10 * DAY_S + super().wall() + self._error


class Routers(Bank):
    """The holder `r1`, the witness `r2` and the spare `r3`, on one platform.

    Parameters
    ----------
    witness
        Witness that the holder names in its commits.
    alone
        Whether the holder takes itself for the whole fleet.
    clock_errors
        Seconds by which the wall clock of a router is wrong.

    Attributes
    ----------
    lost
        Messages that are lost, such as `request r2` and `reply r2`.
    on_kept
        Called with a router's name after it has answered a copy request.
    """

    def __init__(
        self, witness: str = WITNESS, alone: bool = False, **clock_errors: int
    ) -> None:
        self.witness = "" if alone else witness
        self.alone = alone
        self.lost: set[str] = set()
        self.killed: set[str] = set()
        self.on_kept = lambda name: None
        self._clock_errors = clock_errors
        super().__init__(routers=3)
        self.by_name = dict(
            zip(("r1", "r2", "r3"), self.all_router_budgets, strict=True)
        )
        self.holder, self.second, self.third = self.all_router_budgets

    def make(self, name: str) -> RouterBudgets:
        clock = WallClock(self._clock_errors.get(name, 0))
        budgets = RouterBudgets(self.store.view(name), clock, f"{name}-a", SPACING)
        budgets.configure({"pounds": self.budget})
        if name == "r1":
            budgets.hooks.choose_witness = lambda current: self.witness
            budgets.hooks.store_at_witness = self._store_at_witness
            budgets.keep_copies = self._keep_spare_copies
            budgets.hooks.has_peers = lambda: not self.alone
        return budgets

    async def _store_at_witness(self, witness, holder, bills):
        return await self._send("r2", make_keep_request(holder, bills, witness))

    async def _keep_spare_copies(self, holder, bills, witness):
        return await self._send("r3", make_keep_request(holder, bills))

    async def _send(self, name, request):
        if f"request {name}" in self.lost or self.killed & {"r1", name}:
            return False
        budgets = self.by_name[name]
        bills = read_bills(request, budgets._clock.wall())
        kept = budgets.copies.add(request.holder, bills, request.witness)
        self.on_kept(name)
        return kept and f"reply {name}" not in self.lost

    async def reserve(self) -> None:
        """Reserve for a model request, whose cost is counted when it has run."""
        await self.open()
        await self.holder.reserve("pounds", "a", TOKENS, metered=True)
        await asyncio.sleep(2)

    async def end_answer(self) -> bool:
        """End the answer at the holder; tell whether it was completed."""
        return await end_answer(self.holder)

    def cut(self, *names: str) -> None:
        self.store.faults.cut = {*self.killed, *names}

    def kill(self, *names: str) -> None:
        self.killed |= set(names)
        self.store.faults.cut |= set(names)

    def lose_all_copies(self) -> None:
        self.lost = {"request r2", "request r3"}

    async def seal(self) -> None:
        await self.third.seal("r1-a")

    async def sweep(self, *names: str, rounds: int = 60) -> None:
        """Let routers resolve sealed holders, one round a second."""
        for _ in range(rounds):
            for name in names or ("r2", "r3"):
                if name not in self.killed:
                    await self.by_name[name].seal_lost(["r1-a", "r2-a", "r3-a"])
            await asyncio.sleep(1)

    async def kill_and_seal(self) -> None:
        self.kill("r1")
        await self.seal()
        await self.sweep()

    async def reserve_fixed(self, key: str = "a") -> None:
        """Reserve for a call of fixed cost."""
        await self.holder.reserve("pounds", key, TOKENS, "kosice")

    def list_recorded_costs(self) -> set[str]:
        grants = self.account.grants.values()
        return {key for grant in grants for key in grant.reservations}

    def read_ledger(self):
        return self.store.read_ignoring_faults(LEDGER_KIND, LEDGER_NAME)


async def end_answer(budgets: RouterBudgets) -> bool:
    until = VirtualClock().now() + 3 * SECOND
    try:
        await budgets.settle("pounds", "a", "kosice", TOKENS, until=until)
    except AnvilshiftError as error:
        if error.code != NOT_RECORDED:
            raise
        return False
    return True


class OrdersCase(VirtualTestCase):
    def assert_billed(self, routers: Routers, completed: bool) -> None:
        """Check the rule for an answer that ran, completed or not."""
        allowed = {TOKENS} if completed else {0, TOKENS}
        self.assertIn(routers.account.spent, allowed)
        self.assertEqual(
            sum(routers.account.usage.values()),
            routers.account.spent,
        )
