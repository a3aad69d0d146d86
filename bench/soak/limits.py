"""Limits that engines name, and what they got while they did."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from anvilshift.core.clock import SECOND, Millis
from bench.soak.course import Event, TapedRandom

if TYPE_CHECKING:
    from bench.soak.run import Soak

LIMIT_ONE = "limit_one"
SPAN: Millis = 4 * SECOND
STABLE: Millis = 3 * SECOND
"""After the naming the bound holds; a router that was cut or paused counts again."""
_GAP_S = 12.0
_LEAST_RATE, _MOST_RATE = 0.2, 5.0
_SLOW = 8.0


@dataclass
class LimitWatch:
    """One engine's limit, and the requests that reached it.

    Attributes
    ----------
    since
        When it announced a limit first, or one that is lower.
    first
        When it began to name limits.
    """

    rate: float | None = None
    since: Millis = 0.0
    first: Millis = 0.0
    arrivals: deque[Millis] = field(default_factory=deque)

    def name(self, rate: float | None, now: Millis) -> None:
        """Name another limit from now on; None for none."""
        lower = rate is not None and (self.rate is None or rate < self.rate)
        if rate is not None and self.rate is None:
            self.first = now
        self.rate = rate
        if lower:
            self.since = now

    def arrive(self, now: Millis) -> int | None:
        """Count a request; return how many the last span holds, where it matters.

        What came before the engine named any limit was sent by routers that it could
        not have told.
        """
        self.arrivals.append(now)
        while now - self.arrivals[0] > SPAN:
            self.arrivals.popleft()
        if self.rate is None or now - self.since < STABLE:
            return None
        return sum(at >= self.first for at in self.arrivals)

    def find_allowed(self) -> float:
        """Return the most requests that the users' rule allows in a span."""
        return 1.5 * (self.rate or 0.0) * SPAN / SECOND + 5


class LimitFaults:
    """Let engines name limits now and then, whatever else goes wrong."""

    def __init__(self, soak: "Soak", rng: random.Random) -> None:
        self._soak = soak
        self._rng: Any = TapedRandom(rng)

    async def run(self) -> None:
        """Name limits until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / _GAP_S))
            event = Event(self._soak.clock.now(), LIMIT_ONE)
            tape = self._soak.course.note(event)
            await asyncio.ensure_future(tape.run(self.limit_one()))

    async def limit_one(self) -> None:
        """Let one engine announce a limit, change it and end it."""
        soak, rng = self._soak, self._rng
        engine = soak.engines[rng.choice(sorted(soak.engines))]
        soak.journal.faults["name_limit"] += 1
        if rng.random() < 0.5:
            # All work is drawn to the engine in need.
            for other in soak.engines.values():
                other.slow = 1.0 if other is engine else _SLOW
        try:
            for _ in range(rng.randint(1, 3)):
                rate = rng.uniform(_LEAST_RATE, _MOST_RATE)
                engine.limit.name(rate, soak.clock.now())
                await asyncio.sleep(rng.uniform(4.0, 12.0))
        finally:
            engine.limit.name(None, soak.clock.now())
            for other in soak.engines.values():
                other.slow = 1.0
