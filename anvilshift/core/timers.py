"""Timers that run when the caller advances the time.

The core reads no clock and runs no event loop; its caller passes the current time.
"""

import heapq
import itertools
from collections.abc import Callable

from anvilshift.core.clock import Millis
from anvilshift.core.work import Actions

Callback = Callable[[Millis], Actions]


class Timers:
    """A priority queue of callbacks, ordered by the time at which they are due.

    Examples
    --------
    >>> timers = Timers()
    >>> timers.schedule(5.0, lambda now: [])
    >>> timers.first(), timers.run(now=6.0), timers.first()
    (5.0, [], None)
    """

    def __init__(self) -> None:
        self._queue: list[tuple[Millis, int, Callback]] = []
        self._numbers = itertools.count()

    def schedule(self, instant: Millis, callback: Callback) -> None:
        """Schedule a callback, which receives the time at which it is run."""
        heapq.heappush(self._queue, (instant, next(self._numbers), callback))

    def first(self) -> Millis | None:
        """Return the time of the earliest callback; None if there is none."""
        return self._queue[0][0] if self._queue else None

    def run(self, now: Millis) -> Actions:
        """Run all callbacks that are due and return their actions."""
        actions: Actions = []
        while self._queue and self._queue[0][0] <= now:
            _, _, callback = heapq.heappop(self._queue)
            actions += callback(now)
        return actions
