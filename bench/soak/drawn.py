"""Courses drawn from a seed, whatever the product does with its random numbers.

``make soak-drawn SEED=7 SECONDS=100`` draws one and plays it.  Beside the faults of a
seeded run, prompts share prefixes, routers hear of different caches, and engines
are declared and replaced.
"""

import random
import sys
from collections.abc import Callable

from absl import logging

from anvilshift.core.clock import SECOND
from bench.soak.changes import FIRST, GAPS_S, PREFIXES
from bench.soak.course import Course, Event
from bench.soak.faults import GAP_S, KINDS
from bench.soak.journal import BrokenInvariantError
from bench.soak.limits import LIMIT_ONE
from bench.soak.run import play_course
from bench.soak.traffic import (
    ASK,
    ORDER,
    ORDER_GAP_S,
    ORGANISATIONS,
    REQUEST_GAP_S,
)

_LIMITS_APART_S = 45.0
"""Longer than the limits of one engine last: two at once would end each other's."""
_COPIES = 6
_POISON_GAP_S = 8.0
_SHARED = 0.25
"""Part of the prompts that begin with a shared prefix."""


def draw_course(seed: int, seconds: float) -> Course:
    """Return the course of a seed."""
    events: list[Event] = []

    def add(name: str, gap_s: float, make: Callable[[random.Random], Event]) -> None:
        rng = random.Random(f"{seed}/{name}")
        at = FIRST + rng.expovariate(1 / gap_s) * SECOND
        while at < seconds * SECOND:
            event = make(rng)
            event.at = at
            events.append(event)
            at += rng.expovariate(1 / gap_s) * SECOND

    for name in ORGANISATIONS:
        add(f"{name}/asks", REQUEST_GAP_S, lambda rng, n=name: _make_ask(n, rng))
        add(f"{name}/orders", ORDER_GAP_S, lambda rng, n=name: Event(0.0, ORDER, [n]))
    add("faults", GAP_S, lambda rng: Event(0.0, rng.choice(KINDS)))
    for kind, gap_s in GAPS_S.items():
        add(kind, gap_s, lambda rng, k=kind: Event(0.0, k))
    times = random.Random(f"{seed}/limits")
    at = times.uniform(0.0, _LIMITS_APART_S) * SECOND
    while at < seconds * SECOND:
        events.append(Event(FIRST + at, LIMIT_ONE))
        at += _LIMITS_APART_S * SECOND
    events += _draw_poisons(seed, seconds)
    events.sort(key=lambda event: event.at)
    return Course(seed, seconds, f"drawn from seed {seed}", events)


def _draw_poisons(seed: int, seconds: float) -> list[Event]:
    """Return copies of one poison after another, each at one instant."""
    rng, events = random.Random(f"{seed}/poisons"), []
    at, number = FIRST, 0
    while at < seconds * SECOND:
        prefix, name = rng.randrange(PREFIXES), f" {number}"
        copy = [ORGANISATIONS[0], True, prefix, name]
        events += [Event(at, ASK, copy) for _ in range(_COPIES)]
        number += 1
        at += rng.expovariate(1 / _POISON_GAP_S) * SECOND
    return events


def _make_ask(organisation: str, rng: random.Random) -> Event:
    prefix = rng.randrange(PREFIXES) if rng.random() < _SHARED else -1
    return Event(0.0, ASK, [organisation, False, prefix])


def main(seed: int, seconds: float) -> int:
    """Play the course of a seed and print its counts; return the exit code."""
    logging.set_verbosity(logging.FATAL)
    print(f"drawn course {seed}, {seconds:.0f} virtual seconds")
    try:
        journal = play_course(draw_course(seed, seconds), seed)
    except BrokenInvariantError as error:
        print(f"BROKEN {error}")
        for note in error.__notes__:
            print(note)
        return 1
    print(journal.show())
    return 0


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), float(sys.argv[2])))
