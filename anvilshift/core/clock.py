"""Time in milliseconds.

The core never reads a clock: it takes instants as arguments.  Daemons hold one
`Clock`; tests and virtual-time runs hold a `ManualClock`.
"""

import time
from typing import Protocol

Millis = float
"""An instant or a span in milliseconds; instants share an arbitrary origin."""

SECOND: Millis = 1000.0
STARTED: Millis = time.monotonic() * SECOND
"""An instant at which this process ran already, by the machine's monotonic clock: as
early as its first module can tell."""


class Clock(Protocol):
    """Tell the present instant."""

    def now(self) -> Millis:
        """Return the present instant in milliseconds."""

    def wall(self) -> int:
        """Return seconds since the epoch, for records that outlive a process."""


class MonotonicClock:
    """Tell time by the machine's monotonic clock, which never goes back.

    Examples
    --------
    >>> clock = MonotonicClock()
    >>> clock.now() <= clock.now()
    True
    """

    def now(self) -> Millis:
        """Return the present instant in milliseconds."""
        return time.monotonic() * SECOND

    def wall(self) -> int:
        """Return seconds since the epoch."""
        return int(time.time())


class ManualClock:
    """Tell the time that its owner has set.

    Examples
    --------
    >>> clock = ManualClock(start=5.0)
    >>> clock.advance(2.5)
    7.5
    """

    def __init__(self, start: Millis = 0.0) -> None:
        self._now = start

    def now(self) -> Millis:
        """Return the instant that was set last."""
        return self._now

    def wall(self) -> int:
        """Return the instant in whole seconds."""
        return int(self._now / SECOND)

    def advance(self, span: Millis) -> Millis:
        """Move the clock on by a span and return the new instant."""
        self._now += span
        return self._now
