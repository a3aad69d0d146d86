"""What routers know of versions after all of them were killed, suspended or cut off."""

import unittest

from anvilshift.core.origins import MAX_LIFETIME
from anvilshift.core.targetload import TargetInfo
from anvilshift.core.versionhistory import SETTLING_TIME, VersionHistory

TICK = 100.0


def make_target(version: str | None, number: int = 0) -> TargetInfo:
    return TargetInfo(
        f"e{number}", "advice", f"10.0.0.{number}:80", "north", 8, version=version
    )


class VersionHistoryCase(unittest.TestCase):
    def setUp(self):
        self.history = VersionHistory()

    def observe(self, begin: float, end: float, *versions: str | None) -> None:
        targets = [make_target(one, n) for n, one in enumerate(versions)]
        now = begin
        while now <= end:
            self.history.observe(targets, now)
            now += TICK

    def find(self, now: float) -> str | None:
        return self.history.find_only("advice", SETTLING_TIME, now)


class LossOfAllTest(VersionHistoryCase):
    def test_no_version_is_known_while_a_caller_of_before_may_come_back(self):
        """Guards against a new version that counts as the one of before."""
        # A router that lagged began the stream; its caller waits for 120 s.
        self.assertGreater(SETTLING_TIME, MAX_LIFETIME)
        self.observe(0.0, SETTLING_TIME - TICK, "v2")
        self.assertIsNone(self.find(SETTLING_TIME - TICK))
        self.observe(SETTLING_TIME, SETTLING_TIME, "v2")
        self.assertEqual(self.find(SETTLING_TIME), "v2")

    def test_routers_that_all_started_give_one_another_no_time(self):
        """Guards against routers that each add what the other one has added."""
        self.observe(0.0, 1_000.0, "v2")
        other = VersionHistory()
        other.observe([make_target("v2")], 500.0)
        for now in (1_000.0, 1_050.0, 1_100.0):
            for one, two in ((self.history, other), (other, self.history)):
                one.observe([make_target("v2")], now)
                told = two.find_covered(now), two.list_seen(now)
                one.adopt(*told, began=0.0, now=now)
        self.assertLessEqual(other.find_covered(1_100.0), 1_100.0)
        self.assertLessEqual(self.history.find_covered(1_100.0), 1_100.0)

    def test_lone_router_that_is_cut_off_vouches_for_nothing(self):
        """Guards against a survivor that has not read the register for a while."""
        self.observe(0.0, 200_000.0, "v1")
        now = 203_000.0
        self.assertEqual(self.history.find_covered(now), 0.0)
        other = VersionHistory()
        told = self.history.find_covered(now), self.history.list_seen(now)
        other.adopt(*told, began=now - 10.0, now=now)
        self.history = other
        self.observe(now, now + 1_000.0, "v2")
        self.assertIsNone(self.find(now + 1_000.0))

    def test_survivor_that_reads_the_register_vouches_for_the_version(self):
        """Guards against callers who are refused though a router has seen it all."""
        self.observe(0.0, 200_000.0, "v1")
        other = VersionHistory()
        told = self.history.find_covered(200_000.0), self.history.list_seen(200_000.0)
        other.adopt(*told, began=199_900.0, now=200_000.0)
        self.history = other
        self.observe(200_500.0, 201_000.0, "v1")
        self.assertEqual(self.find(201_000.0), "v1")


class FirstStartTest(VersionHistoryCase):
    def test_fleet_that_has_just_begun_has_had_no_other_version(self):
        """Guards against callers of a new fleet who are refused for two minutes."""
        self.observe(0.0, 500.0, "v1")
        self.history.note_beginning(500.0)
        self.observe(600.0, 1_000.0, "v1")
        self.assertEqual(self.find(1_000.0), "v1")
        self.observe(1_100.0, 2_000.0, "v1", "v2")
        self.observe(2_100.0, 2_000.0 + SETTLING_TIME, "v2")
        self.assertIsNone(self.find(2_000.0 + SETTLING_TIME))

    def test_register_that_is_read_late_hides_the_first_streams(self):
        """Guards against versions between the beginning and the first reading."""
        self.history.note_beginning(500.0)
        self.observe(3_000.0, 4_000.0, "v2")
        self.assertIsNone(self.find(4_000.0))


class LateMessageTest(VersionHistoryCase):
    def test_message_that_waited_while_the_router_stood_still_proves_nothing(self):
        """Guards against what came and went while a message lay in the socket."""
        told = 200_000.0, (("advice", "v2", 0.0),)
        self.observe(0.0, 100.0, "v2")
        self.history.restart()
        self.history.adopt(*told, began=0.0, now=5_000.0)
        self.observe(5_050.0, 6_000.0, "v2")
        self.assertIsNone(self.find(6_000.0))

    def test_message_that_comes_after_the_reading_began_anew_proves_nothing(self):
        """Guards against the same, the other way round."""
        self.observe(0.0, 100.0, "v2")
        self.observe(5_000.0, 5_100.0, "v2")
        told = 200_000.0, (("advice", "v2", 0.0),)
        self.history.adopt(*told, began=0.0, now=5_100.0)
        self.assertIsNone(self.find(5_100.0))

    def test_register_that_is_read_late_after_a_message_proves_nothing(self):
        """Guards against versions between a message and the first reading."""
        told = 200_000.0, (("advice", "v2", 0.0),)
        self.history.adopt(*told, began=0.0, now=1_500.0)
        self.observe(3_000.0, 3_400.0, "v2")
        self.assertIsNone(self.find(3_400.0))

    def test_router_that_has_read_nothing_itself_vouches_for_nothing(self):
        """Guards against gaps that add up from one router that starts to the next."""
        self.history.adopt(200_000.0, (("advice", "v2", 0.0),), 0.0, 1_500.0)
        self.assertEqual(self.history.find_covered(1_500.0), 0.0)
        self.assertIsNone(self.find(1_500.0))

    def test_versions_of_long_ago_are_forgotten(self):
        """Guards against a memory that grows with each version."""
        for number in range(10):
            self.history.note("advice", f"v{number}", number * 100_000.0)
        self.assertEqual(len(self.history._seen["advice"]), 2)

    def test_version_in_any_message_counts(self):
        """Guards against the longest history alone, whose sender lagged."""
        self.history.adopt(300_000.0, (("advice", "v2", 0.0),), 0.0, 10.0)
        self.history.adopt(10.0, (("advice", "v1", 900.0),), 0.0, 20.0)
        self.observe(50.0, 1_000.0, "v2")
        self.assertIsNone(self.find(1_000.0))


class UnseenTest(VersionHistoryCase):
    def setUp(self):
        super().setUp()
        self.observe(0.0, 140_000.0, "v1")
        self.assertEqual(self.find(140_000.0), "v1")

    def test_target_that_came_and_went_between_two_looks_counts(self):
        """Guards against an entry written and removed in one answer of the store."""
        self.assertTrue(self.history.note("advice", "v2", 140_050.0))
        self.observe(140_100.0, 150_000.0, "v1")
        self.assertIsNone(self.find(150_000.0))

    def test_known_version_is_not_new(self):
        """Guards against routers that tell one another of each entry."""
        self.assertFalse(self.history.note("advice", "v1", 140_050.0))

    def test_list_after_a_gap_hides_what_came_between(self):
        """Guards against a version that came and went while a watch was silent."""
        self.history.note_list(confirmed=139_000.0, now=140_050.0)
        self.observe(140_100.0, 140_200.0, "v1")
        self.assertEqual(self.find(140_200.0), "v1")
        self.history.note_list(confirmed=138_000.0, now=140_250.0)
        self.observe(140_300.0, 140_400.0, "v1")
        self.assertIsNone(self.find(140_400.0))

    def test_entry_that_lapsed_in_an_outage_counts(self):
        """Guards against an old version that is gone when the register is back."""
        self.observe(150_000.0, 290_000.0, "v2")
        self.assertEqual(self.find(285_000.0 + 5_000.0), "v2")
        self.observe(295_000.0, 297_000.0, "v2")
        self.assertIsNone(self.find(297_000.0))

    def test_unknown_version_beside_a_known_one_counts(self):
        """Guards against an entry without a version that is taken for none."""
        self.history.note("advice", None, 140_050.0)
        self.observe(140_100.0, 150_000.0, "v1")
        self.assertIsNone(self.find(150_000.0))
