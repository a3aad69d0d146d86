"""Routers that send to cold engines, in virtual time.

Unlike its base, each router learns of the others by their heartbeats and of the engines
by their entries, each at its own time.
"""

import asyncio
from types import SimpleNamespace

from anvilshift.core.choosing import choose_plain_target
from anvilshift.core.health.coldtargets import ColdBounds, ColdNeeds
from anvilshift.core.routing import Service
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.coldmessages import TargetCold
from anvilshift.gateway.coldtargets import ColdTargets
from anvilshift.gateway.outgoing import AttemptError
from anvilshift.gateway.peers import LOST_AFTER_BEATS, find_beat_interval
from anvilshift.gateway.permitsession import PermitSession
from anvilshift.standins.virtual import run_virtual
from tests.gateway.permitfleet import LimitNode, PeerNetwork, PermitFleet

RATE, OVERAGE, ALLOWANCE = 7.0, 1.5, 5.0
BOUND = RATE * OVERAGE + ALLOWANCE
"""Most requests to a cold engine in any one second, as the users state it."""
_SMALL_FLEET = 8
_BROADCAST_DELAY_S = 0.04
_DOMAIN = "north"


class ColdEngine:
    """Records the requests that reach it, and says in its entry how long it is cold.

    Attributes
    ----------
    terms
        Times in which it was cold.
    """

    def __init__(self, fleet: "ColdFleet", name: str) -> None:
        self._fleet, self.name = fleet, name
        self.born = 1
        self.up = True
        self.arrivals: list[float] = []
        self.terms: list[tuple[float, float]] = []
        self._said = (1, 0.0)

    def become_cold(self, seconds: float) -> None:
        now = self._fleet.now()
        self.terms.append((now, now + seconds))

    def start_cold(self, seconds: float) -> None:
        """Start anew; a start writes its entry at once."""
        self.up = True
        self.born += 1
        self.become_cold(seconds)
        self._said = (self.born, seconds * 1_000.0)

    def find_left(self) -> float:
        return max([end - self._fleet.now() for _, end in self.terms] + [0.0])

    async def write_entry(self) -> None:
        """Say ten times in three seconds how long it is cold."""
        while True:
            self._said = (self.born, self.find_left() * 1_000.0)
            await asyncio.sleep(0.3)

    def read_entry(self, now: float) -> TargetInfo | None:
        if not self.up:
            return None
        born, left = self._said
        until = now + left if left else float("-inf")
        return TargetInfo(
            self.name, "llm", "10.0.0.1:80", _DOMAIN, 64, born=born, cold_until=until
        )

    def count_most(self) -> int:
        """Return the most requests in any one second while it was cold."""
        most = 0
        for begin, end in self.terms:
            times = [at for at in self.arrivals if begin <= at < end]
            for first, at in enumerate(times):
                most = max(most, sum(one < at + 1.0 for one in times[first:]))
        return most

    def count(self, since: float, until: float) -> int:
        return sum(since <= at < until for at in self.arrivals)


class HeardNetwork(PeerNetwork):
    """Network of one router that knows the others by their heartbeats."""

    def __init__(self, fleet: "ColdFleet", node: "ColdNode") -> None:
        super().__init__(fleet, node.name)
        self._node = node

    @property
    def small(self) -> bool:
        return len(self.routers) < _SMALL_FLEET

    @property
    def addresses(self) -> set[str]:
        return self._node.known

    @property
    def routers(self):
        return {peer.beat.ip: peer for peer in self.list_present()}

    def list_present(self):
        interval = find_beat_interval(len(self._node.known) + 1)
        since = self.fleet.clock.now() - LOST_AFTER_BEATS * interval
        heard = [name for name, at in self._node.heard.items() if at >= since]
        return [
            SimpleNamespace(beat=SimpleNamespace(ip=name, leaving=False))
            for name in heard
        ]

    def broadcast(self, message) -> None:
        if self.fleet.is_mute:
            return
        present = list(self.routers)
        for name in present:
            delay = 0.0 if self.small else _BROADCAST_DELAY_S
            asyncio.get_running_loop().call_later(delay, self.send, message, name)


class ColdNode(LimitNode):
    """One router, reduced to what a gateway does with cold engines."""

    fleet: "ColdFleet"

    def __init__(self, fleet: "ColdFleet", name: str) -> None:
        self.known = set(fleet.seeds) - {name}
        self.heard: dict[str, float] = {}
        self.reads_store = name not in fleet.without_store
        self.connect_s = 0.002
        super().__init__(fleet, name)
        self.cold = ColdTargets(
            self.limits, fleet.clock, self.journal, ColdBounds(OVERAGE, ALLOWANCE)
        )
        needs = ColdNeeds(RATE, fleet.cold_s * 1_000)
        self.cold.configure([Service("llm", 64, cold=needs)])
        self.cold.find_confirmed = lambda: self.confirmed
        self.confirmed = float("-inf")
        self.permits.cold = self.cold
        self.start_task(self.beat())
        self.start_task(self.read_entries())

    def make_network(self) -> PeerNetwork:
        return HeardNetwork(self.fleet, self)

    def declare(self) -> None:
        """Know nothing of engines before their entries are read."""

    def hear(self, message) -> None:
        if self.dead or not self.running.is_set():
            return
        if isinstance(message, TargetCold):
            self.cold.apply_message(message)
        elif isinstance(message, tuple):
            self._hear_beat(*message)
        else:
            super().hear(message)

    def _hear_beat(self, name: str, known: frozenset[str]) -> None:
        is_new = name not in self.heard
        self.heard[name] = self.fleet.clock.now()
        self.known |= {name, *known} - {self.name}
        if is_new:
            self.peers.send((self.name, frozenset(self.known)), name)
            self.cold.tell_new_router(name)

    async def beat(self) -> None:
        while True:
            await self.running.wait()
            for name in self.known:
                self.peers.send((self.name, frozenset(self.known)), name)
            interval = find_beat_interval(len(self.heard) + 1) / 1_000.0
            await asyncio.sleep(interval * self.fleet.rng.uniform(0.9, 1.1))

    async def sweep(self) -> None:
        while True:
            await asyncio.sleep(0.1)
            if self.running.is_set():
                self.limits.update_routers({self.name, *self.peers.routers}, ())
                now = self.fleet.clock.now()
                self.permits.run_checks(now)
                for target in self.loads.targets.values():
                    if now >= target.health.until:
                        target.health.probe(now)

    async def read_entries(self) -> None:
        rng = self.fleet.rng
        await asyncio.sleep(rng.uniform(0.05, 0.4))
        while True:
            if self.reads_store and self.running.is_set():
                began = self.fleet.clock.now()
                found = [e.read_entry(began) for e in self.fleet.engines.values()]
                await asyncio.sleep(rng.uniform(0.002, 0.02))
                self._apply([info for info in found if info], began)
            await asyncio.sleep(rng.uniform(0.1, 1.0))

    def _apply(self, found: list[TargetInfo], began: float) -> None:
        now = self.fleet.clock.now()
        for name in set(self.loads.targets) - {info.name for info in found}:
            self.loads.remove(name, now)
        for info in found:
            self.loads.declare(info)
            self.cold.apply_entry(info)
        self.confirmed = began

    async def call(self, patience: float, organisation="pounds", rank=1) -> bool:
        """Handle a request that any engine can serve; tell if it was sent."""
        clock = self.fleet.clock
        arrived = clock.now()
        end = arrived + patience
        turn = PermitSession(self.shared, "id", arrived)
        turn.organisation = organisation
        failed: set[str] = set()
        while True:
            await self.running.wait()
            now, delays = clock.now(), turn.list_permit_delays()
            excluded = failed | turn.refused
            choice = choose_plain_target(
                self.loads, "llm", _DOMAIN, 40.0, self.fleet.rng, now, excluded, delays
            )
            if choice is None or now + choice.turn > end or now >= end:
                turn.close()
                self.refused.append(now - arrived)
                return False
            run = await turn.request_permit(choice, rank, end)
            if run is not None and await self._send_cold(run, choice.target):
                return True
            if run is not None:
                failed.add(choice.target.info.name)

    async def _send_cold(self, run: str, chosen) -> bool:
        fleet, name = self.fleet, chosen.info.name
        self.loads.send(name, run, Prompt(), 0, fleet.clock.now(), 0)
        try:
            opening = self.connect_s * fleet.rng.uniform(0.5, 1.5)
            await asyncio.sleep(max(opening, fleet.stalled_until - fleet.now()))
            await self.running.wait()
            engine, target = fleet.engines[name], self.loads.targets.get(name, chosen)
            if not engine.up:
                target.health.eject(fleet.clock.now(), fleet.rng)
                self.cold.record_unreachable(target)
                return False
            self.cold.record_reached(target)
            self.cold.check_permit(target, run)
            await asyncio.sleep(fleet.rng.uniform(0.0005, 0.005))
            if engine.up:
                engine.arrivals.append(fleet.now())
            await asyncio.sleep(fleet.rng.uniform(0.02, 0.3))
        except AttemptError:
            return False
        finally:
            self.loads.end(name, run)
        return True


class ColdFleet(PermitFleet):
    """Routers, their network and some engines of one failure domain.

    Parameters
    ----------
    engines
        Number of engines.
    cold_s
        Time for which an engine is cold after a start.

    Attributes
    ----------
    is_mute
        Whether messages to all routers are lost.
    stalled_until
        When connections open that are opened before.
    """

    node_kind = ColdNode

    def __init__(
        self, size: int, seed: int, engines: int = 1, loss=0.0, cold_s=3.0
    ) -> None:
        self.cold_s = cold_s
        self.is_mute = False
        self.stalled_until = 0.0
        self.seeds = [f"r{index}" for index in range(min(3, size))]
        self.without_store: set[str] = set()
        names = [f"e{index}" for index in range(engines)]
        self.engines = {name: ColdEngine(self, name) for name in names}
        super().__init__(size, seed, loss)
        loop = asyncio.get_running_loop()
        self.writers = [
            loop.create_task(one.write_entry()) for one in self.engines.values()
        ]

    def update_routers(self) -> None:
        """Let routers hear of each other by heartbeats alone."""

    def isolate_half(self) -> None:
        """Cut the routers into two halves."""
        self.isolate_groups(2)

    def isolate_groups(self, count: int) -> None:
        """Cut the routers into groups of like sizes."""
        names, last = sorted(self.nodes), count - 1
        groups = {n: (i * count + last) // len(names) for i, n in enumerate(names)}
        for name, group in groups.items():
            self.cuts |= {(name, one) for one in groups if groups[one] != group}

    def go_dark(self) -> None:
        for engine in self.engines.values():
            engine.up = False

    def return_cold(self) -> None:
        """Let all engines come back at once, cold."""
        for engine in self.engines.values():
            engine.start_cold(self.cold_s)

    def count_most(self) -> int:
        return max(engine.count_most() for engine in self.engines.values())

    def find_issuer(self, engine: str = "e0") -> str:
        return next(iter(self.nodes.values())).limits.find_issuer(engine)

    def stop(self) -> None:
        super().stop()
        for writer in self.writers:
            writer.cancel()


def run_cold(scenario, size: int, seed: int = 1, **rest) -> ColdFleet:
    """Run a scenario, an async function of a fleet, and return the fleet."""

    async def run() -> ColdFleet:
        fleet = ColdFleet(size, seed, **rest)
        try:
            await scenario(fleet)
        finally:
            fleet.stop()
        return fleet

    return run_virtual(run())
