import asyncio
import unittest

from anvilshift.core.account import BillState
from anvilshift.router.outcomes import BillOutcomes


class BillOutcomesTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_who_wait_for_a_bill_hear_its_outcome(self):
        """The same request is settled twice at a time; both answers wait."""
        outcomes = BillOutcomes()
        first = outcomes.expect("shop", "a")
        second = outcomes.expect("shop", "a")
        outcomes.resolve({("shop", "a"): BillState.DUPLICATE})
        states = await asyncio.gather(first, second)
        self.assertEqual(states, [BillState.DUPLICATE] * 2)

    async def test_an_outcome_that_nobody_waits_for_is_passed_over(self):
        outcomes = BillOutcomes()
        outcomes.resolve({("shop", "a"): BillState.RECORDED})
        self.assertFalse(outcomes.expect("shop", "a").done())

    async def test_one_that_gave_up_is_passed_over(self):
        outcomes = BillOutcomes()
        outcomes.expect("shop", "a").cancel()
        outcomes.resolve({("shop", "a"): BillState.RECORDED})
