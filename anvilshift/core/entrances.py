"""Choose the routers that a caller is told to connect to.

Load pattern: callers in three failure domains send prompts of tens of kilobytes, and
each byte between failure domains is paid for and comes later.  Told of all routers,
two callers in three would connect across domains.

A caller is told of the routers in its own domain where these are enough to bear the
loss of some; with fewer, a caller whose routers are all gone would have to ask again
first, and wait for that.
"""

from collections.abc import Sequence
from dataclasses import dataclass

_ENOUGH = 4
"""Routers of one failure domain whose addresses alone are told to its callers."""


@dataclass(frozen=True)
class Entrance:
    """A router that takes callers."""

    address: str
    failure_domain: str


def choose_entrances(there: Sequence[Entrance], domain: str) -> tuple[str, ...]:
    """Return the addresses that a caller of a failure domain is told.

    Examples
    --------
    >>> near = [Entrance(f"10.0.0.{n}:80", "north") for n in range(4)]
    >>> far = [Entrance("10.1.0.1:80", "south")]
    >>> len(choose_entrances(near + far, "north"))
    4
    >>> len(choose_entrances(near + far, "south"))
    5
    """
    near = [one.address for one in there if one.failure_domain == domain]
    if len(near) >= _ENOUGH:
        return tuple(near)
    return tuple(one.address for one in there)
