"""Callers and routers in virtual time, around the decision which routers are listed."""

import random
from collections import Counter
from dataclasses import dataclass, field

from anvilshift.core.placement.routerbalance import RouterBalance, RouterUse

STEP = 200.0
"""Milliseconds between two steps."""
TTL = 2_000.0
CONNECTIONS = 4
RENEWED = 0.04
"""Part of a caller's connections that it opens anew in a step."""
NEWS_INTERVAL, NEWS_DELAY = 600.0, 300.0
SMOOTHING = 0.35
"""Weight of the last step in what a router tells of its use."""
ON_TIME, LATE = 0.25, 2.0
"""Seconds within which work earns all, and a third."""
MAX_BACKLOG_S = 3.0
"""Work that a router holds at most; what comes beyond fails."""


@dataclass(eq=False)
class FakeRouter:
    """A router that works off what callers send.

    Attributes
    ----------
    capacity
        Requests that it carries in a second.
    carried
        The part of its capacity that it has now; 0 if it is cut off.
    """

    address: str
    domain: str
    capacity: float
    carried: float = 1.0
    is_silent: bool = False
    backlog: float = 0.0
    used: float = 0.0
    told: float = 0.0
    offered: float = 0.0

    def work(self) -> None:
        """Work off one step; a router that is late tells more than its capacity."""
        rate = max(1e-6, self.capacity * self.carried)
        share = self.offered / (rate * STEP / 1_000)
        self.backlog = max(0.0, self.backlog + self.offered - rate * STEP / 1_000)
        self.backlog = min(self.backlog, rate * MAX_BACKLOG_S)
        now = min(1.0, share) if not self.backlog else 1.0 + self.backlog / rate
        self.used += (now - self.used) * SMOOTHING
        self.offered = 0.0

    def find_worth(self) -> float:
        """Return what a request earns that is sent to it now."""
        if not self.carried:
            return 0.0
        wait = self.backlog / (self.capacity * self.carried)
        return 1.0 if wait <= ON_TIME else 1 / 3 if wait <= LATE else 0.0


@dataclass(eq=False)
class FakeCaller:
    """A caller that chooses at random among the addresses it was told."""

    name: str
    domain: str
    keeps: float
    listed: tuple[str, ...] = ()
    due: float = 0.0
    connections: list[str] = field(default_factory=list)


class Callers:
    """A fleet whose callers ask routers at random where to connect."""

    def __init__(
        self,
        routers: list[FakeRouter],
        demand: dict[str, float],
        callers: int,
        seed: int,
        directories: int = 5,
        news_lost: float = 0.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.routers = {one.address: one for one in routers}
        self.demand = demand
        self.news_lost = news_lost
        self.directories = [RouterBalance() for _ in range(directories)]
        self.heard: list[dict[str, float]] = [{} for _ in range(directories)]
        self.callers = [
            FakeCaller(f"{domain}{n}", domain, TTL * self.rng.choice((1, 1, 3)))
            for domain in demand
            for n in range(callers)
        ]
        self.now = 0.0
        self.asked: Counter[tuple[str, int]] = Counter()
        self.earned: Counter[tuple[str, int]] = Counter()
        self.loads: Counter[tuple[str, int]] = Counter()
        self.flips = self.answers = 0

    def run(self, until: float) -> None:
        while self.now < until:
            self._tell_news()
            for caller in self.callers:
                self._connect(caller)
                self._ask(caller)
            for router in self.routers.values():
                key = router.address, int(self.now // 1_000)
                self.loads[key] += router.offered / router.capacity
                router.work()
            self.now += STEP

    def _tell_news(self) -> None:
        """Let each directory hear the routers, but for news that is lost."""
        if self.now % NEWS_INTERVAL < STEP:
            for router in self.routers.values():
                router.told = router.used
        if (self.now - NEWS_DELAY) % NEWS_INTERVAL >= STEP:
            return
        for balance, heard in zip(self.directories, self.heard, strict=True):
            for router in self.routers.values():
                if self.rng.random() >= self.news_lost:
                    heard[router.address] = router.told
            balance.update(
                [
                    RouterUse(
                        r.address, r.domain, r.capacity, heard.get(r.address, 0.0)
                    )
                    for r in self.routers.values()
                    if not r.is_silent
                ],
                self.now,
            )

    def _connect(self, caller: FakeCaller) -> None:
        if self.now >= caller.due:
            balance = self.rng.choice(self.directories)
            found = balance.list_addresses(caller.domain, caller.name)
            if found:
                self.answers += bool(caller.listed)
                gone = set(caller.listed) - set(found)
                self.flips += len(gone) if caller.listed else 0
                caller.listed = found
                caller.due = self.now + caller.keeps
        kept = [
            one
            for one in caller.connections
            if one in caller.listed
            and self.routers[one].carried
            and self.rng.random() >= RENEWED
        ]
        missing = CONNECTIONS - len(kept)
        if caller.listed:
            kept += [self.rng.choice(caller.listed) for _ in range(missing)]
        caller.connections = kept

    def _ask(self, caller: FakeCaller) -> None:
        count = len(self.callers) / len(self.demand)
        asked = self.demand[caller.domain] * STEP / 1_000 / count
        key = caller.domain, int(self.now // 1_000)
        part = asked / CONNECTIONS
        for address in caller.connections:
            router = self.routers[address]
            self.asked[key] += part
            self.earned[key] += router.find_worth() * part
            router.offered += part

    def find_earned(self, domain: str, since: float) -> float:
        """Return which part of its worth a domain's work earned."""
        keys = [key for key in self.asked if key[0] == domain and key[1] >= since]
        earned = sum(self.earned[key] for key in keys)
        return earned / sum(self.asked[key] for key in keys)

    def find_most(self, since: float) -> float:
        """Return the largest load of a sound router over a second, by its capacity."""
        return max(
            load
            for (address, second), load in self.loads.items()
            if second >= since and self.routers[address].carried == 1.0
        )
