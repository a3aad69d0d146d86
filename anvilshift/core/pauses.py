"""Tell a pause of a sound target from a target that hangs.

Load pattern: a sound target falls silent for a second or so and goes on, or all targets
do so at once.  If each request left at the first sign of it, what runs would be given
up, repeated and computed again at targets that are as silent, and the repeats would be
missing where targets really fail.

A target that answers others while one request waits has lost that request.  One that is
silent as a whole is given the time of a pause, and isn't blamed for it.
"""

import math
from dataclasses import dataclass

from anvilshift.core.clock import Millis

LOOK_INTERVAL: Millis = 100.0
"""Interval at which a request at a silent target looks for another one."""
_PAUSE: Millis = 1_200.0
"""Silence that is no reason to leave a target that is silent as a whole."""
_LONGEST_PAUSE: Millis = 2_500.0
"""Silence from which a target counts as failing: twice a pause, and some more."""
_GAP: Millis = 300.0
"""A target that has sent something at least this often for as long answers others."""
_MAX_FRACTION = 0.6
"""Fraction of the time left at the last sign of an answer that a pause may take: the
rest is for another target."""
_FORGOTTEN_AFTER: Millis = 10_000.0
"""Time without a further sign of it after which a target's silence is over: one that is
ejected or avoided meets few requests, and each waits for seconds."""


@dataclass
class TargetActivity:
    """When a target sent anything to this router.

    Attributes
    ----------
    heard
        When it last did.
    resumed
        When it did so for the first time after a gap.

    Examples
    --------
    >>> activity = TargetActivity()
    >>> for heard in (0.0, 200.0, 400.0):
    ...     activity.record(heard)
    >>> activity.answers(now=450.0), activity.answers(now=800.0)
    (True, False)
    >>> activity.record(900.0)
    >>> activity.answers(now=950.0)
    False
    """

    heard: Millis = -math.inf
    resumed: Millis = -math.inf

    def record(self, heard: Millis) -> None:
        """Record when it was last heard."""
        if heard - self.heard >= _GAP:
            self.resumed = heard
        self.heard = max(self.heard, heard)

    def answers(self, now: Millis) -> bool:
        """Return whether it has been sending for a while."""
        return now - self.heard < _GAP <= now - self.resumed


@dataclass(frozen=True)
class Silence:
    """How long an answer has been silent, and what its target does meanwhile.

    Parameters
    ----------
    since
        When the answer last went on, or its request was sent.
    activity
        What its target sends to others.
    limit
        How long the answer may be silent while its target answers others.
    end
        Deadline of the request.

    Examples
    --------
    >>> busy = TargetActivity(heard=790.0, resumed=0.0)
    >>> hung = Silence(since=0.0, activity=busy, limit=800.0, end=15_000.0)
    >>> hung.find_look(now=800.0), hung.find_sign(now=800.0)
    (800.0, None)
    >>> quiet = TargetActivity(heard=100.0, resumed=0.0)
    >>> whole = Silence(since=0.0, activity=quiet, limit=800.0, end=15_000.0)
    >>> whole.find_look(now=800.0), whole.find_sign(now=1_300.0).since
    (1300.0, 100.0)
    >>> hasty = Silence(since=0.0, activity=quiet, limit=480.0, end=1_200.0)
    >>> hasty.find_look(now=500.0)
    720.0
    """

    since: Millis
    activity: TargetActivity
    limit: Millis
    end: Millis

    def find_look(self, now: Millis) -> Millis:
        """Return when the request should look for another target."""
        due = self.since + self.limit
        if now < due or self.activity.answers(now):
            return due
        latest = self.since + (self.end - self.since) * _MAX_FRACTION
        return max(due, min(self._quiet_since + _PAUSE, latest))

    def find_sign(self, now: Millis) -> "SilenceSign | None":
        """Return how long the target is silent as a whole; None if it isn't."""
        if self.activity.answers(now):
            return None
        return SilenceSign(self._quiet_since, self.activity.heard)

    @property
    def _quiet_since(self) -> Millis:
        # What a target sends to others now and then prolongs no pause without end.
        return max(self.since, min(self.activity.heard, self.since + self.limit))


@dataclass(frozen=True)
class SilenceSign:
    """What one request has met of a silent target.

    Parameters
    ----------
    since
        Since when it has waited for the target.
    heard
        When the target last sent anything to this router.
    """

    since: Millis
    heard: Millis = -math.inf


@dataclass
class SilenceRecord:
    """The silence of one target, as the requests of one router have met it.

    Examples
    --------
    >>> record = SilenceRecord()
    >>> record.add(SilenceSign(since=0.0), now=200.0), record.is_pause(now=200.0)
    (None, True)
    >>> record.add(SilenceSign(2_400.0), now=2_600.0), record.is_pause(now=2_600.0)
    (None, False)
    >>> record.add(SilenceSign(2_700.0, heard=2_650.0), now=4_000.0)
    >>> record.is_pause(now=4_000.0)
    True
    >>> record.end(), record.is_pause(now=2_600.0)
    (None, True)
    """

    _since: Millis = math.inf
    _seen: Millis = -math.inf

    def add(self, sign: SilenceSign, now: Millis) -> None:
        """Record a sign of silence; one met after the target was heard is another."""
        if sign.heard > self._seen or now - self._seen > _FORGOTTEN_AFTER:
            self._since = math.inf
        self._since = min(self._since, sign.since)
        self._seen = now

    def end(self) -> None:
        """Record that the target has answered."""
        self._since, self._seen = math.inf, -math.inf

    def is_pause(self, now: Millis) -> bool:
        """Return whether the target may only pause."""
        return now - self._since < _LONGEST_PAUSE
