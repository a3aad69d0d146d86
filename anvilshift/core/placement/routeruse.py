"""Measure how full a router is, as a share of its scarcest resource.

Processor and link fill in proportion to the work.  Memory and descriptors don't: a
process holds a part of them when it is idle, so they count from a level on at which
they are scarce.
"""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_SCARCE, _FULL = 0.8, 0.9
"""Shares of memory and descriptors from which on they count, and at which a router can
hold no further caller."""
_BUSY = 0.9
"""Share of the time that an event loop works at which late timers mean waiting work."""
_SMOOTHING = 0.4
"""Weight of the last sample."""
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
        if busy >= _BUSY:
            busy += sample.late / SECOND
        if self.limits.link is None:
            return busy
        bits = (sample.moved - last.moved) * 8
        return max(busy, bits / span / (self.limits.link * _BITS_PER_MS))

    def _find_held(self, sample: UseSample) -> float:
        """Return the share of memory or descriptors that is held."""
        limits = self.limits
        memory = sample.memory / limits.memory if limits.memory else 0.0
        sockets = sample.descriptors / limits.descriptors if limits.descriptors else 0.0
        return max(memory, sockets)
