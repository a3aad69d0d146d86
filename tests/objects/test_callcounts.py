import unittest

from anvilshift.objects.callcounts import CallCounts


class CallCountsTest(unittest.TestCase):
    def test_calls_are_told_by_kind_operation_and_status(self):
        counts = CallCounts()
        for status in (200, 409, 200):
            counts.add("shares", "put", status)
        counts.add("config", "watch", 0)
        told = {"config watch 0": 1, "shares put 200": 2, "shares put 409": 1}
        self.assertEqual(counts.describe(), told)
        self.assertEqual(sum(counts.list_gauges().values()), 4)
