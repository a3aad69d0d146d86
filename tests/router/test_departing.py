"""Which targets are taken for leaving, from signs that may be late or wrong."""

import unittest

from anvilshift.core.clock import SECOND, ManualClock
from anvilshift.core.declarations import Catalogue, Engine, EngineGroup, TargetKind
from anvilshift.core.work import LoadReport
from anvilshift.objects.store import HostEntry
from anvilshift.router.departing import Departing


class DepartingTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.told = []
        self.departing = Departing(
            lambda target, away: self.told.append((target, away)), self.clock
        )
        engines = tuple(Engine(name, "127.0.0.1:1", "north") for name in ("e1", "e2"))
        group = EngineGroup("models", TargetKind.MODEL, engines)
        self.departing.configure(Catalogue(groups={"models": group}))

    def report(self, target, leaving=False):
        self.departing.take_report(
            LoadReport(target, 0, 0, self.clock.now(), leaving=leaving)
        )

    def list_hosts(self, *entries):
        self.departing.take_hosts(entries)

    def test_engine_that_answers_on_off_the_list_is_used_again(self):
        """Guards against engines lost one by one, each to an entry that is gone."""
        self.list_hosts(HostEntry("e1", True))
        self.list_hosts()
        self.clock.advance(9 * SECOND)
        self.report("e1")
        self.list_hosts()
        self.assertEqual(self.departing.leaving, {"e1"})
        self.clock.advance(2 * SECOND)
        self.report("e1")
        self.list_hosts()
        self.assertEqual(self.departing.leaving, frozenset())
        self.assertEqual(self.told, [("e1", True), ("e1", False)])

    def test_engine_that_vanished_and_is_silent_stays_away(self):
        self.list_hosts(HostEntry("e1", True))
        self.list_hosts()
        self.clock.advance(60 * SECOND)
        self.report("e2")
        self.report("e1", leaving=True)
        self.list_hosts()
        self.assertEqual(self.departing.leaving, {"e1"})

    def test_engine_on_the_list_as_leaving_stays_away_though_it_answers(self):
        self.list_hosts(HostEntry("e1", True))
        self.clock.advance(60 * SECOND)
        self.report("e1")
        self.list_hosts(HostEntry("e1", True))
        self.assertEqual(self.departing.leaving, {"e1"})


if __name__ == "__main__":
    unittest.main()
