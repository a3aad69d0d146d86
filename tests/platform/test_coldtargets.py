"""A target says in its entry that it is cold, and all routers send it little."""

import asyncio

from anvilshift.wire.messages import Address
from tests.platform.gatewaycase import make_configuration
from tests.platform.stubs import count_most
from tests.platform.test_limits import LoadedCase

RATE, OVERAGE, ALLOWANCE = 7.0, 1.5, 5.0
BOUND = RATE * OVERAGE + ALLOWANCE
COLD_MS = 3_000


class ColdTargetTest(LoadedCase):
    async def start_cold_fleet(self) -> None:
        """Start routers and a warm, busy target; the configuration has a cold rate."""
        busy = await self.add_target("e1", "llm", slots=64)
        await self.start_fleet(3)
        busy.pace = 0.08
        configuration = make_configuration(version=2)
        configuration["services"][0] |= {"coldStartS": 3.0, "coldPerS": RATE}
        self.store_stub.put("config", "main", configuration)
        await self.wait_for(
            lambda: all(node.configurations.version == 2 for node in self.nodes)
        )

    async def test_a_target_that_registers_as_cold_gets_no_more_than_it_stands(self):
        """Guards against an idle target that gets all requests just after its start."""
        await self.start_cold_fleet()
        loop = asyncio.get_running_loop()
        cold = await self.add_target("e2", "llm", coldLeftMs=COLD_MS)
        began = loop.time()
        statuses = await self.keep_calling(COLD_MS / 1_000 + 2.0, gap=0.02)
        self.assertEqual(set(statuses), {200})
        ended = began + COLD_MS / 1_000
        times = [at for at in cold.arrivals if at < ended]
        self.assertLessEqual(count_most(times, 1.0, since=began), BOUND)
        self.assertGreater(len(times), 0)
        warm = [at for at in cold.arrivals if at > ended + 0.5]
        self.assertGreater(count_most(warm, 1.0, since=ended), BOUND)

    async def test_a_target_that_becomes_cold_again_is_limited_again(self):
        await self.start_cold_fleet()
        target = await self.add_target("e2", "llm")
        await self.keep_calling(1.0, gap=0.1)
        address = Address("127.0.0.1", target.server.port)
        self.register("e2", "llm", address, coldLeftMs=COLD_MS)
        loop = asyncio.get_running_loop()
        began = loop.time()
        ended = began + COLD_MS / 1_000
        loads = [node.loads.targets["e2"] for node in self.nodes]
        now = self.nodes[0].clock.now
        await self.wait_for(lambda: all(one.is_cold(now()) for one in loads))
        await self.keep_calling(ended - loop.time(), gap=0.02)
        times = [at for at in target.arrivals if began <= at < ended]
        self.assertLessEqual(count_most(times, 1.0, since=began), BOUND)


class ReturnedDomainTest(LoadedCase):
    drain_bound = 5_000.0

    async def test_targets_of_a_domain_that_returns_are_sent_little_at_first(self):
        """Guards against a domain that is flooded as its drain ends.

        Its targets have become cold, and their entries don't say so yet.
        """
        busy = await self.add_target("e1", "llm", slots=64, zone="north")
        returned = await self.add_target("e2", "llm", zone="south")
        await self.start_fleet(3)
        busy.pace = 0.08
        configuration = make_configuration(version=2)
        configuration["services"][0] |= {"coldStartS": 3.0, "coldPerS": RATE}
        self.store_stub.put("config", "main", configuration)
        self.store_stub.put("evacuations", "south", {})
        await self.wait_for(
            lambda: all(
                node.configurations.version == 2
                and not node.loads.drains.may_send("south")
                for node in self.nodes
            )
        )
        self.store_stub.remove("evacuations", "south")
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self.keep_calling(1.0, gap=0.02)
        times = [at for at in returned.arrivals if at >= began]
        self.assertLessEqual(count_most(times, 1.0, since=began), BOUND)
