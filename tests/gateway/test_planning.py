"""Which target a request waits for, and when it goes elsewhere."""

import unittest
from types import SimpleNamespace

from anvilshift.core.choosing import Choice
from anvilshift.core.targetload import TargetInfo, TargetLoad
from anvilshift.gateway.planning import AttemptPlanner

LEFT = 1_000.0


class LateTurnTest(unittest.TestCase):
    """Load: the target that costs least is cold, and its next permit comes too late."""

    def choose(self, turn: float, other: Choice | None) -> Choice:
        first = Choice(self.make_target("cold"), 10.0, turn=turn)
        choices = {frozenset(): first, frozenset({"cold"}): other}
        planner = SimpleNamespace(
            routed=SimpleNamespace(end=LEFT),
            shared=SimpleNamespace(clock=SimpleNamespace(now=lambda: 0.0)),
            chooser=SimpleNamespace(
                choose=lambda excluded: choices[frozenset(excluded)],
                list_late=lambda left: {"cold"},
            ),
        )
        return AttemptPlanner._find_sooner(planner, first, set())

    def make_target(self, name: str) -> TargetLoad:
        return TargetLoad(TargetInfo(name, "llm", "10.0.0.1:80", "north", 8))

    def test_a_full_target_is_taken_before_a_turn_that_comes_too_late(self):
        """Guards against a refusal although another target takes the request."""
        full = Choice(self.make_target("full"), 400.0)
        self.assertIs(self.choose(1_500.0, full), full)

    def test_a_turn_that_comes_in_time_is_waited_for(self):
        full = Choice(self.make_target("full"), 400.0)
        self.assertEqual(self.choose(900.0, full).target.info.name, "cold")

    def test_the_refusal_names_the_first_target_if_no_other_is_in_time(self):
        late = Choice(self.make_target("full"), 1_400.0)
        for other in (late, None):
            with self.subTest(other=other):
                self.assertEqual(self.choose(1_500.0, other).target.info.name, "cold")
