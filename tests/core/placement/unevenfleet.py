"""Forty routers and uneven targets in virtual time, for tests of placement."""

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.choosing import Demand, choose_engine, choose_plain_target
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.placement.learnedspeeds import WorkKind
from anvilshift.core.placement.targetmemory import RouterCounts
from anvilshift.core.placement.toldload import ToldLoad
from anvilshift.core.targetload import Prompt, TargetInfo

ROUTERS = 40
WORK = 68.6
_CAPACITY = 400_000
_DOMAINS = ("north", "south", "east", "west")
_DELAY = (2.0, 15.0)
"""Shortest and longest time of a message between routers, in milliseconds."""


@dataclass
class UnevenTarget:
    """A target that works on some requests at once, at its own pace.

    Attributes
    ----------
    ends
        When its slots are free.
    slow
        How long work takes now, relative to the usual.
    """

    info: TargetInfo
    pace: float
    slow: float = 1.0
    ends: list[float] = field(default_factory=list)
    busy: int = 0
    most: int = 0

    def begin(self, work: float, now: float) -> float:
        """Take a request; return when it ends."""
        self.busy += 1
        self.most = max(self.most, self.busy)
        start = now
        if len(self.ends) >= self.info.slots:
            start = max(now, heapq.heappop(self.ends))
        end = start + work * self.pace * self.slow
        heapq.heappush(self.ends, end)
        return end

    def end(self) -> None:
        self.busy -= 1

    def tell(self) -> ToldLoad:
        slots = self.info.slots
        running = min(self.busy, slots)
        return ToldLoad(running, self.busy - running, slots, self.slow)


class UnevenFleet:
    """Routers that choose targets by what they know; messages may not be sent.

    Parameters
    ----------
    engines
        Whether the requests are prompts, of which routers near the target hear.
    tells
        What a target tells in an answer; None if nothing.
    """

    delay = _DELAY
    capacity = _CAPACITY
    work = 126.0

    def __init__(
        self,
        paces: list[float],
        slots: int,
        engines: bool,
        tells: Callable[[UnevenTarget], ToldLoad | None] = UnevenTarget.tell,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.engines = engines
        self.tells = tells
        self.targets = {}
        self.maps = [LoadMap() for _ in range(ROUTERS)]
        for n, loads in enumerate(self.maps):
            domain, near = _DOMAINS[n % len(_DOMAINS)], ROUTERS // len(_DOMAINS) - 1
            loads.routers = RouterCounts(domain, ROUTERS - 1, near)
        for n, pace in enumerate(paces):
            domain = _DOMAINS[n % len(_DOMAINS)]
            info = TargetInfo(f"t{n}", "llm", f"10.0.0.{n}:80", domain, slots)
            self.targets[info.name] = UnevenTarget(info, pace)
            for loads in self.maps:
                loads.declare(info)
        self.spans: list[float] = []
        self.sent: Counter[str] = Counter()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self.now = 0.0

    def learn(self) -> None:
        """Let every router know the targets' speeds, and that they tell them."""
        kind = WorkKind.PREFILL if self.engines else WorkKind.PLAIN
        usual = 1.0 if self.engines else WORK
        for loads in self.maps:
            loads.learned_speeds["llm"].are_used = True
            for _ in range(20):
                for name, target in self.targets.items():
                    loads.targets[name].learned_speeds.add(
                        kind, usual * target.pace, 0.0
                    )

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), act))

    def run(self) -> None:
        while self._events:
            self.now, _, act = heapq.heappop(self._events)
            act()

    def arrive(self, router: int) -> None:
        """Send a request that a router got to the target that it chooses."""
        loads, run = self.maps[router], f"r{router}/{next(self._order)}"
        domain = _DOMAINS[router % len(_DOMAINS)]
        prompt = self.make_prompt(run) if self.engines else Prompt()
        capacity = self.capacity if self.engines else 0
        if self.engines:
            demand = Demand("llm", prompt, capacity, domain, 645.0, 3, 400.0, 17.0)
            choice = choose_engine(loads, demand, self.now, self.rng)
        else:
            choice = choose_plain_target(
                loads, "llm", domain, WORK, self.rng, self.now, hears_all=False
            )
        if choice is None:
            self.refuse()
            return
        name = choice.target.info.name
        self.note_begin(name)
        target, began = self.targets[name], self.now
        self.sent[name] += 1
        loads.send(name, run, prompt, 0, self.now, capacity)
        near = self._list_near(router, target.info.failure_domain)
        for peer in near:
            at = self.now + self.rng.uniform(*self.delay)
            self.at(at, lambda p=peer: self._hear(p, name, run, prompt, capacity))
        work = self.work if self.engines else WORK
        end = target.begin(work, self.now)

        def finish() -> None:
            target.end()
            self.note_end(name)
            self.spans.append(self.now - began)
            told = self.tells(target)
            if told is not None:
                choice.target.record_told(told, self.now)
            loads.end(name, run)
            hearing = near
            if not self.engines and choice.target.is_notable(self.now):
                hearing = [peer for peer in range(ROUTERS) if peer != router]
            for peer in hearing:
                at = self.now + self.rng.uniform(*self.delay)
                self.at(
                    at, lambda p=peer, n=self.now: self._hear_end(p, name, run, told, n)
                )

        self.at(end, finish)

    def make_prompt(self, run: str) -> Prompt:
        return Prompt(((run, 6_400),), 6_400, 50)

    def refuse(self) -> None:
        """Take note of a request that fits nowhere."""

    def note_begin(self, name: str) -> None:
        """Take note of a request that is sent to a target."""

    def note_end(self, name: str) -> None:
        """Take note of a request that has ended."""

    def _hear(self, peer: int, name: str, run: str, prompt: Prompt, cap: int) -> None:
        self.maps[peer].send(name, run, prompt, 0, self.now, cap, is_news=True)

    def _hear_end(
        self, peer: int, name: str, run: str, told: ToldLoad | None, at: float
    ) -> None:
        loads = self.maps[peer]
        if told is not None:
            loads.targets[name].record_told(told, at)
        loads.end(name, run)

    def _list_near(self, router: int, domain: str) -> list[int]:
        """Return the routers that hear of a request, as in a large fleet."""
        if not self.engines:
            return []
        own = _DOMAINS[router % len(_DOMAINS)]
        return [
            peer
            for peer in range(ROUTERS)
            if peer != router and _DOMAINS[peer % len(_DOMAINS)] in (own, domain)
        ]

    def load(self, rate: float, seconds: float, start: float = 0.0) -> None:
        """Let requests arrive at routers by lot, so many a second."""
        at = start
        while at < start + seconds * 1_000.0:
            at += self.rng.expovariate(rate / 1_000.0)
            self.at(at, lambda: self.arrive(self.rng.randrange(ROUTERS)))

    def find_most(self) -> float:
        """Return the most requests at a target at one time, relative to its slots."""
        return max(one.most / one.info.slots for one in self.targets.values())


def find_percentile(spans: list[float], part: float) -> float:
    return sorted(spans)[int(len(spans) * part)]
