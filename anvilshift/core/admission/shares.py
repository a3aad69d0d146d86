"""Find which routes, organisations and sizes are served far less often than others.

Load pattern: room is short for long, and the order by priority and deadline passes
over the same requests each time: the least urgent, or the largest of their route,
which have to be sent sooner to end in time.
"""

import math
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_MEMORY: Millis = 10 * SECOND
"""Time after which a request counts for a third of a new one."""
_LEAST_ASKED = 4.0
"""Requests from which on a share tells anything."""
_GROUP_FLOOR = 0.4
"""Share that a route or an organisation is served of what all are: a quarter is owed,
and what is on its way ends in part."""
_LARGE_FLOOR = 0.65
"""Share that the largest tenth of a route is served of what the route is: half is owed,
and what is on its way ends in part."""
_LARGE_QUANTILE = 0.9
_STEP = 0.05
"""Relative step in which the estimate of a quantile follows the sizes."""


@dataclass(slots=True)
class _Count:
    asked: float = 0.0
    served: float = 0.0
    at: Millis = 0.0

    def add(self, is_served: bool, now: Millis) -> None:
        kept = math.exp(-(now - self.at) / _MEMORY)
        self.asked = self.asked * kept + 1.0
        self.served = self.served * kept + is_served
        self.at = now

    def find_rate(self, now: Millis) -> float:
        return self.asked * math.exp(-(now - self.at) / _MEMORY) / _MEMORY

    def find_share(self) -> float:
        return self.served / self.asked if self.asked else 1.0

    def is_below(self, floor: float, whole: "_Count") -> bool:
        is_enough = self.asked >= _LEAST_ASKED
        return is_enough and self.find_share() < floor * whole.find_share()


class ServedShares:
    """How often the requests of each route, organisation and size were served lately.

    Examples
    --------
    >>> shares = ServedShares()
    >>> for n in range(8):
    ...     shares.add("read", "pounds", 0, 100.0, True, now=0.0)
    ...     shares.add("book", "francs", 0, 100.0, False, now=0.0)
    >>> shares.is_behind("book", "pounds", 100.0)
    True
    >>> shares.is_behind("read", "pounds", 100.0)
    False
    """

    def __init__(self) -> None:
        self._all = _Count()
        self._routes: dict[str, _Count] = {}
        self._organisations: dict[str, _Count] = {}
        self._large: dict[str, _Count] = {}
        self._bounds: dict[str, float] = {}
        self._priorities: dict[int, _Count] = {}

    def add(
        self,
        route: str,
        organisation: str,
        priority: int,
        tokens: float,
        is_served: bool,
        now: Millis,
    ) -> None:
        """Count a request that was admitted or refused."""
        counts = [
            self._all,
            self._routes.setdefault(route, _Count()),
            self._organisations.setdefault(organisation, _Count()),
            self._priorities.setdefault(priority, _Count()),
        ]
        if self._is_large(route, tokens):
            counts.append(self._large.setdefault(route, _Count()))
        for count in counts:
            count.add(is_served, now)
        self._follow(route, tokens)

    def _follow(self, route: str, tokens: float) -> None:
        """Move the bound of the largest tenth towards a size."""
        bound = self._bounds.setdefault(route, tokens)
        is_above = tokens > bound
        step = _LARGE_QUANTILE if is_above else _LARGE_QUANTILE - 1.0
        self._bounds[route] = bound * (1.0 + _STEP * step)

    def _is_large(self, route: str, tokens: float) -> bool:
        return tokens > self._bounds.get(route, math.inf)

    def find_urgent_rate(self, priority: int, now: Millis) -> float:
        """Return how many more urgent requests come in a millisecond."""
        counts = self._priorities.items()
        return sum(one.find_rate(now) for level, one in counts if level < priority)

    def is_behind(self, route: str, organisation: str, tokens: float) -> bool:
        """Return whether a request belongs to those that are served far less often."""
        whole = self._routes.get(route, _Count())
        if whole.is_below(_GROUP_FLOOR, self._all):
            return True
        count = self._organisations.get(organisation)
        if count is not None and count.is_below(_GROUP_FLOOR, self._all):
            return True
        large = self._large.get(route)
        if large is None or not self._is_large(route, tokens):
            return False
        return large.is_below(_LARGE_FLOOR, whole)
