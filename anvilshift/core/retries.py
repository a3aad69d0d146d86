"""Limit how often requests are sent again, for each service and over all routers.

Load pattern: targets fail, and every failed attempt is sent again.  Without a limit, a
fleet that fails because it is overloaded receives several times the load and doesn't
recover.

In any window a service may get `allowance` retries, and `ratio` more for each request
that callers sent for it.  No router knows what the others send, so each keeps a bound
of its own, and the bounds of all routers add up to that of the fleet:

- Each request earns its own router a part of a retry.  A window is held against half
  of the requests in it and half of those in the window that began half its length
  earlier.  Both halves are fixed, so that they add up, and the second lets a request
  be retried at once.
- The allowance is divided among the routers, see `core.fleetshares`.

A retry may arrive at any time between its sending and the target's answer.  Until then
it counts as if it arrived just now.
"""

import math
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.backoff import Backoff
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.retrycounts import ServiceCounts

BACKOFF = Backoff(base=50.0, limit=2_000.0)
"""Delay between attempts at the same target; a restart takes seconds."""
_SCARCE = 3.0
"""Retries left of what requests earned, below which a router's share may be needed."""
_BINS = 100
"""Bins into which a window is divided to count requests; each costs a step when a
retry is taken, and its width of what was earned may go unused."""
_HALF = _BINS // 2


@dataclass(frozen=True)
class RetryLimits:
    """How often the requests for one service may be sent again.

    Parameters
    ----------
    ratio
        Retries for each request.
    window
        Duration of the windows in which requests and retries are counted.
    allowance
        Retries in a window in addition to those, over all routers.
    """

    ratio: float = 0.2
    window: Millis = 10 * SECOND
    allowance: float = 40.0


@dataclass(eq=False, slots=True)
class Retry:
    """A retry that was granted.

    Parameters
    ----------
    settled_at
        When it had certainly arrived, or never would; None while it may still arrive.
    """

    settled_at: Millis | None = None

    def settle(self, now: Millis) -> None:
        """Record that its target has answered, or that its attempt has ended."""
        if self.settled_at is None:
            self.settled_at = now


class RetryWindow:
    """The requests and retries of one service at one router.

    Parameters
    ----------
    limits
        The limits of the fleet.  `limits.allowance` isn't used: this router's part of
        it is passed to `take`.

    Examples
    --------
    >>> window = RetryWindow(RetryLimits(ratio=0.2))
    >>> window.take(1.0, now=0.0) is None, window.take(1.0, now=0.0) is None
    (False, True)
    >>> for _ in range(10):
    ...     window.add_request(now=0.0)
    >>> window.take(1.0, now=0.0) is None
    False
    """

    def __init__(self, limits: RetryLimits | None = None) -> None:
        limits = limits or RetryLimits()
        self._limits = limits
        self._width = limits.window / _BINS
        self._requests: deque[tuple[int, int]] = deque()
        self._retries: list[Retry] = []

    def add_request(self, now: Millis) -> None:
        """Record a request of a caller."""
        current, count = self._find_bin(now), 0
        if self._requests and self._requests[-1][0] >= current:
            current, count = self._requests.pop()
        self._requests.append((current, count + 1))
        self._forget(now)

    def take(self, allowance: float, now: Millis) -> Retry | None:
        """Return a retry, or None if it might exceed the bound of some window.

        Parameters
        ----------
        allowance
            Part of the fleet's allowance that this router may use.
        """
        self.forget_expired(now)
        if self.count_left(allowance, now) < 1.0:
            return None
        retry = Retry()
        self._retries.append(retry)
        return retry

    def give_back(self, retry: Retry) -> None:
        """Take back a retry with which nothing was sent."""
        self._retries.remove(retry)

    def count_left(self, allowance: float, now: Millis) -> float:
        """Return how many retries no window has room for yet; negative if exceeded.

        Every window that contains this instant is checked, by the bin in which it
        begins.  Requests in bins that the window may contain only partly don't count.
        """
        self._forget(now)
        last = self._find_bin(now)
        oldest = last - _BINS - _HALF
        requests = [0] * (_BINS + _HALF + 1)
        for number, count in self._requests:
            requests[min(number, last) - oldest] += count
        retries = [0] * len(requests)
        for retry in self._retries:
            at = now if retry.settled_at is None else retry.settled_at
            retries[max(0, self._find_bin(at) - oldest)] += 1
        return allowance + _find_least_room(requests, retries, self._limits.ratio)

    def merge(self, other: "RetryWindow") -> None:
        """Take over what a window with the same limits has recorded."""
        counts = Counter(dict(self._requests)) + Counter(dict(other._requests))
        self._requests = deque(sorted(counts.items()))
        self._retries += other._retries

    @property
    def is_idle(self) -> bool:
        """Tell whether nothing is recorded that may still matter."""
        return not self._requests and not self._retries

    def configure(self, limits: RetryLimits) -> None:
        """Put new limits in force."""
        if limits.window != self._limits.window:
            # The requests were counted in bins of another width.
            self._requests.clear()
        self._limits = limits
        self._width = limits.window / _BINS

    def forget_expired(self, now: Millis) -> None:
        """Forget what no window that contains this instant depends on."""
        self._forget(now)
        oldest = now - self._limits.window - self._width
        self._retries = [
            one
            for one in self._retries
            if one.settled_at is None or one.settled_at >= oldest
        ]

    def _forget(self, now: Millis) -> None:
        oldest = self._find_bin(now) - _BINS - _HALF
        while self._requests and self._requests[0][0] < oldest:
            self._requests.popleft()

    def _find_bin(self, now: Millis) -> int:
        return math.floor(now / self._width)


def _find_least_room(requests: list[int], retries: list[int], ratio: float) -> float:
    """Return what the fullest window has left of what its requests earned.

    Parameters
    ----------
    requests, retries
        Their numbers by bin.  The last bin is the current one, and the windows begin
        in the last `_BINS` + 1 of them.
    """
    total = [0]
    for count in requests:
        total.append(total[-1] + count)
    last = len(requests) - 1
    sent, least = 0, math.inf
    for begin in range(last, last - _BINS - 1, -1):
        sent += retries[begin]
        inside = total[-1] - total[begin + 1]
        earlier = total[min(last + 1, begin + _HALF)] - total[begin - _HALF + 1]
        least = min(least, ratio * (inside + earlier) / 2 - sent)
    return least


@dataclass(eq=False)
class RetryBudget:
    """The retries that one router may send, for each service.

    Parameters
    ----------
    share
        Part of the fleet's allowance that this router may use now, for each service.
    refresh
        Called before each use of the share, to update it, with whether requests have
        earned so little that it may soon be needed.

    Examples
    --------
    >>> budget = RetryBudget(RetryLimits(), share=1.0)
    >>> budget.take("desk", now=0.0) is None, budget.take("desk", now=0.0) is None
    (False, True)
    >>> budget.take("stock", now=0.0) is None
    False
    """

    limits: RetryLimits = field(default_factory=RetryLimits)
    share: float = 0.0
    counts: ServiceCounts = field(default_factory=ServiceCounts)
    refresh: Callable[[bool], None] = lambda scarce: None
    _windows: dict[str, RetryWindow] = field(default_factory=dict)

    def configure(self, limits: RetryLimits) -> None:
        """Put new limits in force."""
        self.limits = limits
        for window in self._windows.values():
            window.configure(limits)

    def add_request(self, service: str, now: Millis) -> None:
        """Record a request that a caller sent for a service."""
        self.counts.find(service).requests += 1
        self._find_window(service).add_request(now)

    def take(self, service: str, now: Millis) -> Retry | None:
        """Return a retry for a service; None if its budget is used up."""
        window = self._find_window(service)
        self.refresh(window.count_left(0.0, now) < _SCARCE)
        return window.take(self.share, now)

    def give_back(self, service: str, retry: Retry) -> None:
        """Take back a retry with which nothing was sent."""
        self._find_window(service).give_back(retry)

    def expire(self, now: Millis) -> None:
        """Forget what matters no more."""
        for service, window in list(self._windows.items()):
            window.forget_expired(now)
            if window.is_idle:
                del self._windows[service]

    def _find_window(self, service: str) -> RetryWindow:
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = RetryWindow(self.limits)
        return window
