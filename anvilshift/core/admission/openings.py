"""Tell a router's own full link from targets that can't be connected to.

Load pattern: callers and answers fill a router's link, so that for seconds nothing
passes it in less than some hundred milliseconds.  Each new connection then times out,
at every target and through every other router.  Taken for failures of targets, these
cost each request its time at one target after another, and the link as many packets.
"""

from collections import deque

from anvilshift.core.clock import SECOND, Millis

_WINDOW: Millis = 1 * SECOND
"""Age up to which an opening that timed out is counted."""
_LEAST_TARGETS, _LEAST_ROUTERS = 3, 2
"""Targets and routers to which openings have to time out: so many fail together only
over a full link, or in a cut, where a longer wait loses nothing."""


class ConnectionOpenings:
    """The latest openings of connections by one router.

    Examples
    --------
    >>> openings = ConnectionOpenings()
    >>> for n in range(3):
    ...     openings.record_timeout(f"e{n}", False, now=0.0)
    ...     openings.record_timeout(f"r{n}", True, now=250.0)
    >>> openings.is_link_full(now=300.0)
    True
    >>> openings.record_success()
    >>> openings.is_link_full(now=301.0)
    False
    """

    def __init__(self) -> None:
        self._timeouts: deque[tuple[Millis, bool, str]] = deque()

    def record_timeout(self, name: str, is_router: bool, now: Millis) -> None:
        """Record that no connection to a target or router was opened in time."""
        self._timeouts.append((now, is_router, name))

    def record_success(self) -> None:
        """Record that a connection was opened as soon as over a sound link."""
        self._timeouts.clear()

    def is_link_full(self, now: Millis) -> bool:
        """Return whether this router's own link delays whatever passes it."""
        while self._timeouts and now - self._timeouts[0][0] > _WINDOW:
            self._timeouts.popleft()
        names = {(is_router, name) for _, is_router, name in self._timeouts}
        routers = sum(is_router for is_router, _ in names)
        targets = len(names) - routers
        return targets >= _LEAST_TARGETS and routers >= _LEAST_ROUTERS
