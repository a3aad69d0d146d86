"""How often a router records what it has spent.

Load pattern: a large fleet on a calm day.  Each record is a write that is paid for,
and most find that little was spent since the last one.  A rarer record leaves more in
doubt if all routers lose power, and less to spend if the store is unreachable.

So records are rare only while all organisations spend little of what they may spend at
any time beyond a record.  Time begins to release further tokens later by as much as
such a record may be older, so that a loss of all power leaves no more in doubt.
"""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.duties.storereaders import SMALLEST_SHARING_FLEET

_LONGEST_PERIOD: Millis = 2.0 * SECOND
"""Longest time between two records of a router in a large fleet: a quarter of the time
in which a record releases all its tokens."""
_CALM_FRACTION = 0.25
"""Fraction of what may be spent at any time beyond a record that is used in the longest
period at most.  The rest serves the first requests of a store outage."""


def is_large_fleet(routers: int) -> bool:
    """Tell whether so many routers write to the store as rarely as is safe.

    Examples
    --------
    >>> is_large_fleet(5), is_large_fleet(22)
    (False, True)
    """
    return routers >= SMALLEST_SHARING_FLEET


@dataclass(frozen=True)
class RecordSchedule:
    """When a router's next record is due.

    Parameters
    ----------
    shortest, longest
        Time between two records where much and where little is spent.
    """

    shortest: Millis
    longest: Millis

    @classmethod
    def for_fleet(cls, period: Millis, is_sparing: bool) -> "RecordSchedule":
        """Return the schedule of a router that records once a period in a small fleet.

        Examples
        --------
        >>> RecordSchedule.for_fleet(400.0, is_sparing=True).hold
        1600.0
        >>> RecordSchedule.for_fleet(400.0, is_sparing=False).hold
        0.0
        """
        return cls(period, max(period, _LONGEST_PERIOD) if is_sparing else period)

    @property
    def hold(self) -> Millis:
        """Return how much later the record of a calm organisation releases tokens."""
        return self.longest - self.shortest

    def is_due(self, since: Millis, is_calm: bool) -> bool:
        """Tell whether a record is due that no request waits for.

        Parameters
        ----------
        since
            Time since the last record.
        is_calm
            Whether all organisations were calm then and have spent little since.

        Examples
        --------
        >>> schedule = RecordSchedule(400.0, 1_600.0)
        >>> [schedule.is_due(400.0, is_calm) for is_calm in (True, False)]
        [False, True]
        >>> schedule.is_due(1_600.0, is_calm=True)
        True
        """
        return not is_calm or since >= self.longest


def find_hold(hold: Millis, rate: float, at_once: int) -> Millis:
    """Return how much later an organisation's record releases tokens.

    Parameters
    ----------
    hold
        The time for a calm organisation.
    rate
        Its measured use, in tokens a millisecond.
    at_once
        Tokens that it may spend at any time beyond the record.

    Examples
    --------
    >>> find_hold(1_200.0, rate=1.0, at_once=8_000)
    1200.0
    >>> find_hold(1_200.0, rate=1.0, at_once=7_000)
    0.0
    """
    is_calm = rate * _LONGEST_PERIOD <= at_once * _CALM_FRACTION
    return hold if is_calm else 0.0


def is_calm_since(used: int, at_once: int) -> bool:
    """Tell whether little of what may be spent at any time is used.

    Examples
    --------
    >>> is_calm_since(used=20, at_once=100), is_calm_since(used=30, at_once=100)
    (True, False)
    """
    return used <= at_once * _CALM_FRACTION
