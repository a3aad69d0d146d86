"""Learn how fast each target does each kind of work.

Load pattern: the targets of one service differ in speed by a factor of two or three,
and each router sends few requests to each of many targets.  With one learned figure for
all of a target's work, one that reads prompts quickly but answers slowly gets the wrong
requests; with nothing known, one that has just started counts as one of a reference
speed that none of its service has, and is flooded or left idle.

A target's speed is learned by kind of work, beside the speed usual at its service.  Few
or old samples of a target count little against the usual speed.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.decayingmean import DecayingMean

_PRIOR_SAMPLES = 2.0
"""Samples of a target that count as much as the speed usual at its service."""
_HALF_LIFE: Millis = 30 * SECOND
"""Age in which samples lose half of their weight: the machine's other work changes."""
_LEAST, _MOST = 0.1, 10.0
"""Bounds of one sample relative to the usual speed; those outside have other causes."""


class WorkKind(StrEnum):
    """A kind of work whose speed is learned."""

    PREFILL = "prefill"
    """Reading a prompt: the time relative to the reference engine's."""
    DECODE = "decode"
    """Answering: the milliseconds between two events of a stream."""
    PLAIN = "plain"
    """A request at a plain service: its milliseconds."""
    ANY = "any"
    """Any work: the slowness that the target tells; it is taken out of the others."""


@dataclass
class LearnedSpeed:
    """The learned speed of one kind of work at one target.

    Attributes
    ----------
    mean
        Mean of the samples; None before the first.
    at
        When the last sample was added.
    """

    mean: DecayingMean | None = None
    at: Millis = -math.inf

    def add(self, sample: float, now: Millis) -> None:
        """Add a sample."""
        if self.mean is None:
            self.mean = DecayingMean(sample)
        self.mean.add(sample)
        self.at = now

    def find(self, usual: float, now: Millis) -> float:
        """Return the speed, between the samples' mean and the usual speed.

        Examples
        --------
        >>> speed = LearnedSpeed()
        >>> speed.find(usual=1.0, now=0.0)
        1.0
        >>> speed.add(4.0, now=0.0); speed.add(4.0, now=0.0)
        >>> round(speed.find(usual=1.0, now=0.0), 2), round(speed.find(1.0, 3e6), 2)
        (2.0, 1.0)
        """
        if self.mean is None:
            return usual
        samples = self.mean.count * 0.5 ** (max(0.0, now - self.at) / _HALF_LIFE)
        weight = samples / (samples + _PRIOR_SAMPLES)
        return usual * math.exp(weight * math.log(self.mean.value / usual))


@dataclass(eq=False)
class ServiceSpeeds:
    """The speeds usual at a service.

    Attributes
    ----------
    are_used
        Whether its targets tell how slow they are.  Without that a momentary slowness
        would be learned as the target's own speed, so its speeds are only recorded.
    events
        Mean number of events of a stream.
    """

    are_used: bool = False
    events: DecayingMean = field(default_factory=lambda: DecayingMean(1.0))
    _usual: dict[WorkKind, DecayingMean] = field(default_factory=dict)

    def find(self, kind: WorkKind) -> float | None:
        """Return the usual speed; None before the first sample."""
        usual = self._usual.get(kind)
        return usual.value if usual else None

    def add(self, kind: WorkKind, sample: float) -> None:
        """Add a sample of any target."""
        self._usual.setdefault(kind, DecayingMean(sample)).add(sample)


@dataclass(eq=False)
class TargetSpeeds:
    """The speeds of one target.

    Examples
    --------
    >>> service = ServiceSpeeds()
    >>> slow, new = TargetSpeeds(service), TargetSpeeds(service)
    >>> for _ in range(20):
    ...     slow.add(WorkKind.PLAIN, 80.0, now=0.0)
    >>> round(new.find(WorkKind.PLAIN, 40.0, now=0.0))
    80
    """

    service: ServiceSpeeds = field(default_factory=ServiceSpeeds)
    _speeds: dict[WorkKind, LearnedSpeed] = field(default_factory=dict)

    def find(self, kind: WorkKind, default: float, now: Millis) -> float:
        """Return the target's speed; the default before any sample of the service."""
        usual = self.service.find(kind)
        if usual is None:
            return default
        speed = self._speeds.get(kind)
        return usual if speed is None else speed.find(usual, now)

    def compare(self, kind: WorkKind, now: Millis) -> float:
        """Return the target's speed relative to the usual one."""
        return self.find(kind, 1.0, now) / (self.service.find(kind) or 1.0)

    def add(self, kind: WorkKind, sample: float, now: Millis) -> None:
        """Add a sample; samples that can't be true are ignored."""
        if not 0.0 < sample < math.inf:
            return
        usual = self.service.find(kind)
        if usual is not None:
            sample = min(max(sample, _LEAST * usual), _MOST * usual)
        self.service.add(kind, sample)
        self._speeds.setdefault(kind, LearnedSpeed()).add(sample, now)

    def add_all(
        self, kinds: Iterable[WorkKind], samples: Iterable[float], now: Millis
    ) -> None:
        """Add samples that another router measured; zero stands for none."""
        for kind, sample in zip(kinds, samples, strict=False):
            self.add(kind, sample, now)
