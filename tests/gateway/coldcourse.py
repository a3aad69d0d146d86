"""Random courses of failures beside engines that are cold, in virtual time."""

import asyncio
import random

from tests.gateway.coldfleet import ColdFleet, run_cold

PRESSING = 8.0
"""Requests a second of the callers of each router."""
STEPS = ("cold", "cold", "kill", "herd", "cut", "half", "heal", "heal", "slow")
"""What may happen in a course; cuts are healed as often as they are made."""
AMID_STEPS = ("restarts", "stall", "groups", "rejoin", "heal", "kill", "herd", "cut")
"""What may happen in a course whose failures fall into the time of a return."""
_LONG_COLD_S = 9.0
"""Time in which permits for more than a second's bound can wait behind a connection."""


async def start_pressed(fleet: ColdFleet, rate: float = PRESSING) -> None:
    """Let routers find each other while the engines are away."""
    fleet.go_dark()
    fleet.offer(rate)
    await asyncio.sleep(6.0)


def run_course(seed: int, steps=STEPS, cold_s: float = 3.0) -> ColdFleet:
    """Play the course of a seed, and return its fleet."""
    rng = random.Random(seed)

    async def scenario(fleet):
        await play_course(fleet, rng, steps)

    size, engines = rng.choice((3, 9, 28)), rng.choice((1, 4))
    loss = rng.choice((0, 0.05))
    return run_cold(scenario, size, seed, engines=engines, loss=loss, cold_s=cold_s)


def run_amid_course(seed: int) -> ColdFleet:
    """Play the course of a seed whose failures fall into the time of a return."""
    return run_course(seed, AMID_STEPS, _LONG_COLD_S)


async def play_course(fleet: ColdFleet, rng: random.Random, steps=STEPS) -> None:
    """Kill, cut, start and slow down routers at random beside cold returns."""
    await start_pressed(fleet, rng.choice([2.0, PRESSING, 20.0]))
    for _ in range(12):
        await asyncio.sleep(rng.uniform(0.0, 1.5))
        await _take_step(fleet, rng, rng.choice(steps))
    await return_later(fleet)
    await asyncio.sleep(3.0)


async def _take_step(fleet: ColdFleet, rng: random.Random, step: str) -> None:
    names = sorted(fleet.nodes)
    if step == "cold":
        await return_later(fleet)
    elif step == "kill":
        restart(fleet, [fleet.find_issuer()])
    elif step == "herd":
        restart(fleet, rng.sample(names, len(names) * rng.choice((1, 3, 5)) // 5))
    elif step == "cut":
        fleet.cut(rng.choice(names))
    elif step == "half":
        fleet.isolate_half()
    elif step == "heal":
        fleet.cuts.clear()
    elif step == "slow":
        fleet.nodes[rng.choice(names)].connect_s = rng.choice((0.002, 0.3))
    else:
        await _return_amid(fleet, rng, step)


async def _return_amid(fleet: ColdFleet, rng: random.Random, step: str) -> None:
    """Let the engines return while something else happens."""
    fleet.go_dark()
    if step in ("groups", "rejoin"):
        fleet.isolate_groups(rng.choice((3, 4, len(fleet.nodes))))
        await asyncio.sleep(2.0)
    await asyncio.sleep(1.5)
    if step == "restarts":
        names = sorted(fleet.nodes)
        for name in names:
            fleet.kill(name)
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        fleet.return_cold()
        for name in names:
            fleet.start(name)
            await asyncio.sleep(rng.uniform(0.0, 0.02))
    else:
        fleet.return_cold()
    if step == "rejoin":
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        fleet.cuts.clear()
    if step == "stall":
        await asyncio.sleep(rng.uniform(0.0, 2.0))
        fleet.stalled_until = fleet.now() + rng.uniform(1.0, 5.0)
    await asyncio.sleep(rng.uniform(2.0, 7.0))


async def return_later(fleet: ColdFleet) -> None:
    fleet.go_dark()
    await asyncio.sleep(1.5)
    fleet.return_cold()


def restart(fleet: ColdFleet, names: list[str]) -> None:
    for name in names:
        if name in fleet.nodes:
            fleet.kill(name)
    for name in names:
        fleet.start(name)
