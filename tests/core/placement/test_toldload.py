import random
import unittest

from anvilshift.core.loadmap import LoadMap
from anvilshift.core.placement.toldload import (
    REQUESTS_VALID,
    SLOWNESS_VALID,
    LoadReport,
    ToldLoad,
)
from anvilshift.core.targetload import Prompt, TargetInfo


def make_map() -> LoadMap:
    loads = LoadMap()
    loads.declare(TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8))
    return loads


class FiguresTest(unittest.TestCase):
    def test_figures_that_cannot_be_true_are_refused(self):
        """Guards against a target that draws all requests by absurd figures."""
        nan, inf = float("nan"), float("inf")
        for figures in (
            (),
            (1, 2),
            (1, 0, 0),
            (-1, 0, 8),
            (0, -3, 8),
            (1, 0, 8, 0),
            (1, 0, 8, -250),
            (1, 0, 8, 1e9),
            (1e12, 0, 8),
            (nan, 0, 8),
            (1, inf, 8, 100),
            (1, 0, 8, 100, 5),
        ):
            with self.subTest(figures), self.assertRaises(ValueError):
                ToldLoad.from_figures(figures)

    def test_any_figures_make_a_load_or_a_value_error(self):
        odd = (0.0, -0.0, 1.0, 7.5, -1.0, 100.0, 1e5, 1e18, 1e308, 5e-324)
        values = [*odd, float("nan"), float("inf"), float("-inf")]
        rng = random.Random(1)
        for _ in range(5_000):
            figures = rng.choices(values, k=rng.randrange(7))
            try:
                load = ToldLoad.from_figures(figures)
            except ValueError:
                continue
            self.assertGreaterEqual(load.slots, 1, figures)

    def test_figures_survive_the_way_to_other_routers(self):
        for figures in ((3, 1, 8), (3, 1, 8, 250.0)):
            load = ToldLoad.from_figures(figures)
            self.assertEqual(ToldLoad.from_figures(load.list_figures()), load)


class ReportTest(unittest.TestCase):
    def test_an_old_figure_counts_for_nothing(self):
        """Guards against requests that avoid a target because it was slow once."""
        report = LoadReport(ToldLoad(9, 3, 8, 2.5), at=0.0, known=2)
        self.assertEqual(report.find_slowness(1.2, SLOWNESS_VALID), 1.2)
        self.assertEqual(report.count_unknown(REQUESTS_VALID), 0.0)

    def test_a_figure_from_the_future_counts_no_more_than_a_new_one(self):
        """Guards against clocks that differ between routers."""
        report = LoadReport(ToldLoad(9, 3, 8, 2.5), at=1_000.0, known=2)
        self.assertEqual(report.find_slowness(1.0, 0.0), 2.5)

    def test_told_requests_that_are_known_are_not_counted_twice(self):
        """Guards against a target that looks twice as full as it is."""
        loads = make_map()
        target = loads.targets["e1"]
        for run in ("a", "b", "c"):
            loads.send("e1", run, Prompt(), 0, 0.0, 0)
        target.record_told(ToldLoad(4, 1, 8, 1.0), at=0.0)
        self.assertEqual(target.count_requests(0.0), 5)
        # Another router tells of one of the two requests that were unknown.
        loads.send("e1", "d", Prompt(), 0, 5.0, 0, is_news=True)
        self.assertAlmostEqual(target.count_requests(5.0), 4 + 0.99)

    def test_told_requests_never_hide_those_that_are_known(self):
        """Guards against a herd at a target that told that it was idle."""
        loads = make_map()
        target = loads.targets["e1"]
        for n in range(6):
            loads.send("e1", str(n), Prompt(), 0, 0.0, 0)
        target.record_told(ToldLoad(0, 0, 8, 1.0), at=0.0)
        self.assertEqual(target.count_requests(0.0), 6)

    def test_a_late_message_does_not_replace_a_newer_figure(self):
        loads = make_map()
        target = loads.targets["e1"]
        target.record_told(ToldLoad(1, 0, 8, 2.5), at=100.0)
        target.record_told(ToldLoad(1, 0, 8, 1.0), at=40.0)
        self.assertEqual(target.find_slowness(100.0), 2.5)

    def test_a_target_that_tells_nothing_more_is_as_slow_as_it_usually_was(self):
        """Guards against a slow machine that counts as any other after a second."""
        loads = make_map()
        loads.declare(TargetInfo("e2", "advice", "10.0.0.2:80", "north", 8))
        for n in range(20):
            loads.targets["e1"].record_told(ToldLoad(1, 0, 8, 1.6), at=float(n))
            loads.targets["e2"].record_told(ToldLoad(1, 0, 8, 0.6), at=float(n))
        slow, fast = (loads.targets[n].find_slowness(5_000.0) for n in ("e1", "e2"))
        self.assertAlmostEqual(slow, 1.6, delta=0.15)
        self.assertAlmostEqual(fast, 0.6, delta=0.06)

    def test_three_figures_change_nothing_but_the_record(self):
        loads = make_map()
        target = loads.targets["e1"]
        target.record_told(ToldLoad(8, 5, 8), at=0.0)
        self.assertEqual(target.count_requests(0.0), 0)
        self.assertFalse(loads.uses_learned_speeds("advice"))


if __name__ == "__main__":
    unittest.main()
