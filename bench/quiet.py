"""Measure the resource usage of an idle fleet of real processes.

Without callers, all of it is control traffic: heartbeats, lease renewals, watches
and polling of engines.
"""

import asyncio
import json
from dataclasses import dataclass

from bench.fleet import LocalFleet
from bench.overhead import read_cpu_seconds, read_memory_kb

_SETTLE_S = 3.0
_MEASUREMENT_S = 6.0
_WRITES = ("put", "delete")
_READS = ("get", "list", "hosts", "watch")


@dataclass(frozen=True)
class IdleCost:
    """Resource usage of one router in an idle fleet.

    Parameters
    ----------
    core
        Processor time as a share of one core.
    reads, writes, watches
        Platform calls per second; reads include watches.
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


async def measure_idle_cost(routers: int) -> IdleCost:
    """Run a fleet without callers and return the mean usage of one router."""
    domains = tuple(f"domain-{index % 4}" for index in range(routers))
    fleet = LocalFleet(domains=domains)
    try:
        await fleet.start()
        await fleet.apply()
        await asyncio.sleep(_SETTLE_S)
        pids = [fleet.processes[name].pid for name in fleet.router_names]
        calls_before = await _count_calls(fleet)
        used = sum(read_cpu_seconds(pid) for pid in pids)
        await asyncio.sleep(_MEASUREMENT_S)
        used = sum(read_cpu_seconds(pid) for pid in pids) - used
        calls_after = await _count_calls(fleet)
        memory = sum(read_memory_kb(pid) for pid in pids)
    finally:
        fleet.stop()

    def rate(verbs: tuple[str, ...]) -> float:
        made = sum(
            calls_after.get(verb, 0) - calls_before.get(verb, 0) for verb in verbs
        )
        return made / routers / _MEASUREMENT_S

    return IdleCost(
        routers,
        used / routers / _MEASUREMENT_S,
        memory / routers,
        rate(_READS),
        rate(_WRITES),
        rate(("watch",)),
    )


async def run(sizes: tuple[int, ...] = (2, 4, 8, 16, 24)) -> None:
    """Print the usage of one router for idle fleets of several sizes."""
    print("one router of a quiet fleet, three engines declared")
    for size in sizes:
        found = await measure_idle_cost(size)
        print(
            f"  {found.routers:3} routers: {found.core:.1%} of a core, "
            f"{found.memory_kb / 1024:.0f} MB, platform {found.reads:.1f} reads/s "
            f"(of these watches {found.watches:.1f}), {found.writes:.2f} writes/s",
            flush=True,
        )


if __name__ == "__main__":
    asyncio.run(run())
