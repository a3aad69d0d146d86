import asyncio
import random
import unittest

from anvilshift.core.clock import SECOND
from tests.gateway.fleet import HISTORY, run_scenario
from tests.gateway.test_recording import HOSTS, SMALL, start_all, use_evenly

TOTAL = 1_000_000
MAX_LOST = 0.03
"""Part of a total that callers aren't owed: a request that fits into 97 in 100 is."""
TAKE_UP = 5_000
"""Tokens of a stream that its caller takes up: its prompt and what it may still get."""
TRIES = 15
"""Tries of a caller, a second apart, until its stream goes on."""
LOSSES = ((12.0, 2.6), (12.0, 2.2), (12.0, 1.0))
"""Seconds of use before each loss of all power, and seconds without power."""


async def lose_power(fleet, seconds: float, total: int = TOTAL) -> None:
    """Kill all hosts, restart them after a time, and wait until they serve."""
    for node in HOSTS:
        fleet.kill(node)
    await asyncio.sleep(seconds)
    start_all(fleet, total)
    await asyncio.sleep(1.0)


async def lose_power_thrice(fleet) -> list[int]:
    """Return the tokens out of reach after each loss, and count what was spent."""
    lost = []
    start_all(fleet, TOTAL)
    await asyncio.sleep(HISTORY / SECOND)
    for use, without_power in LOSSES:
        await use_evenly(fleet, use)
        await lose_power(fleet, without_power)
        lost.append(fleet.read().closed - fleet.spent)
    return lost


async def lose_all_but_one(fleet, survivor: str, seconds: float) -> None:
    """Kill all hosts but one, and restart them after a time."""
    lost = [node for node in HOSTS if node != survivor]
    for node in lost:
        fleet.kill(node)
    await asyncio.sleep(seconds)
    for node in lost:
        fleet.start(node, TOTAL)
    await asyncio.sleep(1.0)


async def take_up(fleet, count: int) -> int:
    """Take streams up at all hosts, again and again; return how many go on."""
    return sum(await asyncio.gather(*(try_again(fleet, one) for one in range(count))))


async def try_again(fleet, number: int) -> bool:
    for attempt in range(TRIES):
        node = HOSTS[(number + attempt) % len(HOSTS)]
        if await fleet.spend(node, f"stream-{number}-{attempt}", TAKE_UP):
            return True
        await asyncio.sleep(1.0)
    return False


class RepeatedLossesTest(unittest.TestCase):
    def test_three_losses_of_all_power_leave_little_out_of_reach(self):
        """Guards against refusing requests to the day's end for tokens in doubt.

        After each loss what the ended routers might have spent beyond their records
        counts as spent.  Three losses put a quarter of the totals out of reach.
        """

        async def scenario(fleet):
            lost = await lose_power_thrice(fleet)
            self.assertLessEqual(lost[-1], MAX_LOST * TOTAL)

        run_scenario(scenario, recording=True)

    def test_streams_that_a_total_covers_go_on(self):
        """Guards against take-ups that find no tokens although nothing was lost."""
        self.check_streams_go_on(use_evenly)

    def test_streams_that_a_total_covers_go_on_after_losses_of_all_but_one_router(self):
        """Guards against take-ups that are refused with 2002 for tokens in doubt."""
        losses = iter(zip(HOSTS, LOSSES, strict=False))

        async def use_and_lose(fleet, use):
            survivor, (_, without_power) = next(losses)
            await use_evenly(fleet, use)
            await lose_all_but_one(fleet, survivor, without_power)

        self.check_streams_go_on(use_and_lose)

    def check_streams_go_on(self, spend) -> None:
        async def scenario(fleet):
            start_all(fleet, TOTAL)
            await asyncio.sleep(HISTORY / SECOND)
            for use, _ in LOSSES:
                await spend(fleet, use)
            owed = int((1 - MAX_LOST) * TOTAL) - fleet.count_spent()
            count = owed // TAKE_UP
            self.assertEqual(await take_up(fleet, count), count)

        run_scenario(scenario, recording=True)

    def test_later_losses_of_power_put_little_more_out_of_reach(self):
        """Guards against losing as much at each further loss as at the first."""

        async def scenario(fleet):
            lost = await lose_power_thrice(fleet)
            self.assertLessEqual(lost[-1] - lost[0], MAX_LOST * TOTAL)

        run_scenario(scenario, recording=True)

    def test_repeated_losses_of_power_cause_no_overspending(self):
        """Guards against freeing what an ended router has spent.

        Before a loss the store may be out of reach, so that routers spend beyond their
        records; requests ask for more than the total.
        """
        for seed in range(12):
            with self.subTest(seed=seed):
                rng = random.Random(seed)

                async def scenario(fleet, rng=rng):
                    start_all(fleet, SMALL)
                    await asyncio.sleep(rng.uniform(0.0, HISTORY / SECOND))
                    for _ in range(5):
                        await use_evenly(fleet, rng.uniform(0.5, 8.0), 600)
                        fleet.store.faults.outage = rng.random() < 0.6
                        fleet.store.faults.lose_answers = rng.randrange(3)
                        await use_evenly(fleet, rng.uniform(0.0, 5.0), 600)
                        fleet.store.faults.outage = False
                        await lose_power(fleet, rng.uniform(0.1, 3.0), SMALL)
                    await use_evenly(fleet, 3.0, tokens=3_000)
                    self.assertLessEqual(fleet.count_spent(), SMALL)

                run_scenario(scenario, recording=True)
