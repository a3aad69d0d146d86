import unittest

from anvilshift.core.usage import RELEASE_TIME, SpendingBounds, Use, UseRecord

POUNDS = "pounds"


def make_record(**fields) -> UseRecord:
    uses = {POUNDS: Use(recorded=1_000, at_once=100, cushion=1_000)}
    return UseRecord("a.1", "10.0.0.1", 50_000.0, 90_000.0, "b1", uses=uses, **fields)


class UseTest(unittest.TestCase):
    def test_the_limit_grows_slowly_at_first_up_to_the_cushion(self):
        use = Use(recorded=1_000, at_once=100, cushion=1_000)
        spent = [use.find_limit(at) for at in (0.0, 2_000.0, 4_000.0, RELEASE_TIME)]
        # 100 at any time; of the other 900, a sixteenth after a quarter of the time.
        self.assertEqual(spent, [1_100, 1_156, 1_325, 2_000])

    def test_the_limit_never_exceeds_the_cushion(self):
        use = Use(recorded=1_000, at_once=100, cushion=1_000)
        self.assertEqual(use.find_limit(3_600_000.0), 2_000)
        self.assertIsNone(use.find_wait(2_001, 0.0))

    def test_after_the_wait_the_amount_may_be_spent(self):
        use = Use(recorded=1_000, at_once=100, cushion=1_000)
        wait = use.find_wait(1_325, 1_000.0)
        self.assertEqual(wait, 3_000.0)
        self.assertEqual(use.find_limit(1_000.0 + wait), 1_325)

    def test_a_record_bounds_what_was_spent(self):
        self.assertEqual(
            make_record().bound(2_000.0)[POUNDS], SpendingBounds(1_000, 1_156)
        )


class ReadClockTest(unittest.TestCase):
    def test_the_clock_of_the_same_boot_gives_the_time(self):
        self.assertEqual(make_record().read_clock("b1", 51_500.0, 91_500.0), 1_500.0)

    def test_a_restarted_clock_proves_nothing(self):
        """A host loses power, and its steady clock restarts from another value.

        If it were taken for the old clock, it could show that no time has passed, and
        the tokens spent in the store outage before would be granted again.
        """
        record = make_record()
        self.assertIsNone(record.read_clock("b2", 51_500.0, 91_500.0))
        self.assertIsNone(record.read_clock("b1", 49_000.0, 91_500.0))
        self.assertIsNone(record.read_clock("b1", 50_100.0, 99_000.0))

    def test_an_unknown_boot_identifier_proves_nothing(self):
        record = UseRecord("a.1", "10.0.0.1", 50_000.0, 90_000.0, boot="")
        self.assertIsNone(record.read_clock("", 51_500.0, 91_500.0))

    def test_a_time_of_day_that_was_set_proves_nothing(self):
        self.assertIsNone(make_record().read_clock("b1", 51_500.0, 88_000.0))
