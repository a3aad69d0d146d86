"""Requests that are kept back while a router's own link is full."""

import asyncio
import unittest

from anvilshift.core.clock import MonotonicClock
from anvilshift.core.placement.linkqueue import LinkQueue
from anvilshift.gateway.linkpace import LinkPace
from anvilshift.gateway.planning import MAX_LINK_WAIT

SECOND_OF_WORK = 1_000_000
"""Bytes that take a link of 8 Mbit/s a second."""


class LinkPaceTest(unittest.IsolatedAsyncioTestCase):
    def make(self, written: int, rate: float | None = 8.0) -> None:
        self.written = 0
        queue = LinkQueue(rate) if rate else None
        self.pace = LinkPace(queue, MonotonicClock(), lambda: self.written)
        self.pace.find_expected(0)
        self.written = written

    async def test_request_is_kept_back_while_the_link_is_full(self):
        """Guards against requests that wait where no deadline is heard."""
        self.make(SECOND_OF_WORK)
        waiting = asyncio.create_task(self.pace.wait(800))
        await asyncio.sleep(0)
        self.assertFalse(waiting.done())
        waiting.cancel()
        await asyncio.wait([waiting])
        self.assertTrue(waiting.cancelled())

    async def test_request_is_sent_at_once_where_there_is_room(self):
        """Guards against waits that nothing calls for."""
        for written, rate in ((10_000, 8.0), (SECOND_OF_WORK, None)):
            self.make(written, rate)
            async with asyncio.timeout(5):
                await self.pace.wait(800)
            self.assertEqual(self.pace.kept_back, 0)

    async def test_wait_behind_others_is_expected_and_forgotten(self):
        """Guards against callers who wait for what a full link can't do in time."""
        self.make(SECOND_OF_WORK // 2)
        held = [
            asyncio.create_task(self.pace.wait(SECOND_OF_WORK // 2)) for _ in range(2)
        ]
        await asyncio.sleep(0)
        behind = self.pace.find_expected(SECOND_OF_WORK)
        self.assertGreater(behind, MAX_LINK_WAIT)
        self.assertLess(self.pace.find_expected(800), MAX_LINK_WAIT)
        for task in held:
            task.cancel()
        await asyncio.wait(held)
        # Each of the two would have taken half a second.
        self.assertLess(self.pace.find_expected(SECOND_OF_WORK), behind - 900.0)
