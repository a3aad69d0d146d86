"""A router whose own link is full, on loopback."""

from anvilshift.core.placement.linkqueue import LinkQueue
from tests.platform.gatewaycase import GatewayCase

MEGABYTE = 1_000_000


class FullLinkTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.target = await self.add_target("d1", "desk")
        await self.start_node()
        self.written = 0
        self.pace = self.node.shared.sender.pace
        self.pace.queue = LinkQueue(rate=8.0)
        self.pace.count_written = lambda: self.written

    async def test_request_that_would_wait_long_is_refused_at_once(self):
        """Guards against callers who wait for a link that can't carry them in time."""
        await self.call("/order/1")
        self.written += 10 * MEGABYTE
        status, headers, _ = await self.call("/order/2")
        self.assertEqual(status, 503)
        self.assertIsNotNone(headers.get("retry-after"))
        self.assertEqual(len(self.target.requests), 1)

    async def test_request_that_waits_a_little_is_served(self):
        """Guards against refusals for what a link carries on in a moment."""
        self.written += MEGABYTE * 3 // 10
        status, _, _ = await self.call("/order/1")
        self.assertEqual(status, 200)
        self.assertEqual(self.pace.kept_back, 1)
