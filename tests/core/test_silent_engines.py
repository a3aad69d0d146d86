"""Tests of work at engines that fall silent for a moment, or for good."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.failures import Failure
from anvilshift.core.work import Cancel, DispatchSettings, Send, Target, Work
from tests.core.silentengines import FOREVER, STEP, SilentFleet

NAMES = ("e1", "e2", "e3", "e4")
SPAN = 15_000.0
WARM = 3_000.0
"""Time in which the dispatcher learns how long work takes."""

silences = st.lists(
    st.tuples(
        st.sets(st.sampled_from(NAMES), min_size=1),
        st.integers(int(WARM / STEP), int(SPAN / STEP)),
        st.integers(12, 104),
    ),
    max_size=8,
)
"""Some engines that fall silent, when, and for how long: 0.3 to 2.6 s."""


def list_silences(drawn):
    return {
        name: [
            (at * STEP, (at + span) * STEP)
            for names, at, span in drawn
            if name in names
        ]
        for name in NAMES
    }


class RandomSilencesTest(unittest.TestCase):
    @settings(max_examples=40, deadline=None)
    @given(st.integers(0, 10_000), silences, st.integers(1, 2))
    def test_silences_cost_no_answer_that_would_have_been_complete(
        self, seed, drawn, routers
    ):
        """Guards against an answer that is given up for an engine known as silent."""
        fleet = SilentFleet(seed, list_silences(drawn), routers)
        fleet.play(SPAN)
        self.assertEqual(fleet.list_lost(), [])

    @settings(max_examples=15, deadline=None)
    @given(st.integers(0, 10_000), silences, st.integers(1, 2))
    def test_silences_beside_an_engine_that_hangs_cost_no_answer(
        self, seed, drawn, routers
    ):
        """Guards against an answer that is given up for an engine that hangs."""
        times = list_silences(drawn)
        times["e1"].append((WARM, FOREVER))
        fleet = SilentFleet(seed, times, routers)
        fleet.play(SPAN)
        self.assertEqual(fleet.list_lost(), [])

    @settings(max_examples=15, deadline=None)
    @given(st.integers(0, 10_000), st.sampled_from(NAMES), st.integers(1, 2))
    def test_engine_that_hangs_for_good_is_left(self, seed, hung, routers):
        """Guards against requests that wait for a hung engine until their deadline."""
        times = {name: [] for name in NAMES}
        times[hung] = [(WARM, FOREVER)]
        fleet = SilentFleet(seed, times, routers)
        fleet.play(SPAN)
        patient = [one for one in fleet.asked if one.deadline > one.asked_at + 5_000.0]
        late = [one for one in patient if one.fate == "late" and len(one.sent) == 1]
        self.assertEqual(late, [])


class KnownSilenceTest(unittest.TestCase):
    def setUp(self):
        self.dispatcher = Dispatcher(DispatchSettings(), random.Random(0))
        self.silent: list[str] = []
        self.dispatcher.list_silent = lambda: self.silent

    def configure(self, *names):
        targets = [Target(name, "north", 8) for name in names]
        self.dispatcher.configure(targets, 0.0)
        candidates = dict.fromkeys(names, 0)
        work = Work("r1", "pounds", "advice", candidates, 10, 20, deadline=60_000.0)
        [send] = self.dispatcher.add_request(work, 0.0)
        return send.target

    def test_late_work_is_not_moved_to_a_silent_engine(self):
        """Guards against an answer that is given up, before its first token, for an
        engine that is known to be silent.
        """
        first = self.configure("e1", "e2")
        self.silent = [name for name in ("e1", "e2") if name != first]
        for now in range(0, 3_000, 50):
            self.assertEqual(self.dispatcher.tick(float(now)), [])
        self.silent = []
        actions = self.dispatcher.tick(3_500.0)
        self.assertEqual([type(one) for one in actions], [Cancel, Send])

    def test_work_returns_to_a_tried_engine_while_an_untried_one_is_silent(self):
        """Guards against a request that stays at a hung engine as another is silent."""
        first = self.configure("e1", "e2", "e3")
        [send] = self.dispatcher.failed("r1", Failure.BROKE_OFF, 10.0)
        silent = [name for name in ("e1", "e2", "e3") if name != first]
        self.assertIn(send.target, silent)
        actions = self.dispatcher.leave("r1", silent, 2_000.0)
        self.assertEqual([one.target for one in actions], [send.target, first])

    def test_first_answers_are_not_left_before_any_time_is_known(self):
        """Guards against an answer that is given up for an engine that is no faster,
        as its prompt takes longer than a router that has just started assumes.
        """
        first = self.configure("e1", "e2")
        for now in range(0, 900, 50):
            self.assertEqual(self.dispatcher.tick(float(now)), [])
        cancel, send = self.dispatcher.tick(950.0)
        self.assertEqual(cancel, Cancel("r1", first, 1))
        self.assertNotEqual(send.target, first)

    def test_slow_first_prompts_cost_no_answer(self):
        """Guards against the same at whole engines, of which none is silent."""
        fleet = SilentFleet(3616, list_silences([]))
        fleet.play(SPAN)
        self.assertEqual(fleet.list_lost(), [])

    def learn(self):
        """Let it know that answers of 60 tokens take 1.2 s."""
        for number in range(30):
            now, name = number * 10.0, f"known {number}"
            work = Work(name, "pounds", "advice", {"e1": 0}, 10, 60, deadline=1e6)
            self.dispatcher.add_request(work, now)
            self.dispatcher.first_token(name, now + 20.0)
            self.dispatcher.done(name, 60, now + 1_200.0)

    def test_answer_that_lacks_a_few_tokens_leaves_a_hung_engine(self):
        """Guards against a stream that stays at a hung engine as there is no time for
        the whole answer anew, of which a few tokens are left.
        """
        self.configure("e1", "e2")
        self.learn()
        candidates = {"e1": 0, "e2": 0}
        work = Work("r2", "pounds", "advice", candidates, 10, 60, deadline=4_500.0)
        [send] = self.dispatcher.add_request(work, 1_500.0)
        first = send.target
        self.dispatcher.first_token("r2", 1_520.0)
        self.assertEqual(self.dispatcher.leave("r2", [first], 3_900.0, 0), [])
        actions = self.dispatcher.leave("r2", [first], 3_900.0, 55)
        self.assertEqual([type(one) for one in actions], [Cancel, Send])

    def test_answer_that_lacks_a_few_tokens_goes_on_after_a_failure(self):
        """Guards against a refusal as there is no time for the whole answer anew."""
        self.configure("e1", "e2")
        self.learn()
        candidates = {"e1": 0, "e2": 0}
        work = Work("r2", "pounds", "advice", candidates, 10, 60, deadline=4_500.0)
        self.dispatcher.add_request(work, 1_500.0)
        self.dispatcher.first_token("r2", 1_520.0)
        [again] = self.dispatcher.failed("r2", Failure.BROKE_OFF, 3_900.0, 55)
        self.assertIsInstance(again, Send)


if __name__ == "__main__":
    unittest.main()
