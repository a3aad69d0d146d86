import unittest

from anvilshift.core.loadmap import LONGEST_RUN, LoadMap
from anvilshift.core.prefill import longest_pause, prefill_time
from anvilshift.core.targetload import Prompt, TargetInfo

CAPACITY = 100_000


def make_map(*names: str) -> LoadMap:
    loads = LoadMap()
    for name in names or ("e1",):
        loads.declare(TargetInfo(name, "advice", "10.0.0.1:80", "north", 8))
    return loads


class LoadMapTest(unittest.TestCase):
    def send(self, loads, run, tokens, now=0.0, parts=(), cached=0, name="e1"):
        prompt = Prompt(parts, tokens, 100)
        loads.send(name, run, prompt, cached, now, CAPACITY)

    def test_backlog_is_the_pending_prefill_time_less_the_elapsed_time(self):
        loads = make_map()
        self.send(loads, "a", 6_420)
        self.send(loads, "b", 6_420)
        whole = 2 * prefill_time(6_420, 0)
        self.assertAlmostEqual(loads.targets["e1"].backlog(0.0), whole)
        self.assertAlmostEqual(loads.targets["e1"].backlog(100.0), whole - 100.0)
        loads.begin("e1", "a", 130.0)
        rest = prefill_time(6_420, 0) - 20.0
        self.assertAlmostEqual(loads.targets["e1"].backlog(150.0), rest)

    def test_the_end_of_a_run_that_never_began_clears_its_load(self):
        loads = make_map()
        self.send(loads, "a", 6_420)
        loads.end("e1", "a")
        loads.end("e1", "a")
        target = loads.targets["e1"]
        self.assertEqual((target.backlog(0.0), target.run_tokens), (0.0, 0))

    def test_a_part_is_cached_only_together_with_those_before_it(self):
        loads = make_map()
        parts = (("a", 100), ("b", 50))
        self.send(loads, "r", 150, parts=parts)
        target = loads.targets["e1"]
        self.assertEqual(target.count_cached(Prompt(parts, 150)), 150)
        mixed = Prompt((("x", 100), ("b", 50)), 150)
        self.assertEqual(target.count_cached(mixed), 0)

    def test_the_least_recently_used_parts_are_evicted(self):
        loads = make_map()
        self.send(loads, "r1", 60_000, parts=(("a", 60_000),))
        loads.end("e1", "r1")
        self.send(loads, "r2", 60_000, parts=(("b", 60_000),))
        target = loads.targets["e1"]
        self.assertEqual(list(target.parts), [])
        loads.end("e1", "r2")
        self.send(loads, "r3", 40_000, parts=(("c", 40_000),))
        self.assertEqual(list(target.parts), ["c"])

    def test_parts_that_another_router_reports_count_as_cached(self):
        loads = make_map()
        loads.hold("e1", (("a", 640),), CAPACITY)
        prompt = Prompt((("a", 640), ("b", 2)), 642, 50)
        target = loads.targets["e1"]
        self.assertEqual(target.count_cached(prompt), 640)
        self.assertEqual(target.backlog(0.0), 0.0)

    def test_a_restarted_target_has_no_load_and_an_empty_cache(self):
        loads = make_map()
        self.send(loads, "r", 100, parts=(("a", 100),))
        loads.declare(TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8, born=7))
        self.assertEqual(loads.targets["e1"].runs, {})
        self.assertEqual(loads.targets["e1"].part_tokens, 0)

    def test_runs_without_an_end_expire(self):
        loads = make_map()
        self.send(loads, "r", 100)
        loads.expire(LONGEST_RUN)
        self.assertEqual(len(loads.targets["e1"].runs), 1)
        loads.expire(LONGEST_RUN + 1.0)
        self.assertEqual(loads.targets["e1"].runs, {})

    def test_a_run_that_was_told_again_keeps_no_other_from_expiring(self):
        """Guards against runs that stay because a younger one stands before them."""
        loads = make_map()
        for run, now in (("r", 0.0), ("s", 1.0), ("r", 2.0), ("t", 3.0)):
            self.send(loads, run, 100, now=now)
        loads.expire(LONGEST_RUN + 1.5)
        self.assertEqual(list(loads.targets["e1"].runs), ["r", "t"])
        loads.expire(LONGEST_RUN + 2.5)
        self.assertEqual(list(loads.targets["e1"].runs), ["t"])

    def test_runs_of_a_lost_router_are_removed(self):
        loads = make_map()
        self.send(loads, "edge-1.aa/1", 100)
        self.send(loads, "edge-2.bb/1", 100)
        loads.remove_runs("edge-1.aa/")
        self.assertEqual(list(loads.targets["e1"].runs), ["edge-2.bb/1"])

    def test_notifications_about_unknown_targets_are_ignored(self):
        loads = make_map()
        loads.begin("e9", "a", 0.0)
        loads.end("e9", "a")
        self.send(loads, "a", 10, name="e9")

    def test_the_speed_of_a_slow_engine_is_measured(self):
        target = make_map().targets["e1"]
        for _ in range(20):
            target.measure(span=137.0, predicted=100.0)
        self.assertAlmostEqual(target.speed.value, 1.3, places=2)

    def test_short_waits_do_not_change_the_measured_speed(self):
        target = make_map().targets["e1"]
        target.measure(span=500.0, predicted=10.0)
        self.assertEqual(target.speed.value, 1.0)

    def test_only_long_prefills_make_streams_exceed_their_longest_pause(self):
        self.assertLess(longest_pause(20_000, 0, 5), 300.0)
        self.assertGreater(longest_pause(25_000, 0, 5), 300.0)
        # Of a long prompt with a cached prefix, only the rest is computed.
        self.assertLess(longest_pause(2_000, 40_000, 5), 120.0)
