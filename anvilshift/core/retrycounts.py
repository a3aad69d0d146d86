"""Count the requests for each service, and how often they were sent again."""

from dataclasses import dataclass


@dataclass
class RetryCounts:
    """What one service was sent since the counts were last read.

    Parameters
    ----------
    requests
        Requests of callers on routes to the service.
    repeats
        Sends of a request beyond its first, whatever became of them.
    refused
        Repeats that the retry budget refused.
    """

    requests: int = 0
    repeats: int = 0
    refused: int = 0


class ServiceCounts:
    """The counts of all services.

    Examples
    --------
    >>> counts = ServiceCounts()
    >>> counts.find("desk").repeats += 1
    >>> counts.drain()
    {'desk': RetryCounts(requests=0, repeats=1, refused=0)}
    >>> counts.drain()
    {}
    """

    def __init__(self) -> None:
        self._counts: dict[str, RetryCounts] = {}

    def find(self, service: str) -> RetryCounts:
        """Return the counts of a service, to add to them."""
        return self._counts.setdefault(service, RetryCounts())

    def drain(self) -> dict[str, RetryCounts]:
        """Return the counts by service, and begin again."""
        counts, self._counts = self._counts, {}
        return counts
