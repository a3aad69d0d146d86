"""Order the addresses that callers are given.

Load pattern: no balancer stands before the fleet, and callers keep the answer
for a while.  Without this, every caller takes the first address, that host
fills up, and its loss breaks everyone at once.

The caller's failure domain comes first.  Inside a domain the order is drawn by
lot, so that callers that ask at once part; a host with twice the load is drawn
first half as often.  Hosts that are leaving are never given.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

_IDLE_LOAD = 10.0
"""Requests in flight that make no difference: below this, load figures of the
last heartbeat say nothing about the next second."""


@dataclass(frozen=True)
class Entrance:
    """An address at which callers may connect."""

    address: str
    failure_domain: str
    in_flight: int = 0
    leaving: bool = False


def order_entrances(
    entrances: Iterable[Entrance], failure_domain: str, rng: random.Random
) -> list[Entrance]:
    """Return the entrances in the order in which a caller shall try them.

    Parameters
    ----------
    failure_domain
        Where the caller is, as far as is known.

    Examples
    --------
    >>> near, far = Entrance("a", "north", 50), Entrance("b", "south")
    >>> gone = Entrance("c", "north", leaving=True)
    >>> order = order_entrances([far, gone, near], "north", random.Random(0))
    >>> [entrance.address for entrance in order]
    ['a', 'b']
    """

    def key(entrance: Entrance) -> tuple[bool, float]:
        # The smallest of exponential draws falls to each in proportion to
        # the inverse of its mean.
        mean = _IDLE_LOAD + entrance.in_flight
        return entrance.failure_domain != failure_domain, rng.expovariate(1 / mean)

    return sorted((e for e in entrances if not e.leaving), key=key)
