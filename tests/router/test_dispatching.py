"""Tests of the dispatcher's timers when the event loop is blocked or late."""

import asyncio
import unittest

from anvilshift.core.clock import SECOND
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.standins.virtual import VirtualClock
from tests.router.nodes import VirtualTestCase

EVENT_S = 0.0001
"""Time that the loop spends on an event."""


class StubDispatcher:
    """A dispatcher with a tick due every 10 ms that records when it is ticked."""

    def __init__(self, clock):
        self.clock = clock
        self.ticks = []

    def next_tick(self, now):
        last = self.ticks[-1] if self.ticks else self.begun
        return last + 10.0

    def tick(self, now):
        self.ticks.append(now)
        return []


class BlockedLoopTest(VirtualTestCase):
    def start(self):
        self.clock = VirtualClock()
        self.stub = StubDispatcher(self.clock)
        self.stub.begun = self.clock.now()
        loop = DispatchLoop(self.stub, self.clock)
        loop.act([])
        return loop

    async def wait_ticks(self, count):
        async with asyncio.timeout(10.0):
            while len(self.stub.ticks) < count:
                await asyncio.sleep(0.001)

    async def test_first_tick_after_a_pause_is_delayed(self):
        """A pause of the router itself must not make it abandon healthy targets.

        Answers that arrived during the pause must be read before the next tick.
        """
        self.start()
        asyncio.get_running_loop().block(0.3)
        resumed = self.clock.now()
        await self.wait_ticks(1)
        self.assertGreaterEqual(self.stub.ticks[0], resumed + 50.0)

    async def test_loop_that_is_always_late_still_ticks(self):
        """A busy router whose timers are always late must still run its ticks."""
        self.start()
        until = self.clock.now() + 2 * SECOND
        while self.clock.now() < until:
            asyncio.get_running_loop().block(0.1)
            await asyncio.sleep(0)
        self.assertGreaterEqual(len(self.stub.ticks), 3)

    async def test_tick_runs_between_steady_events(self):
        """Guards against putting off a due tick at each event of a busy router."""
        loop = self.start()
        until = self.clock.now() + 300.0
        while self.clock.now() < until:
            loop.act([])
            asyncio.get_running_loop().block(EVENT_S)
            await asyncio.sleep(0)
        self.assertGreaterEqual(len(self.stub.ticks), 10)


if __name__ == "__main__":
    unittest.main()
