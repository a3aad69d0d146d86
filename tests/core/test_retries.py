import unittest

from anvilshift.core.retries import RetryBudget
from anvilshift.core.work import Failure


class RetryBudgetTest(unittest.TestCase):
    def test_a_larger_fleet_leaves_each_router_fewer_retries(self):
        """Guards against a reserve that isn't reduced when the fleet grows.

        If each of 32 routers kept the reserve of a router in a fleet of four, they
        would together send eight times the intended number of retries when engines
        fail everywhere.
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
            budget.add_answer()
        self.assertTrue(budget.take(Failure.BROKE_OFF))
