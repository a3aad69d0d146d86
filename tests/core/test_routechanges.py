import unittest

from anvilshift.core.routechanges import RouteChanges
from anvilshift.core.routing import RequestKind, Rule

WINDOW = 20_000.0
RULE = Rule("r1", "a", "/x/", RequestKind.STREAMING, (("s1", 1.0),), 1e3, 1e3)


class RouteChangesTest(unittest.TestCase):
    def setUp(self):
        self.changes = RouteChanges()

    def test_message_that_vouches_for_no_time_begins_none(self):
        """Guards against routes that count as followed before they were."""
        self.changes.adopt(0.0, (), now=0.0)
        self.changes.update([RULE], now=WINDOW)
        self.assertFalse(self.changes.has_settled(RULE, WINDOW, now=WINDOW + 1.0))

    def test_change_that_another_router_saw_counts(self):
        """Guards against a route that led elsewhere before a router started."""
        self.changes.adopt(50_000.0, (("a/x/", 5_000.0),), now=0.0)
        self.changes.update([RULE], now=10.0)
        self.assertFalse(self.changes.has_settled(RULE, WINDOW, now=WINDOW - 5_001.0))
        self.assertTrue(self.changes.has_settled(RULE, WINDOW, now=WINDOW - 5_000.0))

    def test_fleet_that_has_just_begun_has_had_no_other_routes(self):
        """Guards against callers of a new fleet who are refused for two minutes."""
        self.changes.note_beginning(WINDOW, now=0.0)
        self.changes.update([RULE], now=10.0)
        self.assertTrue(self.changes.has_settled(RULE, WINDOW, now=20.0))
