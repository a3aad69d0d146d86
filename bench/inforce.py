"""Measure how long a configuration change takes to reach every router.

`make inforce` starts five router processes, changes one declaration repeatedly,
measures the time from the write until the last router has acknowledged it, and
counts the writes to the platform.
"""

import asyncio
import json
import sys
import time

from anvilshift.core.clock import SECOND, MonotonicClock
from anvilshift.objects.httpstore import HttpObjectStore
from anvilshift.objects.store import update
from anvilshift.operator.administration import wait_until_in_force
from bench.fleet import LocalFleet

_SINGLE_CHANGES = 40
_BURST_CHANGES = 40
_BOUND: float = 4 * SECOND
"""The longest delay that the users' requirements allow."""
_DOMAINS = ("poprad", "zvolen", "martin", "kezmarok", "levoca")


class ConfigurationDelay:
    """Measures the delays of single changes and of a burst on one fleet."""

    def __init__(self) -> None:
        self.fleet = LocalFleet(domains=_DOMAINS)
        self.store = HttpObjectStore(self.fleet.http, self.fleet.platform)
        self.clock = MonotonicClock()

    async def count_calls(self) -> dict[str, int]:
        """Return the number of platform calls by verb."""
        answer = await self.fleet.http.call(
            self.fleet.platform, "POST", "/control/calls", body=b"{}"
        )
        counts: dict[str, int] = json.loads(answer.body)
        return counts

    async def change(self, grant: int) -> int:
        """Write a budget with a new grant; return the revision."""
        body = {"kind": "Budget", "name": "measured", "grant": grant}
        stored = await update(self.store, "Budget", "measured", lambda _: body)
        return stored.version

    async def wait_until_accepted(self, revision: int) -> None:
        """Wait until every router has acknowledged a revision."""
        acceptance = await wait_until_in_force(
            self.store, self.clock, revision, 20 * SECOND
        )
        if not acceptance.accepted:
            raise TimeoutError(f"waited 20 s, not acknowledged by {acceptance.waiting}")

    async def measure_single(self) -> list[float]:
        """Return the sorted delays of single changes, in milliseconds."""
        spans = []
        for grant in range(1, _SINGLE_CHANGES + 1):
            began = self.clock.now()
            await self.wait_until_accepted(await self.change(grant))
            spans.append(self.clock.now() - began)
        return sorted(spans)

    async def measure_burst(self) -> tuple[float, int]:
        """Return the delay of a burst of changes and the routers' writes during it."""
        before = (await self.count_calls())["put"]
        began = self.clock.now()
        for grant in range(_BURST_CHANGES):
            newest = await self.change(10_000 + grant)
        await self.wait_until_accepted(newest)
        span = self.clock.now() - began
        return span, (await self.count_calls())["put"] - before - _BURST_CHANGES

    async def run(self) -> int:
        """Print the measurements; return 1 if a single change exceeds the bound."""
        began = time.monotonic()
        try:
            await self.fleet.start()
            spans = await self.measure_single()
            burst, writes = await self.measure_burst()
        finally:
            self.fleet.stop()
        median, p95, worst = spans[len(spans) // 2], spans[-3], spans[-1]
        print(
            f"{len(_DOMAINS)} routers, {_SINGLE_CHANGES} single changes, "
            "share of the bound"
        )
        print(f"  p50 {median / _BOUND:.3f}  p95 {p95 / _BOUND:.3f}", end="")
        print(f"  most {worst / _BOUND:.3f}")
        print(
            f"{_BURST_CHANGES} changes at once: all in force after {burst / _BOUND:.3f}"
        )
        print(f"  routers' own writes for each change: {writes / _BURST_CHANGES:.2f}")
        print(f"{time.monotonic() - began:.1f} s")
        return 0 if worst < _BOUND else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(ConfigurationDelay().run()))
