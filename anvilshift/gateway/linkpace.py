"""Keep requests back while this router's own link is full."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.placement.linkqueue import LinkQueue

_MIN_SLEEP, _MAX_SLEEP = 2.0, 25.0
"""Milliseconds between two looks at the link; others may write meanwhile."""


@dataclass
class LinkPace:
    """Keep requests back while this router's own link is full.

    Parameters
    ----------
    queue
        What waits for the link; None if its speed isn't known.
    count_written
        Returns the bytes that this router has written so far.

    Attributes
    ----------
    kept_back
        Requests that had to wait so far.
    """

    queue: LinkQueue | None
    clock: Clock
    count_written: Callable[[], int] = lambda: 0
    kept_back: int = 0
    _held: list[int] = field(default_factory=list)

    def find_expected(self, length: int) -> Millis:
        """Return how long a request of some bytes would be kept back from now on."""
        if self.queue is None:
            return 0.0
        now = self.clock.now()
        self.queue.update(self.count_written(), now)
        return self.queue.find_expected(length, self._held, now)

    async def wait(self, length: int) -> None:
        """Wait until a request may be sent; its deadline or its caller may end that.

        Parameters
        ----------
        length
            Bytes of the request.
        """
        left = self._find_wait(length)
        if not left:
            return
        self.kept_back += 1
        self._held.append(length)
        try:
            while left:
                await asyncio.sleep(min(max(left, _MIN_SLEEP), _MAX_SLEEP) / SECOND)
                left = self._find_wait(length)
        finally:
            self._held.remove(length)

    def _find_wait(self, length: int) -> Millis:
        if self.queue is None:
            return 0.0
        now = self.clock.now()
        self.queue.update(self.count_written(), now)
        return self.queue.find_wait(length, now)
