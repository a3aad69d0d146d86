"""Estimate how long what a router has written waits for its own link.

Load pattern: long prompts come faster than a narrow link carries them on.  What is
written waits in buffers of the system and of the network, where no deadline, no
caller's close and no rank is heard: requests would reach targets long after their
callers have left, and short ones behind long ones.  So a request stays in the router
while much waits for the link.
"""

from collections.abc import Iterable
from dataclasses import dataclass

from anvilshift.core.clock import Millis

_BITS_PER_MS = 1_000.0
"""Bits that a link of 1 Mbit/s carries in a millisecond."""
_USABLE = 0.93
"""Part of a link that is left beside the headers of packets."""
MAX_DELAY: Millis = 100.0
"""Delay on the link behind which no request is sent: well under the time after which
targets count as silent, and as long as a narrow link needs for the longest prompts."""
MAX_DELAY_LONG: Millis = 50.0
_LONG_BYTES = 4 * 1024
"""The same for requests from this length on, so that shorter ones go first."""


@dataclass
class LinkQueue:
    """What waits for a router's link.

    Parameters
    ----------
    rate
        Megabits per second that the link carries.

    Examples
    --------
    >>> queue = LinkQueue(rate=8.0 / 0.93)
    >>> queue.update(0, now=0.0)
    >>> queue.update(200_000, now=0.0)
    >>> round(queue.find_delay(now=0.0)), round(queue.find_delay(now=150.0))
    (200, 50)
    >>> round(queue.find_wait(800, now=0.0)), round(queue.find_wait(8_000, now=0.0))
    (100, 150)
    """

    rate: float
    _waiting: float = 0.0
    _written: int = 0
    _at: Millis = 0.0

    def update(self, written: int, now: Millis) -> None:
        """Take note of the bytes that the router has written so far."""
        self._waiting = self._find_waiting(now) + written - self._written
        self._written, self._at = written, now

    def find_delay(self, now: Millis) -> Millis:
        """Return how long what is written now would wait for the link."""
        return self._find_waiting(now) / self._find_speed()

    def find_wait(self, length: int, now: Millis) -> Millis:
        """Return how long a request is kept back; 0 if it may be sent.

        Parameters
        ----------
        length
            Bytes of the request.
        """
        most = MAX_DELAY if length < _LONG_BYTES else MAX_DELAY_LONG
        return max(0.0, self.find_delay(now) - most)

    def find_expected(self, length: int, held: Iterable[int], now: Millis) -> Millis:
        """Return how long a request would be kept back behind others.

        Parameters
        ----------
        held
            Bytes of each request that is kept back; a short one passes the long ones.

        Examples
        --------
        >>> queue = LinkQueue(rate=8.0 / 0.93)
        >>> round(queue.find_expected(800, [50_000, 1_000], now=0.0))
        0
        >>> round(queue.find_expected(8_000, [500_000, 50_000], now=0.0))
        500
        """
        is_short = length < _LONG_BYTES
        before = sum(one for one in held if one < _LONG_BYTES or not is_short)
        most = MAX_DELAY if is_short else MAX_DELAY_LONG
        return max(0.0, self.find_delay(now) + before / self._find_speed() - most)

    def _find_waiting(self, now: Millis) -> float:
        return max(0.0, self._waiting - (now - self._at) * self._find_speed())

    def _find_speed(self) -> float:
        """Return the bytes that the link carries in a millisecond."""
        return self.rate * _USABLE * _BITS_PER_MS / 8
