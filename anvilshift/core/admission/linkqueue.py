"""Decide which requests are sent on a full link, and which wait in the router for it.

Load pattern: requests come faster than a narrow link carries them on.  What is written
waits in buffers of the system and of the network, where no deadline, no caller's close
and no urgency is heard: requests would reach targets long after their callers have
left, and urgent ones behind others.  So a request stays in the router while much is
written.
"""

import heapq
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis

_BITS_PER_MS = 1_000.0
"""Bits that a link of 1 Mbit/s carries in a millisecond."""
MAX_DELAY: Millis = 100.0
"""Delay on the link behind which no request is sent: a part of interactive objectives,
and more than the acknowledgements of what was sent before take."""


@dataclass
class LinkQueue:
    """Requests that wait for a router's link, those due first at the front.

    Parameters
    ----------
    rate
        Megabits per second that the link carries.

    Examples
    --------
    >>> queue = LinkQueue(rate=8.0)
    >>> queue.update(0, now=0.0)
    >>> queue.update(200_000, now=0.0)
    >>> queue.find_delay(now=0.0), queue.find_delay(now=150.0)
    (200.0, 50.0)
    >>> late, urgent = queue.add(900.0, 4_000), queue.add(300.0, 4_000)
    >>> queue.take(now=0.0), queue.take(now=99.0), queue.take(now=102.0) == [urgent]
    ([], [], True)
    """

    rate: float
    _waiting: float = 0.0
    _written: int | None = None
    _at: Millis = 0.0
    _held: list[tuple[Millis, int, int]] = field(default_factory=list)
    _added: int = 0

    def update(self, written: int, now: Millis) -> None:
        """Take note of the bytes that the router has written so far."""
        before = written if self._written is None else self._written
        self._waiting = self._find_waiting(now) + written - before
        self._written, self._at = written, now

    def find_delay(self, now: Millis) -> Millis:
        """Return how long what is written now would wait for the link."""
        return self._find_waiting(now) / self._find_speed()

    def find_expected(self, due: Millis, length: int, now: Millis) -> Millis:
        """Return how long a request would wait in the router.

        Parameters
        ----------
        due
            Instant by which it should be answered.
        length
            Its bytes.

        Examples
        --------
        >>> queue = LinkQueue(rate=8.0)
        >>> queue.find_expected(500.0, 4_000, now=0.0)
        0.0
        >>> queue.update(0, now=0.0)
        >>> queue.update(150_000, now=0.0)
        >>> _ = queue.add(400.0, 20_000), queue.add(600.0, 20_000)
        >>> queue.find_expected(500.0, 4_000, now=0.0)
        74.0
        """
        before = sum(held for at, _, held in self._held if at <= due)
        ahead = (before + length) / self._find_speed()
        return max(0.0, self.find_delay(now) + ahead - MAX_DELAY)

    def add(self, due: Millis, length: int) -> int:
        """Let a request wait; return its number."""
        self._added += 1
        heapq.heappush(self._held, (due, self._added, length))
        return self._added

    def remove(self, number: int) -> None:
        """Drop a request that no one waits for any more."""
        self._held = [one for one in self._held if one[1] != number]
        heapq.heapify(self._held)

    def take(self, now: Millis) -> list[int]:
        """Return the numbers of the requests that may be sent now, and forget them."""
        taken, delay = [], self.find_delay(now)
        while self._held and delay < MAX_DELAY:
            _, number, length = heapq.heappop(self._held)
            taken.append(number)
            delay += length / self._find_speed()
        return taken

    def __len__(self) -> int:
        """Return how many requests wait."""
        return len(self._held)

    def _find_waiting(self, now: Millis) -> float:
        return max(0.0, self._waiting - (now - self._at) * self._find_speed())

    def _find_speed(self) -> float:
        """Return the bytes that the link carries in a millisecond."""
        return self.rate * _BITS_PER_MS / 8
