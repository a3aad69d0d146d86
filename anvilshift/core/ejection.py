"""Take slow and failing targets out of use for a while.

Load pattern: one target answers ten times slower than the rest, or fails each
request at once and so always looks idle.  Without this, the slow one holds
requests until their deadlines, and the failing one draws more work than any
other.

A target is slow when its times are several times those of its kind, each
measured against what the same work is expected to take; that holds under
overload too, when all are slow alike.  It is failing after several failures
with different work and no answer between: one request that fails everywhere
can't eject a target.  An ejected target comes back by one request at a time,
then two, four and so on.  At most half of a kind is ejected: when more look
bad, the measure or the load is at fault, and the rest must not be tipped over.
"""

import random
from dataclasses import dataclass, field
from enum import Enum

from anvilshift.core.clock import SECOND, Millis

_SLOW = 3.0
"""Times the expected span.  A full batch makes an engine up to about twice as
slow as an idle one, so less than three would eject the merely busy."""
_SLOW_SAMPLES = 4
_GAIN = 0.3
"""Four samples of a target ten times slower lift the mean over three."""
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
    since
        Work that was sent earlier says nothing of the target as it is now: a
        slow target's last answers would otherwise pass for its recovery.

    Examples
    --------
    >>> health = Health()
    >>> for content in "abc":
    ...     health.add_failure(content)
    >>> health.is_bad()
    True
    >>> health.eject(now=0.0, rng=random.Random(0))
    >>> health.state.value, health.until >= 2_000.0
    ('ejected', True)
    """

    state: State = State.HEALTHY
    until: Millis = 0.0
    cap: int = 0
    ratio: float = 1.0
    since: Millis = float("-inf")
    _samples: int = 0
    _failed: set[str] = field(default_factory=set)
    _ejections: int = 0

    def add_span(self, span: Millis, expected: Millis) -> None:
        """Take in how long a step took against what was expected."""
        self._samples += 1
        sample = span / max(expected, 1.0)
        self.ratio += _GAIN * (sample - self.ratio)

    def add_answer(self) -> None:
        """Take in a whole answer."""
        self._failed.clear()
        if self.state is State.PROBING and not self.is_bad():
            self.cap *= 2
            if self.cap >= _PROVEN:
                self.state, self._ejections = State.HEALTHY, 0

    def add_failure(self, content: str) -> None:
        """Take in a failed attempt."""
        self._failed.add(content)

    def is_bad(self) -> bool:
        """Tell whether the target should be out of use."""
        if self.state is State.PROBING:
            return bool(self._failed) or self.ratio > _SLOW
        slow = self._samples >= _SLOW_SAMPLES and self.ratio > _SLOW
        return slow or len(self._failed) >= _FAILURES

    def eject(self, now: Millis, rng: random.Random) -> None:
        """Take the target out of use for a while, longer each time."""
        span = min(_LIMIT, _BASE * 2.0**self._ejections)
        self._ejections += 1
        self.until = now + span * rng.uniform(1.0, 1.0 + _JITTER)
        self.state = State.EJECTED

    def probe(self, now: Millis) -> None:
        """Let the target have one request at a time."""
        self.state, self.cap, self.since = State.PROBING, 1, now
        self.ratio, self._samples = 1.0, 0
        self._failed.clear()


def may_eject(ejected: int, targets: int) -> bool:
    """Tell whether one more target of a kind may be taken out of use.

    Examples
    --------
    >>> may_eject(0, 1), may_eject(0, 2), may_eject(1, 2), may_eject(4, 10)
    (False, True, False, True)
    """
    return 2 * (ejected + 1) <= targets
