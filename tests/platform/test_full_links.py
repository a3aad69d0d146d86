"""A gateway whose link is full keeps requests, and refuses what would be too late."""

import asyncio

from anvilshift.core.admission.linkqueue import LinkQueue
from tests.platform.gatewaycase import GatewayCase


class FullLinkTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.add_target("e1", "llm")
        self.desk = await self.add_target("d1", "desk")
        await self.start_node()
        await self.warm_up(self.node)
        self.written = 0
        self.node.link_throttle.queue = LinkQueue(rate=12.0)
        self.node.link_throttle.count_written = lambda: self.written
        self.node.link_throttle.find_expected(0.0, 0)

    async def test_request_waits_for_the_link_and_is_served(self):
        self.written = 600_000
        began = asyncio.get_running_loop().time()
        status, _, _ = await self.call("/order/1")
        self.assertEqual(status, 200)
        self.assertGreater(asyncio.get_running_loop().time() - began, 0.2)

    async def test_what_can_not_be_sent_in_time_is_refused_at_once_and_not_run(self):
        """Guards against requests that wait for a full link until their deadlines."""
        self.written = 9_000_000
        before = len(self.desk.runs)
        began = asyncio.get_running_loop().time()
        status, headers, _ = await self.call("/order/1")
        self.assertEqual(status, 503)
        self.assertIn("retry-after", dict(headers.pairs))
        self.assertLess(asyncio.get_running_loop().time() - began, 0.5)
        self.assertEqual(len(self.desk.runs), before)
