"""A target counts as leaving until every source has withdrawn its statement."""

import unittest

from anvilshift.core.departures import HOST_LIST, REFUSED, REPORT, Departures


class DeparturesTest(unittest.TestCase):
    def test_target_returns_only_after_every_source_withdrew(self):
        departures = (
            Departures().replace_source(HOST_LIST, {"e1"}).mark(REPORT, "e1", True)
        )
        departures = departures.replace_source(HOST_LIST, set())
        self.assertEqual(departures.leaving, {"e1"})
        self.assertEqual(departures.mark(REPORT, "e1", False).leaving, frozenset())

    def test_statement_of_a_peer_is_not_forwarded(self):
        """If two routers each repeated the other's statement, a target would count as
        leaving for ever, even after the original source withdrew its statement.
        """
        departures = (
            Departures().replace_source("router r2", {"e1"}).mark(REFUSED, "e2", True)
        )
        self.assertEqual(departures.leaving, {"e1", "e2"})
        self.assertEqual(departures.told, frozenset())

    def test_statement_of_a_lost_peer_is_removed(self):
        departures = Departures().replace_source("router r2", {"e1"})
        self.assertEqual(departures.keep([HOST_LIST]).leaving, frozenset())
