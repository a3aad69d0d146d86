"""Estimate run times from the measured times of earlier requests.

Load pattern: engines differ in speed and become slower as their batches fill.
Without measured times waits can't be predicted, and admission control refuses too
many or too few requests.

Two times are estimated for each set of targets: the time to first token by request
class, and the time between tokens.  The used fraction of an answer's token limit is
estimated by organisation and request class.
"""

import math
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.decayingmean import WARM_UP, DecayingMean
from anvilshift.core.work import Work

_FRESH_FOR: Millis = 5 * SECOND
"""Age of the last answer above which the estimates are out of date.  They refuse no
request then: a router that refused all would never get a new measurement."""
_MIN_SAFETY_FACTOR, _MAX_SAFETY_FACTOR = 1.05, 2.0
_DEFAULT_FIRST_TOKEN: Millis = 20.0
"""Assumed time to first token before any measurement."""
_DEFAULT_SAVED_FRACTION = 0.5
"""Fraction of the time to first token that is assumed to be prefill, which a cached
prefix saves, until it has been measured."""
_DEFAULT_TOKEN_TIME: Millis = 5.0
"""Assumed time between tokens before any measurement; it is optimistic, so that a
first request is admitted."""


@dataclass
class Durations:
    """Estimated times of one set of targets.

    Attributes
    ----------
    pace
        Time between tokens.

    Examples
    --------
    >>> durations = Durations()
    >>> work = Work("r1", "pounds", "advice", {}, 10, 20, deadline=1_000.0)
    >>> durations.add_first_token(work, 100.0, now=0.0)
    >>> durations.add_answer_time(work, tokens=10, span=200.0, now=1.0)
    >>> round(durations.service(work))
    322
    """

    pace: DecayingMean = field(
        default_factory=lambda: DecayingMean(_DEFAULT_TOKEN_TIME)
    )
    typical: DecayingMean = field(
        default_factory=lambda: DecayingMean(_DEFAULT_FIRST_TOKEN)
    )
    _first: dict[str, DecayingMean] = field(default_factory=dict)
    _warm: dict[str, DecayingMean] = field(default_factory=dict)
    _used_fractions: dict[tuple[str, str], DecayingMean] = field(default_factory=dict)
    _error: DecayingMean = field(default_factory=lambda: DecayingMean(1.0))
    _last_measured: Millis = -math.inf

    def first(self, request_class: str) -> Millis:
        """Return the expected time to first token."""
        mean = self._first.get(request_class) or self._warm.get(request_class)
        return mean.value if mean else _DEFAULT_FIRST_TOKEN

    def knows(self, request_class: str) -> bool:
        """Return whether a time to first token of a class has been measured."""
        return request_class in self._first or request_class in self._warm

    def tokens(self, work: Work) -> float:
        """Return the expected number of answer tokens."""
        mean = self._used_fractions.get((work.organisation, work.request_class))
        return work.answer_tokens * (mean.value if mean else 1.0)

    def service(self, work: Work) -> Millis:
        """Return the expected run time of work."""
        return self.first(work.request_class) + self.pace.value * self.tokens(work)

    def service_upper_bound(self, work: Work, received: int = 0) -> Millis:
        """Return an upper bound of the run time that few answers exceed.

        Parameters
        ----------
        received
            Tokens of the answer that need not be generated again.
        """
        factor = min(_MAX_SAFETY_FACTOR, max(_MIN_SAFETY_FACTOR, self._error.high()))
        left = max(0.0, self.tokens(work) - received)
        return (self.first(work.request_class) + self.pace.value * left) * factor

    def is_fresh(self, now: Millis) -> bool:
        """Return whether the estimates include a measurement of the last seconds."""
        return now - self._last_measured <= _FRESH_FOR

    def saving(self, request_class: str) -> Millis:
        """Return the time to first token that a cached prefix is expected to save."""
        first = self.first(request_class)
        warm = self._warm.get(request_class)
        if warm is None or warm.count < WARM_UP:
            return first * _DEFAULT_SAVED_FRACTION
        return max(0.0, first - warm.value)

    def add_first_token(
        self, work: Work, span: Millis, now: Millis, warm: bool = False
    ) -> None:
        """Add a measured time to first token.

        Parameters
        ----------
        warm
            Whether the prompt's prefix was assumed to be in the target's cache.
        """
        means = self._warm if warm else self._first
        means.setdefault(work.request_class, DecayingMean(span or 1.0)).add(span)
        self._last_measured = now

    def add_answer_time(
        self, work: Work, tokens: int, span: Millis, now: Millis
    ) -> None:
        """Add the measured time of an answer after its first token.

        Parameters
        ----------
        tokens
            Number of answer tokens.
        """
        expected = self.service(work) - self.first(work.request_class)
        if expected > 0:
            self._error.add(max(span, 1.0) / expected)
        if tokens > 1:
            self.pace.add(span / (tokens - 1))
        if tokens and work.answer_tokens:
            key = work.organisation, work.request_class
            fraction = min(1.0, tokens / work.answer_tokens)
            self._used_fractions.setdefault(key, DecayingMean(fraction)).add(fraction)
        self._last_measured = now
