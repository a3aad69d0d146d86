"""Which paths count as broken, as connections open and fail in any order."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from anvilshift.core.paths import TargetPaths

NAMES = ("e1", "e2", "e3")


class BrokenPathTest(unittest.TestCase):
    def test_one_broken_path_leaves_the_others_in_use(self):
        paths = TargetPaths()
        paths.break_path("e1", now=0.0)
        self.assertFalse(paths.is_direct("e1"))
        self.assertTrue(paths.is_direct("e2"))

    def test_paths_that_break_long_apart_raise_no_doubt(self):
        """Guards against two dead engines that are taken for a cut router."""
        paths = TargetPaths()
        paths.break_path("e1", now=0.0)
        paths.break_path("e2", now=2_100.0)
        self.assertTrue(paths.is_direct("e3"))

    def test_a_target_heard_since_the_doubt_is_in_use(self):
        """Guards against targets that are given up though their connections work."""
        paths = TargetPaths()
        paths.break_path("e1", now=0.0)
        paths.hear("e3", now=50.0)
        paths.break_path("e2", now=100.0)
        self.assertTrue(paths.is_direct("e3"))
        self.assertFalse(paths.is_direct("e4"))

    def test_probes_are_ever_further_apart(self):
        """Guards against a long cut in which connections are tried all the time."""
        paths = TargetPaths()
        paths.break_path("e1", now=0.0)
        probes = []
        for now in range(0, 6_000, 100):
            for name in paths.list_due(now):
                paths.note_probe(name, now)
                probes.append(now)
        self.assertEqual(probes, [300, 900, 2_100, 3_600, 5_100])

    def test_a_slow_engine_is_not_checked_as_early_as_a_silent_service(self):
        paths = TargetPaths()
        self.assertTrue(paths.should_check("d1", 0.0, False, 300.0))
        self.assertFalse(paths.should_check("e1", 0.0, True, 700.0))
        self.assertTrue(paths.should_check("e1", 0.0, True, 800.0))

    def test_a_silent_target_is_checked_once_a_second(self):
        """Guards against a frozen engine at which each router opens connections."""
        paths, checks = TargetPaths(), []
        for now in range(0, 3_000, 100):
            if paths.should_check("d1", 0.0, False, now):
                paths.note_check("d1", now)
                checks.append(now)
        self.assertEqual(checks, [300, 1_300, 2_300])

    def test_forgetting_the_last_broken_path_ends_the_doubt(self):
        paths = TargetPaths()
        paths.break_path("e1", now=0.0)
        paths.break_path("e2", now=10.0)
        paths.retain(["e2", "e3"])
        self.assertFalse(paths.is_direct("e3"))
        paths.forget("e2")
        self.assertTrue(paths.is_direct("e3"))


EVENTS = st.lists(
    st.tuples(
        st.sampled_from(("break", "restore", "hear", "forget", "check")),
        st.sampled_from(NAMES),
        st.floats(0.0, 500.0),
    ),
    max_size=40,
)


class PathPropertyTest(unittest.TestCase):
    @given(EVENTS)
    def test_a_path_just_restored_is_direct_and_one_just_broken_is_not(self, events):
        paths, now = TargetPaths(), 0.0
        for kind, name, span in events:
            now += span + 1.0
            if kind == "break":
                paths.break_path(name, now)
                self.assertFalse(paths.is_direct(name))
                self.assertIn(name, paths.list_broken())
            elif kind == "restore":
                paths.restore(name, now)
                self.assertTrue(paths.is_direct(name))
            elif kind == "hear":
                paths.hear(name, now)
            elif kind == "forget":
                paths.forget(name)
                self.assertNotIn(name, paths.list_broken())
            else:
                paths.note_check(name, now)
            if not paths.list_broken():
                self.assertTrue(all(map(paths.is_direct, NAMES)))
