"""Regression tests: courses of runs that broke an invariant are played again."""

import pathlib
import tempfile
import unittest

from absl import logging

from bench.soak.course import Course
from bench.soak.drawn import draw_course
from bench.soak.isolated import draw_isolated_course
from bench.soak.run import play_course

COURSES = pathlib.Path(__file__).parent / "courses"
POISON_CHECK = "poison costs at most two engines"
LIMIT_CHECK = "limits are kept"
BILL_CHECK = "answer is billed"
DRAWN, DRAWN_SECONDS = (1, 2), 30.0
ISOLATED = range(1, 7)
NETWORK_SEEDS = range(3)
"""Seeds of the message delays; the times of events are fixed by the course."""


class CourseTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(logging.set_verbosity, logging.get_verbosity())
        logging.set_verbosity(logging.FATAL)

    def play(self, name, check=POISON_CHECK, networks=NETWORK_SEEDS):
        course = Course.load(COURSES / f"{name}.json")
        for network in networks:
            with self.subTest(network=network):
                journal = play_course(course, network)
                self.assertGreater(journal.checks[check], 0)

    def test_poison_at_an_engine_that_fails_by_itself(self):
        """Guards against a poison's crash that is attributed to the engine alone."""
        self.play("41")

    def test_poison_beside_another_suspect(self):
        """Guards against blaming another request that ran at the crashed engine."""
        self.play("48")

    def test_poison_behind_a_cut_whose_router_lost_its_record(self):
        """Guards against treating a router as gone that is only disconnected."""
        self.play("7030")

    def test_poison_in_the_first_second_of_a_cut(self):
        """Guards against a third crashed engine before the disconnection is noticed."""
        self.play("8012")

    def test_limit_that_an_engine_reports_as_it_restarts(self):
        """Guards against sending queued work before the engine's limit is known."""
        self.play("9007", LIMIT_CHECK)

    def test_limit_that_routers_exceed(self):
        """Guards against more requests to an engine than the limit that it reports."""
        self.play("71021", LIMIT_CHECK)

    def test_bill_whose_spare_copy_went_to_a_dead_router(self):
        """Guards against a bill with copies at its holder and its witness only."""
        self.play("8001", BILL_CHECK, networks=(0,))

    def test_bill_whose_witness_stopped_as_planned(self):
        """Guards against copies of bills that are lost in a planned stop."""
        self.play("8049", BILL_CHECK, networks=(1,))

    def test_bill_whose_holder_and_only_witness_end_in_an_outage(self):
        """Guards against a bill that gets no second keeper once there is one."""
        self.play("8049-outage", BILL_CHECK)

    def test_bill_of_an_isolated_router_that_is_killed(self):
        """Guards against an answer that ends while no other process has its bill."""
        self.play("4001", BILL_CHECK)

    def test_bills_of_isolated_routers_that_are_killed(self):
        """Guards against losing bills at any moment of an isolated router's end.

        The router has no witness when it loses the platform, and it is killed before
        that, while it ends answers, or later.
        """
        for seed in ISOLATED:
            with self.subTest(seed=seed):
                journal = play_course(draw_isolated_course(seed), seed)
                self.assertGreater(journal.checks[BILL_CHECK], 0)
                self.assertGreater(journal.faults["kill_router"], 0)

    def test_invariants_hold_where_routers_know_different_things(self):
        """Guards against bounds that hold only while routers have the same state.

        Prompts share prefixes, routers receive different cache events, and engines
        are declared and replaced while some routers are disconnected.
        """
        for seed in DRAWN:
            with self.subTest(seed=seed):
                journal = play_course(draw_course(seed, DRAWN_SECONDS), seed)
                self.assertGreater(journal.checks[POISON_CHECK], 0)
                self.assertGreater(journal.faults["store_prefix"], 0)

    def test_drawn_course_is_the_same_each_time(self):
        self.assertEqual(draw_course(7, 20.0), draw_course(7, 20.0))

    def test_isolated_course_is_the_same_each_time(self):
        self.assertEqual(draw_isolated_course(7), draw_isolated_course(7))

    def test_course_is_read_as_it_was_written(self):
        course = draw_course(7, 20.0)
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "course.json"
            course.save(path)
            self.assertEqual(Course.load(path), course)


if __name__ == "__main__":
    unittest.main()
