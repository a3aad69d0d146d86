"""What an engine in need gets from all routers together."""

import asyncio

from tests.platform.gatewaycase import GatewayCase

STABLE_S = 3.0
SPAN_S = 4.0
"""The rule counts the requests of any such span, from `STABLE_S` after the naming."""


def find_allowed(rate: float) -> float:
    return 1.5 * rate * SPAN_S + 5


class LoadedCase(GatewayCase):
    async def keep_calling(self, seconds: float, gap: float) -> list[int]:
        """Send requests to each router in turn; return their statuses."""
        loop, calls = asyncio.get_running_loop(), []
        until = loop.time() + seconds
        while loop.time() < until:
            node = self.nodes[len(calls) % len(self.nodes)]
            calls.append(asyncio.create_task(self.call_at(node, f"/chat/{len(calls)}")))
            await asyncio.sleep(gap)
        return [answer[0] for answer in await asyncio.gather(*calls)]


class LimitTest(LoadedCase):
    async def test_all_routers_together_keep_to_a_limit_that_an_engine_names(self):
        """Each router went on as before: an engine in need got five times its limit."""
        limited = await self.add_target("e1", "llm")
        await self.add_target("e2", "llm")
        await self.start_fleet(3)
        limited.limit = "1"
        named = asyncio.get_running_loop().time()
        statuses = await self.keep_calling(6.0, gap=0.05)
        self.assertEqual(set(statuses), {200})
        most = limited.count_most(SPAN_S, since=named + STABLE_S)
        self.assertLessEqual(most, find_allowed(1.0))
        self.assertGreater(most, 0)


class PauseTest(LoadedCase):
    async def test_a_target_that_refuses_for_a_while_is_left_alone_by_all_routers(self):
        """Each request found out anew: its router and the others sent there on."""
        refusing = await self.add_target("e1", "llm")
        await self.add_target("e2", "llm")
        await self.start_fleet(3)
        refusing.refuses, refusing.pause = True, "2.5"
        before = len(refusing.arrivals)
        statuses = await self.keep_calling(2.0, gap=0.05)
        self.assertEqual(set(statuses), {200})
        # One request for each router may be on its way when the first is refused.
        self.assertLessEqual(len(refusing.arrivals) - before, 3)

    async def test_a_target_is_used_again_once_its_pause_is_over(self):
        target = await self.add_target("e1", "llm")
        await self.start_fleet(2)
        target.refuses, target.pause = True, "0.6"
        first = await self.call_at(self.nodes[0], "/chat/1")
        target.refuses = False
        second = await self.call_at(self.nodes[1], "/chat/2")
        self.assertEqual((first[0], second[0]), (503, 200))
        self.assertGreater(target.arrivals[-1] - target.arrivals[-2], 0.5)
