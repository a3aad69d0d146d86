import unittest

from anvilshift.core.origins import (
    ASKED,
    KEEPERS,
    MAX_LIFETIME,
    MAX_ORIGINS,
    Origin,
    OriginTable,
    OriginVotes,
    choose_keepers,
    make_stream_key,
)
from anvilshift.core.targetload import TargetInfo
from anvilshift.core.versionhistory import VersionHistory

V1, V2 = Origin("advice", "v1"), Origin("advice", "v2")
FLEET = {f"d{n}": [f"d{n}r{m}" for m in range(80)] for n in range(27)}


class KeeperTest(unittest.TestCase):
    def test_keepers_are_in_different_failure_domains(self):
        """Guards against a stream that is forgotten with one failure domain."""
        for number in range(200):
            keepers = choose_keepers(f"k{number}", FLEET, KEEPERS)
            domains = {one.partition("r")[0] for one in keepers}
            self.assertEqual(len(domains), KEEPERS)

    def test_keepers_of_before_a_lost_router_are_asked(self):
        """Guards against a stream that nobody knows when routers come and go."""
        for number in range(200):
            key = f"k{number}"
            told = choose_keepers(key, FLEET, KEEPERS)
            left = {d: [r for r in rs if r != told[0]] for d, rs in FLEET.items()}
            asked = choose_keepers(key, left, ASKED)
            self.assertEqual(set(told[1:]) - set(asked), set())

    def test_small_fleet_is_asked_whole(self):
        routers = {"north": ["r1", "r2"], "south": ["r3", "r4"]}
        keepers = choose_keepers("k", routers, ASKED)
        self.assertEqual(sorted(keepers), ["r1", "r2", "r3", "r4"])

    def test_keepers_share_the_streams_evenly(self):
        """Guards against a router that keeps the streams of all others."""
        counts = dict.fromkeys((r for rs in FLEET.values() for r in rs), 0)
        for number in range(8_000):
            for name in choose_keepers(f"k{number}", FLEET, KEEPERS):
                counts[name] += 1
        # 24,000 of 2,160 routers: 11.1 each.
        self.assertLess(max(counts.values()), 35)


class OriginTableTest(unittest.TestCase):
    def test_key_that_is_used_twice_names_no_origin(self):
        """Guards against a stream that goes on at the version of another."""
        table = OriginTable()
        for now, origin in ((0.0, V1), (1.0, V2), (2.0, V1)):
            table.add("k", origin, now, lasts=9_000.0)
        self.assertIsNone(table.find("k", now=3.0))
        self.assertTrue(table.is_known("k", now=3.0))

    def test_resumption_lengthens_the_life_of_an_origin(self):
        table = OriginTable()
        table.add("k", V1, now=0.0, lasts=9_000.0)
        table.add("k", V1, now=8_000.0, lasts=9_000.0)
        self.assertEqual(table.find("k", now=16_999.0), V1)
        self.assertIsNone(table.find("k", now=17_001.0))

    def test_origin_is_kept_for_as_long_as_its_caller_waits(self):
        """Guards against a long stream that is forgotten while it runs."""
        table = OriginTable()
        table.add("k", V1, now=0.0, lasts=60_000.0)
        table.add("k2", V1, now=0.0, lasts=9e9)
        self.assertEqual(table.find("k", now=59_000.0), V1)
        self.assertIsNone(table.find("k2", now=MAX_LIFETIME + 1.0))

    def test_number_of_origins_is_bounded(self):
        """Guards against a burst that uses up the router's memory."""
        table = OriginTable()
        for number in range(MAX_ORIGINS + 10):
            table.add(f"k{number}", V1, now=0.0, lasts=9_000.0)
        self.assertEqual(len(table), MAX_ORIGINS)
        self.assertIsNone(table.find("k0", now=0.0))

    def test_keys_are_bounded_and_belong_to_one_organisation(self):
        """Guards against an organisation that takes up another one's stream."""
        long = make_stream_key("pounds", "x" * 8_000)
        self.assertLess(len(long), 30)
        self.assertNotEqual(make_stream_key("ab", "c"), make_stream_key("a", "bc"))


class VotesTest(unittest.TestCase):
    def test_different_answers_name_no_origin(self):
        votes = OriginVotes(asked=3)
        votes.add("r1", V1, is_known=True)
        votes.add("r2", V2, is_known=True)
        self.assertIsNone(votes.agree())

    def test_router_that_was_told_of_two_origins_outweighs_one(self):
        votes = OriginVotes(asked=2)
        votes.add("r1", V1, is_known=True)
        votes.add("r2", None, is_known=True)
        self.assertIsNone(votes.agree())

    def test_answer_that_comes_twice_counts_once(self):
        votes = OriginVotes(asked=3)
        votes.add("r1", V1, is_known=True)
        self.assertFalse(votes.add("r1", V1, is_known=True))
        self.assertTrue(votes.add("r2", V1, is_known=True))


class VersionHistoryTest(unittest.TestCase):
    window = 30_000.0

    def setUp(self):
        self.history = VersionHistory()

    def observe(self, begin: float, end: float, *versions: str | None) -> None:
        targets = [
            TargetInfo(f"e{n}", "advice", f"10.0.0.{n}:80", "north", 8, version=one)
            for n, one in enumerate(versions)
        ]
        now = begin
        while now <= end:
            self.history.observe(targets, now)
            now += 100.0

    def test_only_version_of_a_service_is_known(self):
        self.observe(0, 31_000, "v1", "v1")
        self.assertEqual(self.history.find_only("advice", self.window, 31_000), "v1")
        self.assertIsNone(self.history.find_only("other", self.window, 31_000))

    def test_version_that_is_gone_counts_until_its_streams_have_ended(self):
        """Guards against a stream of the old version that goes on at the new one."""
        self.observe(0, 40_000, "v1", "v2")
        self.observe(40_100, 69_000, "v2")
        self.assertIsNone(self.history.find_only("advice", self.window, 69_000))
        self.observe(69_100, 71_000, "v2")
        self.assertEqual(self.history.find_only("advice", self.window, 71_000), "v2")

    def test_router_that_has_just_started_knows_of_no_only_version(self):
        """Guards against a version that was gone before the router started."""
        self.observe(0, 29_000, "v1")
        self.assertIsNone(self.history.find_only("advice", self.window, 29_000))

    def test_register_that_was_not_read_hides_versions(self):
        """Guards against a version that came while the register was out of reach."""
        self.observe(0, 31_000, "v1")
        self.assertIsNone(self.history.find_only("advice", self.window, 34_000))
        self.observe(34_000, 35_000, "v1")
        self.assertIsNone(self.history.find_only("advice", self.window, 35_000))

    def test_router_that_has_just_started_takes_over_what_others_have_seen(self):
        """Guards against restarts after which no stream can go on."""
        self.observe(0, 31_000, "v1", "v2")
        self.observe(31_100, 40_000, "v2")
        other = VersionHistory()
        other.adopt(40_000.0, self.history.list_seen(40_000.0), 39_990.0, 40_000.0)
        self.history = other
        self.observe(40_100, 50_000, "v2")
        self.assertIsNone(other.find_only("advice", self.window, 50_000.0))
        self.observe(50_100, 62_000, "v2")
        self.assertEqual(other.find_only("advice", self.window, 62_000.0), "v2")

    def test_version_that_has_just_gone_is_told_to_a_router_that_starts(self):
        """Guards against a version whose last engine left as the router started."""
        self.observe(0, 40_000, "v1", "v2")
        self.observe(40_100, 41_500, "v2")
        other = VersionHistory()
        other.adopt(41_500.0, self.history.list_seen(41_500.0), 41_490.0, 41_500.0)
        self.history = other
        self.observe(41_600, 42_000, "v2")
        self.assertIsNone(other.find_only("advice", self.window, 42_000.0))

    def test_version_unseen_by_the_sender_is_told_by_the_receiver(self):
        """Guards against an engine replaced between two routers' readings."""
        self.observe(0, 40_000, "v1")
        other = VersionHistory()
        other.adopt(40_000.0, self.history.list_seen(40_000.0), 39_990.0, 40_000.0)
        self.history = other
        self.observe(40_500, 41_000, "v2")
        self.assertIsNone(other.find_only("advice", self.window, 41_000.0))

    def test_router_that_stood_still_knows_of_no_only_version(self):
        """Guards against versions that came while the router's clock stood still."""
        self.observe(0, 31_000, "v1")
        self.history.restart()
        self.observe(31_100, 32_000, "v1")
        self.assertIsNone(self.history.find_only("advice", self.window, 32_000))

    def test_unknown_version_may_be_any(self):
        self.observe(0, 31_000, "v1", None)
        self.assertIsNone(self.history.find_only("advice", self.window, 31_000))
        self.observe(31_100, 70_000, None)
        self.assertIsNone(self.history.find_only("advice", self.window, 70_000))
