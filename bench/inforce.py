"""Measure how soon a change of configuration is in force at every router.

`make inforce` runs it: five router processes, one declaration changed again
and again, the time from the write until the last router has acknowledged it,
and what that costs the platform.
"""

import asyncio
import json
import sys
import time

from anvilshift.core.clock import SECOND, MonotonicClock
from anvilshift.objects.store import HttpObjectStore, update
from anvilshift.operator.platformside import wait_accepted
from bench.fleet import LocalFleet

_CHANGES = 40
_BURST = 40
_BOUND: float = 4 * SECOND
"""The users' bound."""
_DOMAINS = ("poprad", "zvolen", "martin", "kezmarok", "levoca")


class InForce:
    """The course of the measurement."""

    def __init__(self) -> None:
        self.fleet = LocalFleet(domains=_DOMAINS)
        self.store = HttpObjectStore(self.fleet.http, self.fleet.platform)
        self.clock = MonotonicClock()

    async def count_calls(self) -> dict[str, int]:
        """Return the platform's counts of calls by verb."""
        answer = await self.fleet.http.call(
            self.fleet.platform, "POST", "/control/calls", body=b"{}"
        )
        counts: dict[str, int] = json.loads(answer.body)
        return counts

    async def change(self, grant: int) -> int:
        """Change a budget; return the revision."""
        body = {"kind": "Budget", "name": "measured", "grant": grant}
        stored = await update(self.store, "Budget", "measured", lambda _: body)
        return stored.version

    async def accept(self, revision: int) -> None:
        """Wait until every router has acknowledged a revision."""
        acceptance = await wait_accepted(self.store, self.clock, revision, 20 * SECOND)
        if not acceptance.accepted:
            raise TimeoutError(f"waited in vain for {acceptance.waiting}")

    async def measure_single(self) -> list[float]:
        """Return the milliseconds that each of many changes took."""
        spans = []
        for grant in range(1, _CHANGES + 1):
            began = self.clock.now()
            await self.accept(await self.change(grant))
            spans.append(self.clock.now() - began)
        return sorted(spans)

    async def measure_burst(self) -> tuple[float, int]:
        """Return the span of a burst of changes, and the routers' writes in it."""
        before = (await self.count_calls())["put"]
        began = self.clock.now()
        for grant in range(_BURST):
            newest = await self.change(10_000 + grant)
        await self.accept(newest)
        span = self.clock.now() - began
        return span, (await self.count_calls())["put"] - before - _BURST

    async def run(self) -> int:
        """Measure and print; return the exit code."""
        began = time.monotonic()
        try:
            await self.fleet.start()
            spans = await self.measure_single()
            burst, writes = await self.measure_burst()
        finally:
            self.fleet.stop()
        middle, high, worst = spans[len(spans) // 2], spans[-3], spans[-1]
        print(f"{len(_DOMAINS)} routers, {_CHANGES} single changes, share of the bound")
        print(f"  p50 {middle / _BOUND:.3f}  p95 {high / _BOUND:.3f}", end="")
        print(f"  most {worst / _BOUND:.3f}")
        print(f"{_BURST} changes at once: all in force after {burst / _BOUND:.3f}")
        print(f"  routers' own writes for each change: {writes / _BURST:.2f}")
        print(f"{time.monotonic() - began:.1f} s")
        return 0 if worst < _BOUND else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(InForce().run()))
