"""Random partitions, outages and restarts against the rule of acceptance."""

import asyncio
import itertools
import random

from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.store import update
from anvilshift.operator.platformside import wait_accepted
from tests.router.nodes import Nodes, VirtualTestCase

NAMES = ("r1", "r2", "r3", "r4", "r5")
SPAN_S = 400


class RandomRun:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.fleet = Nodes()
        self.accepted = 0
        self.acceptances = 0
        self.checks = 0
        self.grants = itertools.count(1)

    def is_busy(self, share):
        return self.rng.random() < share

    def draw_names(self):
        return self.rng.sample(NAMES, self.rng.randint(1, 4))

    async def disturb(self):
        """Draw a new state of the network, now and then a whole one."""
        fleet = self.fleet
        while True:
            await asyncio.sleep(self.rng.uniform(0.2, 15))
            whole = self.is_busy(0.3)
            fleet.platform.faults.outage = not whole and self.is_busy(0.25)
            cut = [] if whole or self.is_busy(0.4) else self.draw_names()
            fleet.cut_from_platform(*cut)
            sides = {name: self.is_busy(0.5) for name in NAMES}
            parted = not whole and self.is_busy(0.6)
            fleet.pair_cuts = {
                frozenset(pair)
                for pair in itertools.combinations(NAMES, 2)
                if parted and sides[pair[0]] != sides[pair[1]]
            }

    async def restart(self):
        """Now and then a router is replaced by one that knows nothing."""
        while True:
            await asyncio.sleep(self.rng.uniform(20, 60))
            name = self.rng.choice(NAMES)
            old = self.fleet.nodes[name]
            for task in [*old._tasks, *old.fleet.tasks, *old.fleet._beats.values()]:
                task.cancel()
            self.fleet.start_one(name)

    async def operate(self):
        """Change a declaration again and again and wait for its acceptance."""
        platform = self.fleet.platform
        while True:
            await asyncio.sleep(self.rng.uniform(0, 4))
            grant = next(self.grants)
            body = {"kind": "Budget", "name": "pounds", "grant": grant}
            try:
                stored = await update(platform, "Budget", "pounds", lambda _, b=body: b)
                found = await wait_accepted(
                    platform, self.fleet.clock, stored.version, 10_000.0
                )
            except AnvilshiftError:
                continue
            if found.accepted:
                self.accepted = stored.version
                self.acceptances += 1

    def check(self):
        """Assert that whoever serves has in force what was accepted."""
        for name, node in self.fleet.nodes.items():
            if node.is_ready():
                self.checks += 1
                held = node.follower.acknowledged
                assert held >= self.accepted, (name, held, self.accepted)

    async def run(self):
        await self.fleet.start(*NAMES)
        loop = asyncio.get_running_loop()
        works = (self.disturb(), self.restart(), self.operate())
        tasks = [loop.create_task(work) for work in works]
        while loop.time() < SPAN_S:
            self.check()
            await asyncio.sleep(0.02)
            for task in tasks:
                if task.done():
                    task.result()
        for task in tasks:
            task.cancel()
        await self.fleet.close()


class RandomAcceptanceTest(VirtualTestCase):
    """What was accepted is in force at every router that takes new work.

    Routers lose the platform and each other in any combination, and come back;
    some are replaced.  Callers must never be served under what was replaced.
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
