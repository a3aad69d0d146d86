import math
import unittest

from anvilshift.platform.records import ServiceRecord


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
