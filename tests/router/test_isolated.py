"""Budgets of a router that reaches neither the platform nor the other routers."""

import asyncio
import unittest

from anvilshift.core.errors import NOT_RECORDED, AnvilshiftError
from anvilshift.standins.virtual import VirtualClock
from tests.router.test_treasury import Bank, virtual


class IsolatedBank(Bank):
    """A bank whose first router knows others, which may be out of its reach."""

    def __init__(self) -> None:
        super().__init__(routers=2)
        self.reaches_peers = False
        self.kept: list[str] = []
        first = self.all_router_budgets[0]
        first.hooks.has_peers = lambda: True
        first.keep_copies = self.keep_copies

    async def keep_copies(self, holder, bills, witness):
        if self.reaches_peers:
            self.kept += [bill.key for _, bill in bills]
        return self.reaches_peers

    async def open_and_cut(self, **reservation):
        await self.open()
        first = self.all_router_budgets[0]
        await first.reserve("pounds", "a", 60, "kosice", **reservation)
        self.store.faults.cut = {"r1"}
        return first


class IsolatedRouterTest(unittest.TestCase):
    def settle(self, budgets, tokens=60):
        until = VirtualClock().now() + 5_000
        return budgets.settle("pounds", "a", "kosice", tokens, until=until)

    @virtual
    async def test_answer_does_not_end_while_nobody_else_has_its_bill(self):
        """Guards against bills that are lost with the only process that has them."""
        bank = IsolatedBank()
        first = await bank.open_and_cut(metered=True)
        with self.assertRaises(AnvilshiftError) as caught:
            await self.settle(first)
        self.assertEqual(caught.exception.code, NOT_RECORDED)

    @virtual
    async def test_answer_of_recorded_cost_ends(self):
        """Guards against holding back what any router can bill from the ledger."""
        bank = IsolatedBank()
        first = await bank.open_and_cut()
        await self.settle(first)

    @virtual
    async def test_answer_ends_once_a_router_keeps_its_bill(self):
        bank = IsolatedBank()
        first = await bank.open_and_cut(metered=True)
        settling = asyncio.create_task(self.settle(first))
        await asyncio.sleep(2)
        self.assertFalse(settling.done())
        bank.reaches_peers = True
        await settling
        self.assertEqual(set(bank.kept), {"a"})

    @virtual
    async def test_answer_ends_once_the_platform_has_its_bill(self):
        bank = IsolatedBank()
        first = await bank.open_and_cut(metered=True)
        settling = asyncio.create_task(self.settle(first))
        await asyncio.sleep(2)
        bank.store.faults.cut = set()
        await settling
        self.assertEqual(bank.account.spent, 60)


if __name__ == "__main__":
    unittest.main()
