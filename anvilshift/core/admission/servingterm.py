"""Decide which requests a stopping router still sends to targets.

Load pattern: a router is told to stop while requests wait in it, for its full link or
for a target.  What it can't answer until its end it has to refuse early, so that
another router serves it: a request that is cut off may have run, and its caller learns
nothing.
"""

import math
from collections import OrderedDict
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis
from anvilshift.core.durations import DecayingMean

_MAX_ROUTES = 1_000
"""Most routes whose times are kept; the one that was used longest ago is dropped."""


@dataclass
class ServingTerm:
    """Until when a router serves, and how long the requests of each route run.

    Attributes
    ----------
    ends
        When it ends the requests that are still unanswered.

    Examples
    --------
    >>> term = ServingTerm()
    >>> term.record_run("orders", 400.0)
    >>> term.ends = 7_000.0
    >>> term.allows("orders", wait=0.0, now=6_500.0)
    True
    >>> term.allows("orders", wait=200.0, now=6_500.0)
    False
    >>> term.allows("reads", wait=200.0, now=6_500.0)
    True
    """

    ends: Millis = math.inf
    _runs: OrderedDict[str, DecayingMean] = field(default_factory=OrderedDict)

    def record_run(self, route: str, span: Millis) -> None:
        """Record the time from the sending of a request to the end of its answer."""
        mean = self._runs.pop(route, None) or DecayingMean(1.0)
        mean.add(span)
        self._runs[route] = mean
        if len(self._runs) > _MAX_ROUTES:
            self._runs.popitem(last=False)

    def allows(self, route: str, wait: Millis, now: Millis) -> bool:
        """Return whether a request that is sent after a wait may be answered in time.

        It may unless requests of its route mostly run for longer.
        """
        if self.ends == math.inf:
            return True
        mean = self._runs.get(route)
        span = mean.value if mean is not None else 0.0
        return now + wait + span < self.ends
