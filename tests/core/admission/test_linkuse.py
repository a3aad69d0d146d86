"""How much of a link small and large packets use."""

import unittest

from anvilshift.core.admission.linkuse import LinkUse, Traffic
from anvilshift.core.admission.newsbatching import find_news_batching


class LinkUseTest(unittest.TestCase):
    def measure(self, sent: Traffic, received: Traffic) -> LinkUse:
        """Return the use of a link of 12 Mbit/s after ten seconds of some traffic."""
        use = LinkUse(rate=12.0)
        use.update(Traffic(), Traffic(), 0.0)
        use.update(sent, received, 10_000.0)
        return use

    def test_headers_of_short_events_count(self):
        """Guards against a link that is full while its content fits.

        2,000 events of 130 bytes a second are 2.1 Mbit/s; 66 bytes go before each.
        """
        use = self.measure(Traffic(2_600_000, 20_000), Traffic())
        self.assertAlmostEqual(use.sent, 20_000 * (130 + 66) / 15_000_000, places=2)

    def test_acknowledgements_take_the_other_direction(self):
        use = self.measure(Traffic(2_600_000, 20_000), Traffic())
        self.assertAlmostEqual(use.received, 10_000 * 66 / 15_000_000, places=1)

    def test_headers_of_datagrams_count(self):
        sent = Traffic(datagram_bytes=1_000_000, datagrams=10_000)
        use = self.measure(sent, Traffic())
        self.assertAlmostEqual(use.sent, 1_420_000 / 15_000_000, places=2)

    def test_use_falls_within_a_second(self):
        use = LinkUse(rate=8.0)
        sent = Traffic(datagram_bytes=1_000_000)
        use.update(Traffic(), Traffic(), 0.0)
        use.update(sent, Traffic(), 1_000.0)
        use.update(sent, Traffic(), 2_000.0)
        self.assertLess(use.sent, 0.2)


class NewsBatchingTest(unittest.TestCase):
    def test_idle_link_sends_news_as_before(self):
        batching = find_news_batching(0.2)
        self.assertEqual((batching.delay, batching.is_compact), (0.0, False))

    def test_news_is_compact_before_it_waits(self):
        self.assertEqual(find_news_batching(0.5).delay, 0.0)
        self.assertTrue(find_news_batching(0.5).is_compact)
        self.assertGreater(find_news_batching(0.9).delay, 0.0)
