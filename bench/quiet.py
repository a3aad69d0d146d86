"""Measure what a fleet of real processes costs while no caller asks anything.

All of it is control: heartbeats, renewals, watches, polls of engines.
"""

import asyncio
import json
from dataclasses import dataclass

from bench.fleet import LocalFleet
from bench.overhead import read_cpu_seconds, read_memory_kb

_SETTLE_S = 3.0
_SPAN_S = 6.0
_WRITES = ("put", "delete")
_READS = ("get", "list", "hosts", "watch")


@dataclass(frozen=True)
class Quiet:
    """What one router of a quiet fleet costs.

    Parameters
    ----------
    core
        Share of a core.
    reads, writes, watches
        Calls of the platform a second; watches are among the reads.
    """

    routers: int
    core: float
    memory_kb: float
    reads: float
    writes: float
    watches: float


async def _count_calls(fleet: LocalFleet) -> dict[str, int]:
    answer = await fleet.http.call(fleet.platform, "GET", "/control/calls")
    counted: dict[str, int] = json.loads(answer.body)
    return counted


async def measure_quiet(routers: int) -> Quiet:
    """Run a fleet of some routers without callers and return one's cost."""
    domains = tuple(f"domain-{index % 4}" for index in range(routers))
    fleet = LocalFleet(domains=domains)
    try:
        await fleet.start()
        await fleet.apply()
        await asyncio.sleep(_SETTLE_S)
        pids = [fleet.processes[name].pid for name in fleet.router_names]
        calls = await _count_calls(fleet)
        used = sum(read_cpu_seconds(pid) for pid in pids)
        await asyncio.sleep(_SPAN_S)
        used = sum(read_cpu_seconds(pid) for pid in pids) - used
        later = await _count_calls(fleet)
        memory = sum(read_memory_kb(pid) for pid in pids)
    finally:
        fleet.stop()

    def rate(verbs: tuple[str, ...]) -> float:
        made = sum(later.get(verb, 0) - calls.get(verb, 0) for verb in verbs)
        return made / routers / _SPAN_S

    return Quiet(
        routers,
        used / routers / _SPAN_S,
        memory / routers,
        rate(_READS),
        rate(_WRITES),
        rate(("watch",)),
    )


async def run(sizes: tuple[int, ...] = (2, 4, 8, 16, 24)) -> None:
    """Print what one router costs in fleets of several sizes."""
    print("one router of a quiet fleet, three engines declared")
    for size in sizes:
        found = await measure_quiet(size)
        print(
            f"  {found.routers:3} routers: {found.core:.1%} of a core, "
            f"{found.memory_kb / 1024:.0f} MB, platform {found.reads:.1f} reads/s "
            f"(of these watches {found.watches:.1f}), {found.writes:.2f} writes/s",
            flush=True,
        )


if __name__ == "__main__":
    asyncio.run(run())
