"""Routers that write what organisations hold and spend as rarely as is safe."""

import asyncio
import random
import unittest

from anvilshift.core.allocators import list_candidates
from tests.gateway.fleet import HISTORY, POUNDS, run_scenario

TOTAL = 1_000_000
SMALL = 700_000
HOSTS = tuple(f"h{n:02}" for n in range(12))
CALM_TOKENS, BUSY_TOKENS = 20, 400
CALLS_LEFT = 0.25
"""Part of the calls of frequent writes that a calm fleet may make."""


def start_all(fleet, total: int, hosts=HOSTS) -> None:
    for node in hosts:
        fleet.start(node, total)


async def use(fleet, seconds: float, tokens: int) -> list[bool]:
    """Spend at every host twice a second; return which requests were served."""
    served: list[asyncio.Task[bool]] = []
    for n in range(int(seconds * 2 * len(HOSTS))):
        await asyncio.sleep(0.5 / len(HOSTS))
        node = HOSTS[n % len(HOSTS)]
        if node in fleet.allotters:
            key = f"{node}/{fleet.clock.now()}/{n}"
            served.append(asyncio.create_task(fleet.spend(node, key, tokens)))
    return await asyncio.gather(*served)


async def lose_power(fleet, seconds: float, total: int) -> None:
    for node in list(fleet.tasks):
        fleet.kill(node)
    await asyncio.sleep(seconds)
    start_all(fleet, total)
    await asyncio.sleep(4.0)


async def inject_fault(fleet, rng: random.Random) -> None:
    """Begin or end a fault, or kill hosts and start them again."""
    faults, event = fleet.store.faults, rng.randrange(11)
    if event < 3:
        faults.outage = not faults.outage
    elif event == 3:
        faults.cut = set(rng.sample(HOSTS, rng.randrange(len(HOSTS))))
    elif event == 4:
        faults.lose_answers = rng.randrange(4)
    elif event == 5:
        faults.lose_writes = rng.randrange(4)
    elif event == 6:
        fleet.store.forget_history()
    elif event == 7:
        fleet.copies = rng.randrange(4)
    else:
        allocators = list_candidates(POUNDS, HOSTS, 2)[:2]
        some = (HOSTS, allocators, rng.sample(HOSTS, 4))[event - 8]
        for node in some:
            fleet.kill(node)
        await asyncio.sleep(rng.uniform(0.1, 3.0))
        for node in some:
            fleet.start(node, SMALL)


def count_draws(fleet) -> int:
    events = [one.list_events() for one in fleet.journals.values()]
    return sum(found.count("shares_written") for found in events)


class SparingTest(unittest.TestCase):
    def measure(self, scenario) -> tuple[float, float]:
        """Return what a scenario measures with frequent writes and with rare ones."""
        found = []
        for sparing in (False, True):

            async def run(fleet):
                found.append(await scenario(fleet))

            run_scenario(run, recording=True, sparing=sparing)
        return found[0], found[1]

    def test_random_faults_cause_no_overspending(self):
        """Guards against a record that tells less than was spent.

        Outages, cuts, lost answers and writes, lost history, lost and repeated
        datagrams, kills and losses of all power overlap in calm and in busy times.
        """
        for seed in range(12):
            with self.subTest(seed=seed):
                rng = random.Random(seed)

                async def scenario(fleet, rng=rng):
                    start_all(fleet, SMALL)
                    await use(fleet, rng.uniform(2.0, 24.0), CALM_TOKENS)
                    for _ in range(10):
                        await inject_fault(fleet, rng)
                        tokens = rng.choice((CALM_TOKENS, BUSY_TOKENS, 3_000))
                        await use(fleet, rng.uniform(0.1, 4.0), tokens)
                    fleet.store.faults.outage, fleet.store.faults.cut = False, set()
                    fleet.copies = 1
                    await use(fleet, 6.0, tokens=8_000)
                    self.assertLessEqual(fleet.count_spent(), SMALL)

                run_scenario(scenario, recording=True, sparing=True)

    def test_restart_counts_all_that_a_burst_spent_in_an_outage(self):
        """Guards against a restart that reckons with less time than a router did.

        The fleet was calm, so its records allow little for a while.  The store is out
        of reach, a burst comes, and all hosts lose power.
        """
        for seed in range(8):
            with self.subTest(seed=seed):
                rng = random.Random(seed)

                async def scenario(fleet, rng=rng):
                    start_all(fleet, SMALL)
                    await use(fleet, HISTORY / 1_000.0 + 4.0, CALM_TOKENS)
                    fleet.store.faults.outage = True
                    burst = asyncio.create_task(use(fleet, 9.0, 8_000))
                    await asyncio.sleep(rng.uniform(0.5, 7.0))
                    burst.cancel()
                    fleet.store.faults.outage = False
                    await lose_power(fleet, rng.uniform(0.01, 0.3), SMALL)
                    self.assertGreaterEqual(fleet.read().closed, fleet.spent)

                run_scenario(scenario, recording=True, sparing=True)

    def measure_doubt(self, tokens: int, without_power: float) -> tuple[float, float]:
        """Return the mean tokens in doubt after a loss of all power."""

        async def scenario(fleet):
            doubts = []
            start_all(fleet, TOTAL)
            await use(fleet, HISTORY / 1_000.0 + 1.0, tokens)
            for n in range(3):
                before = fleet.read().doubt
                await use(fleet, 24.0 + n * 0.37, tokens)
                await lose_power(fleet, without_power, TOTAL)
                doubts.append(fleet.read().doubt - before)
            return sum(doubts) / len(doubts)

        return self.measure(scenario)

    def test_loss_of_all_power_leaves_no_more_in_doubt(self):
        """Guards against refusals to the day's end for records that were old."""
        for tokens in (CALM_TOKENS, BUSY_TOKENS):
            for seconds in (1.0, 2.6):
                with self.subTest(tokens=tokens, seconds=seconds):
                    frequent, sparing = self.measure_doubt(tokens, seconds)
                    self.assertLessEqual(sparing, frequent)

    def test_outage_of_the_store_refuses_no_more(self):
        """Guards against refusals in an outage for tokens that nobody drew."""

        async def scenario(fleet):
            start_all(fleet, TOTAL)
            await use(fleet, HISTORY / 1_000.0 + 5.0, BUSY_TOKENS)
            fleet.store.faults.cut = set(HOSTS)
            return (await use(fleet, 8.0, BUSY_TOKENS)).count(False)

        frequent, sparing = self.measure(scenario)
        self.assertLessEqual(sparing, frequent)

    def test_kill_of_both_allocators_is_served_by_deputies(self):
        """Guards against refusals to all organisations until two hosts are back."""

        async def scenario(fleet):
            start_all(fleet, TOTAL)
            await use(fleet, HISTORY / 1_000.0 + 5.0, BUSY_TOKENS)
            for node in list_candidates(POUNDS, HOSTS, 2)[:2]:
                fleet.kill(node)
            self.assertEqual((await use(fleet, 4.0, BUSY_TOKENS)).count(False), 0)
            self.assertLessEqual(fleet.count_spent(), TOTAL)

        run_scenario(scenario, recording=True, sparing=True)

    def test_calm_fleet_makes_a_quarter_of_the_writes(self):
        """Guards against writes that a calm fleet pays for and nobody needs."""
        for routers in (12, 28):
            with self.subTest(routers=routers):
                hosts = [f"h{n:02}" for n in range(routers)]

                async def scenario(fleet, hosts=hosts):
                    start_all(fleet, TOTAL, hosts)
                    await use(fleet, HISTORY / 1_000.0 + 5.0, CALM_TOKENS)
                    fleet.store.calls.clear()
                    self.assertTrue(all(await use(fleet, 60.0, CALM_TOKENS)))
                    return fleet.store.calls.total()

                frequent, sparing = self.measure(scenario)
                self.assertLessEqual(sparing, frequent * CALLS_LEFT)

    def test_busy_fleet_draws_at_most_half_as_often(self):
        """Guards against a draw whenever a tenth of a cushion is spent."""

        async def scenario(fleet):
            start_all(fleet, TOTAL)
            await use(fleet, HISTORY / 1_000.0 + 5.0, BUSY_TOKENS)
            before = count_draws(fleet)
            await use(fleet, 40.0, BUSY_TOKENS)
            return count_draws(fleet) - before

        frequent, sparing = self.measure(scenario)
        self.assertLessEqual(sparing, frequent / 2)


if __name__ == "__main__":
    unittest.main()
