"""Which router sends orders to engines, and which orders are due.

One router at a time is the owner: it alone sends orders.  Ownership is recorded in
an object of the platform that changes only by conditional update, and its fencing
number increases with each owner.  An engine that checks the number rejects orders
of a former owner.  Engines that ignore it are protected in three ways: an order
states the desired state; a new owner waits until its predecessor's last order must
have ended; and the owner reads back the engine's state repeatedly.  If a former
owner was paused while sending an order, the next round overwrites that order.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import Catalogue, Engine
from anvilshift.core.membership import Member

ORDER_TIMEOUT: Millis = 1 * SECOND
"""Timeout of an engine's adapter for the answer to an order."""


@dataclass(frozen=True)
class Ownership:
    """Which router owns the orders to engines.

    Parameters
    ----------
    owner
        The owner's incarnation; empty after the owner released the ownership.
    fencing
        Fencing number, which increases by one with each owner.

    Examples
    --------
    >>> Ownership().take("r1-a").release("r1-a").take("r2-b")
    Ownership(owner='r2-b', fencing=2)
    """

    owner: str = ""
    fencing: int = 0

    def take(self, incarnation: str) -> "Ownership":
        """Return the ownership after a new owner has taken over."""
        return Ownership(incarnation, self.fencing + 1)

    def release(self, incarnation: str) -> "Ownership":
        """Return the ownership after a release, which only the owner can make."""
        return replace(self, owner="") if self.owner == incarnation else self

    def is_due(self, own: Member, present: Iterable[Member]) -> bool:
        """Tell whether a router should take over the ownership.

        Without a live owner, only the first live router by name takes over, so that
        the routers don't compete with conditional updates each time.

        Parameters
        ----------
        own
            The router.
        present
            The other live routers.
        """
        members = [own, *present]
        if any(member.incarnation == self.owner for member in members):
            return False
        return is_first_by_name(own, members)


def is_first_by_name(own: Member, members: Iterable[Member]) -> bool:
    """Tell whether a router is the first by name of those not leaving."""
    staying = [member.name for member in (own, *members) if not member.leaving]
    return bool(staying) and min(staying) == own.name


@dataclass(frozen=True)
class Assignment:
    """The desired state of one engine.

    Parameters
    ----------
    engine
        The engine.
    desired
        The state, by key; other keys of the engine's state are ignored.
    """

    engine: Engine
    desired: Mapping[str, str]

    def is_met(self, state: Mapping[str, object]) -> bool:
        """Tell whether the state that the engine reports matches the desired state.

        Examples
        --------
        >>> engine = Engine("e1", "127.0.0.1:1", "north")
        >>> assignment = Assignment(engine, {"model": "advice"})
        >>> assignment.is_met({"model": "advice", "slots": 8})
        True
        >>> assignment.is_met({})
        False
        """
        return all(state.get(key) == value for key, value in self.desired.items())


def list_assignments(catalogue: Catalogue) -> list[Assignment]:
    """Return the assignments of all engines whose group has a desired state."""
    return [
        Assignment(engine, group.desired)
        for group in catalogue.groups.values()
        if group.desired
        for engine in group.engines
    ]


def compute_takeover_wait(lease: Millis) -> Millis:
    """Return how long after a takeover the former owner may still send orders.

    The former owner sends none later than one lease after it last read that it is the
    owner, and its last order ends within the timeout of an order.

    Examples
    --------
    >>> compute_takeover_wait(lease=5_000.0)
    6000.0
    """
    return lease + ORDER_TIMEOUT
