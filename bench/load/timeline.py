"""Virtual time: run scheduled actions in the order of their due times."""

import heapq
import itertools
from collections.abc import Callable

from anvilshift.core.clock import Millis


class Timeline:
    """A queue of actions ordered by due time, then by order of scheduling."""

    def __init__(self) -> None:
        self.now: Millis = 0.0
        self._due: list[tuple[Millis, int, Callable[[], None]]] = []
        self._numbers = itertools.count()

    def at(self, instant: Millis, action: Callable[[], None]) -> None:
        """Schedule an action for an instant, or for now if it has passed."""
        due = max(instant, self.now)
        heapq.heappush(self._due, (due, next(self._numbers), action))

    def run(self, until: Millis) -> None:
        """Run every action due up to and including an instant."""
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
