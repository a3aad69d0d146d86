"""Messages between routers about what they carry."""

from dataclasses import dataclass


@dataclass(frozen=True)
class RouterLoad:
    """What a router carries, and how full it is.

    It has a datagram of its own: routers of an older build read the others.

    Parameters
    ----------
    cores, link
        Processor cores and megabits per second that it may use; 0.0 for an unlimited
        link.
    used
        Share of its scarcest resource that is used; over 1 if work waits for it.
    is_full
        Whether it can hold no further caller.
    heavy
        Addresses of its heavy callers, each with the cores and megabits per second that
        it takes.
    """

    router: str
    cores: float
    link: float
    used: float
    is_full: bool
    heavy: tuple[tuple[str, float, float], ...] = ()
