"""Random courses of drains beside failures, while connections open late."""

import asyncio
import random

from anvilshift.standins.virtual import run_virtual
from tests.gateway.drainfleet import BOUND_S, DOMAINS, Callers, DrainFleet

NAMES = tuple(f"n{number}" for number in range(6))
_UNHEARD = 0.2
"""Share of steps behind which a router starts that nobody answers."""


def play_course(seed: int, starts_unheard: bool = False) -> list[str]:
    """Return each time at which a router would have sent to a drained domain.

    Parameters
    ----------
    starts_unheard
        Whether routers start at times that neither the store nor a router answers yet.
    """
    return run_virtual(_Course(seed, starts_unheard).play())


class _Course:
    def __init__(self, seed: int, starts_unheard: bool) -> None:
        self.starts_unheard = starts_unheard
        self.rng = random.Random(seed)
        self.fleet = DrainFleet(seed)
        self.fleet.callers = Callers(random.Random(-1 - seed), self._check_arrival)
        self.since: dict[str, float] = {}
        self.late: list[str] = []

    async def play(self) -> list[str]:
        loop = asyncio.get_running_loop()
        self.fleet.start(*NAMES)
        await asyncio.sleep(1.0)
        for _ in range(40):
            await self._act()
            if self.starts_unheard and self.rng.random() < _UNHEARD:
                await self._start_unheard()
            until = loop.time() + self.rng.choice((0.02, 0.3, 1.0, 4.0, 7.0))
            while loop.time() < until:
                await asyncio.sleep(0.02)
                self._check(loop.time())
        self.fleet.turn_away()
        self.fleet.loss = 0.0
        await asyncio.sleep(BOUND_S + 4.0)
        for name, router in self.fleet.routers.items():
            if router.list_drained() != sorted(self.since):
                self.late.append(f"held at the end: {router.list_drained()} at {name}")
        await self.fleet.stop()
        return self.late

    async def _act(self) -> None:
        kind, others = self.rng.random(), NAMES[1:]
        if kind < 0.4:
            await self._change_drain()
        elif kind < 0.6:
            name = self.rng.choice(others)
            if name in self.fleet.routers:
                self.fleet.kill(name)
            else:
                self.fleet.start(name)
        elif kind < 0.8:
            self.fleet.turn_away(*self.rng.sample(others, self.rng.randint(0, 5)))
        elif kind < 0.9:
            self.fleet.loss = self.rng.choice((0.0, 0.1, 0.5))
        else:
            self.fleet.store.forget_history()

    async def _start_unheard(self) -> None:
        """Start a router that learns nothing for a time."""
        name, loss = self.rng.choice(NAMES[1:]), self.fleet.loss
        self.fleet.turn_away(name)
        if name in self.fleet.routers:
            self.fleet.kill(name)
        self.fleet.loss = 1.0
        self.fleet.start(name)
        await asyncio.sleep(self.rng.uniform(0.1, 1.0))
        self._check(asyncio.get_running_loop().time())
        self.fleet.loss = loss

    async def _change_drain(self) -> None:
        domain = self.rng.choice(DOMAINS)
        if domain in self.since:
            await self.fleet.end(domain)
            del self.since[domain]
        else:
            await self.fleet.drain(domain)
            self.since[domain] = asyncio.get_running_loop().time()

    def _check(self, now: float) -> None:
        for domain, since in self.since.items():
            for name, router in self.fleet.routers.items():
                if now > since + BOUND_S and router.drains.may_send(domain):
                    self.late.append(
                        f"may send late: {name} to {domain}, {now - since:.2f} s"
                    )

    def _check_arrival(self, name: str, domain: str) -> None:
        """Check the moment at which a request's first byte is sent."""
        now = asyncio.get_running_loop().time()
        since = self.since.get(domain, now)
        if now > since + BOUND_S:
            self.late.append(f"sent late: {name} to {domain}, {now - since:.2f} s")
