"""How requests wait for this router's link."""

import asyncio
import unittest

from anvilshift.core.admission.linkqueue import LinkQueue
from anvilshift.core.clock import MonotonicClock
from anvilshift.gateway.linkthrottle import LinkThrottle

REQUEST = 5_000


class LinkThrottleTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.written = 0
        self.throttle = LinkThrottle(
            MonotonicClock(), LinkQueue(rate=12.0), lambda: self.written
        )
        self.throttle.find_expected(0.0, REQUEST)

    async def test_requests_are_sent_as_the_link_drains_most_urgent_first(self):
        self.written = 225_000
        order = []

        async def send(due: float) -> None:
            await self.throttle.wait(due, REQUEST)
            order.append(due)

        tasks = [asyncio.create_task(send(due)) for due in (900.0, 300.0, 600.0)]
        await asyncio.sleep(0.02)
        self.assertEqual(order, [])
        await asyncio.wait_for(asyncio.gather(*tasks), timeout=5)
        self.assertEqual(order, [300.0, 600.0, 900.0])

    async def test_caller_that_leaves_takes_its_request_along(self):
        """Guards against a request that is sent after its caller has left."""
        self.written = 1_000_000
        waiting = asyncio.create_task(self.throttle.wait(300.0, REQUEST))
        await asyncio.sleep(0.01)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual(len(self.throttle.queue), 0)

    async def test_wait_that_is_expected_grows_with_what_waits(self):
        self.assertEqual(self.throttle.find_expected(300.0, REQUEST), 0.0)
        self.written = 1_500_000
        self.assertGreater(self.throttle.find_expected(300.0, REQUEST), 500.0)

    async def test_without_a_known_link_nothing_waits(self):
        throttle = LinkThrottle(MonotonicClock(), None, lambda: 10**9)
        await asyncio.wait_for(throttle.wait(0.0, REQUEST), timeout=1)
        self.assertEqual(throttle.find_expected(0.0, REQUEST), 0.0)
