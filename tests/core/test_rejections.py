import random
import unittest

from anvilshift.core.choosing import choose_plain_target
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.rejections import RejectionRate
from anvilshift.core.targetload import TargetInfo


class RejectionRateTest(unittest.TestCase):
    def test_an_estimate_follows_what_the_target_does(self):
        rate = RejectionRate()
        for number in range(40):
            rate.add(rejected=number % 2 == 0, now=number * 10.0)
        self.assertAlmostEqual(rate.find(now=400.0), 0.5, delta=0.1)
        for number in range(40):
            rate.add(rejected=False, now=400.0 + number * 10.0)
        self.assertLess(rate.find(now=800.0), 0.01)

    def test_an_estimate_fades_without_samples(self):
        """Guards against a target that is avoided for good for what it once did."""
        rate = RejectionRate()
        rate.add(rejected=True, now=0.0)
        self.assertLess(rate.find(now=20_000.0), 0.001)


class PlacementTest(unittest.TestCase):
    def test_a_target_that_rejects_half_gets_few_of_the_requests(self):
        """Guards against a target that looks idle because it rejects requests."""
        loads, rng = LoadMap(), random.Random(1)
        for name in ("d1", "d2", "d3"):
            loads.declare(TargetInfo(name, "desk", f"{name}:1", "north", slots=6))
        sent = {"d1": 0, "d2": 0, "d3": 0}
        for number in range(600):
            now = number * 20.0
            choice = choose_plain_target(loads, "desk", "north", 30.0, rng, now)
            name = choice.target.info.name
            sent[name] += 1
            rejected = name == "d1" and rng.random() < 0.5
            choice.target.rejections.add(rejected, now)
        # A third would be 200; once in a while it has to be tried again.
        self.assertLess(sent["d1"], 60)
        self.assertGreater(sent["d1"], 0)
