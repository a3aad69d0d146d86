import unittest

from anvilshift.core.loadmap import LoadMap
from anvilshift.core.placement.learnedspeeds import (
    ServiceSpeeds,
    TargetSpeeds,
    WorkKind,
)
from anvilshift.core.placement.toldload import ToldLoad
from anvilshift.core.targetload import TargetInfo


def add_many(speeds: TargetSpeeds, kind: WorkKind, sample: float, now: float = 0.0):
    for _ in range(20):
        speeds.add(kind, sample, now)


class LearnedSpeedsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.service = ServiceSpeeds()
        self.one, self.other = TargetSpeeds(self.service), TargetSpeeds(self.service)

    def test_kinds_of_work_are_learned_apart(self):
        """Guards against long prompts for a target that only answers quickly."""
        add_many(self.one, WorkKind.PREFILL, 3.0)
        add_many(self.one, WorkKind.DECODE, 10.0)
        add_many(self.other, WorkKind.PREFILL, 1.0)
        add_many(self.other, WorkKind.DECODE, 30.0)
        for kind, faster in (("prefill", self.other), ("decode", self.one)):
            slower = self.one if faster is self.other else self.other
            kind = WorkKind(kind)
            self.assertLess(faster.compare(kind, 0.0), slower.compare(kind, 0.0) / 2)

    def test_a_new_target_has_the_usual_pace(self):
        """Guards against a new target that is left idle or flooded at first."""
        add_many(self.one, WorkKind.PREFILL, 0.5)
        self.assertAlmostEqual(self.other.find(WorkKind.PREFILL, 1.0, 0.0), 0.5)

    def test_old_samples_give_way_to_the_usual_pace(self):
        """Guards against a target that is avoided for what it was an hour ago."""
        add_many(self.one, WorkKind.PLAIN, 200.0)
        add_many(self.other, WorkKind.PLAIN, 50.0, now=3_600_000.0)
        usual = self.service.find(WorkKind.PLAIN)
        found = self.one.find(WorkKind.PLAIN, 1.0, 3_600_000.0)
        self.assertAlmostEqual(found, usual)

    def test_absurd_samples_change_nothing_or_little(self):
        add_many(self.one, WorkKind.PLAIN, 50.0)
        for sample in (0.0, -1.0, float("nan"), float("inf")):
            self.one.add(WorkKind.PLAIN, sample, 0.0)
        self.assertAlmostEqual(self.one.find(WorkKind.PLAIN, 1.0, 0.0), 50.0)
        self.one.add(WorkKind.PLAIN, 1e9, 0.0)
        self.assertLess(self.one.find(WorkKind.PLAIN, 1.0, 0.0), 60.0)


class TargetSpeedTest(unittest.TestCase):
    def test_a_told_slowness_is_not_learned_as_the_pace(self):
        """Guards against a target that stays slow in the map after a slow moment."""
        loads = LoadMap()
        for name in ("slow", "fast"):
            loads.declare(TargetInfo(name, "advice", "10.0.0.1:80", "north", 8))
        target = loads.targets["slow"]
        for n in range(10):
            slowness = 2.5 if n == 9 else 1.0
            target.record_told(ToldLoad(0, 0, 8, slowness), at=n * 100.0)
            span = 7.0 + 100.0 * slowness
            sample = target.normalise(WorkKind.PREFILL, span, 100.0, n * 100.0)
            target.learned_speeds.add(WorkKind.PREFILL, sample, n * 100.0)
        self.assertAlmostEqual(target.find_speed(900.0), 2.5, delta=0.1)
        self.assertAlmostEqual(target.find_speed(2_000.0), 1.1, delta=0.1)

    def test_a_service_that_tells_nothing_keeps_its_learned_speed(self):
        loads = LoadMap()
        loads.declare(TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8))
        target = loads.targets["e1"]
        for _ in range(20):
            target.measure(span=207.0, predicted=100.0)
            target.learned_speeds.add(WorkKind.PREFILL, 9.0, 0.0)
        self.assertEqual(target.find_speed(0.0), target.speed.value)
        self.assertEqual(target.compare_speed(WorkKind.PREFILL, 0.0), 1.0)


if __name__ == "__main__":
    unittest.main()
