"""What the soak counts against a limit that an engine names."""

import unittest

from bench.soak.limits import LimitWatch


class LimitWatchTest(unittest.TestCase):
    def test_requests_before_the_first_limit_are_not_counted(self):
        """Guards against a limit held against routers that nobody had told."""
        watch = LimitWatch()
        for n in range(11):
            watch.arrive(9_000.0 + n)
        watch.name(0.5, now=9_500.0)
        self.assertIsNone(watch.arrive(9_600.0))
        self.assertEqual(watch.arrive(12_900.0), 2)

    def test_requests_before_a_lower_limit_are_counted(self):
        watch = LimitWatch()
        watch.name(5.0, now=0.0)
        for n in range(4):
            watch.arrive(9_000.0 + n)
        watch.name(0.5, now=9_500.0)
        self.assertEqual(watch.arrive(12_900.0), 5)


if __name__ == "__main__":
    unittest.main()
