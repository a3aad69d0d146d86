"""Tell refused callers when to come back, each at a moment of its own.

Load pattern: a burst is refused while room is short.  With one delay for all of them
the callers would come back together and be refused again, some of them would come
back at once and often, and those that waited as told would stand behind newcomers.
"""

from collections import OrderedDict

from anvilshift.core.clock import SECOND, Millis

_EARLY: Millis = 20.0
"""How much earlier than told a caller may return: timers and links vary by as much."""
_GRACE: Millis = 2 * SECOND
"""How long after its moment a caller is still known."""
_MOST = 1_000
"""Refused callers that are remembered."""


class ReturnPlaces:
    """The moments at which refused callers may return.

    Examples
    --------
    >>> places = ReturnPlaces()
    >>> places.give("a", now=0.0, wait=100.0, rate=0.02)
    100.0
    >>> places.give("b", now=0.0, wait=100.0, rate=0.02)
    150.0
    >>> places.give("a", now=20.0, wait=100.0, rate=0.02)
    80.0
    >>> places.take("a", now=50.0), places.take("a", now=101.0)
    (False, True)
    """

    def __init__(self) -> None:
        self._due: OrderedDict[str, Millis] = OrderedDict()
        self._last: Millis = 0.0

    def give(self, content: str, now: Millis, wait: Millis, rate: float) -> Millis:
        """Return the time after which a refused caller finds room.

        A caller that repeats before its moment keeps it.

        Parameters
        ----------
        content
            Digest of the request, the same for each repetition.
        wait
            Time until all that waits now was sent.
        rate
            Requests that are sent in a millisecond.
        """
        known = self._due.get(content)
        if known is not None and now < known:
            return known - now
        due = max(now + wait, self._last + 1.0 / rate)
        self._last = due
        self._due[content] = due
        while len(self._due) > _MOST:
            self._due.popitem(last=False)
        return due - now

    def restart(self) -> None:
        """Give the next moments from now on, as there is room again."""
        self._last = 0.0

    def shift(self, content: str, after: Millis, now: Millis) -> None:
        """Replace a caller's moment by the one that it was told."""
        if content in self._due:
            self._due[content] = now + after

    def take(self, content: str, now: Millis) -> bool:
        """Return whether a caller comes back as it was told, and forget it then."""
        due = self._due.get(content)
        if due is None or now < due - _EARLY:
            return False
        del self._due[content]
        return now <= due + _GRACE
