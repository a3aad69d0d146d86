"""Who gives orders to engines, and which orders are due.

One router at a time owns the orders, by an object in the platform that changes
by conditional update only; its fencing number grows with each owner.  An
engine that checks the number refuses a former owner.  For one that ignores it
an order states the desired end, a new owner waits until its predecessor's
last order must have ended, and goes on reading back what the engine has: an
order of an owner that was paused in the act is overwritten in the next round.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, replace

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.declarations import Catalogue, Engine
from anvilshift.core.membership import Member

ORDER_TIMEOUT: Millis = 1 * SECOND
"""Longest that an engine's adapter waits for the answer to an order."""


@dataclass(frozen=True)
class Ownership:
    """Which router gives orders.

    Parameters
    ----------
    owner
        The owner's incarnation; empty when it gave the orders up.
    fencing
        Grows by one with each owner.

    Examples
    --------
    >>> Ownership().take("r1-a").release("r1-a").take("r2-b")
    Ownership(owner='r2-b', fencing=2)
    """

    owner: str = ""
    fencing: int = 0

    def take(self, incarnation: str) -> "Ownership":
        """Return the ownership of a new owner."""
        return Ownership(incarnation, self.fencing + 1)

    def release(self, incarnation: str) -> "Ownership":
        """Return the ownership after its owner gave the orders up."""
        return replace(self, owner="") if self.owner == incarnation else self

    def is_due(self, own: Member, present: Iterable[Member]) -> bool:
        """Tell whether a router shall take the orders over.

        Of the routers that are there, the first by name does, so that a
        fleet without an owner does not race for it each time.
        """
        members = [own, *present]
        if any(member.incarnation == self.owner for member in members):
            return False
        return is_first(own, members)


def is_first(own: Member, members: Iterable[Member]) -> bool:
    """Tell whether a router is the first by name of those that stay."""
    staying = [member.name for member in (own, *members) if not member.leaving]
    return bool(staying) and min(staying) == own.name


@dataclass(frozen=True)
class Assignment:
    """What one engine shall have loaded."""

    engine: Engine
    desired: Mapping[str, str]

    def is_met(self, state: Mapping[str, object]) -> bool:
        """Tell whether the engine's own account of its state is as desired.

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
    """Return what every engine of a group with a desired state shall have."""
    return [
        Assignment(engine, group.desired)
        for group in catalogue.groups.values()
        if group.desired
        for engine in group.engines
    ]


def compute_wait(lease: Millis) -> Millis:
    """Return how long after a takeover the former owner may still give orders.

    It gives none later than a lease after it last read that it is the owner,
    and the last one ends within the timeout of an order.

    Examples
    --------
    >>> compute_wait(lease=5_000.0)
    6000.0
    """
    return lease + ORDER_TIMEOUT
