"""Forty routers and one returning target in virtual time, for tests of its pace."""

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.health.slowstart import Outcome, SlowStart, find_rank, judge_answer

OBJECTIVE = 645.0
DEADLINE = 2_640.0
USUAL = 150.0


@dataclass
class Router:
    """A router with its own view of the target's pace."""

    name: str
    pace: SlowStart
    rank: int
    running: int = 0
    closed: list[float] = field(default_factory=list)


class SlowStartFleet:
    """Routers that always have a request for a target that has just started.

    Parameters
    ----------
    work
        Returns how long the target works on a request that it begins at an instant.
    rejects
        Returns whether it rejects what arrives at an instant.
    hears
        The part of other routers' answers of which a router hears.
    """

    def __init__(
        self,
        work: Callable[[float], float],
        slots: int = 12,
        routers: int = 40,
        rejects: Callable[[float], bool] = lambda now: False,
        hears: float = 1.0,
        former: SlowStart | None = None,
        start: float = 0.0,
        seed: int = 1,
    ) -> None:
        self.rng = random.Random(seed)
        self.work, self.rejects, self.hears = work, rejects, hears
        self.now = self.start = start
        self.free = [start] * slots
        names = [(f"r{n}", n % 4 == 0) for n in range(routers)]
        self.routers = [
            Router(
                name,
                SlowStart.begin(slots, start, former),
                find_rank(name, names, "target"),
            )
            for name, _ in names
        ]
        self.most = self.running = self.late = self.missed = self.ends = 0
        self.opened: float | None = None
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def at(self, when: float, act: Callable[[], None]) -> None:
        heapq.heappush(self._events, (when, next(self._order), act))

    def run(self, until: float) -> None:
        """Play until an instant, or until all routers take the target for open."""
        for router in self.routers:
            self.at(self.start, lambda r=router: self.fill(r))
        while self._events and self._events[0][0] < until:
            self.now, _, act = heapq.heappop(self._events)
            act()
            if all(one.pace.is_open(self.now) for one in self.routers):
                self.opened = self.now
                return

    def fill(self, router: Router) -> None:
        """Send what a router may have at the target."""
        if router.pace.is_open(self.now):
            return
        share = router.pace.count_share(router.rank, len(self.routers))
        while router.running < share:
            self.send(router)

    def send(self, router: Router) -> None:
        router.running += 1
        self.running += 1
        self.most = max(self.most, self.running)
        sent = self.now
        if self.rejects(sent):
            self.at(sent + 2.0, lambda: self.end(router, sent, Outcome.REJECTED))
            return
        begin = max(sent, heapq.heappop(self.free))
        end = begin + self.work(begin)
        heapq.heappush(self.free, end)
        outcome = judge_answer(end - sent, OBJECTIVE, USUAL)
        self.at(end, lambda: self.end(router, sent, outcome))

    def end(self, router: Router, sent: float, outcome: Outcome) -> None:
        router.running -= 1
        self.running -= 1
        self.ends += 1
        self.late += outcome is not Outcome.IN_TIME
        self.missed += self.now - sent > DEADLINE
        for one in self.routers:
            if one is router or self.rng.random() < self.hears:
                delay = 0.0 if one is router else self.rng.uniform(2.0, 15.0)
                self.at(self.now + delay, lambda o=one: self.hear(o, sent, outcome))
        self.at(self.now + 1.0, lambda: self.fill(router))

    def hear(self, router: Router, sent: float, outcome: Outcome) -> None:
        router.pace.record(outcome, sent, self.now)
        self.at(self.now, lambda: self.fill(router))
