"""Every sign that a target is leaving counts, until it is taken back."""

import unittest

from anvilshift.core.departures import HOST_LIST, REFUSED, REPORT, Departures


class DeparturesTest(unittest.TestCase):
    def test_target_returns_only_when_every_sign_is_taken_back(self):
        departures = Departures().take(HOST_LIST, {"e1"}).mark(REPORT, "e1", True)
        departures = departures.take(HOST_LIST, set())
        self.assertEqual(departures.leaving, {"e1"})
        self.assertEqual(departures.mark(REPORT, "e1", False).leaving, frozenset())

    def test_word_of_a_peer_is_not_passed_on(self):
        """Two routers that each repeated the other's word would keep a target
        away for ever after the first sign was taken back.
        """
        departures = Departures().take("router r2", {"e1"}).mark(REFUSED, "e2", True)
        self.assertEqual(departures.leaving, {"e1", "e2"})
        self.assertEqual(departures.told, frozenset())

    def test_lost_peer_takes_its_word_along(self):
        departures = Departures().take("router r2", {"e1"})
        self.assertEqual(departures.keep([HOST_LIST]).leaving, frozenset())
