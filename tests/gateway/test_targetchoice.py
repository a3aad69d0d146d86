"""Which targets one request may be sent to."""

import unittest
from types import SimpleNamespace

from anvilshift.core.choosing import Choice
from anvilshift.core.targetload import TargetInfo, TargetLoad
from anvilshift.gateway.targetchoice import TargetChooser


def make_choice(name: str, turn: float = 0.0) -> Choice:
    target = TargetLoad(TargetInfo(name, "llm", "10.0.0.1:80", "north", 8))
    return Choice(target, 10.0, turn=turn)


class PacedTest(unittest.TestCase):
    """Load: a target has just come back, and this router has no share of its pace."""

    def choose(self, other: Choice | None) -> str:
        choices = {frozenset(): make_choice("back"), frozenset({"back"}): other}
        slow_starts = SimpleNamespace(list_closed=lambda service: {"back"})
        chooser = SimpleNamespace(
            shared=SimpleNamespace(sender=SimpleNamespace(slow_starts=slow_starts)),
            routed=SimpleNamespace(service="llm"),
            list_excluded=lambda failed: set(failed),
            _choose=lambda excluded: choices[frozenset(excluded)],
        )
        return TargetChooser.choose(chooser, set()).target.info.name

    def test_request_goes_to_another_target(self):
        """Guards against a flood of a target that has just come back."""
        self.assertEqual(self.choose(make_choice("other")), "other")

    def test_request_is_not_refused_while_no_other_target_takes_it(self):
        """Guards against refusals although a target is there."""
        self.assertEqual(self.choose(None), "back")
        self.assertEqual(self.choose(make_choice("limited", turn=500.0)), "back")


if __name__ == "__main__":
    unittest.main()
