"""How often a router records what it has spent.

Load pattern: a large fleet on a calm day.  Each record is a write that is paid for,
and most find that little was spent since the last one.  A rarer record leaves more in
doubt if all routers lose power, and less to spend if the store is unreachable.

So a record is written early where much of what may be spent at any time beyond the
last one is used, and rarely otherwise.  Time begins to release further tokens later by
as much as the record may be older, so that a loss of all power leaves no more in doubt
than with frequent records.
"""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.duties.storereaders import SMALLEST_SHARING_FLEET

_LONGEST_PERIOD: Millis = 1.6 * SECOND
"""Longest time between two records of a router in a large fleet: a fifth of the time in
which a record releases all its tokens."""
_USED_FRACTION = 0.5
"""Fraction of what may be spent at any time whose use makes a record due.  The rest
serves the first requests of a store outage."""


def is_large_fleet(routers: int) -> bool:
    """Tell whether so many routers write to the store as rarely as is safe.

    Examples
    --------
    >>> is_large_fleet(5), is_large_fleet(22)
    (False, True)
    """
    return routers >= SMALLEST_SHARING_FLEET


@dataclass(frozen=True)
class RecordPace:
    """When a router's next record is due.

    Parameters
    ----------
    shortest, longest
        Time between two records where much and where little is spent.
    """

    shortest: Millis
    longest: Millis

    @classmethod
    def for_fleet(cls, period: Millis, is_sparing: bool) -> "RecordPace":
        """Return the pace of a router that records once a period in a small fleet.

        Examples
        --------
        >>> RecordPace.for_fleet(400.0, is_sparing=True).hold
        1200.0
        >>> RecordPace.for_fleet(400.0, is_sparing=False).hold
        0.0
        """
        return cls(period, max(period, _LONGEST_PERIOD) if is_sparing else period)

    @property
    def hold(self) -> Millis:
        """Return the time after a record in which it releases no further tokens."""
        return self.longest - self.shortest

    def is_due(self, since: Millis, used: float) -> bool:
        """Tell whether a record is due that no request waits for.

        Parameters
        ----------
        since
            Time since the last record.
        used
            Fraction that is used of what may be spent at any time beyond it.

        Examples
        --------
        >>> pace = RecordPace(400.0, 1_600.0)
        >>> pace.is_due(400.0, used=0.1), pace.is_due(400.0, used=0.5)
        (False, True)
        >>> pace.is_due(1_600.0, used=0.0)
        True
        """
        if self.longest <= self.shortest or since >= self.longest:
            return True
        return since >= self.shortest and used >= _USED_FRACTION
