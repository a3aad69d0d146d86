"""Requests that a router holds as it stops as planned are answered before its end."""

import asyncio
import time
from dataclasses import replace

from anvilshift.core.admission.linkqueue import LinkQueue
from tests.platform.gatewaycase import GatewayCase, make_configuration

GRACE_MS = 4_000
DEADLINE_MS = 15_000
AT_ONCE_S = 0.5
"""Time within which a request is refused that is known to come too late."""
REQUESTS = 6


class PlannedStopCase(GatewayCase):
    """A router that is about to stop, with a link of 12 Mbit/s."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.engine = await self.add_target("e1", "llm")
        self.desk = await self.add_target("d1", "desk")
        await self.start_node()
        changed = make_configuration(2, 10_000_000, DEADLINE_MS)
        self.store_stub.put("config", "main", changed)
        await self.wait_for(lambda: self.node.shared.table.configuration.version == 2)
        await self.warm_up(self.node)
        self.node.settings = replace(self.node.settings, grace=GRACE_MS)

    def fill_link(self, seconds: float) -> None:
        """Let the router have written what its link carries in so many seconds."""
        self.node.link_throttle.queue = LinkQueue(rate=12.0)
        written = 0
        self.node.link_throttle.count_written = lambda: written
        self.node.link_throttle.find_expected(0.0, 0)
        written = int(seconds * 1_500_000)

    def send(self, path: str, count: int = REQUESTS) -> list[asyncio.Task]:
        """Send requests on connections of their own."""
        return [
            asyncio.create_task(self.call(f"{path}{number}", deadline=DEADLINE_MS))
            for number in range(count)
        ]

    async def stop(self) -> None:
        """Stop the router, and end its connections as its process does."""
        await self.node.stop()
        await self.node.close()

    async def begin_stop(self, after: float = 0.1) -> None:
        """Begin to stop the router when the requests sent before have been read."""
        await asyncio.sleep(after)
        self.stopping = asyncio.create_task(self.stop())
        self.began = time.monotonic()

    async def gather_statuses(self, calls: list[asyncio.Task]) -> list[int]:
        answers = await asyncio.gather(*calls)
        self.took = time.monotonic() - self.began
        await self.stopping
        return [status for status, _, _ in answers]


class KeptBackTest(PlannedStopCase):
    """Guards against requests that a stopping router holds until it closes them."""

    async def test_what_the_full_link_keeps_back_for_too_long_is_refused_at_once(self):
        for path in ("/chat/", "/order/", "/read/"):
            with self.subTest(path):
                await self.asyncTearDown()
                await self.asyncSetUp()
                self.fill_link(8.0)
                before = len(self.desk.runs), len(self.engine.runs)
                calls = self.send(path)
                await self.begin_stop()
                statuses = await self.gather_statuses(calls)
                self.assertEqual(statuses, [503] * REQUESTS)
                self.assertLess(self.took, AT_ONCE_S)
                runs = len(self.desk.runs), len(self.engine.runs)
                self.assertEqual(runs, before)

    async def test_what_comes_after_the_signal_is_refused_at_once_too(self):
        self.fill_link(8.0)
        await self.begin_stop()
        await asyncio.sleep(1.0)
        self.began = time.monotonic()
        calls = [*self.send("/chat/"), *self.send("/order/")]
        statuses = await self.gather_statuses(calls)
        self.assertEqual(statuses, [503] * 2 * REQUESTS)

    async def test_what_the_link_keeps_back_for_a_while_is_served(self):
        """Guards against refusals of what is answered before the end."""
        self.fill_link(1.5)
        calls = [*self.send("/chat/"), *self.send("/order/")]
        await self.begin_stop()
        statuses = await self.gather_statuses(calls)
        self.assertEqual(statuses, [200] * 2 * REQUESTS)

    async def test_what_waits_for_tokens_is_refused_before_the_end(self):
        """Guards against a wait outside the attempts, which the end cuts off."""

        async def wait(*args) -> None:
            await asyncio.Event().wait()

        self.node.reservations.reserve = wait
        calls = self.send("/chat/")
        await self.begin_stop()
        statuses = await self.gather_statuses(calls)
        self.assertEqual(statuses, [503] * REQUESTS)


class LongRunTest(PlannedStopCase):
    """Guards against orders that run at a target as their router closes them."""

    async def test_order_that_still_runs_at_the_end_is_answered_as_unknown(self):
        self.desk.work = 6.0
        calls = self.send("/order/")
        await self.begin_stop(after=0.5)
        statuses = await self.gather_statuses(calls)
        self.assertEqual(statuses, [504] * REQUESTS)
        self.assertLess(self.took, GRACE_MS / 1_000)

    async def test_order_that_is_known_to_outlast_the_stop_is_not_run(self):
        self.desk.work = 1.5
        statuses = [
            status for status, _, _ in await asyncio.gather(*self.send("/order/"))
        ]
        self.assertEqual(statuses, [200] * REQUESTS)
        await self.begin_stop()
        await asyncio.sleep(2.0)
        self.began = time.monotonic()
        statuses = await self.gather_statuses(self.send("/order/"))
        self.assertEqual(statuses, [503] * REQUESTS)
        self.assertLess(self.took, AT_ONCE_S)
        self.assertEqual(len(self.desk.runs), REQUESTS)

    async def test_order_that_ends_in_time_is_served(self):
        self.desk.work = 1.0
        calls = self.send("/order/")
        await self.begin_stop()
        statuses = await self.gather_statuses(calls)
        self.assertEqual(statuses, [200] * REQUESTS)


if __name__ == "__main__":
    import unittest

    unittest.main()
