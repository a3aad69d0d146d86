"""Who can bill an answer, for forced orders of heartbeats, commits and the kill."""

import asyncio
import unittest

from anvilshift.core.clock import SECOND
from anvilshift.core.declarations import Budget
from anvilshift.objects import ledgers
from anvilshift.router.budgets import LEDGER_KIND, LEDGER_NAME
from tests.router.billorders import TOKENS, OrdersCase, Routers, end_answer
from tests.router.nodes import LEASE, InProcessFleet, VirtualTestCase


class HeartbeatOrdersTest(VirtualTestCase):
    """Heartbeats are lost before or after the last commit, among whole routers."""

    async def start(self, peer_cuts=()):
        """Start whole routers; the first commit of `r1` precedes all heartbeats."""
        self.fleet = InProcessFleet()
        self.fleet.cut_peers(*peer_cuts)
        await self.fleet.start("r1", "r2", "r3")
        self.addAsyncCleanup(self.fleet.close)
        await ledgers.top_up(self.fleet.platform, "pounds", "invoice", 500_000)
        self.budgets = self.fleet.nodes["r1"].budgets
        self.incarnation = self.fleet.nodes["r1"].fleet.member.incarnation
        await self.budgets.reserve("pounds", "a", TOKENS, metered=True)
        await asyncio.sleep(3)
        self.assertEqual(self.read_witness(), "")

    async def start_with_witness(self):
        """Start whole routers; a commit of `r1` follows the first heartbeats."""
        await self.start()
        await self.commit("first")
        self.assertNotEqual(self.read_witness(), "")

    async def commit(self, key: str) -> None:
        await self.budgets.reserve("pounds", key, 1, metered=True)
        await self.budgets.settle("pounds", key, "kosice", 1)
        await asyncio.sleep(3)

    def read_account(self):
        body = self.fleet.platform.read_ignoring_faults(LEDGER_KIND, LEDGER_NAME)
        return ledgers.decode_ledger(body).account("pounds")

    def read_witness(self) -> str:
        return self.read_account().grant(self.incarnation).witness

    async def lose_heartbeats(self) -> None:
        self.fleet.cut_peers("r1")
        await asyncio.sleep(LEASE / SECOND + 1)

    async def end_cut_off(self) -> bool:
        """Cut the router from everything for good and end its answer."""
        self.fleet.cut_peers("r1")
        self.fleet.cut_from_platform("r1")
        return await end_answer(self.budgets)

    async def check(self, spent_before: int = 0, completes: bool | None = None):
        """Cut off the router, end its answer and check the rule."""
        completed = await self.end_cut_off()
        if completes is not None:
            self.assertEqual(completed, completes)
        await asyncio.sleep(60)
        self.assertTrue(self.read_account().grant(self.incarnation).sealed)
        allowed = {TOKENS} if completed else {0, TOKENS}
        self.assertIn(self.read_account().spent - spent_before, allowed)

    async def test_heartbeats_lost_together_with_the_platform(self):
        """A named witness that isn't reached must keep the answer from completing."""
        await self.start_with_witness()
        await self.check(spent_before=1, completes=False)
        self.assertEqual(self.read_account().doubt, 0)

    async def test_heartbeats_lost_for_less_than_a_lease_then_a_commit(self):
        """A commit must name the witness while its last heartbeat is recent."""
        await self.start_with_witness()
        self.fleet.cut_peers("r1")
        await self.commit("second")
        await self.check(spent_before=2, completes=False)

    async def test_heartbeats_lost_for_a_lease_without_a_commit(self):
        """A witness named in the ledger must count until a commit names another."""
        await self.start_with_witness()
        await self.lose_heartbeats()
        await self.check(spent_before=1, completes=False)

    async def test_heartbeats_lost_for_a_lease_then_a_commit_is_billed(self):
        """A commit that names no witness must not free the router to complete alone."""
        await self.start_with_witness()
        await self.lose_heartbeats()
        await self.commit("second")
        await self.check(spent_before=2)

    async def test_first_commit_before_heartbeats_then_all_lost_together(self):
        """A router that hears a possible witness must not complete without it."""
        await self.start()
        await self.check(completes=False)

    async def test_first_commit_before_heartbeats_that_are_lost_is_billed(self):
        """A router that named no witness in its only commit must not complete alone.

        It heard possible witnesses in between, but had nothing to commit.
        """
        await self.start()
        await self.lose_heartbeats()
        await self.check()

    async def test_first_commit_of_a_router_that_never_heard_others_is_billed(self):
        """A router that has heard nobody yet must not complete alone."""
        await self.start(peer_cuts={"r1"})
        await self.check()


class WitnessAtOutageTest(OrdersCase):
    async def test_first_failing_commit_does_not_change_the_witness(self):
        """An outage must not begin with a change of witness that can't be recorded.

        The router was idle while its first peer was heard; the commit that names it
        is the first one to fail.
        """
        routers = Routers(witness="")
        await routers.open()
        await routers.holder.reserve("pounds", "a", TOKENS, metered=True)
        await asyncio.sleep(2)
        routers.witness = "r2-a"
        await asyncio.sleep(10)
        routers.cut("r1")
        self.assertTrue(await end_answer(routers.holder))


class PlannedStopTest(VirtualTestCase):
    async def test_spare_that_stops_submits_the_only_copy(self):
        """A planned stop must not take the last copy of an ended answer along.

        In a fleet of two, r1 ends an answer in an outage with a copy at r2 and is
        killed; the platform is back when r2 stops, before r1 counts as lost.
        """
        fleet = InProcessFleet(engine=lambda *_: None)
        await fleet.start("r1", "r2")
        await ledgers.top_up(fleet.platform, "pounds", "invoice", 10_000)
        budgets = fleet.nodes["r1"].budgets
        budgets.configure({"pounds": Budget("pounds", allowance=100, grant=500)})
        for key in ("before", "a"):
            await budgets.reserve("pounds", key, TOKENS, "kosice", metered=True)
            await asyncio.sleep(3)
            if key == "before":
                await budgets.settle("pounds", key, "kosice", TOKENS)
        fleet.platform.faults.outage = True
        until = fleet.clock.now() + 3_000
        await budgets.settle("pounds", "a", "kosice", TOKENS, until=until)
        fleet.cut_from_platform("r1")
        fleet.cut_peers("r1")
        fleet.platform.faults.outage = False
        self.assertEqual(len(fleet.nodes["r2"].budgets.copies.list_holders()), 1)
        async with asyncio.timeout(60):
            await fleet.nodes["r2"].drain(asyncio.Event())
            await fleet.nodes["r2"].close()
        fleet.start_one("r3")
        await asyncio.sleep(120)
        accounts = await ledgers.read_accounts(fleet.platform)
        self.assertEqual(accounts["pounds"].spent, 2 * TOKENS)
        self.assertEqual(accounts["pounds"].doubt, 0)


if __name__ == "__main__":
    unittest.main()
