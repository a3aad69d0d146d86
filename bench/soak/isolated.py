"""Generated courses in which one router is isolated and then killed.

``python -m bench.soak.isolated 7 3`` generates the course of seed 7 and plays it with
the network seeds 0 to 2.  One router loses its peers for longer than its lease while
it still reaches the platform, so that its recorded witness is empty.  Then it loses
the platform too, callers go on sending it requests, and it is killed at a moment from
before the isolation to after answers have ended.
"""

import random
import sys

from absl import logging

from anvilshift.core.clock import SECOND
from bench.soak.changes import FIRST_EVENT
from bench.soak.course import Course, Event
from bench.soak.journal import BrokenInvariantError
from bench.soak.run import LEASE, ROUTERS, play_course
from bench.soak.traffic import (
    ASK,
    ORDER,
    ORDER_GAP_S,
    ORGANISATIONS,
    REQUEST_GAP_S,
)

_ALONE_S = (0.5, 3.0)
"""Time from the end of the lease to the isolation, in which commits record that the
router has no witness."""
_KILL_S = (-0.5, 6.0)
"""Time from the isolation to the kill; an answer takes 0.1 to 2 seconds."""
_START_S = (1.0, 4.0)
_HEAL_S = (2.0, 10.0)
"""Time from the kill to the end of the disconnection."""
_RESTART_S = (0.5, 12.0)
_ARRIVAL_TAIL_S = 1.0
"""Time from the kill to the last arrival."""
_BOTH_DIRECTIONS = 1.0
"""Draw with which `cut_peers` drops messages in both directions."""


def draw_isolated_course(seed: int) -> Course:
    """Generate the course of a seed: arrivals, one isolated router and its kill."""
    rng = random.Random(f"{seed}/isolated")
    router = rng.randrange(ROUTERS)
    lost_peers = FIRST_EVENT + rng.uniform(*_START_S) * SECOND
    isolated = lost_peers + LEASE + rng.uniform(*_ALONE_S) * SECOND
    killed = isolated + rng.uniform(*_KILL_S) * SECOND
    healed = max(killed, isolated) + rng.uniform(*_HEAL_S) * SECOND
    events = [
        Event(
            lost_peers,
            "cut_peers",
            draws=[[router, peer], _BOTH_DIRECTIONS, (healed - lost_peers) / SECOND],
        )
        for peer in range(ROUTERS)
        if peer != router
    ]
    draws = [router, (healed - isolated) / SECOND]
    events.append(Event(isolated, "isolate_router", draws=draws))
    draws = [router, rng.uniform(*_RESTART_S)]
    events.append(Event(killed, "kill_router", draws=draws))
    events += _draw_arrivals(seed, killed + _ARRIVAL_TAIL_S * SECOND)
    events.sort(key=lambda event: event.at)
    seconds = events[-1].at / SECOND
    return Course(seed, seconds, f"isolated router drawn from seed {seed}", events)


def _draw_arrivals(seed: int, end: float) -> list[Event]:
    """Generate the requests and orders of every organisation until a time."""
    events = []
    for name in ORGANISATIONS:
        for kind, gap_s in ((ASK, REQUEST_GAP_S), (ORDER, ORDER_GAP_S)):
            rng = random.Random(f"{seed}/{name}/{kind}")
            arguments = [name, False] if kind == ASK else [name]
            at = FIRST_EVENT + rng.expovariate(1 / gap_s) * SECOND
            while at < end:
                events.append(Event(at, kind, list(arguments)))
                at += rng.expovariate(1 / gap_s) * SECOND
    return events


def main(seed: int, networks: int) -> int:
    """Play the course of a seed with several network seeds; return the exit code."""
    logging.set_verbosity(logging.FATAL)
    broken = 0
    for network in range(networks):
        try:
            journal = play_course(draw_isolated_course(seed), network)
        except BrokenInvariantError as error:
            broken += 1
            print(f"isolated course {seed}, network {network}: BROKEN {error}")
        else:
            checked = journal.checks["answer is billed"]
            print(f"isolated course {seed}, network {network}: {checked} answers")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main(int(sys.argv[1]), int(sys.argv[2])))
