"""Find the pace of a target that has just started or come back, from its answers.

Load pattern: a target starts, or its ejection ends, and looks idle to every router at
once: forty routers send it their next requests, and all of these wait behind each other
or fill an empty cache.  If each router probes it by itself instead, it takes seconds
until it does its part, however well it answers.

The routers together keep few requests at it at first.  Each answer in time opens it by
one request, so that it opens as fast as it answers.  A late one, a rejection or a
failed attempt halves that; from there on it opens by one for as many answers as it has
requests.  It is open when it has carried its slots and a quarter, or after a while
without a bad sign.

The requests are dealt out among the routers by their ranks at the target, so that none
has to ask while other targets take what it can't send: a router of rank 3 sends the
fourth one, or lends that share.  However far the routers' views of its answers lie
apart, their requests together are never more than the largest pace.

References
----------
Jacobson: Congestion avoidance and control, 1988.
"""

import hashlib
import math
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from anvilshift.core.clock import SECOND, Millis

FULL = 1.25
"""Most requests at a target while its pace is sought, relative to its slots: they are
full, and a quarter waits."""
_FIRST = 4.0
"""Requests at a target that nothing is known of; a lost one among them shows soon."""
_LEAST = 1.0
_CLOSING = 0.5
"""Factor of the pace after a late answer, a rejection or a failed attempt."""
_MOMENT: Millis = 250.0
"""Failures within this time count once: reports don't say when a request was sent."""
_IN_USE: Millis = 2 * SECOND
"""Age of a last answer up to which a target is in use: no ejection is shorter."""
_OPENING: Millis = 3 * SECOND
"""Time after which a target is open that has answered, and never late."""
FLAPPING: Millis = 60 * SECOND
"""Time since its last return within which a target comes back with less trust."""
_WORSE = 1.5
"""How much longer than usual at its service an answer takes that the target is blamed
for: under overload all targets answer late."""


class Outcome(StrEnum):
    """What the answer to a request says about its target."""

    IN_TIME = "in time"
    LATE = "late"
    REJECTED = "rejected"
    FAILED = "failed"


def judge_answer(took: Millis, objective: Millis, usual: Millis) -> Outcome:
    """Return whether an answer was late by its target's fault.

    Parameters
    ----------
    took
        Time from the sending of the request to the first byte of the answer.
    objective
        Time within which the caller wanted it.
    usual
        Time predicted for it at an open target of the service.

    Examples
    --------
    >>> judge_answer(300.0, 645.0, 100.0).value, judge_answer(900.0, 645.0, 200.0).value
    ('in time', 'late')
    >>> judge_answer(900.0, 645.0, 850.0).value
    'in time'
    """
    is_late = took > objective and took > usual * _WORSE
    return Outcome.LATE if is_late else Outcome.IN_TIME


def is_in_use(answered: Millis | None, now: Millis) -> bool:
    """Return whether a target whose ejection ends has been in use all the while.

    Some routers may eject a target that others use, by their own path to it: it isn't
    cold, and to pace it would take it from the others.

    Parameters
    ----------
    answered
        When it last answered any router; None if that isn't known.

    Examples
    --------
    >>> is_in_use(9_500.0, 10_000.0), is_in_use(None, 10_000.0)
    (True, False)
    """
    return answered is not None and now - answered <= _IN_USE


def find_rank(router: str, others: Iterable[tuple[str, bool]], target: str) -> int:
    """Return a router's rank at a target, 0 for the one that sends first.

    Routers of the target's failure domain come first: they hear soonest of its answers.
    Among them the order differs between targets.

    Parameters
    ----------
    others
        The routers present, this one included, and whether each of them is in the
        target's failure domain.

    Examples
    --------
    >>> routers = [("a", False), ("b", True), ("c", False)]
    >>> sorted(find_rank(name, routers, "t") for name, _ in routers)
    [0, 1, 2]
    >>> find_rank("b", routers, "t")
    0
    """
    return list_ranks(others, target).index(router)


def list_ranks(others: Iterable[tuple[str, bool]], target: str) -> list[str]:
    """Return the routers by their rank at a target."""
    order = sorted(others, key=lambda one: (not one[1], _hash(one[0], target)))
    return [name for name, _ in order]


def _hash(router: str, target: str) -> bytes:
    return hashlib.blake2b(f"{target}/{router}".encode(), digest_size=8).digest()


@dataclass
class SlowStart:
    """The pace of one target since its start or return.

    Attributes
    ----------
    since
        When it started or came back.
    window
        Requests that all routers together may have there.
    closed_at
        When it was last closed; earlier requests tell nothing new.

    Examples
    --------
    >>> pace = SlowStart.begin(slots=8, now=0.0)
    >>> pace.window, pace.count_share(rank=3, routers=40), pace.count_share(4, 40)
    (4.0, 1, 0)
    >>> for n in range(6):
    ...     pace.record(Outcome.IN_TIME, sent=n, now=n + 50.0)
    >>> pace.window, pace.is_open(now=100.0)
    (10.0, True)
    """

    slots: int
    since: Millis
    window: float = _FIRST
    closed_at: Millis = -math.inf
    _threshold: float = math.inf
    _has_answered: bool = False

    @classmethod
    def begin(
        cls, slots: int, now: Millis, former: "SlowStart | None" = None
    ) -> "SlowStart":
        """Return the pace of a target that has just started or come back.

        Parameters
        ----------
        former
            Its pace after its last return, if there was one: one that comes back again
            and again begins with a single request, and opens slowly from half of what
            it carried then.
        """
        pace = cls(slots, now)
        pace.window = min(_FIRST, pace.find_most())
        if former is not None and now - former.since < FLAPPING:
            pace.window = _LEAST
            pace._threshold = max(_LEAST, former.window * _CLOSING)
        return pace

    def find_most(self) -> float:
        """Return the most requests that it gets before it is open."""
        return max(_LEAST, math.floor(self.slots * FULL))

    def is_open(self, now: Millis) -> bool:
        """Return whether it takes part like any other target."""
        if not self._has_answered:
            return False
        if self.window >= self.find_most():
            return True
        return self._threshold == math.inf and now - self.since >= _OPENING

    def is_shared(self, now: Millis) -> bool:
        """Return whether a request needs a share of it that has no other target.

        While a target opens such requests wait at all routers; sent together as it is
        open they would flood it.
        """
        return not self.is_open(now) or now - self.since < _OPENING

    def record(self, outcome: Outcome, sent: Millis, now: Millis) -> None:
        """Open or close it by the outcome of a request of any router.

        Parameters
        ----------
        sent
            When the request was sent.
        """
        if sent < self.since or self.is_open(now):
            return
        if outcome is Outcome.IN_TIME:
            self._has_answered = True
            is_fast = self.window < self._threshold
            self.window += 1.0 if is_fast else 1.0 / self.window
            self.window = min(self.window, self.find_most())
        elif sent > self.closed_at:
            self.window = max(_LEAST, self.window * _CLOSING)
            self._threshold, self.closed_at = self.window, now

    def record_failure(self, now: Millis) -> None:
        """Close it by a failed attempt of any router."""
        self.record(Outcome.FAILED, max(self.since, now - _MOMENT), now)

    def count_share(self, rank: int, routers: int) -> int:
        """Return how many requests the router of a rank may have there at a time."""
        whole, rest = divmod(math.floor(self.window), max(1, routers))
        return whole + (rank < rest)
