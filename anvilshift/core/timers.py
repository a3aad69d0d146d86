"""Things to do at instants, for a core that has no timers of its own."""

import heapq
import itertools
from collections.abc import Callable

from anvilshift.core.clock import Millis
from anvilshift.core.work import Actions

Due = Callable[[Millis], Actions]


class Timers:
    """What is due, by instant.

    Examples
    --------
    >>> timers = Timers()
    >>> timers.at(5.0, lambda now: [])
    >>> timers.first(), timers.run(now=6.0), timers.first()
    (5.0, [], None)
    """

    def __init__(self) -> None:
        self._due: list[tuple[Millis, int, Due]] = []
        self._numbers = itertools.count()

    def at(self, instant: Millis, act: Due) -> None:
        """Do something at an instant."""
        heapq.heappush(self._due, (instant, next(self._numbers), act))

    def first(self) -> Millis | None:
        """Return the instant of what is due first."""
        return self._due[0][0] if self._due else None

    def run(self, now: Millis) -> Actions:
        """Do everything that is due."""
        actions: Actions = []
        while self._due and self._due[0][0] <= now:
            _, _, act = heapq.heappop(self._due)
            actions += act(now)
        return actions
