import math
import unittest

from anvilshift.core.health.coldtargets import ColdNeeds
from anvilshift.platform.records import ServiceRecord, TargetRecord


def read_model(**engine):
    record = ServiceRecord.model_validate({"name": "advice", "engineId": engine})
    return record.convert().model


class ModelFiguresTest(unittest.TestCase):
    def test_the_time_to_fetch_follows_size_and_rate(self):
        # 327,680 bytes are 2.62 Mbit, which 290,000 Mbit/s carry in 0.00904 ms.
        model = read_model(kvTokenBytes=327_680, linkMbps=290_000.0)
        self.assertAlmostEqual(model.fetch_per_token, 0.00904, places=5)

    def test_nothing_is_fetched_where_size_or_rate_is_missing_or_absurd(self):
        for engine in (
            {},
            {"kvTokenBytes": 327_680},
            {"linkMbps": 290_000.0},
            {"kvTokenBytes": 327_680, "linkMbps": -1.0},
            {"kvTokenBytes": 0, "linkMbps": 290_000.0},
        ):
            with self.subTest(engine):
                self.assertEqual(read_model(**engine).fetch_per_token, math.inf)


class ColdTest(unittest.TestCase):
    def read_service(self, **rest):
        return ServiceRecord.model_validate({"name": "advice", **rest}).convert().cold

    def read_end(self, **rest) -> float:
        entry = {"service": "advice", "address": "10.0.0.1:80", "zone": "north"}
        figures = {"slots": 8, "state": "ready"}
        record = TargetRecord.model_validate({**entry, **figures, **rest})
        return record.convert("e1", 100.0).cold_until

    def test_a_service_says_what_its_cold_targets_take_and_for_how_long(self):
        found = self.read_service(coldStartS=3, coldPerS=7)
        self.assertEqual(found, ColdNeeds(7.0, 3_000.0))

    def test_a_service_without_a_rate_needs_nothing(self):
        """Guards against a limit where a deployment asks for none."""
        for rest in ({}, {"coldStartS": 3}, {"coldStartS": 3, "coldPerS": 0}):
            with self.subTest(rest):
                self.assertIsNone(self.read_service(**rest))

    def test_an_entry_says_how_long_its_target_is_cold(self):
        self.assertEqual(self.read_end(coldLeftMs=2_000), 2_100.0)
        self.assertEqual(self.read_end(coldLeftMs=0), -math.inf)
        self.assertEqual(self.read_end(), -math.inf)
        self.assertEqual(self.read_end(coldLeftMs=1e18), 60_100.0)


class VersionTest(unittest.TestCase):
    def read(self, **rest):
        entry = {"service": "advice", "address": "10.0.0.1:80", "zone": "north"}
        figures = {"slots": 8, "state": "ready"}
        record = TargetRecord.model_validate({**entry, **figures, **rest})
        return record.convert("e1", 0.0).version

    def test_version_is_a_text_without_order(self):
        self.assertEqual(self.read(version="v1.10"), "v1.10")

    def test_unreadable_version_is_unknown_and_its_target_usable(self):
        """Guards against an entry that is lost for a field that only streams need."""
        for rest in ({}, {"version": ""}, {"version": 1}, {"version": ["v1"]}):
            with self.subTest(rest):
                self.assertIsNone(self.read(**rest))

    def test_long_versions_are_bounded_and_equal_only_if_the_same(self):
        """Guards against versions that are cut to the same beginning."""
        one, other = self.read(version="v" * 9_000), self.read(version="v" * 9_001)
        self.assertNotEqual(one, other)
        self.assertEqual(one, self.read(version="v" * 9_000))
        self.assertLessEqual(len(one), 64)
