import asyncio
import unittest

from anvilshift.core.account import BillState
from anvilshift.router.outcomes import BillOutcomes


class BillOutcomesTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_waiting_answers_get_the_outcome_of_a_bill(self):
        """One request is settled twice at the same time, and both answers wait."""
        outcomes = BillOutcomes()
        first = outcomes.expect("shop", "a")
        second = outcomes.expect("shop", "a")
        outcomes.resolve({("shop", "a"): BillState.DUPLICATE})
        states = await asyncio.gather(first, second)
        self.assertEqual(states, [BillState.DUPLICATE] * 2)

    async def test_outcome_of_a_bill_without_waiting_answers_is_ignored(self):
        outcomes = BillOutcomes()
        outcomes.resolve({("shop", "a"): BillState.RECORDED})
        self.assertFalse(outcomes.expect("shop", "a").done())

    async def test_cancelled_future_is_ignored(self):
        outcomes = BillOutcomes()
        outcomes.expect("shop", "a").cancel()
        outcomes.resolve({("shop", "a"): BillState.RECORDED})
