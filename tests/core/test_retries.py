import unittest

from anvilshift.core.retries import RetryBudget
from anvilshift.core.work import Failure


class RetryBudgetTest(unittest.TestCase):
    def test_a_larger_fleet_leaves_each_router_fewer_retries(self):
        """Thirty-two routers each keep the reserve of one in a fleet of four.

        Engines fail everywhere, and together the routers send eight times more
        repeats than the targets are meant to bear.
        """
        budget = RetryBudget(reserve=24.0)
        budget.limit(3.0)
        taken = [budget.take(Failure.BROKE_OFF) for _ in range(5)]
        self.assertEqual(taken, [True, True, True, False, False])

    def test_a_smaller_fleet_earns_more_before_it_may_use_it(self):
        budget = RetryBudget(reserve=1.0)
        self.assertTrue(budget.take(Failure.BROKE_OFF))
        budget.limit(2.0)
        self.assertFalse(budget.take(Failure.BROKE_OFF))
        for _ in range(5):
            budget.earn()
        self.assertTrue(budget.take(Failure.BROKE_OFF))
