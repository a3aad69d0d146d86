"""The addresses of routers that callers are told."""

import random
from collections.abc import Iterable

from anvilshift.core.addressing import Endpoint, order_endpoints
from anvilshift.core.clock import Millis
from anvilshift.core.membership import Member, MemberStatus


def describe_addresses(
    own: Member,
    in_flight: int,
    others: Iterable[MemberStatus],
    keep: Millis,
    rng: random.Random,
) -> dict[str, object]:
    """Return the addresses of the routers that serve, own failure domain first.

    Parameters
    ----------
    own, in_flight
        This router, which is always among them, and how many requests it has.
    others
        The other routers that are alive.
    keep
        How long a caller may keep the answer.
    """
    endpoints = [
        Endpoint(
            s.member.address,
            s.member.failure_domain,
            s.heartbeat_status.in_flight,
            s.member.leaving,
        )
        for s in others
        if s.heartbeat_status.serving
    ]
    endpoints.append(Endpoint(own.address, own.failure_domain, in_flight, own.leaving))
    ordered = order_endpoints(endpoints, own.failure_domain, rng)
    addresses = [
        {"address": e.address, "failure_domain": e.failure_domain} for e in ordered
    ]
    return {"addresses": addresses, "keep_ms": keep}
