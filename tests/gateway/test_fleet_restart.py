"""A large fleet loses power and restarts; every router has a former share."""

import asyncio
import random
import unittest

from anvilshift.core.allocators import list_allocators
from tests.gateway.fleet import POUNDS, run_scenario

TOTAL = 20_000_000
TOKENS = 2_000
CALL_S = 0.004
"""Time that a call to the store takes, on its way there and back together."""
REQUESTS_PER_SECOND = 300
WARM_S = 4.0
LARGEST = 300


def list_hosts(routers: int) -> list[str]:
    return [f"r{n}" for n in range(routers)]


async def delay_call(caller: str, operation: str) -> None:
    await asyncio.sleep(CALL_S / 2)


async def use(fleet, hosts: list[str], seconds: float, rng: random.Random) -> list:
    """Send requests to random hosts; return the tasks that tell which were served."""
    spending = []
    for n in range(int(seconds * REQUESTS_PER_SECOND)):
        node = rng.choice(hosts)
        key = f"{node}/{fleet.clock.now()}/{n}"
        spending.append(asyncio.create_task(fleet.spend(node, key, TOKENS)))
        await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    return spending


async def draw_share(fleet, node: str) -> None:
    """Have a router draw from the store itself, as after it missed its allocators."""
    balances = fleet.allotters[node].balances
    balances.record_missing_allocator(POUNDS, fleet.clock.now())
    balances.reserve(POUNDS, f"{node}/own", TOKENS, fleet.clock.now())
    fleet.allotters[node].wake()


async def run_until_power_loss(fleet, hosts: list[str], rng: random.Random) -> None:
    for node in hosts:
        fleet.start(node, TOTAL)
    await asyncio.sleep(1.0)
    for node in hosts:
        await draw_share(fleet, node)
        await asyncio.sleep(0.02)
    await asyncio.gather(*await use(fleet, hosts, WARM_S, rng))
    fleet.store.faults.before = fleet.store.faults.after = delay_call
    for node in hosts:
        fleet.kill(node)
    await asyncio.sleep(1.5)


async def restart(fleet, hosts: list[str]) -> None:
    for node in hosts:
        fleet.start(node, TOTAL)
        await asyncio.sleep(0.1 / len(hosts))


class FleetRestartTest(unittest.TestCase):
    def measure_wait(self, routers: int, sparing: bool) -> tuple[float, int]:
        """Return the longest wait of the first requests, in ms, and how many failed."""
        waits, refused = [], []

        async def scenario(fleet):
            rng = random.Random(routers)
            hosts = list_hosts(routers)
            await run_until_power_loss(fleet, hosts, rng)
            await restart(fleet, hosts)
            begun = fleet.clock.now()

            async def serve(node: str, n: int) -> None:
                served = await fleet.spend(node, f"{node}/first/{n}", TOKENS)
                waits.append(fleet.clock.now() - begun)
                refused.append(not served)

            await asyncio.gather(*(serve(node, n) for n in range(2) for node in hosts))
            self.assertLessEqual(fleet.count_spent(), TOTAL)

        run_scenario(scenario, recording=True, sparing=sparing)
        return max(waits), sum(refused)

    def test_large_fleet_serves_soon_after_it_lost_all_power(self):
        """Guards against routers that wait for one another's writes at a start.

        Each had a small share of its own.  No router served before it had ended its
        former share, and all wrote the one object that has them.
        """
        fleets = ((10, False), (100, False), (LARGEST, False), (10, True), (100, True))
        for routers, sparing in fleets:
            with self.subTest(routers=routers, sparing=sparing):
                wait, refused = self.measure_wait(routers, sparing)
                self.assertEqual(refused, 0)
                self.assertLess(wait, 800.0)

    def test_former_shares_of_all_routers_are_ended_within_seconds(self):
        """Guards against small shares that stay out of reach after a start."""

        async def scenario(fleet):
            rng = random.Random(1)
            hosts = list_hosts(30)
            await run_until_power_loss(fleet, hosts, rng)
            former = set(fleet.read().shares)
            await restart(fleet, hosts)
            await asyncio.gather(*await use(fleet, hosts, 6.0, rng))
            self.assertFalse(former & set(fleet.read().shares))
            self.assertLessEqual(fleet.count_spent(), TOTAL)

        run_scenario(scenario, recording=True)

    def test_planned_stop_of_a_young_router_ends_its_former_share(self):
        """Guards against tokens that nobody can draw for the rest of the day."""

        async def scenario(fleet):
            hosts = list_hosts(10)
            await run_until_power_loss(fleet, hosts, random.Random(2))
            await restart(fleet, hosts)
            other = next(h for h in hosts if h not in list_allocators(POUNDS, hosts))
            former = {h for h in fleet.read().shares if h.startswith(f"{other}.")}
            await asyncio.sleep(0.4)
            await fleet.allotters[other].close()
            self.assertTrue(former)
            self.assertFalse(former & set(fleet.read().shares))

        run_scenario(scenario, recording=True)


if __name__ == "__main__":
    unittest.main()
