"""Learn how long work runs from what callers' work took.

Load pattern: engines differ, and slow down as their batch fills.  Without
measured times no wait can be predicted, and admission refuses too much or too
little.

Two figures are learned for each set of targets: the time to a first token by
request class, and the time between tokens.  How much of an answer's bound is
used is learned by organisation and class.  Times are averaged as logarithms,
so that one slow target among many hardly moves them.
"""

import math
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.work import Work

_GAIN = 0.05
"""Part of a new sample; twenty samples follow a change, a second's worth at
twenty answers a second, and one outlier moves little."""
_WARM_UP = 20
_FRESH: Millis = 5 * SECOND
"""Without an answer for so long the figures describe the past.  They refuse
nobody then, or a router that refused everything would never learn better."""
_SAFETY = 1.5
"""Deviations beyond the mean: about one in fifteen runs longer, and an attempt
cut at its deadline wastes more than an early refusal."""
_LEAST_SAFE, _MOST_SAFE = 1.05, 2.0
_FIRST: Millis = 20.0
_SAVED = 0.5
"""Until measured: half of the time to a first token is taken as prefill."""
_PACE: Millis = 5.0
"""Before anything is measured: optimistic, so that a first request is tried."""


@dataclass(slots=True)
class Mean:
    """A running mean of logarithms.

    Examples
    --------
    >>> mean = Mean(8.0)
    >>> mean.add(2.0); mean.add(8.0)
    >>> round(mean.value, 3)
    4.0
    """

    value: float
    count: int = 0
    variance: float = 0.0

    def add(self, sample: float) -> None:
        """Take in a sample."""
        self.count += 1
        gain = max(_GAIN, 1.0 / min(self.count, _WARM_UP))
        old = math.log(self.value)
        off = math.log(max(sample, 1e-3)) - old
        self.value = math.exp(old + gain * off)
        self.variance = (1.0 - gain) * (self.variance + gain * off * off)

    def high(self) -> float:
        """Return what few samples are over."""
        return self.value * math.exp(_SAFETY * math.sqrt(self.variance))


@dataclass
class Durations:
    """Times learned of one set of targets.

    Examples
    --------
    >>> durations = Durations()
    >>> work = Work("r1", "pounds", "advice", {}, 10, 20, deadline=1_000.0)
    >>> durations.add_first(work, 100.0, now=0.0)
    >>> durations.add_whole(work, tokens=10, span=200.0, now=1.0)
    >>> round(durations.service(work))
    322
    """

    pace: Mean = field(default_factory=lambda: Mean(_PACE))
    typical: Mean = field(default_factory=lambda: Mean(_FIRST))
    _first: dict[str, Mean] = field(default_factory=dict)
    _warm: dict[str, Mean] = field(default_factory=dict)
    _used: dict[tuple[str, str], Mean] = field(default_factory=dict)
    _error: Mean = field(default_factory=lambda: Mean(1.0))
    _learned: Millis = -math.inf

    def first(self, request_class: str) -> Millis:
        """Return the expected time from sending to the first token."""
        mean = self._first.get(request_class) or self._warm.get(request_class)
        return mean.value if mean else _FIRST

    def knows(self, request_class: str) -> bool:
        """Tell whether a first token of a class has been measured."""
        return request_class in self._first or request_class in self._warm

    def tokens(self, work: Work) -> float:
        """Return the expected length of an answer."""
        mean = self._used.get((work.organisation, work.request_class))
        return work.answer_tokens * (mean.value if mean else 1.0)

    def service(self, work: Work) -> Millis:
        """Return the expected run time of work."""
        return self.first(work.request_class) + self.pace.value * self.tokens(work)

    def safe_service(self, work: Work) -> Millis:
        """Return a run time that few answers exceed."""
        factor = min(_MOST_SAFE, max(_LEAST_SAFE, self._error.high()))
        return self.service(work) * factor

    def is_fresh(self, now: Millis) -> bool:
        """Tell whether the figures are of the last seconds."""
        return now - self._learned <= _FRESH

    def saving(self, request_class: str) -> Millis:
        """Return what a cached prefix has saved of the time to a first token."""
        first = self.first(request_class)
        warm = self._warm.get(request_class)
        if warm is None or warm.count < _WARM_UP:
            return first * _SAVED
        return max(0.0, first - warm.value)

    def add_first(
        self, work: Work, span: Millis, now: Millis, warm: bool = False
    ) -> None:
        """Take in how long a first token took.

        Parameters
        ----------
        warm
            Whether the target was believed to hold the prompt's prefix.
        """
        means = self._warm if warm else self._first
        means.setdefault(work.request_class, Mean(span or 1.0)).add(span)
        self._learned = now

    def add_whole(self, work: Work, tokens: int, span: Millis, now: Millis) -> None:
        """Take in how long an answer took after its first token."""
        expected = self.service(work) - self.first(work.request_class)
        if expected > 0:
            self._error.add(max(span, 1.0) / expected)
        if tokens > 1:
            self.pace.add(span / (tokens - 1))
        if tokens and work.answer_tokens:
            key = work.organisation, work.request_class
            part = min(1.0, tokens / work.answer_tokens)
            self._used.setdefault(key, Mean(part)).add(part)
        self._learned = now
