"""The bound on repeated requests, counted from what clients sent and targets got."""

from collections.abc import Sequence
from dataclasses import dataclass, field


@dataclass
class RepeatRecord:
    """Requests for one service and their arrivals, with times in seconds.

    Parameters
    ----------
    requests
        When clients sent each request on a route to the service.
    arrivals
        Time and id of each arrival at one of its targets, rejected ones included.
    """

    requests: list[float] = field(default_factory=list)
    arrivals: list[tuple[float, str]] = field(default_factory=list)

    def list_repeats(self) -> list[float]:
        """Return the times of the arrivals beyond the first of each request."""
        seen: set[str] = set()
        repeats = []
        for at, identity in sorted(self.arrivals):
            if identity in seen:
                repeats.append(at)
            seen.add(identity)
        return repeats

    def find_excess(self, ratio: float, window: float, allowance: float) -> float:
        """Return by how many repeats the worst window exceeds its bound.

        A window's requests are those in it, in the one before it or in the one half a
        window before it, whichever are most.
        """
        worst = 0.0
        repeats = self.list_repeats()
        for first, start in enumerate(repeats):
            # The windows that begin just before a repeat contain the most of them.
            count = sum(at <= start + window for at in repeats[first:])
            begins = (start, start - window / 2, start - window)
            most = max(_count(self.requests, at, at + window) for at in begins)
            worst = max(worst, count - ratio * most - allowance)
        return worst


def _count(times: Sequence[float], begin: float, end: float) -> int:
    return sum(begin <= at <= end for at in times)
