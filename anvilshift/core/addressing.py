"""Order the addresses at which callers may connect to the fleet.

Load pattern: the fleet has no load balancer in front of it, and callers cache the
list for a while.  In a fixed order every caller would connect to the first address:
that host would be overloaded, and its loss would break all connections at once.

Addresses in the caller's failure domain come first.  Within a domain the order is
random, so that concurrent callers choose different hosts; a host with twice the
load comes first half as often.  Hosts that are leaving aren't listed.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

_IDLE_LOAD = 10.0
"""Added to each host's requests in flight: fewer than this in the last heartbeat say
nothing about the load in the next second, so they hardly change the order."""


@dataclass(frozen=True)
class Endpoint:
    """An address at which callers may connect."""

    address: str
    failure_domain: str
    in_flight: int = 0
    leaving: bool = False


def order_endpoints(
    endpoints: Iterable[Endpoint], failure_domain: str, rng: random.Random
) -> list[Endpoint]:
    """Return the endpoints in the order in which a caller should try them.

    Parameters
    ----------
    failure_domain
        Failure domain of the caller, if known.

    Examples
    --------
    >>> near, far = Endpoint("a", "north", 50), Endpoint("b", "south")
    >>> gone = Endpoint("c", "north", leaving=True)
    >>> order = order_endpoints([far, gone, near], "north", random.Random(0))
    >>> [endpoint.address for endpoint in order]
    ['a', 'b']
    """

    def key(endpoint: Endpoint) -> tuple[bool, float]:
        # Of several exponential variates, each is the smallest with a probability
        # proportional to the inverse of its mean.
        mean = _IDLE_LOAD + endpoint.in_flight
        return endpoint.failure_domain != failure_domain, rng.expovariate(1 / mean)

    return sorted((e for e in endpoints if not e.leaving), key=key)
