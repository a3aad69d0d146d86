"""When an allocator draws tokens that no request waits for.

Load pattern: a large fleet on a calm day.  Each allocator tops its cushion up whenever
a tenth of it is spent, so each of them writes the shared object about once a second,
and every other write conflicts with one of the others.

While the store is unreachable a router spends no more than its record allows, so what
it holds beyond that serves nobody then.  While the store is reachable, a request that
needs more waits for a draw.  So a draw is due only when little more is left than a
record allows, and only if it may bring a part of the cushion that is worth the write.
"""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

FREE_RELIED_ON: Millis = 8 * SECOND
"""How much longer what a write told of the free tokens counts for draws that no request
waits for.  Tokens may be free again after a router has ended."""
_OFTEN_BELOW = 0.9
"""Fraction of the cushion below which a router of a small fleet draws more tokens, and
one of a larger fleet along with others."""
_OUTAGES_HELD = 3.0
"""Multiple of what a record allows that is held at least: the rate may grow as much by
the next record."""
_MIN_GAIN = 0.1
"""Smallest draw, as a fraction of the cushion.  Draws from a total that is nearly used
up bring half as much each time."""


@dataclass(frozen=True)
class Cushion:
    """What an allocator holds of one organisation's tokens, and should hold.

    Parameters
    ----------
    ready
        Unspent tokens that it holds.
    wanted
        Tokens that it should hold.
    outage_use
        Tokens that its record allows to be spent without another one.
    free
        Unallocated tokens; None if not known.
    """

    ready: int
    wanted: int
    outage_use: int
    free: int | None

    def is_low(self) -> bool:
        """Tell whether a write that is made anyway should draw.

        Examples
        --------
        >>> Cushion(ready=80, wanted=100, outage_use=20, free=500).is_low()
        True
        """
        return self.ready < self.wanted * _OFTEN_BELOW

    def is_due(self) -> bool:
        """Tell whether a draw is worth a write.

        Examples
        --------
        >>> Cushion(ready=80, wanted=100, outage_use=20, free=500).is_due()
        False
        >>> Cushion(ready=39, wanted=100, outage_use=20, free=500).is_due()
        True
        >>> Cushion(ready=39, wanted=100, outage_use=20, free=8).is_due()
        False
        """
        needed = self.outage_use * _OUTAGES_HELD
        gains = self.free is None or self.free >= self.wanted * _MIN_GAIN
        return self.is_low() and self.ready < needed and gains
