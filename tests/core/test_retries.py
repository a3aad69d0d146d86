import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.retries import RetryBudget, RetryLimits, RetryWindow
from tests.repeats import RepeatRecord

WINDOW_S = 10.0
STEP = st.sampled_from([0.0, 0.001, 0.1, 0.24, 0.25, 0.9, 2.4, 5.0, 9.9, 10.0])
EVENT = st.tuples(
    st.integers(0, 2), st.sampled_from(["request", "retry", "arrive"]), STEP
)


class RetryWindowTest(unittest.TestCase):
    def test_an_allowance_is_available_at_once_and_again_after_a_window(self):
        window = RetryWindow(RetryLimits(ratio=0.2))
        taken = [window.take(2.0, 0.0) for _ in range(3)]
        self.assertIsNone(taken[2])
        for retry in taken[:2]:
            retry.settle(0.0)
        self.assertIsNone(window.take(2.0, 9_999.0))
        self.assertIsNotNone(window.take(2.0, 10_251.0))

    def test_ten_requests_earn_a_retry_at_once_and_five_within_a_window(self):
        window = RetryWindow(RetryLimits(ratio=0.2))
        for _ in range(9):
            window.add_request(0.0)
        self.assertIsNone(window.take(0.0, 0.0))
        window.add_request(0.0)
        retry = window.take(0.0, 0.0)
        self.assertIsNotNone(retry)
        self.assertIsNone(window.take(0.0, 100.0))
        retry.settle(100.0)

    def test_steady_requests_earn_their_whole_ratio(self):
        window, taken = RetryWindow(RetryLimits(ratio=0.2)), 0
        for number in range(400):
            now = number * 100.0
            window.add_request(now)
            retry = window.take(0.0, now)
            if retry is not None:
                retry.settle(now)
                taken += number >= 200
        # 200 requests in the last 20 s earn 40; at most a tenth is lost to rounding.
        self.assertGreaterEqual(taken, 36)
        self.assertLessEqual(taken, 40)

    def test_requests_long_ago_earn_nothing(self):
        """Guards against a burst of repeats that an earlier window earned."""
        window = RetryWindow(RetryLimits(ratio=1.0))
        for _ in range(100):
            window.add_request(0.0)
        self.assertIsNone(window.take(0.0, 5_300.0))

    def test_a_retry_in_flight_counts_until_it_has_arrived(self):
        """Guards against repeats that were held up and arrive with later ones."""
        window = RetryWindow(RetryLimits())
        retry = window.take(1.0, 0.0)
        self.assertIsNone(window.take(1.0, 60_000.0))
        retry.settle(60_000.0)
        self.assertIsNone(window.take(1.0, 69_000.0))
        self.assertIsNotNone(window.take(1.0, 70_300.0))

    def test_a_retry_that_was_not_sent_is_given_back(self):
        window = RetryWindow(RetryLimits())
        window.give_back(window.take(1.0, 0.0))
        self.assertIsNotNone(window.take(1.0, 0.0))

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(EVENT, max_size=120),
        st.lists(st.floats(0.0, 4.0), min_size=3, max_size=3),
        st.sampled_from([0.0, 0.2, 1.0]),
    )
    def test_routers_together_keep_the_bound(self, events, shares, ratio):
        """Guards against windows that each router keeps, but not all together."""
        limits = RetryLimits(ratio, WINDOW_S * 1_000)
        windows = [RetryWindow(limits) for _ in shares]
        in_flight = [[], [], []]
        record, now = RepeatRecord(), 0.0
        for router, event, step in events:
            now += step
            at = now * 1_000
            if event == "request":
                windows[router].add_request(at)
                record.requests.append(now)
            elif event == "retry":
                retry = windows[router].take(shares[router], at)
                if retry is not None:
                    in_flight[router].append(retry)
            elif in_flight[router]:
                in_flight[router].pop().settle(at)
                record.arrivals += [(now - 1e9, str(len(record.arrivals)))]
                record.arrivals.append((now, record.arrivals[-1][1]))
        excess = record.find_excess(ratio, WINDOW_S, sum(shares))
        self.assertLessEqual(excess, 1e-9)


class RetryBudgetTest(unittest.TestCase):
    def test_services_have_budgets_of_their_own(self):
        """Guards against answers of one service that are spent at another."""
        budget = RetryBudget(RetryLimits(), share=1.0)
        for _ in range(100):
            budget.add_request("chat", 0.0)
        self.assertIsNotNone(budget.take("desk", 0.0))
        self.assertIsNone(budget.take("desk", 0.0))

    def test_new_limits_take_effect_without_forgetting_what_was_sent(self):
        """Guards against a reload that refills what was used up."""
        budget = RetryBudget(RetryLimits(ratio=1.0), share=1.0)
        budget.take("desk", 0.0).settle(0.0)
        budget.configure(RetryLimits(ratio=1.0, window=20_000.0))
        self.assertIsNone(budget.take("desk", 15_000.0))
        self.assertIsNotNone(budget.take("desk", 20_600.0))

    def test_counts_are_kept_until_they_are_read(self):
        budget = RetryBudget(RetryLimits(), share=0.0)
        budget.add_request("desk", 0.0)
        self.assertFalse(budget.counts.drain(1_000.0))
        budget.counts.find("desk").repeats += 1
        ((service, span, counts),) = budget.counts.drain(2_000.0)
        self.assertEqual((service, span, counts.requests), ("desk", 1_000.0, 1))
        self.assertFalse(budget.counts.drain(3_000.0))

    def test_a_request_before_the_first_reading_is_counted_with_its_repeat(self):
        """Guards against repeats in the log without the request that they repeat."""
        budget = RetryBudget(RetryLimits(), share=0.0)
        budget.add_request("desk", 4_000_000.0)
        self.assertFalse(budget.counts.drain(4_000_100.0))
        budget.counts.find("desk").repeats += 1
        ((_, span, counts),) = budget.counts.drain(4_001_100.0)
        self.assertEqual((span, counts.requests, counts.repeats), (1_000.0, 1, 1))

    def test_a_share_is_refreshed_before_it_is_used(self):
        """Guards against a share that is used after it was taken away."""
        budget = RetryBudget(RetryLimits(), share=1.0)
        scarce = []
        budget.refresh = lambda is_scarce: (
            scarce.append(is_scarce),
            setattr(budget, "share", 0.0),
        )
        self.assertIsNone(budget.take("desk", 0.0))
        self.assertEqual(scarce, [True])

    def test_idle_services_are_forgotten(self):
        """Guards against memory that grows with each service that ever was."""
        budget = RetryBudget(RetryLimits(), share=1.0)
        budget.add_request("desk", 0.0)
        budget.take("desk", 0.0).settle(0.0)
        budget.expire(60_000.0)
        self.assertFalse(budget._windows)
