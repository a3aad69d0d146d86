"""Choose the router addresses that a caller receives.

Load pattern: callers in three failure domains send prompts of tens of kilobytes, and
traffic between failure domains costs money and adds latency.  If every caller received
the addresses of all routers, two in three would connect across domains.

A caller receives only the routers in its own domain if these are enough to tolerate the
loss of some.  With fewer, a caller that lost all its routers would first have to
request a new list of addresses and wait for it.
"""

from collections.abc import Sequence
from dataclasses import dataclass

MIN_LOCAL_ROUTERS = 4
"""Number of routers in a failure domain from which its callers receive only these."""


@dataclass(frozen=True)
class Endpoint:
    """A router that accepts connections from callers."""

    address: str
    failure_domain: str


def choose_endpoints(routers: Sequence[Endpoint], domain: str) -> tuple[str, ...]:
    """Return the router addresses for callers in a failure domain.

    Parameters
    ----------
    routers
        Routers that are reachable now.
    domain
        Failure domain of the caller; empty if unknown.

    Examples
    --------
    >>> near = [Endpoint(f"10.0.0.{n}:80", "north") for n in range(4)]
    >>> far = [Endpoint("10.1.0.1:80", "south")]
    >>> len(choose_endpoints(near + far, "north"))
    4
    >>> len(choose_endpoints(near + far, "south"))
    5
    """
    local = [router.address for router in routers if router.failure_domain == domain]
    if len(local) >= MIN_LOCAL_ROUTERS:
        return tuple(local)
    return tuple(router.address for router in routers)
