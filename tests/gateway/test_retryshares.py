import asyncio
import random
import unittest

from anvilshift.core.fleetshares import MAX_AGE
from anvilshift.core.retries import RetryBudget, RetryLimits
from anvilshift.gateway.retryshares import KIND, RetryShares
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock, run_virtual
from tests.gateway.silent import SilentJournal
from tests.repeats import RepeatRecord

WINDOW_S = 10.0
JOIN_S = MAX_AGE / 1_000 + WINDOW_S
SERVICE = "desk"


class Fleet:
    """Routers that send as many repeats as they may, in virtual time.

    Parameters
    ----------
    ratio
        Repeats that a request earns.
    pace
        Seconds between two requests at a router, each sent again as often as allowed.
    """

    def __init__(
        self, allowance: float, ratio: float = 0.0, pace: float = 0.25
    ) -> None:
        self.clock = VirtualClock()
        self.store = MemoryStore(self.clock)
        self.limits = RetryLimits(ratio, WINDOW_S * 1_000, allowance)
        self.pace = pace
        self.record = RepeatRecord()
        self.routers: dict[str, RetryShares] = {}
        self.tasks: dict[str, list[asyncio.Task]] = {}
        self.journal = SilentJournal()

    def start(self, name: str, greedy: bool = True) -> RetryShares:
        """Start a router, in place of its former process if there is one.

        Parameters
        ----------
        greedy
            Whether it sends all the repeats that it may.
        """
        self.kill(name)
        router = RetryShares(
            self.store.view(name),
            name,
            RetryBudget(self.limits),
            self.clock,
            self.journal,
            random.Random(name),
            lambda: set(self.routers) - {name},
        )
        self.routers[name] = router
        coroutines = [router.run(), *([self._send(router)] if greedy else [])]
        self.tasks[name] = [asyncio.create_task(one) for one in coroutines]
        return router

    def kill(self, name: str) -> None:
        self.routers.pop(name, None)
        for task in self.tasks.pop(name, ()):
            task.cancel()

    def close(self) -> None:
        for name in list(self.routers):
            self.kill(name)

    async def _send(self, router: RetryShares) -> None:
        while True:
            await asyncio.sleep(self.pace)
            router.update()
            now = self.clock.now()
            router.budget.add_request(SERVICE, now)
            self.record.requests.append(now / 1_000)
            identity = f"{router.name}/{len(self.record.requests)}"
            self.record.arrivals.append((now / 1_000, identity))
            while (retry := router.budget.take(SERVICE, now)) is not None:
                retry.settle(now)
                self.record.arrivals.append((now / 1_000, identity))

    def find_excess(self) -> float:
        limits = self.limits
        return self.record.find_excess(limits.ratio, WINDOW_S, limits.allowance)


class RetrySharesTest(unittest.TestCase):
    def play(self, scenario, **settings) -> Fleet:
        async def run() -> Fleet:
            fleet = Fleet(**settings)
            try:
                await scenario(fleet)
            finally:
                fleet.close()
            return fleet

        return run_virtual(run())

    def test_a_fleet_uses_its_whole_allowance(self):
        """Guards against a bound that is kept by sending nothing."""

        async def scenario(fleet):
            for number in range(5):
                fleet.start(f"r{number}")
            await asyncio.sleep(JOIN_S + 2.0)

        fleet = self.play(scenario, allowance=50.0)
        self.assertEqual(len(fleet.record.list_repeats()), 50)

    def test_a_router_that_starts_anew_adds_nothing_within_a_window(self):
        """Guards against a process that uses what its former one had used already."""

        async def scenario(fleet):
            for number in range(4):
                fleet.start(f"r{number}")
            await asyncio.sleep(JOIN_S + 2.0)
            for _ in range(3):
                fleet.start("r0")
                await asyncio.sleep(3.0)

        fleet = self.play(scenario, allowance=40.0)
        self.assertLessEqual(fleet.find_excess(), 1e-9)

    def test_a_router_that_starts_anew_has_its_share_after_a_window(self):
        async def scenario(fleet):
            for number in range(2):
                fleet.start(f"r{number}")
            await asyncio.sleep(JOIN_S + 2.0)
            fleet.start("r0")
            await asyncio.sleep(WINDOW_S + 1.0)
            self.share = fleet.routers["r0"].budget.share

        self.play(scenario, allowance=40.0)
        self.assertEqual(self.share, 20.0)

    def test_a_router_that_starts_anew_while_it_joins_waits_again(self):
        """Guards against a share in use before all others count its router."""

        async def scenario(fleet):
            for number in range(2):
                fleet.start(f"r{number}")
            await asyncio.sleep(3.0)
            fleet.start("r0")
            await asyncio.sleep(WINDOW_S + 1.0)
            self.share = fleet.routers["r0"].budget.share

        self.play(scenario, allowance=40.0)
        self.assertEqual(self.share, 0.0)

    def test_a_fleet_cut_in_two_keeps_one_allowance(self):
        """Guards against two parts that each divide the whole among themselves."""

        async def scenario(fleet):
            for number in range(3):
                fleet.start(f"a{number}")
            await asyncio.sleep(JOIN_S + 2.0)
            fleet.store.faults.cut = {"a0", "a1", "a2"}
            for number in range(3):
                fleet.start(f"b{number}")
            await asyncio.sleep(3 * JOIN_S)
            fleet.store.faults.cut = set()
            await asyncio.sleep(2 * JOIN_S)

        fleet = self.play(scenario, allowance=36.0)
        self.assertLessEqual(fleet.find_excess(), 1e-9)

    def test_a_router_that_is_gone_is_given_up_and_its_share_divided(self):
        async def scenario(fleet):
            for number in range(3):
                fleet.start(f"r{number}")
            await asyncio.sleep(JOIN_S + 1.0)
            fleet.kill("r2")
            await asyncio.sleep(120.0)
            self.shares = {r.budget.share for r in fleet.routers.values()}
            self.names = fleet.store.names(KIND)

        fleet = self.play(scenario, allowance=30.0)
        self.assertEqual((self.names, self.shares), (["r0", "r1"], {15.0}))
        self.assertLessEqual(fleet.find_excess(), 1e-9)

    def test_a_router_given_up_by_mistake_records_itself_again(self):
        async def scenario(fleet):
            for name in ("r0", "r1"):
                fleet.start(name)
            await asyncio.sleep(JOIN_S + 1.0)
            fleet.routers["r0"].list_heard = lambda: set()
            await asyncio.sleep(70.0)
            fleet.routers["r0"].list_heard = lambda: {"r1"}
            await asyncio.sleep(2 * JOIN_S)
            self.shares = [fleet.routers[name].budget.share for name in ("r0", "r1")]

        fleet = self.play(scenario, allowance=20.0)
        self.assertIn("router_removed", fleet.journal.list_events())
        self.assertEqual(self.shares, [10.0, 10.0])
        self.assertLessEqual(fleet.find_excess(), 1e-9)

    def test_a_removal_that_only_a_list_shows_is_applied(self):
        """Guards against a share used on after its record was removed unseen."""

        async def scenario(fleet):
            for name in ("r0", "r1", "r2"):
                fleet.start(name)
            await asyncio.sleep(JOIN_S + 1.0)
            fleet.store.faults.cut = {"r1"}
            fleet.routers["r0"].list_heard = lambda: {"r2"}
            await asyncio.sleep(65.0)
            self.names = fleet.store.names(KIND)
            fleet.store.forget_history()
            fleet.store.faults.cut = set()
            await asyncio.sleep(5.0)
            self.early = fleet.routers["r1"].budget.share
            fleet.kill("r2")
            fleet.routers["r0"].list_heard = lambda: {"r1"}
            await asyncio.sleep(65.0 + 2 * JOIN_S)
            self.late = fleet.routers["r1"].budget.share

        fleet = self.play(scenario, allowance=30.0)
        self.assertEqual(self.names, ["r0", "r2"])
        self.assertEqual((self.early, self.late), (0.0, 15.0))
        self.assertLessEqual(fleet.find_excess(), 1e-9)

    def test_a_process_that_was_frozen_uses_no_old_share(self):
        """Guards against a share used before the periodic work takes it back."""

        async def scenario(fleet):
            router = fleet.start("r0")
            await asyncio.sleep(JOIN_S + 1.0)
            self.before = router.budget.share
            fleet.kill("r0")
            await asyncio.sleep(WINDOW_S + 1.0)
            self.retry = router.budget.take(SERVICE, fleet.clock.now())

        self.play(scenario, allowance=30.0)
        self.assertEqual((self.before, self.retry), (30.0, None))

    def test_records_are_read_only_now_and_then_while_no_share_is_needed(self):
        """Guards against calls that each router of a large fleet makes for nothing."""

        async def scenario(fleet):
            fleet.start("r0", greedy=False)
            await asyncio.sleep(JOIN_S + 5.0)
            before = fleet.store.calls.total()
            await asyncio.sleep(300.0)
            self.calls = fleet.store.calls.total() - before

        self.play(scenario, allowance=30.0)
        self.assertLessEqual(self.calls, 11)

    def test_an_outage_costs_few_calls_while_no_share_is_needed(self):
        """Guards against calls that fail one after another for nothing."""

        async def scenario(fleet):
            fleet.start("r0", greedy=False)
            await asyncio.sleep(JOIN_S + 5.0)
            attempts = []
            view = fleet.routers["r0"].follower.store
            watch = view.watch
            view.watch = lambda *rest: attempts.append(1) or watch(*rest)
            fleet.store.faults.outage = True
            await asyncio.sleep(60.0)
            self.calls = len(attempts)

        self.play(scenario, allowance=30.0)
        self.assertLessEqual(self.calls, 20)

    def test_a_request_that_needs_a_share_waits_for_it(self):
        """Guards against refusals by a router that hadn't read the records for long."""

        async def scenario(fleet):
            router = fleet.start("r0", greedy=False)
            await asyncio.sleep(JOIN_S + 25.0)
            self.first = router.budget.take(SERVICE, fleet.clock.now())
            await router.wait_for_share()
            self.second = router.budget.take(SERVICE, fleet.clock.now())

        self.play(scenario, allowance=30.0)
        self.assertIsNone(self.first)
        self.assertIsNotNone(self.second)

    def test_an_outage_of_the_store_leaves_what_requests_earn(self):
        async def scenario(fleet):
            fleet.store.faults.outage = True
            fleet.start("r0")
            await asyncio.sleep(JOIN_S + 10.0)

        fleet = self.play(scenario, allowance=100.0, ratio=0.2)
        earned = 0.2 * len(fleet.record.requests)
        self.assertGreater(len(fleet.record.list_repeats()), 0.7 * earned)
        self.assertLessEqual(fleet.find_excess(), 1e-9)

    def test_new_limits_are_in_force_at_once(self):
        async def scenario(fleet):
            router = fleet.start("r0")
            await asyncio.sleep(JOIN_S + 1.0)
            router.configure(RetryLimits(0.0, WINDOW_S * 1_000, 3.0))
            self.share = router.budget.share

        self.play(scenario, allowance=100.0)
        self.assertEqual(self.share, 3.0)

    def test_any_order_of_starts_losses_and_cuts_keeps_the_bound(self):
        """Guards against a sequence of faults in which two routers use one share."""
        for seed in range(30):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                size = rng.choice([2, 5, 9])

                async def scenario(fleet, rng=rng, size=size):
                    names = [f"r{number}" for number in range(size)]
                    for name in names:
                        fleet.start(name)
                        await asyncio.sleep(rng.choice([0.0, 0.2, 4.0]))
                    for _ in range(rng.randrange(5, 25)):
                        await asyncio.sleep(rng.choice([0.1, 1.0, 5.0, 12.0, 20.0]))
                        disturb(fleet, rng, rng.choice(names), names)
                    fleet.store.faults.outage = False
                    fleet.store.faults.cut = set()
                    await asyncio.sleep(2 * JOIN_S)

                fleet = self.play(
                    scenario,
                    allowance=rng.choice([1.0, 7.0, 58.0]),
                    ratio=rng.choice([0.0, 0.2]),
                    pace=rng.choice([0.3, 1.1]),
                )
                self.assertLessEqual(fleet.find_excess(), 1e-9)

    def test_a_fleet_of_78_routers_keeps_the_bound_over_a_loss_of_all(self):
        async def scenario(fleet):
            for number in range(78):
                fleet.start(f"r{number:02}")
            await asyncio.sleep(JOIN_S + 5.0)
            for number in range(78):
                fleet.start(f"r{number:02}")
            await asyncio.sleep(JOIN_S + 5.0)

        fleet = self.play(scenario, allowance=430.0, ratio=0.2, pace=0.9)
        self.assertLessEqual(fleet.find_excess(), 1e-9)
        self.assertGreater(len(fleet.record.list_repeats()), 430)


def disturb(fleet: Fleet, rng: random.Random, name: str, names: list[str]) -> None:
    """Start, kill, cut off or heal a router, or disturb the store."""
    faults = fleet.store.faults
    match rng.randrange(7):
        case 0 | 1:
            fleet.start(name)
        case 2:
            fleet.kill(name)
        case 3:
            faults.cut = set(rng.sample(names, rng.randrange(len(names) + 1)))
        case 4:
            faults.cut = set()
        case 5:
            faults.outage = not faults.outage
        case 6:
            faults.lose_answers, faults.lose_writes = rng.randrange(3), rng.randrange(3)
