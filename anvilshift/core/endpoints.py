"""Choose the router addresses that a caller receives.

Load pattern: callers in three failure domains send prompts of tens of kilobytes, and
traffic between failure domains costs money and adds latency.  If every caller received
the addresses of all routers, two in three would connect across domains.

A caller receives only the routers in its own domain if these are enough to tolerate the
loss of some.  With fewer, a caller that lost all its routers would first have to
request a new list of addresses and wait for it.

A full router is left out, as its callers would be turned away or wait, unless too many
are full: the others would be flooded by the callers of all of them.
"""

from collections.abc import Sequence
from dataclasses import dataclass

_MIN_LOCAL_ROUTERS = 4
"""Number of routers in a failure domain from which its callers receive only these."""


_MAX_LEFT_OUT = 0.5
"""Largest part of a caller's routers that may be left out: twice the callers is what
the others can be expected to bear."""


@dataclass(frozen=True)
class Endpoint:
    """A router that accepts connections from callers.

    Parameters
    ----------
    is_full
        Whether it runs out of what it may use of its host.
    """

    address: str
    failure_domain: str
    is_full: bool = False


def choose_endpoints(
    routers: Sequence[Endpoint], domain: str, is_far: bool = False
) -> tuple[str, ...]:
    """Return the router addresses for callers in a failure domain.

    Parameters
    ----------
    routers
        Routers that are reachable now.
    domain
        Failure domain of the caller; empty if unknown.
    is_far
        Whether the caller is told of other domains' routers, if these have room.

    Examples
    --------
    >>> near = [Endpoint(f"10.0.0.{n}:80", "north") for n in range(4)]
    >>> far = [Endpoint("10.1.0.1:80", "south")]
    >>> len(choose_endpoints(near + far, "north"))
    4
    >>> len(choose_endpoints(near + far, "south"))
    5
    >>> full = [Endpoint("10.0.0.9:80", "north", is_full=True)]
    >>> len(choose_endpoints(near + full, "north"))
    4
    """
    local = [router for router in routers if router.failure_domain == domain]
    usual = local if len(local) >= _MIN_LOCAL_ROUTERS else routers
    chosen = _leave_out_full(usual) or usual
    if is_far:
        others = [router for router in routers if router.failure_domain != domain]
        chosen = _leave_out_full(others) or chosen
    return tuple(router.address for router in chosen)


def _leave_out_full(routers: Sequence[Endpoint]) -> list[Endpoint]:
    """Return the routers that aren't full; none if these are too few for all callers.

    Examples
    --------
    >>> _leave_out_full([Endpoint("a", "north", is_full=True), Endpoint("b", "north")])
    [Endpoint(address='b', failure_domain='north', is_full=False)]
    >>> _leave_out_full([Endpoint("a", "north", is_full=True)])
    []
    """
    roomy = [router for router in routers if not router.is_full]
    return roomy if len(roomy) >= len(routers) * (1 - _MAX_LEFT_OUT) else []
