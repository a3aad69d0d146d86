"""Limits and pauses of a target hold for all routers together."""

import asyncio

from tests.platform.gatewaycase import GatewayCase

STABLE_S = 3.0
SPAN_S = 4.0
"""The limit holds for any such period that ends `STABLE_S` or more after it is set."""


def find_allowed(rate: float) -> float:
    return 1.5 * rate * SPAN_S + 5


class LoadedCase(GatewayCase):
    async def keep_calling(
        self, seconds: float, gap: float, path: str = "/chat"
    ) -> list[int]:
        """Send requests to each router in turn; return their statuses."""
        loop, calls = asyncio.get_running_loop(), []
        until = loop.time() + seconds
        while loop.time() < until:
            node = self.nodes[len(calls) % len(self.nodes)]
            call = self.call_at(node, f"{path}/{len(calls)}")
            calls.append(asyncio.create_task(call))
            await asyncio.sleep(gap)
        return [answer[0] for answer in await asyncio.gather(*calls)]


class LimitTest(LoadedCase):
    async def test_all_routers_together_keep_to_a_limit_that_an_engine_names(self):
        """Guards against routers that ignore the limit and send five times as much."""
        limited = await self.add_target("e1", "llm")
        await self.add_target("e2", "llm")
        await self.start_fleet(3)
        limited.limit = "1"
        limited_at = asyncio.get_running_loop().time()
        statuses = await self.keep_calling(6.0, gap=0.05)
        self.assertEqual(set(statuses), {200})
        most = limited.count_most(SPAN_S, since=limited_at + STABLE_S)
        self.assertLessEqual(most, find_allowed(1.0))
        self.assertGreater(most, 0)


class PauseTest(LoadedCase):
    async def test_no_router_calls_a_target_again_before_its_retry_after(self):
        """Guards against routers that keep sending requests to a refusing target."""
        refusing = await self.add_target("e1", "llm")
        await self.add_target("e2", "llm")
        await self.start_fleet(3)
        refusing.refuses, refusing.pause = True, "2.5"
        before = len(refusing.arrivals)
        statuses = await self.keep_calling(2.0, gap=0.05)
        self.assertEqual(set(statuses), {200})
        # Each router may have a request in flight when the first one is refused.
        self.assertLessEqual(len(refusing.arrivals) - before, 3)

    async def test_a_target_is_used_again_once_its_pause_is_over(self):
        target = await self.add_target("e1", "llm")
        await self.start_fleet(2)
        target.refuses, target.pause = True, "0.6"
        first = await self.call_at(self.nodes[0], "/chat/1")
        target.refuses = False
        other = self.nodes[1]
        paused = other.loads.targets["e1"]
        await self.wait_for(
            lambda: paused.find_admission_delay(other.clock.now()) > 0.0
        )
        second = await self.call_at(self.nodes[1], "/chat/2")
        self.assertEqual((first[0], second[0]), (503, 200))
        self.assertGreater(target.arrivals[-1] - target.arrivals[-2], 0.5)
