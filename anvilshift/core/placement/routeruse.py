"""Measure how full a router is, as a share of its scarcest resource.

Processor and link fill in proportion to the work.  Memory and descriptors don't: a
process holds a part of them when it is idle, so they count from a level on at which
they are scarce.
"""

import heapq
from collections import Counter
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

_SCARCE, _FULL = 0.8, 0.9
"""Shares of memory and descriptors from which on they count, and at which a router can
hold no further caller."""
_BUSY = 0.9
"""Share of the time that an event loop works at which late timers mean waiting work."""
_SMOOTHING = 0.4
"""Weight of the last sample."""
_REQUEST_BYTES = 4_000
"""Bytes that a request counts for besides its own: its answer, and the work on it."""
_MAX_LISTED = 8
_BITS_PER_MS = 1_000.0
"""Bits that a link of 1 Mbit/s carries in a millisecond."""


@dataclass(frozen=True)
class RouterLimits:
    """What a router may use.

    Parameters
    ----------
    cores
        Processor cores.
    memory
        Megabytes, None if unlimited.
    descriptors
        Open files and sockets, None if unlimited.
    link
        Megabits per second, None if unlimited.
    """

    cores: float
    memory: float | None = None
    descriptors: int | None = None
    link: float | None = None


@dataclass(frozen=True)
class UseSample:
    """What a router has used by an instant.

    Parameters
    ----------
    idle
        Milliseconds that its event loop has waited so far.
    moved
        Bytes that it has sent or received for its callers so far, whichever are more.
    memory
        Megabytes that it holds; 0 if unknown.
    descriptors
        Sockets that it holds.
    late
        Milliseconds by which timers were late lately.
    """

    at: Millis
    idle: Millis = 0.0
    moved: int = 0
    memory: float = 0.0
    descriptors: int = 0
    late: Millis = 0.0


@dataclass
class UseMeter:
    """How full a router is.

    Attributes
    ----------
    used
        Share of its scarcest resource that is used; over 1 if work waits for it.
    is_full
        Whether it can hold no further caller.
    cores, link
        Processor cores and megabits per second that it uses.

    Examples
    --------
    >>> meter = UseMeter(RouterLimits(cores=1.0, link=8.0))
    >>> meter.add(UseSample(0.0))
    >>> meter.add(UseSample(1_000.0, idle=750.0, moved=600_000))
    >>> round(meter.used, 2)
    0.24
    >>> meter.is_full
    False
    """

    limits: RouterLimits
    used: float = 0.0
    is_full: bool = False
    cores: float = 0.0
    link: float = 0.0
    _last: UseSample | None = None

    def add(self, sample: UseSample) -> None:
        """Take a sample."""
        last, self._last = self._last, sample
        if last is None or sample.at <= last.at:
            return
        held = self._find_held(sample)
        self.is_full = held >= _FULL
        now = max(self._find_flow(last, sample), held if held >= _SCARCE else 0.0)
        self.used += (now - self.used) * _SMOOTHING

    def _find_flow(self, last: UseSample, sample: UseSample) -> float:
        """Return the share of processor and link, with the work that waits."""
        span = sample.at - last.at
        busy = min(1.0, max(0.0, 1.0 - (sample.idle - last.idle) / span))
        link = (sample.moved - last.moved) * 8 / span / _BITS_PER_MS
        self.cores += (busy * self.limits.cores - self.cores) * _SMOOTHING
        self.link += (link - self.link) * _SMOOTHING
        if busy >= _BUSY:
            busy += sample.late / SECOND
        return max(busy, link / self.limits.link if self.limits.link else 0.0)

    def _find_held(self, sample: UseSample) -> float:
        """Return the share of memory or descriptors that is held."""
        limits = self.limits
        memory = sample.memory / limits.memory if limits.memory else 0.0
        sockets = sample.descriptors / limits.descriptors if limits.descriptors else 0.0
        return max(memory, sockets)


@dataclass
class CallerParts:
    """Which part of a router's work each of its callers takes.

    Examples
    --------
    >>> parts = CallerParts()
    >>> for asker in ("a", "a", "a", "b"):
    ...     parts.add(asker, 1_000)
    >>> parts.end_period()
    >>> parts.list_parts()
    [('a', 0.75), ('b', 0.25)]
    """

    _now: Counter[str] = field(default_factory=Counter)
    _weights: dict[str, float] = field(default_factory=dict)

    def add(self, asker: str, length: int) -> None:
        """Take note of a request of some bytes."""
        self._now[asker] += _REQUEST_BYTES + length

    def end_period(self) -> None:
        """Let the requests since the last call count, and those before count less."""
        weights = {one: w * (1.0 - _SMOOTHING) for one, w in self._weights.items()}
        for asker, weight in self._now.items():
            weights[asker] = weights.get(asker, 0.0) + weight * _SMOOTHING
        self._weights = {one: w for one, w in weights.items() if w >= 1.0}
        self._now.clear()

    def list_parts(self) -> list[tuple[str, float]]:
        """Return the callers and their parts, the largest ones first."""
        total = sum(self._weights.values())
        found = heapq.nlargest(_MAX_LISTED, self._weights.items(), lambda one: one[1])
        return [(asker, weight / total) for asker, weight in found]
