"""Count what passes the connections of a server or a client."""

from dataclasses import dataclass

from anvilshift.core.admission.linkuse import Traffic, count_segments


@dataclass
class TrafficCounter:
    """Counter of what was sent and received so far.

    Examples
    --------
    >>> counter = TrafficCounter()
    >>> counter.add_sent(100)
    >>> counter.sent
    Traffic(stream_bytes=100, segments=1, datagram_bytes=0, datagrams=0)
    """

    _sent_bytes: int = 0
    _sent_segments: int = 0
    _received_bytes: int = 0
    _received_segments: int = 0

    def add_sent(self, length: int) -> None:
        """Count a part that was written."""
        self._sent_bytes += length
        self._sent_segments += count_segments(length)

    def add_received(self, length: int) -> None:
        """Count a part that was read."""
        self._received_bytes += length
        self._received_segments += count_segments(length)

    @property
    def sent(self) -> Traffic:
        """Return what was sent so far."""
        return Traffic(self._sent_bytes, self._sent_segments)

    @property
    def received(self) -> Traffic:
        """Return what was received so far."""
        return Traffic(self._received_bytes, self._received_segments)
