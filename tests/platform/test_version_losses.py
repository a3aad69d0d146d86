"""Random courses of changes of versions beside which all routers are killed.

In some losses one router survives, and tells the others what it has seen.  Some callers
don't name the first attempt of their stream.  All checks are on what callers and
engines have seen.
"""

import asyncio

from anvilshift.gateway.streammessages import HistorySeen
from tests.platform.test_version_rolls import PACE_S, RollCase
from tests.platform.test_versions import LONG_MS

ENGINES = 4
NAMING = 0.5
"""Share of resumptions that name the first attempt of their stream."""
SURVIVING = 0.5
"""Share of losses that one router survives."""
AMID = 0.5
"""Share of changes amid which the routers are lost."""


class LossCase(RollCase):
    async def prepare(self, seed: int) -> None:
        await super().prepare(seed)
        for node in self.nodes:
            origins = node.shared.origins
            origins.began = node.clock.now()
            origins.adopt_history(HistorySeen(LONG_MS, (), ()))

    async def choose_router(self):
        while not self.alive:
            await asyncio.sleep(PACE_S)
        return await super().choose_router()

    def names_first(self) -> bool:
        return self.rng.random() < NAMING

    async def roll(self) -> None:
        """Change the version thrice, and lose the routers amid and after each change.

        The entries of the old engines go at once, as of engines that don't drain.
        """
        old = [name for name in self.targets if name.startswith("a")]
        for version in ("v2", "v3", "v4"):
            new = [f"{version}-{number}" for number in range(ENGINES)]
            for name in new:
                await self.add_engine(name, version)
                self.targets[name].pace = PACE_S
            await asyncio.sleep(self.rng.uniform(0.1, 0.5))
            if self.rng.random() < AMID:
                await self.lose_routers()
            for name in old:
                self.store_stub.remove("servers", name)
            await asyncio.sleep(self.rng.uniform(0.0, 1.0))
            await self.lose_routers()
            old = new

    async def lose_routers(self) -> None:
        """Kill the routers at once, all or all but one, and start them again."""
        survives = self.rng.random() < SURVIVING
        lost, self.alive = self.alive[survives:], self.alive[:survives]
        for node in lost:
            await node.close()
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        back = await asyncio.gather(*map(self.start_again, lost))
        self.alive += back

    async def start_again(self, node):
        old, network = node.settings, self.make_network()
        network.source = old.ip
        new = self.make_node(
            old.name,
            old.ip,
            peer_port=old.peer_port,
            seeds=old.seeds,
            forward_port=old.forward_port,
            network=network,
            configuration_port=old.configuration_port,
        )
        self.nodes.append(new)
        await new.start()
        await self.wait_for(new.is_ready)
        return new

    def check(self) -> None:
        self.check_streams()
        ran = {one for target in self.targets.values() for one in target.runs}
        for identity, status in self.refused:
            if status == 503:
                self.assertNotIn(identity, ran)


class LossTest(LossCase):
    async def test_first_course(self):
        """Guards against joined versions after losses of all routers."""
        await self.play(1)

    async def test_second_course(self):
        """Guards against the same in another order of events."""
        await self.play(2)

    async def test_third_course(self):
        """Guards against the same in a further order of events."""
        await self.play(3)
