"""Seals, copies and bills that are dated by wrong wall clocks."""

import unittest

from tests.router.billorders import DAY_S, TOKENS, OrdersCase, Routers, WallClock

HOUR_S = 3_600


class WallClockOrdersTest(OrdersCase):
    """The seal, the copy or the bill is dated by a wall clock that is wrong."""

    async def complete_and_seal(
        self, *lost: str, sealer: str = "r3", **clock_errors: int
    ) -> Routers:
        routers = Routers(**clock_errors)
        await routers.reserve()
        routers.cut("r1")
        routers.lost = set(lost)
        self.assertTrue(await routers.end_answer())
        routers.kill("r1")
        await routers.by_name[sealer].seal("r1-a")
        return routers

    async def test_seal_dated_an_hour_ahead_is_resolved_by_the_witness(self):
        """The witness must bill at once, whatever time the sealer's clock showed."""
        routers = await self.complete_and_seal("request r3", r3=HOUR_S)
        await routers.sweep()
        self.assert_billed(routers, completed=True)

    async def test_seal_dated_two_days_ago_leaves_the_witness_its_bill(self):
        """A seal with an old date must not be written off before the witness bills."""
        routers = await self.complete_and_seal("request r3", r3=-2 * DAY_S)
        # The sealer's clock is set right after the seal.
        routers.third._clock = WallClock(0)
        await routers.sweep("r3", "r2")
        self.assert_billed(routers, completed=True)

    async def test_sweep_two_days_ahead_leaves_the_witness_its_bill(self):
        """A router whose clock is ahead must not write off a holder just sealed."""
        routers = await self.complete_and_seal("request r3", sealer="r2", r3=2 * DAY_S)
        await routers.sweep("r3", "r2")
        self.assert_billed(routers, completed=True)

    async def test_bill_of_a_slow_clock_is_recognised_in_a_repeat(self):
        """A repeat within seconds must be recognised, whatever the clocks show."""
        routers = Routers(r1=-300)
        await routers.reserve()
        self.assertTrue(await routers.end_answer())
        await routers.spend(routers.third, "b", 1)
        await routers.spend(routers.third, "a", TOKENS)
        self.assertEqual(routers.account.spent, TOKENS + 1)

    async def test_bill_is_recognised_beside_a_fast_clock(self):
        """A router whose clock is ahead must not make all forget a bill."""
        routers = Routers(r3=300)
        await routers.reserve()
        self.assertTrue(await routers.end_answer())
        await routers.spend(routers.third, "b", 1)
        await routers.spend(routers.second, "a", TOKENS)
        self.assertEqual(routers.account.spent, TOKENS + 1)

    async def test_copy_of_a_slow_witness_is_recognised_in_a_repeat(self):
        """A late bill must be recognised in a repeat, whatever the witness's clock."""
        routers = await self.complete_and_seal("request r3", sealer="r2", r2=-300)
        await routers.sweep("r2", rounds=2)
        self.assertEqual(routers.account.spent, TOKENS)
        await routers.spend(routers.third, "b", 1)
        await routers.spend(routers.third, "a", TOKENS)
        self.assertEqual(routers.account.spent, TOKENS + 1)


if __name__ == "__main__":
    unittest.main()
