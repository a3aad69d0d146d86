"""Virtual time: run what is due, in order."""

import heapq
import itertools
from collections.abc import Callable

from anvilshift.core.clock import Millis


class Timeline:
    """Things to do at instants."""

    def __init__(self) -> None:
        self.now: Millis = 0.0
        self._due: list[tuple[Millis, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, instant: Millis, act: Callable[[], None]) -> None:
        """Do something at an instant, or now when that has passed."""
        due = max(instant, self.now)
        heapq.heappush(self._due, (due, next(self._numbers), act))

    def run(self, until: Millis) -> None:
        """Do everything that is due until an instant."""
        while self._due and self._due[0][0] <= until:
            self.now, _, act = heapq.heappop(self._due)
            act()
