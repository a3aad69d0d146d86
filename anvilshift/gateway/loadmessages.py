"""Messages between routers about what they carry."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RouterLoad:
    """What a router carries, and how full it is.

    It has a datagram of its own: routers of an older build read the others.

    Parameters
    ----------
    capacity
        Processor cores that it may use.
    used
        Share of its scarcest resource that is used; over 1 if work waits for it.
    is_full
        Whether it can hold no further caller.
    """

    router: str
    capacity: float
    used: float
    is_full: bool
