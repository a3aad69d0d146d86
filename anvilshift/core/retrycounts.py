"""Count the requests for each service, and how often they were sent again."""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_MAX_SPAN: Millis = 10 * SECOND
"""Counts without repeats are begun again after this time."""


@dataclass
class RetryCounts:
    """What one service was sent in a span of time.

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
    >>> counts.find("desk").requests += 1
    >>> counts.drain(now=1_000.0)
    []
    >>> counts.find("desk").repeats += 1
    >>> counts.drain(now=2_000.0)
    [('desk', 1000.0, RetryCounts(requests=1, repeats=1, refused=0))]
    """

    def __init__(self) -> None:
        self._counts: dict[str, RetryCounts] = {}
        self._since: dict[str, Millis | None] = {}
        self._drained: Millis | None = None

    def find(self, service: str) -> RetryCounts:
        """Return the counts of a service, to add to them."""
        if service not in self._counts:
            self._counts[service] = RetryCounts()
            self._since[service] = self._drained
        return self._counts[service]

    def drain(self, now: Millis) -> list[tuple[str, Millis, RetryCounts]]:
        """Return the services with repeats, the spans of their counts, and the counts.

        The counts of the others go on, so that a request is counted with its repeats.
        """
        found = []
        for service, counts in list(self._counts.items()):
            since = self._since[service]
            if since is None:
                # Nothing was read before, so that the span begins now.
                since = self._since[service] = now
            span = now - since
            if counts.repeats or counts.refused:
                found.append((service, span, counts))
            elif span < _MAX_SPAN:
                continue
            del self._counts[service]
        self._drained = now
        return found
