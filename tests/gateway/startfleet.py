"""Forty routers whose service has a single target, which has just started."""

import asyncio
import heapq
import random
from types import SimpleNamespace

from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.health.slowstart import Outcome
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.datagrams import decode, encode
from anvilshift.gateway.planning import AttemptPlanner
from anvilshift.gateway.slowstarts import SlowStarts
from anvilshift.gateway.targethealth import TargetHealth
from tests.gateway.silent import SilentJournal
from tests.gateway.virtualtime import VirtualLoop

OBJECTIVE = 645.0
USUAL = 100.0
SLOTS = 12


class Peers:
    """Brings messages to the other routers after some milliseconds."""

    small = True

    def __init__(self, fleet: "StartFleet", name: str) -> None:
        self.fleet, self.ip = fleet, name

    def broadcast(self, message) -> None:
        for name in self.fleet.routers:
            if name != self.ip:
                self.send(message, name)

    def send(self, message, ip: str) -> None:
        fleet = self.fleet
        fleet.sent += 1
        if fleet.rng.random() < fleet.lost or self.ip in fleet.cut or ip in fleet.cut:
            return
        [received] = decode(encode(message))
        router = fleet.routers[ip]
        fleet.loop.call_later(fleet.rng.uniform(0.002, 0.01), router.receive, received)

    def list_present(self) -> list[object]:
        return [one.peer for one in self.fleet.routers.values() if one.name != self.ip]

    def list_domains(self) -> set[str]:
        return {"north"}


class Router:
    """A router, with the handlers of its messages."""

    def __init__(self, fleet: "StartFleet", name: str) -> None:
        self.fleet, self.name, self.count = fleet, name, 0
        beat = SimpleNamespace(
            incarnation=name, ip=name, failure_domain="n", serving=True, leaving=False
        )
        self.peer = SimpleNamespace(beat=beat)
        self.loads, peers, journal = LoadMap(), Peers(fleet, name), SilentJournal()
        self.starts = SlowStarts(
            name, "n", self.loads, peers, fleet.loop, journal, is_used=True
        )
        self.health = TargetHealth(
            name, "n", self.loads, peers, fleet.loop, journal, fleet.rng
        )
        self.handlers = {}
        self.starts.connect(self.health, self.handlers.__setitem__)

    def receive(self, message) -> None:
        handle = self.handlers.get(type(message), self.starts.hear)
        handle(message)

    def read(self, name: str, born: int = 1) -> None:
        info = TargetInfo(name, "llm", "10.0.0.1:80", "north", SLOTS, born=born)
        self.loads.declare(info)
        self.starts.apply_entry(info)

    async def ask_for_share(self) -> str:
        """Return the run of a request that may be sent.

        Raises
        ------
        AnvilshiftError
            When it is refused.
        """
        target, clock = self.loads.targets["new"], self.fleet.loop
        planner = SimpleNamespace(
            shared=SimpleNamespace(
                sender=SimpleNamespace(slow_starts=self.starts),
                permits=SimpleNamespace(is_limited=lambda target: False),
                clock=clock,
            ),
            routed=SimpleNamespace(
                model="m",
                arrived=clock.now(),
                rule=SimpleNamespace(objective=OBJECTIVE),
            ),
            share=None,
            _make_final_error=lambda code, wait, detail: AnvilshiftError(
                code, detail, wait
            ),
        )
        choice = SimpleNamespace(wait=USUAL, target=target)
        while True:
            self.count += 1
            run = f"{self.name}/{self.count}"
            if await AttemptPlanner._take_share(planner, choice, run):
                return run

    async def serve(self) -> None:
        """Send a request when it may be sent, and record what comes of it."""
        fleet, began = self.fleet, self.fleet.loop.now()
        try:
            run = await self.ask_for_share()
        except AnvilshiftError:
            fleet.refused.append(fleet.loop.now() - began)
            return
        sent = fleet.loop.now()
        self.loads.send("new", run, Prompt(), 0, sent, 0)
        await fleet.work()
        took = fleet.loop.now() - sent
        outcome = Outcome.LATE if took > OBJECTIVE else Outcome.IN_TIME
        self.starts.record("new", run, outcome, sent, has_ended=False)
        self.loads.end("new", run)
        self.starts.shares.end("new", run)
        fleet.served.append(fleet.loop.now() - began)


class StartFleet:
    """The routers and their target, which works on so many requests at a time."""

    def __init__(self, took: float = USUAL, lost: float = 0.0, seed: int = 1) -> None:
        self.loop, self.rng = VirtualLoop(), random.Random(seed)
        self.took, self.lost, self.cut = took, lost, set()
        self.running = self.most = self.sent = 0
        self.free = [0.0] * SLOTS
        self.served: list[float] = []
        self.refused: list[float] = []
        self.routers = {f"r{n}": Router(self, f"r{n}") for n in range(40)}

    async def work(self) -> None:
        self.running += 1
        self.most = max(self.most, self.running)
        begin = max(self.loop.time(), heapq.heappop(self.free))
        heapq.heappush(self.free, begin + self.took / 1_000)
        await asyncio.sleep(begin + self.took / 1_000 - self.loop.time())
        self.running -= 1

    async def start_target(self) -> None:
        """Let all routers read of a target that has run, and later of a new one."""
        for router in self.routers.values():
            router.read("old")
        await asyncio.sleep(10.0)
        for router in self.routers.values():
            router.loads.remove("old", self.loop.now())
            router.read("new")

    async def play(self, arrivals: list[tuple[float, str]]) -> None:
        """Start the target, and let requests arrive at routers after so many ms."""
        await self.start_target()
        began, tasks = self.loop.time(), []
        for at, name in arrivals:
            await asyncio.sleep(max(0.0, began + at / 1_000 - self.loop.time()))
            tasks.append(asyncio.ensure_future(self.routers[name].serve()))
        await asyncio.gather(*tasks)
