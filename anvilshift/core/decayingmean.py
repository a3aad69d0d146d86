"""Mean of measured times that follows their changes.

Logarithms are averaged, so that one slow target among many changes the mean little.
"""

import math
from dataclasses import dataclass

_GAIN = 0.05
"""Weight of a new sample: the mean follows a change within twenty samples, one second
at twenty answers a second, and a single outlier changes it little."""
WARM_UP = 20
"""Samples until the weight of a new one has fallen to _GAIN: until then the mean
weights all samples equally."""
_SAFETY_DEVIATIONS = 1.5
"""Standard deviations above the mean: about one request in fifteen runs longer.  An
attempt that is cut off at its deadline wastes more than an early refusal."""


@dataclass(slots=True)
class DecayingMean:
    """A geometric mean with exponential decay.

    Attributes
    ----------
    count
        Number of samples.
    variance
        Variance of the samples' logarithms, with the same decay.

    Examples
    --------
    >>> mean = DecayingMean(8.0)
    >>> mean.add(2.0); mean.add(8.0)
    >>> round(mean.value, 3)
    4.0
    """

    value: float
    count: int = 0
    variance: float = 0.0

    def add(self, sample: float) -> None:
        """Add a sample."""
        self.count += 1
        gain = max(_GAIN, 1.0 / min(self.count, WARM_UP))
        old = math.log(self.value)
        error = math.log(max(sample, 1e-3)) - old
        self.value = math.exp(old + gain * error)
        self.variance = (1.0 - gain) * (self.variance + gain * error * error)

    def high(self) -> float:
        """Return an upper bound that few samples exceed."""
        return self.value * math.exp(_SAFETY_DEVIATIONS * math.sqrt(self.variance))
