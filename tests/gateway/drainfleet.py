"""Routers that follow the drains of failure domains, in virtual time."""

import asyncio
import random
from types import SimpleNamespace

from anvilshift.core.placement.domaindrains import DomainDrains
from anvilshift.gateway.domaindrains import DrainWatch
from anvilshift.gateway.following import Follower, WatchIntervals, find_interval_factor
from anvilshift.objects.hedged import HedgedStore
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock
from tests.gateway.silent import SilentJournal

KIND = "drains"
BOUND_S = 5.0
"""Seconds from the acknowledgement of a drain until nothing is sent there any more."""
_DATAGRAM_DELAY_S = 0.001
_LOSS_TIME_S = 0.65
"""Time after a kill until the other routers notice it."""


class Router:
    """One router; its parts beside the drains don't run."""

    def __init__(self, fleet: "DrainFleet", name: str, bound: float | None) -> None:
        self.fleet, self.name = fleet, name
        clock, self.journal = VirtualClock(), SilentJournal()
        store = HedgedStore(fleet.store.view(name), clock)
        self.probe = Follower(
            store,
            "config",
            WatchIntervals(1_500.0),
            clock,
            self.journal,
            lambda change: None,
        )
        self.probe.max_wait = 2_900.0
        self.peers = SimpleNamespace(routers={}, send=self.send)
        self.peers.send_each = lambda message, ips: [self.send(message, i) for i in ips]
        self.returned: list[str] = []
        self.drains = DomainDrains(bound is not None)
        self.watch = DrainWatch(
            name,
            bound,
            self.drains,
            self.peers,
            clock,
            self.journal,
            fleet.rng,
            self.returned.append,
        )
        self.watch.follow(store, KIND, self.probe)
        self.tasks: list[asyncio.Task[None]] = []

    def run(self) -> None:
        works = (self.probe.run(), self.watch.run(), self._check())
        self.tasks = [asyncio.create_task(work) for work in works]

    async def _check(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            self.probe.interval_factor = find_interval_factor(len(self.fleet.routers))
            self.watch.run_checks(self.watch.clock.now())

    def send(self, message, ip: str) -> None:
        self.fleet.deliver(self.name, message, ip)

    def list_drained(self) -> list[str]:
        return sorted(one.domain for one in self.drains.list_drains())


class DrainFleet:
    """Routers that share one store.

    Attributes
    ----------
    loss
        Share of the messages between routers that are lost.
    """

    def __init__(self, seed: int = 1, bound: float | None = BOUND_S * 1_000) -> None:
        self.rng = random.Random(seed)
        self.store = MemoryStore(VirtualClock(), 20_000.0)
        # A store's revisions begin above 0.
        self.store.revision = 1
        self.routers: dict[str, Router] = {}
        self.bound = bound
        self.loss = 0.0
        self.sent = 0

    def start(self, *names: str) -> None:
        for name in names:
            router = self.routers[name] = Router(self, name, self.bound)
            for other in self.routers.values():
                if other is not router:
                    self._introduce(router, other)
            router.run()

    def _introduce(self, new: Router, known: Router) -> None:
        """Let two routers hear of each other; the known one tells what it knows."""
        for one, other in ((new, known), (known, new)):
            beat = SimpleNamespace(ip=other.name)
            one.peers.routers[other.name] = SimpleNamespace(beat=beat)
        known.watch.tell(new.name)

    def kill(self, name: str) -> None:
        for task in self.routers.pop(name).tasks:
            task.cancel()
        loop = asyncio.get_running_loop()
        loop.call_later(_LOSS_TIME_S, self._forget, name)

    def _forget(self, name: str) -> None:
        if name not in self.routers:
            for one in self.routers.values():
                one.peers.routers.pop(name, None)

    def deliver(self, sender: str, message, name: str) -> None:
        self.sent += 1
        if self.rng.random() < self.loss:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(_DATAGRAM_DELAY_S, self._hand_over, message, name)

    def _hand_over(self, message, name: str) -> None:
        if name in self.routers:
            self.routers[name].watch.apply_told(message)

    async def drain(self, domain: str, body=None) -> None:
        await self.store.put(KIND, domain, body or {}, 0)

    async def end(self, domain: str) -> None:
        await self.store.delete(KIND, domain, self.store._read(KIND, domain).version)

    def turn_away(self, *names: str) -> None:
        """Let the store answer all routers but these."""
        self.store.faults.cut = set(names)

    async def measure(self, holds, names=None) -> float:
        """Return after how many seconds all routers know something, 60 at most."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        while loop.time() < began + 60.0:
            if all(holds(self.routers[one]) for one in names or self.routers):
                break
            await asyncio.sleep(0.01)
        return loop.time() - began

    async def stop(self) -> None:
        for name in list(self.routers):
            self.kill(name)
        await asyncio.sleep(0.01)
