"""Which requests the soak counts against an engine's reported limit."""

import unittest

from bench.soak.limits import LimitWatch


class LimitWatchTest(unittest.TestCase):
    def test_requests_before_the_first_limit_are_not_counted(self):
        """Guards against counting requests of routers that couldn't know the limit."""
        watch = LimitWatch()
        for n in range(11):
            watch.count_arrival(9_000.0 + n)
        watch.set_rate(0.5, now=9_500.0)
        self.assertIsNone(watch.count_arrival(9_600.0))
        self.assertEqual(watch.count_arrival(12_900.0), 2)

    def test_requests_before_a_lower_limit_are_counted(self):
        watch = LimitWatch()
        watch.set_rate(5.0, now=0.0)
        for n in range(4):
            watch.count_arrival(9_000.0 + n)
        watch.set_rate(0.5, now=9_500.0)
        self.assertEqual(watch.count_arrival(12_900.0), 5)


if __name__ == "__main__":
    unittest.main()
