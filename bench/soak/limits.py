"""Rate limits that engines report, and checks that routers keep to them."""

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from anvilshift.core.clock import SECOND, Millis
from bench.soak.course import Event, ReplayableRandom

if TYPE_CHECKING:
    from bench.soak.run import Soak

LIMIT_ONE = "limit_one"
SPAN: Millis = 4 * SECOND
STABLE: Millis = 3 * SECOND
"""Time for routers to settle: the check counts neither the requests that arrive
sooner after a lower limit, nor those of routers that started or resumed since."""
_GAP_S = 12.0
_MIN_RATE, _MAX_RATE = 0.2, 5.0
_SLOW = 8.0


@dataclass
class LimitWatch:
    """One engine's rate limit, and the times at which requests reached it.

    Attributes
    ----------
    lowered_at
        When the engine last reported a first limit or a lower one.
    first_reported_at
        When the engine last began to report limits.
    """

    rate: float | None = None
    lowered_at: Millis = 0.0
    first_reported_at: Millis = 0.0
    arrivals: deque[Millis] = field(default_factory=deque)

    def set_rate(self, rate: float | None, now: Millis) -> None:
        """Set the limit that the engine reports from now on; None for no limit."""
        lower = rate is not None and (self.rate is None or rate < self.rate)
        if rate is not None and self.rate is None:
            self.first_reported_at = now
        self.rate = rate
        if lower:
            self.lowered_at = now

    def count_arrival(self, now: Millis) -> int | None:
        """Count a request; return the count within `SPAN`, or None if unlimited.

        The result is None as well until `STABLE` has passed since the limit was
        lowered.  Requests from before the first limit aren't included, since the
        routers that sent them couldn't know of it.
        """
        self.arrivals.append(now)
        while now - self.arrivals[0] > SPAN:
            self.arrivals.popleft()
        if self.rate is None or now - self.lowered_at < STABLE:
            return None
        return sum(at >= self.first_reported_at for at in self.arrivals)

    def find_allowed(self) -> float:
        """Return the most requests within `SPAN` that the documented rule allows."""
        return 1.5 * (self.rate or 0.0) * SPAN / SECOND + 5


class LimitFaults:
    """Make engines report rate limits at random times, alongside other faults."""

    def __init__(self, soak: "Soak", rng: random.Random) -> None:
        self._soak = soak
        self._rng: Any = ReplayableRandom(rng)

    async def run(self) -> None:
        """Start and record limits, one engine at a time, until cancelled."""
        while True:
            await asyncio.sleep(self._rng.expovariate(1 / _GAP_S))
            event = Event(self._soak.clock.now(), LIMIT_ONE)
            record = self._soak.course.record(event)
            await asyncio.ensure_future(record.run(self.limit_one()))

    async def limit_one(self) -> None:
        """Make one engine report a limit, change it up to twice, and end it."""
        soak, rng = self._soak, self._rng
        engine = soak.engines[rng.choice(sorted(soak.engines))]
        soak.journal.faults["name_limit"] += 1
        if rng.random() < 0.5:
            # Slower engines elsewhere direct the load to the limited engine.
            for other in soak.engines.values():
                other.slow = 1.0 if other is engine else _SLOW
        try:
            for _ in range(rng.randint(1, 3)):
                rate = rng.uniform(_MIN_RATE, _MAX_RATE)
                engine.limit.set_rate(rate, soak.clock.now())
                await asyncio.sleep(rng.uniform(4.0, 12.0))
        finally:
            engine.limit.set_rate(None, soak.clock.now())
            for other in soak.engines.values():
                other.slow = 1.0
