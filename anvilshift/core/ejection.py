"""Take slow and failing targets out of use for a while.

Load pattern: one target answers ten times slower than the rest, or fails each
request at once and so always looks idle.  Without this, the slow one holds
requests until their deadlines, and the failing one draws more work than any
other.

A target is slow when its times are several times those of the others, each
measured against what the same work is expected to take; that holds under
overload too, when all are slow alike, and with few targets, where the slow one
itself moves what is expected.  It is failing after several failures
with different work and no answer between: one request that fails everywhere
can't eject a target.  An ejected target comes back by one request at a time,
then two, four and so on.  At most half of a kind is ejected: when more look
bad, the measure or the load is at fault, and the rest must not be tipped over.
"""

import math
import random
from dataclasses import dataclass, field
from enum import Enum

from anvilshift.core.clock import SECOND, Millis

_SLOW = 3.0
"""Times the span of the others.  A full batch makes an engine up to about twice as
slow as an idle one, so less than three would eject the merely busy."""
_NOTICEABLE: Millis = 50.0
"""Added to both spans: a few milliseconds more are no reason to eject, however
many times the usual they are.  Users give a first token 920 ms."""
_SLOW_SAMPLES = 4
_GAIN = 0.3
"""Three samples decide most of a mean of logarithms."""
_FAILURES = 3
_BASE: Millis = 2 * SECOND
"""A restarted engine needs seconds; a first probe costs one request."""
_LIMIT: Millis = 30 * SECOND
_JITTER = 0.3
_PROVEN = 8
"""Requests at once from which a returning target counts as healthy again."""


class State(Enum):
    """Whether a target is in use."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass
class Health:
    """What is known of one target's answers.

    Attributes
    ----------
    level
        Mean logarithm of its times over the expected ones.
    since
        Work that was sent earlier says nothing of the target as it is now: a
        slow target's last answers would otherwise pass for its recovery.

    Examples
    --------
    >>> health = Health()
    >>> for content in "abc":
    ...     health.add_failure(content)
    >>> health.is_bad(usual=0.0)
    True
    >>> health.eject(now=0.0, rng=random.Random(0))
    >>> health.state.value, health.until >= 2_000.0
    ('ejected', True)
    """

    state: State = State.HEALTHY
    until: Millis = 0.0
    cap: int = 0
    level: float = 0.0
    since: Millis = float("-inf")
    _samples: int = 0
    _failed: set[str] = field(default_factory=set)
    _ejections: int = 0

    def add_span(self, span: Millis, expected: Millis) -> None:
        """Take in how long a step took against what was expected."""
        self._samples += 1
        gain = max(_GAIN, 1.0 / self._samples)
        sample = math.log((span + _NOTICEABLE) / (expected + _NOTICEABLE))
        self.level += gain * (sample - self.level)

    def add_answer(self) -> None:
        """Take in a whole answer."""
        self._failed.clear()
        if self.state is State.PROBING:
            self.cap *= 2
            if self.cap >= _PROVEN:
                self.state, self._ejections = State.HEALTHY, 0

    def add_failure(self, content: str) -> None:
        """Take in a failed attempt."""
        self._failed.add(content)

    def is_bad(self, usual: float) -> bool:
        """Tell whether the target should be out of use.

        Parameters
        ----------
        usual
            The level of the others.
        """
        is_slow = self.level - usual > math.log(_SLOW)
        if self.state is State.PROBING:
            return bool(self._failed) or is_slow
        is_slow = is_slow and self._samples >= _SLOW_SAMPLES
        return is_slow or len(self._failed) >= _FAILURES

    def slowness(self, usual: float) -> float:
        """Return its times over the others', at least one."""
        if self._samples < _SLOW_SAMPLES:
            return 1.0
        return math.exp(max(0.0, self.level - usual))

    def eject(self, now: Millis, rng: random.Random) -> None:
        """Take the target out of use for a while, longer each time."""
        span = min(_LIMIT, _BASE * 2.0**self._ejections)
        self._ejections += 1
        self.until = now + span * rng.uniform(1.0, 1.0 + _JITTER)
        self.state = State.EJECTED

    def probe(self, now: Millis) -> None:
        """Let the target have one request at a time."""
        self.state, self.cap, self.since = State.PROBING, 1, now
        self.level, self._samples = 0.0, 0
        self._failed.clear()


def may_eject(ejected: int, targets: int) -> bool:
    """Tell whether one more target of a kind may be taken out of use.

    Examples
    --------
    >>> may_eject(0, 1), may_eject(0, 2), may_eject(1, 2), may_eject(4, 10)
    (False, True, False, True)
    """
    return 2 * (ejected + 1) <= targets
