"""Routers that send to one engine with a rate limit, in virtual time."""

import asyncio
import random
from types import SimpleNamespace

from anvilshift.core.choosing import Choice
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.limits import RateLimits
from anvilshift.gateway.messages import (
    Limited,
    PermitAnswer,
    PermitAsk,
    PermitDropped,
    Sent,
    SentBefore,
)
from anvilshift.gateway.permits import Permits
from anvilshift.gateway.permitsession import PermitSession
from anvilshift.standins.virtual import VirtualClock, run_virtual
from tests.gateway.silent import SilentJournal

ENGINE = "e1"
SPAN_S = 4.0
STABLE_S = 3.0
_SWEEP_INTERVAL_S = 0.1
_DETECTION_S = 0.65
_SMALL_FLEET = 12


class LimitedEngine:
    """Records the requests that reach it, and announces a rate limit in its answers.

    Attributes
    ----------
    arrivals
        Instants of the requests, in seconds.
    """

    def __init__(self) -> None:
        self.rate: float | None = None
        self.born = 1
        self.arrivals: list[float] = []

    def count_most(self, since: float, until: float = float("inf")) -> int:
        """Return the most requests in any span of `SPAN_S` that ends in an interval."""
        most, first = 0, 0
        for last, end in enumerate(self.arrivals):
            while end - self.arrivals[first] > SPAN_S:
                first += 1
            if since <= end <= until:
                most = max(most, last - first + 1)
        return most

    def count(self, since: float, until: float) -> int:
        return sum(since <= at < until for at in self.arrivals)


class PeerNetwork:
    """Simulated network that delays and loses one router's messages to the others."""

    def __init__(self, fleet: "PermitFleet", name: str) -> None:
        self.fleet, self.name = fleet, name

    @property
    def small(self) -> bool:
        return self.fleet.size < _SMALL_FLEET

    @property
    def routers(self):
        return {
            name: SimpleNamespace(beat=SimpleNamespace(ip=name))
            for name in self.fleet.nodes
            if name != self.name
        }

    def broadcast(self, message) -> None:
        for name in list(self.fleet.nodes):
            if name != self.name:
                self.send(message, name)

    def send(self, message, ip: str) -> None:
        fleet = self.fleet
        if fleet.rng.random() < fleet.loss or (self.name, ip) in fleet.cuts:
            return
        delay = fleet.rng.uniform(0.0005, fleet.delay)
        node = fleet.nodes.get(ip)
        if node is not None:
            asyncio.get_running_loop().call_later(delay, node.hear, message)


class LimitNode:
    """One router, reduced to what a gateway does with a rate-limited engine."""

    def __init__(self, fleet: "PermitFleet", name: str) -> None:
        self.fleet, self.name = fleet, name
        self.incarnation = f"{name}.{fleet.starts}"
        self.journal = SilentJournal()
        self.loads = LoadMap()
        self.running = asyncio.Event()
        self.running.set()
        self.dead = False
        self.runs = 0
        self.refused: list[float] = []
        self.served: list[tuple[str, int]] = []
        self.tasks: list[asyncio.Task] = []
        self.declare()
        peers = self.make_network()
        self.limits = RateLimits(
            name, self.incarnation, self.loads, peers, fleet.clock, self.journal
        )
        self.permits = Permits(
            self.limits, name, self.loads, peers, fleet.clock, self.journal
        )
        self.shared = SimpleNamespace(
            permits=self.permits, clock=fleet.clock, next_run=self.next_run
        )
        self.peers = peers

    def make_network(self) -> PeerNetwork:
        return PeerNetwork(self.fleet, self.name)

    def declare(self) -> None:
        born = self.fleet.engine.born
        info = TargetInfo(ENGINE, "llm", "10.0.0.1:80", "north", 64, born=born)
        self.loads.declare(info)

    def next_run(self) -> str:
        self.runs += 1
        return f"{self.incarnation}/{self.runs}"

    def hear(self, message) -> None:
        if self.dead or not self.running.is_set():
            return
        if isinstance(message, Limited):
            self.limits.apply_limit(message)
        elif isinstance(message, PermitAsk):
            self.permits.handle_ask(message)
        elif isinstance(message, PermitAnswer):
            self.permits.handle_answer(message)
        elif isinstance(message, PermitDropped):
            self.permits.handle_withdrawal(message)
        elif isinstance(message, SentBefore):
            self.limits.add_sends(message)
        elif isinstance(message, Sent):
            self.loads.send(ENGINE, message.run, Prompt(), 0, self.fleet.clock.now(), 0)

    async def call(self, patience: float, organisation="pounds", rank=1) -> bool:
        """Handle a request that only this engine can serve; tell if it was sent."""
        clock = self.fleet.clock
        end = clock.now() + patience
        turn = PermitSession(self.shared, "id", clock.now())
        turn.organisation = organisation
        while True:
            await self.running.wait()
            target = self.loads.targets[ENGINE]
            choice = Choice(target, 0.0, turn=target.find_admission_delay(clock.now()))
            too_late = clock.now() + choice.turn > end or clock.now() >= end
            if turn.refused or too_late:
                turn.close()
                self.refused.append(patience - (end - clock.now()))
                return False
            run = await turn.request_permit(choice, rank, end)
            if self.dead:
                return False
            if run is not None:
                self.served.append((organisation, rank))
                await self._send(run)
                return True

    async def _send(self, run: str) -> None:
        fleet, sent = self.fleet, self.fleet.clock.now()
        self.loads.send(ENGINE, run, Prompt(), 0, sent, 0)
        if self.peers.small:
            self.peers.broadcast(Sent(run, ENGINE, (), 0, 0, 0, False))
        await asyncio.sleep(fleet.rng.uniform(0.001, 0.01))
        fleet.engine.arrivals.append(fleet.clock.now() / 1_000.0)
        fleet.senders.append(self.name)
        await asyncio.sleep(fleet.rng.uniform(0.01, 0.3))
        named = fleet.engine.rate
        await asyncio.sleep(0.003)
        await self.running.wait()
        if not self.dead:
            self.limits.apply_answer(ENGINE, named, sent, "id")
        await asyncio.sleep(fleet.rng.uniform(0.0, 0.5))
        self.loads.end(ENGINE, run)

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_INTERVAL_S)
            if self.running.is_set():
                self.permits.run_checks(self.fleet.clock.now())

    async def keep_calling(self, rate: float, patience: float) -> None:
        """Start requests at random intervals, `rate` per second on average."""
        while True:
            await asyncio.sleep(self.fleet.rng.expovariate(rate))
            self.start_task(self.call(patience))

    def start_task(self, work) -> None:
        self.tasks.append(asyncio.get_running_loop().create_task(work))


class PermitFleet:
    """Routers, their network and one engine.

    Parameters
    ----------
    size
        Number of routers; in a large fleet sends aren't announced to all.
    """

    node_kind = LimitNode

    def __init__(self, size: int, seed: int, loss: float = 0.0) -> None:
        self.clock = VirtualClock()
        self.rng = random.Random(seed)
        self.size = size
        self.loss = loss
        self.delay = 0.003
        self.starts = 0
        self.cuts: set[tuple[str, str]] = set()
        self.engine = LimitedEngine()
        self.senders: list[str] = []
        self.nodes: dict[str, LimitNode] = {}
        self.rate = 0.0
        self.patience = 1_000.0
        for index in range(size):
            self.start(f"r{index}")

    def now(self) -> float:
        return self.clock.now() / 1_000.0

    def start(self, name: str) -> LimitNode:
        self.starts += 1
        node = self.nodes[name] = self.node_kind(self, name)
        node.start_task(node.sweep())
        if self.rate:
            node.start_task(node.keep_calling(self.rate, self.patience))
        self.update_routers()
        for other in self.nodes.values():
            if other is not node:
                for limited in other.limits.list_limits():
                    other.peers.send(limited, name)
        return node

    def offer(self, rate: float, patience: float = 1_000.0) -> None:
        """Give each router so many requests per second."""
        self.rate, self.patience = rate, patience
        for node in self.nodes.values():
            node.start_task(node.keep_calling(rate, patience))

    def update_routers(self) -> None:
        """Tell every router which others are running and reachable."""
        for node in self.nodes.values():
            names = {
                other.name
                for other in self.nodes.values()
                if other.running.is_set() and (other.name, node.name) not in self.cuts
            }
            node.limits.update_routers(names | {node.name}, ())

    def _note_later(self) -> None:
        asyncio.get_running_loop().call_later(_DETECTION_S, self.update_routers)

    def kill(self, name: str) -> None:
        node = self.nodes.pop(name)
        node.dead = True
        for task in node.tasks:
            task.cancel()
        self._note_later()

    def freeze(self, name: str) -> None:
        self.nodes[name].running.clear()
        self._note_later()

    def wake(self, name: str) -> None:
        self.nodes[name].running.set()
        self.nodes[name].permits.handle_suspension()
        self._note_later()

    def cut(self, name: str) -> None:
        """Isolate a router from all others."""
        for other in self.nodes:
            if other != name:
                self.cuts |= {(name, other), (other, name)}
        self._note_later()

    def heal(self) -> None:
        self.cuts.clear()
        self._note_later()

    def restart_engine(self) -> None:
        """Restart the engine at the same address, without a limit."""
        self.engine.born += 1
        self.engine.rate = None
        for node in self.nodes.values():
            node.declare()

    def stop(self) -> None:
        for node in self.nodes.values():
            for task in node.tasks:
                task.cancel()


def run_scenario(scenario, size: int, seed: int = 1, loss: float = 0.0):
    """Run a scenario, an async function of a fleet, and return its result."""

    async def run():
        fleet = PermitFleet(size, seed, loss)
        try:
            return await scenario(fleet)
        finally:
            fleet.stop()

    return run_virtual(run())
