"""Requests for a service whose targets are drained, all of them or some."""

import asyncio
import json

from tests.platform.test_domaindrains import DrainCase

AT_ONCE = 100.0
"""The longest that a router may hold a request which nothing can serve, in ms."""


class AllDrainedTest(DrainCase):
    """Guards against requests that wait, or cost tokens, though none can be served."""

    async def test_requests_are_refused_at_once_before_they_cost_anything(self):
        await self.add_engines(e1="south", e2="north")
        await self.start_node()
        await self.drain("south", "north")
        reserved = []
        reserve = self.node.reservations.reserve
        self.node.reservations.reserve = lambda *of: reserved.append(of) or reserve(*of)
        loop = asyncio.get_running_loop()
        spans = []
        for _ in range(3):
            began = loop.time()
            status, headers, body = await self.call("/chat/1")
            spans.append(1e3 * (loop.time() - began))
            self.assertEqual(status, 503)
            self.assertEqual(json.loads(body)["error"]["fate"], "not run")
            # A caller waits for a third of its time at most, and it has two seconds.
            self.assertTrue(0.3 <= float(headers.get("retry-after")) <= 0.75)
        lines = [fields for event, fields in self.journal.lines if event == "request"]
        self.assertEqual(len(lines), 3)
        self.assertLess(max(fields["took"] for fields in lines), AT_ONCE)
        # The caller shares the router's process, which a busy machine stops at times.
        self.assertLess(min(spans), AT_ONCE)
        self.assertEqual((reserved, self.count_runs("e1", "e2")), ([], 0))

    async def test_service_without_targets_there_is_served(self):
        await self.add_engines(e1="south")
        await self.add_target("d1", "desk", zone="north")
        await self.start_node()
        await self.drain("south", "nowhere")
        status, _, _ = await self.call("/read/1")
        self.assertEqual(status, 200)


if __name__ == "__main__":
    import unittest

    unittest.main()
