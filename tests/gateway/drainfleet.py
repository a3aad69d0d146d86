"""Routers that follow the drains of failure domains, in virtual time."""

import asyncio
import random
from collections.abc import Callable
from contextlib import asynccontextmanager, suppress
from types import SimpleNamespace

from anvilshift.core.choosing import Choice, choose_plain_target
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.placement.domaindrains import DomainDrains
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.border import TargetFields
from anvilshift.gateway.domaindrains import DrainWatch
from anvilshift.gateway.following import Follower, WatchIntervals, find_interval_factor
from anvilshift.gateway.outgoing import AttemptError, Outgoing
from anvilshift.gateway.sending import Sender
from anvilshift.objects.hedged import HedgedStore
from anvilshift.standins.memory import MemoryStore
from anvilshift.standins.virtual import VirtualClock
from anvilshift.wire.response import ExchangeError
from tests.gateway.silent import SilentJournal

KIND = "drains"
DOMAINS = ("north", "south", "east")
BOUND_S = 5.0
"""Seconds from the acknowledgement of a drain until nothing is sent there any more."""
_DATAGRAM_DELAY_S = 0.001
_LOSS_TIME_S = 0.65
"""Time after a kill until the other routers notice it."""
_OPENING_S = (0.002, 0.1, 1.0, 8.0)
"""Times after which a connection or a permit is there."""
_CALLERS = 4
"""Callers of each router; each has one request at a time."""


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
        works = [self.probe.run(), self.watch.run(), self._check()]
        if self.fleet.callers is not None:
            works += [self.fleet.callers.keep_calling(self) for _ in range(_CALLERS)]
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


class Callers:
    """Callers of plain targets, of which each domain has one.

    Parameters
    ----------
    on_send
        Called with a router and a domain as the first byte of a request is sent there.
    """

    def __init__(self, rng: random.Random, on_send: Callable[[str, str], None]) -> None:
        self.rng, self.on_send = rng, on_send

    async def keep_calling(self, router: Router) -> None:
        loads, clock = LoadMap(router.drains), router.watch.clock
        for domain in DOMAINS:
            loads.declare(TargetInfo(domain, "desk", "10.0.0.1:80", domain, 8))
        peers = SimpleNamespace(small=False)
        reach = _SlowReach(self, router.name)
        sender = Sender(
            reach, _NO_DIALECT, loads, peers, clock, router.journal, None, None
        )
        while True:
            drained = loads.list_drained("desk")
            choice = choose_plain_target(
                loads, "desk", "north", 40.0, self.rng, clock.now(), drained
            )
            if choice is not None:
                with suppress(AttemptError):
                    async with sender.send(_make_outgoing(choice)):
                        pass
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))


def _make_outgoing(choice: Choice) -> Outgoing:
    fields = TargetFields(choice.target.info.name, None, 60_000.0)
    request = SimpleNamespace(method="GET", target="/", body=b"")
    return Outgoing(
        "r/1", request, "a", "h", Prompt(), fields, choice, 0, lambda via: None
    )


class _SlowReach:
    """Connections that open late, and break off once a request is sent."""

    def __init__(self, callers: Callers, router: str) -> None:
        self._callers, self._router = callers, router
        self.client = self

    @asynccontextmanager
    async def open(self, info, *_):
        await asyncio.sleep(self._callers.rng.choice(_OPENING_S))
        yield SimpleNamespace(via="", address=info.failure_domain)

    def exchange(self, address, *_, **__):
        self._callers.on_send(self._router, address)
        raise ExchangeError("broke off", sent=True)


_NO_DIALECT = SimpleNamespace(write_target_fields=lambda *_: [])


class DrainFleet:
    """Routers that share one store.

    Attributes
    ----------
    callers
        Who calls the routers; None if nobody does.
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
        self.callers: Callers | None = None
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
