"""Count what a router sends and receives on its link."""

from dataclasses import dataclass

from anvilshift.core.admission.linkuse import Traffic
from anvilshift.gateway.peers import Peers
from anvilshift.wire.traffic import TrafficCounter


@dataclass
class LinkTraffic:
    """What a router has sent and received so far.

    Parameters
    ----------
    counters
        Count what goes to and comes from callers and targets.
    """

    peers: Peers
    counters: list[TrafficCounter]

    def find(self) -> tuple[Traffic, Traffic]:
        """Return what was sent and received, among routers too."""
        sent, received = self.peers.sent, self.peers.received
        for counter in self.counters:
            sent += counter.sent
            received += counter.received
        return sent, received

    def count_written(self) -> int:
        """Return the bytes that were written to the link, with headers."""
        sent, received = self.find()
        return sent.count_bytes(received)
