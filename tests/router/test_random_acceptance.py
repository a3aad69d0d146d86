"""Accepted declarations stay in force in random partitions, outages and restarts."""

import asyncio
import itertools
import random

from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.store import update
from anvilshift.operator.platformside import wait_accepted
from tests.router.nodes import Nodes, VirtualTestCase

NAMES = ("r1", "r2", "r3", "r4", "r5")
DURATION_S = 400


class RandomRun:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = Nodes()
        self.accepted = 0
        self.acceptances = 0
        self.checks = 0
        self.grants = itertools.count(1)

    def draw_bool(self, probability):
        return self.rng.random() < probability

    def draw_router_names(self):
        return self.rng.sample(NAMES, self.rng.randint(1, 4))

    async def change_network(self):
        """Set a random state of the network at random intervals.

        With a probability of 0.3 nothing is cut or out.
        """
        fleet = self.fleet
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 15))
            healthy = self.draw_bool(0.3)
            fleet.platform.faults.outage = not healthy and self.draw_bool(0.25)
            cut = [] if healthy or self.draw_bool(0.4) else self.draw_router_names()
            fleet.cut_from_platform(*cut)
            sides = {name: self.draw_bool(0.5) for name in NAMES}
            partitioned = not healthy and self.draw_bool(0.6)
            fleet.pair_cuts = {
                frozenset(pair)
                for pair in itertools.combinations(NAMES, 2)
                if partitioned and sides[pair[0]] != sides[pair[1]]
            }

    async def replace_routers(self):
        """At random intervals, replace a router by a new one without any state."""
        while True:
            await asyncio.sleep(self.rng.uniform(20, 60))
            name = self.rng.choice(NAMES)
            old = self.fleet.nodes[name]
            for task in [*old._tasks, *old.fleet.tasks, *old.fleet._beats.values()]:
                task.cancel()
            self.fleet.start_one(name)

    async def apply_changes(self):
        """Repeatedly change a declaration and wait until it is accepted."""
        platform = self.fleet.platform
        while True:
            await asyncio.sleep(self.rng.uniform(0, 4))
            grant = next(self.grants)
            body = {"kind": "Budget", "name": "pounds", "grant": grant}
            try:
                stored = await update(platform, "Budget", "pounds", lambda _, b=body: b)
                acceptance = await wait_accepted(
                    platform, self.fleet.clock, stored.version, 10_000.0
                )
            except AnvilshiftError:
                continue
            if acceptance.accepted:
                self.accepted = stored.version
                self.acceptances += 1

    def check(self):
        """Assert that every ready router has the accepted declaration in force."""
        for name, node in self.fleet.nodes.items():
            if node.is_ready():
                self.checks += 1
                in_force = node.follower.acknowledged
                assert in_force >= self.accepted, (name, in_force, self.accepted)

    async def run(self):
        await self.fleet.start(*NAMES)
        loop = asyncio.get_running_loop()
        coroutines = (
            self.change_network(),
            self.replace_routers(),
            self.apply_changes(),
        )
        tasks = [loop.create_task(coroutine) for coroutine in coroutines]
        while loop.time() < DURATION_S:
            self.check()
            await asyncio.sleep(0.02)
            for task in tasks:
                if task.done():
                    task.result()
        for task in tasks:
            task.cancel()
        await self.fleet.close()


class RandomAcceptanceTest(VirtualTestCase):
    """An accepted declaration is in force at every router that takes new work.

    Routers lose the platform and each other in random combinations and reconnect;
    some are replaced. Callers must never be served under replaced declarations.
    """

    async def run_seed(self, seed):
        run = RandomRun(seed)
        await run.run()
        self.assertGreater(run.acceptances, 10)
        self.assertGreater(run.checks, 10_000)
        return run

    async def test_seed_3(self):
        await self.run_seed(3)

    async def test_seed_16(self):
        await self.run_seed(16)

    async def test_seed_6(self):
        await self.run_seed(6)
