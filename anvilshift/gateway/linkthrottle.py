"""Keep requests back while this router's own link is full."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.admission.linkqueue import MAX_DELAY, LinkQueue
from anvilshift.core.clock import SECOND, Clock, Millis

_MIN_SLEEP, _MAX_SLEEP = 2.0, 25.0
"""Milliseconds between two looks at the link; others may write meanwhile."""


@dataclass
class LinkThrottle:
    """Keep requests back while this router's own link is full.

    Parameters
    ----------
    queue
        What waits for the link; None if its speed isn't known.
    count_written
        Returns the bytes that this router has written so far, headers included.

    Attributes
    ----------
    kept_back
        Requests that had to wait so far.
    """

    clock: Clock
    queue: LinkQueue | None = None
    count_written: Callable[[], int] = lambda: 0
    kept_back: int = 0
    _turns: dict[int, asyncio.Future[None]] = field(default_factory=dict)
    _timer: asyncio.TimerHandle | None = None

    def find_expected(self, due: Millis, length: int) -> Millis:
        """Return how long a request would be kept back from now on."""
        if self.queue is None:
            return 0.0
        now = self._update(self.queue)
        return self.queue.find_expected(due, length, now)

    async def wait(self, due: Millis, length: int) -> None:
        """Wait until a request may be sent; its deadline or its caller may end that.

        Parameters
        ----------
        due
            Instant by which it should be answered: those due first are sent first.
        length
            Bytes of the request.
        """
        queue = self.queue
        if queue is None:
            return
        now = self._update(queue)
        if not len(queue) and queue.find_delay(now) < MAX_DELAY:
            return
        self.kept_back += 1
        number = queue.add(due, length)
        turn = self._turns[number] = asyncio.get_running_loop().create_future()
        self._look_later(queue, now)
        try:
            await turn
        finally:
            del self._turns[number]
            queue.remove(number)

    def _update(self, queue: LinkQueue) -> Millis:
        now = self.clock.now()
        queue.update(self.count_written(), now)
        return now

    def _look_later(self, queue: LinkQueue, now: Millis) -> None:
        if self._timer is not None:
            return
        excess = queue.find_delay(now) - MAX_DELAY
        delay = min(max(excess, _MIN_SLEEP), _MAX_SLEEP)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay / SECOND, self._look, queue)

    def _look(self, queue: LinkQueue) -> None:
        """Let the first requests go on for which there is room on the link."""
        self._timer = None
        now = self._update(queue)
        for number in queue.take(now):
            turn = self._turns[number]
            if not turn.done():
                turn.set_result(None)
        if len(queue):
            self._look_later(queue, now)
