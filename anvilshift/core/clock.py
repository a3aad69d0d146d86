"""Time in milliseconds.

The core never reads a clock: instants are passed to it as arguments.  Each daemon has
one `Clock`; tests and runs in virtual time use a `ManualClock`.
"""

import time
from typing import Protocol

Millis = float
"""An instant or a duration in milliseconds; all instants share an arbitrary origin."""

SECOND: Millis = 1000.0
PROCESS_START: Millis = time.monotonic() * SECOND
"""Instant of this module's import, by the machine's monotonic clock: the earliest known
instant at which this process was running."""


class Clock(Protocol):
    """A source of the current time."""

    def now(self) -> Millis:
        """Return the present instant in milliseconds."""

    def wall(self) -> int:
        """Return the seconds since the Unix epoch, for records kept across restarts."""


class MonotonicClock:
    """The machine's monotonic clock, which never goes backwards.

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
        """Return the seconds since the Unix epoch."""
        return int(time.time())


class BootClock(MonotonicClock):
    """The machine's clock that goes on while the machine is suspended.

    Examples
    --------
    >>> clock = BootClock()
    >>> clock.now() <= clock.now()
    True
    """

    def now(self) -> Millis:
        """Return the present instant in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * SECOND


class ManualClock:
    """A clock that is advanced explicitly, for tests and virtual time.

    Examples
    --------
    >>> clock = ManualClock(start=5.0)
    >>> clock.advance(2.5)
    7.5
    """

    def __init__(self, start: Millis = 0.0) -> None:
        self._now = start

    def now(self) -> Millis:
        """Return the instant that the clock is set to."""
        return self._now

    def wall(self) -> int:
        """Return the clock's instant in whole seconds."""
        return int(self._now / SECOND)

    def advance(self, span: Millis) -> Millis:
        """Advance the clock by a duration and return the new instant."""
        self._now += span
        return self._now
