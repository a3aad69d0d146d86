"""Courses generated from a seed, independent of the random numbers of the package.

``make soak-drawn SEED=7 SECONDS=100`` generates a course and plays it.  In addition
to the faults of a seeded run, prompts share prefixes, routers receive different cache
events, and engines are declared and replaced.
"""

import random
import sys
from collections.abc import Callable

from anvilshift.core.clock import SECOND
from bench.soak.changes import FIRST_EVENT, GAPS_S, PREFIXES
from bench.soak.course import Course, Event
from bench.soak.faults import GAP_S, KINDS
from bench.soak.limits import LIMIT_ONE
from bench.soak.run import play_course, report
from bench.soak.traffic import (
    ASK,
    ORDER,
    ORDER_GAP_S,
    ORGANISATIONS,
    REQUEST_GAP_S,
)

_LIMIT_INTERVAL_S = 45.0
"""Longer than one `limit_one` event, since each resets the speed of every engine."""
_POISON_COPIES = 6
_POISON_GAP_S = 8.0
_SHARED_PREFIX_RATIO = 0.25
"""Fraction of the prompts that begin with a shared prefix."""


def draw_course(seed: int, seconds: float) -> Course:
    """Generate the course of a seed: requests, faults, changes, limits and poisons."""
    events: list[Event] = []

    def add(name: str, gap_s: float, make: Callable[[random.Random], Event]) -> None:
        rng = random.Random(f"{seed}/{name}")
        at = FIRST_EVENT + rng.expovariate(1 / gap_s) * SECOND
        while at < seconds * SECOND:
            event = make(rng)
            event.at = at
            events.append(event)
            at += rng.expovariate(1 / gap_s) * SECOND

    for name in ORGANISATIONS:
        add(f"{name}/asks", REQUEST_GAP_S, lambda rng, n=name: _make_request(n, rng))
        add(f"{name}/orders", ORDER_GAP_S, lambda rng, n=name: Event(0.0, ORDER, [n]))
    add("faults", GAP_S, lambda rng: Event(0.0, rng.choice(KINDS)))
    for kind, gap_s in GAPS_S.items():
        add(kind, gap_s, lambda rng, k=kind: Event(0.0, k))
    rng = random.Random(f"{seed}/limits")
    at = rng.uniform(0.0, _LIMIT_INTERVAL_S) * SECOND
    while at < seconds * SECOND:
        events.append(Event(FIRST_EVENT + at, LIMIT_ONE))
        at += _LIMIT_INTERVAL_S * SECOND
    events += _draw_poisons(seed, seconds)
    events.sort(key=lambda event: event.at)
    return Course(seed, seconds, f"drawn from seed {seed}", events)


def _draw_poisons(seed: int, seconds: float) -> list[Event]:
    """Generate poison prompts; all copies of one poison arrive at the same time."""
    rng, events = random.Random(f"{seed}/poisons"), []
    at, number = FIRST_EVENT, 0
    while at < seconds * SECOND:
        prefix, suffix = rng.randrange(PREFIXES), f" {number}"
        arguments = [ORGANISATIONS[0], True, prefix, suffix]
        events += [Event(at, ASK, arguments) for _ in range(_POISON_COPIES)]
        number += 1
        at += rng.expovariate(1 / _POISON_GAP_S) * SECOND
    return events


def _make_request(organisation: str, rng: random.Random) -> Event:
    prefix = rng.randrange(PREFIXES) if rng.random() < _SHARED_PREFIX_RATIO else -1
    return Event(0.0, ASK, [organisation, False, prefix])


def main(seed: int, seconds: float, silences: bool = False) -> int:
    """Play the course of a seed and print its counts; return the exit code."""
    print(f"drawn course {seed}, {seconds:.0f} virtual seconds")
    return report(lambda: play_course(draw_course(seed, seconds), seed, silences))


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), float(sys.argv[2]), "silences" in sys.argv[3:]))
