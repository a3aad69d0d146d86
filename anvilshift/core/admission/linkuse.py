"""Measure how much of its host's link a router uses, in each direction.

Load pattern: one router gets most of its neighbours' callers, and its narrow link fills
in one direction or in both.  Many small packets fill it too: headers and
acknowledgements of short events and datagrams take as much as their content.
"""

import math
from dataclasses import dataclass

from anvilshift.core.clock import Millis

_TCP_HEADERS = 66
"""Bytes that Ethernet, IPv4 and TCP with its timestamps add to a segment."""
_UDP_HEADERS = 42
_MAX_SEGMENT = 1_448
"""Bytes of content that a full TCP segment holds."""
_SEGMENTS_ACKNOWLEDGED = 2
"""Segments that one acknowledgement answers while data arrive in a row."""
_BITS_PER_MS = 1_000.0
"""Bits that a link of 1 Mbit/s carries in a millisecond."""
_SMOOTHING: Millis = 500.0
"""Time within which the larger part of a change shows."""


def count_segments(length: int) -> int:
    """Return the TCP segments that carry some bytes written at once.

    Examples
    --------
    >>> count_segments(100), count_segments(4_000)
    (1, 3)
    """
    return -(-length // _MAX_SEGMENT)


@dataclass(frozen=True)
class Traffic:
    """What a router has sent or received so far, in one direction.

    Parameters
    ----------
    stream_bytes, segments
        Content of TCP connections, and the segments that carried it.
    datagram_bytes, datagrams
        Content of datagrams, and their number.

    Examples
    --------
    >>> Traffic(100, 2) + Traffic(datagram_bytes=50, datagrams=1)
    Traffic(stream_bytes=100, segments=2, datagram_bytes=50, datagrams=1)
    """

    stream_bytes: int = 0
    segments: int = 0
    datagram_bytes: int = 0
    datagrams: int = 0

    def __add__(self, other: "Traffic") -> "Traffic":
        """Return what both have moved together."""
        return Traffic(
            self.stream_bytes + other.stream_bytes,
            self.segments + other.segments,
            self.datagram_bytes + other.datagram_bytes,
            self.datagrams + other.datagrams,
        )

    def count_bytes(self, answered: "Traffic") -> int:
        """Return the bytes that it took on the link.

        Parameters
        ----------
        answered
            Traffic of the other direction, which is acknowledged in this one.

        Examples
        --------
        >>> Traffic(stream_bytes=100, segments=1).count_bytes(Traffic())
        166
        """
        acknowledgements = answered.segments // _SEGMENTS_ACKNOWLEDGED
        return (
            self.stream_bytes
            + (self.segments + acknowledgements) * _TCP_HEADERS
            + self.datagram_bytes
            + self.datagrams * _UDP_HEADERS
        )


@dataclass
class LinkUse:
    """How much of a link is used in each direction.

    Parameters
    ----------
    rate
        Megabits per second that the link carries each way.

    Attributes
    ----------
    sent, received
        Share of the link that was used lately; over 1 if more was offered.

    Examples
    --------
    >>> use = LinkUse(rate=8.0)
    >>> use.update(Traffic(), Traffic(), now=0.0)
    >>> use.update(Traffic(datagram_bytes=5_000_000), Traffic(), now=10_000.0)
    >>> round(use.sent, 2), use.received
    (0.5, 0.0)
    """

    rate: float
    sent: float = 0.0
    received: float = 0.0
    _last: tuple[int, int] = (0, 0)
    _updated: Millis | None = None

    @property
    def most(self) -> float:
        """Return the use of the fuller direction."""
        return max(self.sent, self.received)

    def update(self, sent: Traffic, received: Traffic, now: Millis) -> None:
        """Take note of what was sent and received so far."""
        total = sent.count_bytes(received), received.count_bytes(sent)
        before, last, updated = self._updated, self._last, now
        self._updated, self._last = updated, total
        if before is None or now <= before:
            return
        weight = 1.0 - math.exp((before - now) / _SMOOTHING)
        room = (now - before) * self.rate * _BITS_PER_MS / 8
        self.sent += ((total[0] - last[0]) / room - self.sent) * weight
        self.received += ((total[1] - last[1]) / room - self.received) * weight
