"""The dispatcher's timers on a loop that may stand still."""

import asyncio
import time
import unittest

from anvilshift.core.clock import SECOND, MonotonicClock
from anvilshift.router.dispatching import DispatchLoop


class StubDispatcher:
    """Is due every 10 ms, and remembers when it was asked."""

    def __init__(self, clock):
        self.clock = clock
        self.ticks = []

    def next_tick(self, now):
        last = self.ticks[-1] if self.ticks else self.begun
        return last + 10.0

    def tick(self, now):
        self.ticks.append(now)
        return []


class HeldUpTest(unittest.IsolatedAsyncioTestCase):
    def start(self):
        self.clock = MonotonicClock()
        self.stub = StubDispatcher(self.clock)
        self.stub.begun = self.clock.now()
        DispatchLoop(self.stub, self.clock).act([])

    async def wait_ticks(self, count):
        async with asyncio.timeout(10.0):
            while len(self.stub.ticks) < count:
                await asyncio.sleep(0.001)

    async def test_nothing_is_judged_before_what_arrived_meanwhile_is_read(self):
        """Guards against healthy targets left for a pause of the router itself."""
        self.start()
        time.sleep(0.3)  # noqa: ASYNC251
        woken = self.clock.now()
        await self.wait_ticks(1)
        self.assertGreaterEqual(self.stub.ticks[0], woken + 50.0)

    async def test_loop_that_is_always_late_judges_all_the_same(self):
        """Guards against a busy router that never acts on what is due."""
        self.start()
        until = self.clock.now() + 2 * SECOND
        while self.clock.now() < until:
            time.sleep(0.1)  # noqa: ASYNC251
            await asyncio.sleep(0)
        self.assertGreaterEqual(len(self.stub.ticks), 3)


if __name__ == "__main__":
    unittest.main()
