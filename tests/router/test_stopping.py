"""A planned stop serves on, finishes requests, settles and logs what it cut off."""

import asyncio

from anvilshift.core.clock import SECOND
from anvilshift.router.stopping import PlannedStop, StopCallbacks
from tests.router.nodes import VirtualTestCase

REQUEST = ("request-1", "kosice")


class StoppingTest(VirtualTestCase):
    def setUp(self):
        self.open = []
        self.log = []
        self.platform_out = False
        self.abandoned = asyncio.Event()

    def begin(self, grace=30 * SECOND):
        callbacks = StopCallbacks(
            self.leave,
            self.refuse,
            self.settle,
            lambda: len(self.open),
            lambda: self.open,
        )
        stop = PlannedStop(callbacks, 5 * SECOND, grace, self.abandoned)
        return stop, asyncio.ensure_future(stop.run())

    def now(self):
        return asyncio.get_running_loop().time()

    async def leave(self):
        self.log.append(("leave", self.now()))

    def refuse(self):
        self.log.append(("refuse", self.now()))

    async def settle(self):
        if not self.platform_out:
            self.log.append(("settle", self.now()))
        return not self.platform_out

    async def test_new_work_is_taken_while_callers_may_cache_the_address(self):
        stop, running = self.begin()
        self.assertEqual(await running, 0)
        self.assertTrue(stop.settled)
        self.assertEqual([step for step, _ in self.log], ["leave", "refuse", "settle"])
        for (_, at), expected in zip(self.log, (0.0, 5.0, 5.0), strict=True):
            self.assertAlmostEqual(at, expected, places=5)

    async def test_settles_only_after_the_last_request(self):
        self.open = [REQUEST]
        stop, running = self.begin()
        await asyncio.sleep(12)
        self.assertNotIn("settle", [step for step, _ in self.log])
        self.open = []
        self.assertEqual(await running, 0)
        self.assertTrue(stop.settled)

    async def test_grace_limit_logs_requests_that_are_cut_off(self):
        self.open = [REQUEST]
        _, running = self.begin(grace=8 * SECOND)
        with self.assertLogs("absl", "ERROR") as logs:
            self.assertEqual(await running, 1)
        self.assertAlmostEqual(self.now(), 8.0, places=5)
        self.assertIn("request=request-1 organisation=kosice", "".join(logs.output))

    async def test_second_signal_ends_the_stop_at_once(self):
        self.open = [REQUEST]
        _, running = self.begin()
        await asyncio.sleep(1)
        self.abandoned.set()
        self.assertEqual(await running, 1)
        self.assertAlmostEqual(self.now(), 1.0, places=5)

    async def test_settles_when_an_outage_ends_within_the_grace(self):
        self.platform_out = True
        stop, running = self.begin()
        await asyncio.sleep(20)
        self.platform_out = False
        self.assertEqual(await running, 0)
        self.assertTrue(stop.settled)

    async def test_outage_ends_the_stop_unsettled_after_the_grace(self):
        """The platform stays unavailable, so the grants can't be given back in time."""
        self.platform_out = True
        stop, running = self.begin()
        self.assertEqual(await running, 0)
        self.assertAlmostEqual(self.now(), 30.0, places=5)
        self.assertFalse(stop.settled)
