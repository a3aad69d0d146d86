"""Tests that routers together keep to the rate limits that engines announce."""

import asyncio
import random
import unittest

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.membership import HeartbeatStatus, Member, Roster
from anvilshift.core.work import DispatchSettings, LoadReport, Target, Work
from anvilshift.peers.link import PeerError
from anvilshift.router.dispatching import DispatchLoop
from anvilshift.router.permits import Permits, PermitSources
from anvilshift.router.telemetry import Telemetry
from anvilshift.standins.virtual import VirtualClock, run_virtual

HEARTBEAT = 500.0
REPORT_S = 0.25
RUN_S = 0.05
SPAN_S = 4.0
STABLE_S = 3.0


class Router:
    """One router's dispatcher and permits, without its other parts."""

    def __init__(self, fleet: "Routers", name: str) -> None:
        self.fleet, self.name = fleet, name
        self.dispatcher = Dispatcher(DispatchSettings(), random.Random(name))
        self.loop = DispatchLoop(self.dispatcher, fleet.clock)
        self.member = Member(name, f"{name}-1", name, name, name, "north")
        self.members = Roster(5_000.0)
        telemetry = Telemetry(exported=False)
        sources = PermitSources(
            self.member,
            lambda: self.members,
            self,
            self.loop,
            telemetry,
            fleet.clock,
            HEARTBEAT,
        )
        self.permits = Permits(sources)
        targets = [Target(name, "north") for name in fleet.rates]
        self.dispatcher.configure(targets, fleet.clock.now())

    async def permit(self, address, request):
        """Send a permit request to another router."""
        await asyncio.sleep(0.001)
        if {self.name, address} & self.fleet.cut:
            await asyncio.sleep(1.0)
            raise PeerError("no answer")
        return await self.fleet.routers[address].permits.handle_permit(request)

    def beat(self) -> None:
        now = self.fleet.clock.now()
        for other in self.fleet.routers.values():
            if other is not self and not {self.name, other.name} & self.fleet.cut:
                self.members = self.members.record_heartbeat(
                    other.member, HeartbeatStatus(), now
                )
        self.permits.update_routers()

    async def ask(self, candidates, deadline: float) -> bool:
        """Submit work of one caller; tell whether it was sent to a target."""
        identity = f"{self.name}/{self.fleet.count}"
        self.fleet.count += 1
        end = self.fleet.clock.now() + deadline
        work = Work(identity, "pounds", "chat", candidates, 10, 20, end)
        try:
            send = await self.loop.submit(work, lambda: None)
        except AnvilshiftError:
            return False
        self.fleet.arrivals[send.target].append(self.fleet.clock.now() / 1_000.0)
        await asyncio.sleep(RUN_S)
        self.loop.first_token(identity)
        self.loop.done(identity, 20)
        return True


class Routers:
    """Routers that share engines, in virtual time.

    Attributes
    ----------
    rates
        Limit that each engine announces, in requests per second; None for no limit.
    cut
        Names of the routers that are cut off from the others.
    """

    def __init__(self, size: int, rates: dict[str, float | None]) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(1)
        self.rates = rates
        self.arrivals: dict[str, list[float]] = {name: [] for name in rates}
        self.cut: set[str] = set()
        self.count = 0
        self.answers: list[bool] = []
        self.routers: dict[str, Router] = {}
        for index in range(size):
            self.routers[f"r{index}"] = Router(self, f"r{index}")
        self.tasks: list[asyncio.Task] = []

    def spawn(self, work) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(work))

    async def beat(self) -> None:
        while True:
            for router in self.routers.values():
                router.beat()
            await asyncio.sleep(HEARTBEAT / 1_000.0)

    async def report(self, router: Router) -> None:
        while True:
            for name, rate in self.rates.items():
                now = self.clock.now()
                report = LoadReport(name, 0, 0, now - 100.0, limit=rate)
                router.permits.apply_report(report)
                router.loop.act(router.dispatcher.load_report(report, now))
            await asyncio.sleep(REPORT_S)

    async def keep_asking(self, router: Router, rate: float, deadline: float) -> None:
        while True:
            await asyncio.sleep(self.rng.expovariate(rate))
            candidates = dict.fromkeys(self.rates, 0)
            self.spawn(self._ask(router, candidates, deadline))

    async def _ask(self, router: Router, candidates, deadline: float) -> None:
        self.answers.append(await router.ask(candidates, deadline))

    def start(self, rate: float, deadline: float = 1_500.0) -> None:
        self.spawn(self.beat())
        for router in self.routers.values():
            self.spawn(self.report(router))
            self.spawn(self.keep_asking(router, rate / len(self.routers), deadline))

    def count_most(self, name: str, since: float) -> int:
        """Return the most requests in any limit span that ends after an instant."""
        arrivals = self.arrivals[name]
        ends = [end for end in arrivals if end >= since]
        return max(
            (sum(e - SPAN_S <= a <= e for a in arrivals) for e in ends), default=0
        )


def run_scenario(scenario, size: int, rates: dict[str, float | None]):
    async def run():
        fleet = Routers(size, rates)
        try:
            return await scenario(fleet)
        finally:
            for task in fleet.tasks:
                task.cancel()

    return run_virtual(run())


class PermitsTest(unittest.TestCase):
    def test_routers_that_share_an_engine_use_but_keep_to_its_limit(self):
        """Guards against each router using the whole limit of an engine by itself."""

        async def scenario(fleet):
            fleet.start(40.0)
            await asyncio.sleep(4.0)
            fleet.rates["e1"] = 2.0
            named = fleet.clock.now() / 1_000.0
            await asyncio.sleep(20.0)
            used = sum(a > named + 7.0 for a in fleet.arrivals["e1"])
            return fleet.count_most("e1", named + STABLE_S), used

        most, used = run_scenario(scenario, 4, {"e1": None})
        self.assertLessEqual(most, 1.5 * 2.0 * SPAN_S + 5)
        self.assertGreater(used, 0.7 * 2.0 * 13)

    def test_work_is_sent_to_another_engine_with_free_capacity(self):
        async def scenario(fleet):
            fleet.start(20.0)
            await asyncio.sleep(10.0)
            return fleet.answers, fleet.count_most("e1", 0.0)

        answers, most = run_scenario(scenario, 3, {"e1": 1.0, "e2": None})
        self.assertGreater(sum(answers) / len(answers), 0.99)
        self.assertLessEqual(most, 1.5 * 1.0 * SPAN_S + 5)

    def test_routers_keep_to_the_limit_during_a_partition(self):
        async def scenario(fleet):
            fleet.start(40.0)
            await asyncio.sleep(5.0)
            fleet.cut = {"r0"}
            await asyncio.sleep(15.0)
            fleet.cut = set()
            await asyncio.sleep(5.0)
            return fleet.count_most("e1", STABLE_S)

        for rate in (1.0, 8.0):
            with self.subTest(rate=rate):
                most = run_scenario(scenario, 4, {"e1": rate})
                self.assertLessEqual(most, 1.5 * rate * SPAN_S + 5)

    def test_all_work_is_sent_after_a_limit_has_ended(self):
        async def scenario(fleet):
            fleet.start(20.0)
            await asyncio.sleep(6.0)
            fleet.rates["e1"] = None
            await asyncio.sleep(8.0)
            now = fleet.clock.now() / 1_000.0
            return sum(a > now - 2.0 for a in fleet.arrivals["e1"])

        self.assertGreater(run_scenario(scenario, 3, {"e1": 1.0}), 30)
