"""Eject slow and failing targets temporarily (outlier detection).

Load pattern: one target answers ten times slower than the rest, or fails each
request at once and therefore always looks idle.  Without ejection, the slow target
holds requests until their deadlines, and the failing one attracts more work than any
other target.

A target counts as slow if its latencies, each divided by the latency expected for the
same work, are several times those of the other targets.  The ratio also works under
overload, when all targets are slow alike, and with few targets, where the slow target
itself shifts the expected latency.  A target counts as failing after several failures
of different work without an answer in between, so that one request that fails
everywhere can't eject a target.

An ejected target is probed with one request at a time, then two, four and so on.  At
most half of the targets of a kind are ejected: if more look bad, the measurement or
the load is the cause, and ejecting them would overload the rest.
"""

import math
import random
from dataclasses import dataclass, field
from enum import Enum

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.pauses import SilenceRecord

_SLOW_RATIO = 3.0
"""Ratio to the latency of the other targets above which a target is slow.  A full
batch makes an engine up to about twice as slow as an idle one, so a factor below
three would eject engines that are only busy."""
_LATENCY_OFFSET: Millis = 50.0
"""Added to the measured and to the expected latency, so that a few milliseconds more
don't eject a target, whatever their ratio.  Users accept 920 ms for a first token."""
_MIN_SAMPLES = 4
_MIN_GAIN = 0.3
"""Least weight of a new sample in the mean of logarithms; with it, the last three
samples make up most of the mean."""
_FAILURE_THRESHOLD = 3
_BASE_EJECTION: Millis = 2 * SECOND
"""Length of the first ejection.  An engine takes seconds to restart; a probe that
comes too early costs one request."""
_MAX_EJECTION: Millis = 30 * SECOND
_JITTER = 0.3
_HEALTHY_CAP = 8
"""Concurrent requests at which a probed target counts as healthy again."""


class HealthState(Enum):
    """Whether a target is in use, ejected or being probed."""

    HEALTHY = "healthy"
    EJECTED = "ejected"
    PROBING = "probing"


@dataclass
class Health:
    """Latency and failure statistics of one target, and its ejection state.

    Attributes
    ----------
    until
        Instant at which the current ejection ends.
    cap
        Most concurrent requests while the target is being probed.
    level
        Mean logarithm of the ratio of measured to expected latency.
    since
        Instant of the last probe's start.  Answers to work that was sent earlier
        are ignored: otherwise the last answers from before the ejection would be
        taken for a recovery.

    silence
        How long it has opened no connection.

    Examples
    --------
    >>> health = Health()
    >>> for content in "abc":
    ...     health.add_failure(content)
    >>> health.should_eject(baseline=0.0)
    True
    >>> health.eject(now=0.0, rng=random.Random(0))
    >>> health.state.value, health.until >= 2_000.0
    ('ejected', True)
    """

    state: HealthState = HealthState.HEALTHY
    until: Millis = 0.0
    cap: int = 0
    level: float = 0.0
    since: Millis = float("-inf")
    silence: SilenceRecord = field(default_factory=SilenceRecord)
    _samples: int = 0
    _failed_contents: set[str] = field(default_factory=set)
    _ejections: int = 0

    def add_latency(self, latency: Millis, expected: Millis) -> None:
        """Add a latency sample to the mean, relative to the expected latency."""
        self._samples += 1
        gain = max(_MIN_GAIN, 1.0 / self._samples)
        sample = math.log((latency + _LATENCY_OFFSET) / (expected + _LATENCY_OFFSET))
        self.level += gain * (sample - self.level)

    def add_answer(self) -> None:
        """Record a complete answer; double the request limit of a probed target."""
        self._failed_contents.clear()
        self.silence.end()
        if self.state is HealthState.PROBING:
            self.cap *= 2
            if self.cap >= _HEALTHY_CAP:
                self.state, self._ejections = HealthState.HEALTHY, 0

    def add_failure(self, content: str) -> None:
        """Record a failed attempt; repeated failures of one content count once."""
        self._failed_contents.add(content)

    def should_eject(self, baseline: float) -> bool:
        """Tell whether the target should be ejected.

        Parameters
        ----------
        baseline
            Level of the other targets.
        """
        is_slow = self.level - baseline > math.log(_SLOW_RATIO)
        if self.state is HealthState.PROBING:
            return bool(self._failed_contents) or is_slow
        is_slow = is_slow and self._samples >= _MIN_SAMPLES
        return is_slow or len(self._failed_contents) >= _FAILURE_THRESHOLD

    def get_slowdown(self, baseline: float) -> float:
        """Return the ratio of the target's latency to the others', at least 1."""
        if self._samples < _MIN_SAMPLES:
            return 1.0
        return math.exp(max(0.0, self.level - baseline))

    def eject(self, now: Millis, rng: random.Random, lasting: bool = True) -> None:
        """Eject the target, for twice as long each time up to a limit.

        Parameters
        ----------
        lasting
            Whether each ejection is longer than the one before.  Where all routers
            report failures, few requests show that the target still fails.
        """
        duration = _BASE_EJECTION
        if lasting:
            duration = min(_MAX_EJECTION, _BASE_EJECTION * 2.0**self._ejections)
            self._ejections += 1
        self.until = now + duration * rng.uniform(1.0, 1.0 + _JITTER)
        self.state = HealthState.EJECTED

    def probe(self, now: Millis) -> None:
        """Start probing: reset the statistics and allow one request at a time."""
        self.state, self.cap, self.since = HealthState.PROBING, 1, now
        self.level, self._samples = 0.0, 0
        self._failed_contents.clear()


def may_eject(ejected: int, targets: int) -> bool:
    """Tell whether one more target of a kind may be ejected.

    Parameters
    ----------
    ejected
        Targets of the kind that are out of use already.
    targets
        All targets of the kind.

    Examples
    --------
    >>> may_eject(0, 1), may_eject(0, 2), may_eject(1, 2), may_eject(4, 10)
    (False, True, False, True)
    """
    return 2 * (ejected + 1) <= targets
