import unittest

from anvilshift.core.usage import SPREAD_OVER, Spent, Use, UseRecord

POUNDS = "pounds"


def make_record(**fields) -> UseRecord:
    uses = {POUNDS: Use(recorded=1_000, at_once=100, cushion=1_000)}
    return UseRecord("a.1", "10.0.0.1", 50_000.0, 90_000.0, "b1", uses=uses, **fields)


class UseTest(unittest.TestCase):
    def test_little_may_be_spent_soon_after_an_answer_and_all_in_the_end(self):
        use = Use(recorded=1_000, at_once=100, cushion=1_000)
        spent = [use.most_after(at) for at in (0.0, 2_000.0, 4_000.0, SPREAD_OVER)]
        # 100 at once; of the other 900 a sixteenth after a quarter of the time.
        self.assertEqual(spent, [1_100, 1_156, 1_325, 2_000])

    def test_nothing_more_comes_after_the_cushion(self):
        use = Use(recorded=1_000, at_once=100, cushion=1_000)
        self.assertEqual(use.most_after(3_600_000.0), 2_000)
        self.assertIsNone(use.find_wait(2_001, 0.0))

    def test_the_wait_is_until_as_much_may_be_spent(self):
        use = Use(recorded=1_000, at_once=100, cushion=1_000)
        wait = use.find_wait(1_325, 1_000.0)
        self.assertEqual(wait, 3_000.0)
        self.assertEqual(use.most_after(1_000.0 + wait), 1_325)

    def test_a_record_bounds_what_was_spent(self):
        self.assertEqual(make_record().bound(2_000.0)[POUNDS], Spent(1_000, 1_156))


class ReadClockTest(unittest.TestCase):
    def test_the_clock_of_one_start_tells_the_time(self):
        self.assertEqual(make_record().read_clock("b1", 51_500.0, 91_500.0), 1_500.0)

    def test_a_clock_that_began_anew_tells_nothing(self):
        """A host loses power; its steady clock starts from somewhere else.

        Taken for the old one, it could show that no time has gone by, and the
        tokens spent in the outage before would be handed out again.
        """
        record = make_record()
        self.assertIsNone(record.read_clock("b2", 51_500.0, 91_500.0))
        self.assertIsNone(record.read_clock("b1", 49_000.0, 91_500.0))
        self.assertIsNone(record.read_clock("b1", 50_100.0, 99_000.0))

    def test_a_host_that_can_not_name_its_start_proves_nothing(self):
        record = UseRecord("a.1", "10.0.0.1", 50_000.0, 90_000.0, boot="")
        self.assertIsNone(record.read_clock("", 51_500.0, 91_500.0))

    def test_a_time_of_day_that_was_set_proves_nothing(self):
        self.assertIsNone(make_record().read_clock("b1", 51_500.0, 88_000.0))
