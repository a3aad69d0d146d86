"""How late a process runs its timers.

Load pattern: on a busy machine one turn of the event loop takes tens of milliseconds.
What other processes sent in this time is still unread, so a process that relies on
news of a certain age has to know how late it is.
"""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_SPAN: Millis = 1 * SECOND
"""Length of the periods of which the current and the last one count."""


@dataclass
class Lateness:
    """The most that timers were late within the last second or two.

    Examples
    --------
    >>> lateness = Lateness()
    >>> lateness.record(40.0, now=100.0)
    >>> lateness.record(5.0, now=1_200.0)
    >>> lateness.find_most(now=1_300.0), lateness.find_most(now=2_500.0)
    (40.0, 5.0)
    """

    _since: Millis = 0.0
    _current: Millis = 0.0
    _last: Millis = 0.0

    def record(self, late: Millis, now: Millis) -> None:
        """Record by how much a timer was late."""
        self._advance(now)
        self._current = max(self._current, late)

    def find_most(self, now: Millis) -> Millis:
        """Return the most that a timer was late lately."""
        self._advance(now)
        return max(self._current, self._last)

    def _advance(self, now: Millis) -> None:
        if now - self._since < _SPAN:
            return
        self._last = self._current if now - self._since < 2 * _SPAN else 0.0
        self._since, self._current = now, 0.0
