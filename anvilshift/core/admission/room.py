"""Tell whether requests of a service begin late, and how many may be under way.

Load pattern: more is sent to a service than its slots, or the link of the router that
sends, can take.  What is sent at once waits in queues that no router orders, behind
work that ends after its deadline.

A router can't see which of them is full.  It measures how long its own requests take
to their first byte: room is short while most of them take longer than their routes'
objectives.  The number under way is then lowered until they begin in time, as a
transport lowers its window, and raised again one by one.
"""

import math
from collections import deque
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_WINDOW: Millis = 1 * SECOND
"""Age up to which a request that began is counted."""
_RATE_WINDOW: Millis = 2 * SECOND
"""Age up to which it counts in the rate at which requests begin."""
_JUDGE_INTERVAL: Millis = 20.0
"""Time for which a judgement holds, so that a burst costs one and not one a request."""
_LEAST_SAMPLES = 6
"""Requests from which on most of them can tell anything."""
_SHORT_SHARE = 0.5
"""Share of late requests above which room is short."""
_DECREASE = 0.7
"""Factor of the limit in each window in which room stays short."""
_HELPFUL = 0.9
"""Part to which the delay falls in a window if the lower limit has helped."""
_MOST_IN_VAIN = 2
"""Windows without help after which there is no limit: what was sent before is on its
way for one of them."""
_LIFTED_FOR: Millis = 5 * SECOND
"""Time after a limit that helped nothing until there may be one again."""
_HELD_FACTOR = 2.0
"""Multiple of its objective for which a request holds room."""
_GAIN = 0.1
"""Weight of a request's objective in their mean."""
_LEAST_LIMIT = 4.0
"""Smallest limit: with fewer a service of several targets would idle."""
_RELEASE_AFTER: Millis = 2 * SECOND
"""Time without a wait and with room after which there is no limit any more."""


@dataclass(slots=True)
class _Passage:
    """A request on its way: when it was sent, the predicted and the allowed time."""

    sent: Millis
    predicted: Millis
    objective: Millis


@dataclass(frozen=True, slots=True)
class _Begin:
    at: Millis
    excess: Millis
    is_late: bool


class RoomGauge:
    """The requests of one service that a router has under way.

    Attributes
    ----------
    limit
        How many may be under way; infinite while there is room.

    Examples
    --------
    >>> gauge = RoomGauge()
    >>> for n in range(8):
    ...     gauge.enter(f"a{n}")
    ...     gauge.start(f"a{n}", predicted=20.0, objective=250.0, now=0.0)
    >>> gauge.update(now=200.0)
    >>> gauge.is_short, gauge.limit
    (False, inf)
    >>> gauge.update(now=300.0)
    >>> gauge.is_short, round(gauge.limit, 1), gauge.has_room(now=300.0)
    (True, 5.6, False)
    """

    def __init__(self) -> None:
        self.limit = math.inf
        self.is_short = False
        self._passages: dict[str, _Passage | None] = {}
        self._begins: deque[_Begin] = deque()
        self._lowered = -math.inf
        self._needed = -math.inf
        self._in_vain = 0
        self._last_excess = math.inf
        self._threshold = 0.0
        self._lifted = -math.inf
        self._judged = -math.inf
        self._objective = 0.0

    @property
    def under_way(self) -> int:
        """Return how many requests are admitted and haven't begun to be answered."""
        return len(self._passages)

    def has_room(self, now: Millis) -> bool:
        """Return whether one more may be under way.

        One that is overdue by far holds no room: if all did, nothing would be sent, and
        nothing would tell that room is back.
        """
        if self.limit == math.inf:
            return True
        held = sum(
            one is None or now - one.sent <= one.objective * _HELD_FACTOR
            for one in self._passages.values()
        )
        return held < self.limit

    def enter(self, identity: str) -> None:
        """Add an admitted request."""
        self._passages[identity] = None

    def start(
        self, identity: str, predicted: Millis, objective: Millis, now: Millis
    ) -> None:
        """Record that it is about to be sent for the first time.

        Parameters
        ----------
        predicted
            Predicted time to its first byte.
        objective
            Its route's latency objective.
        """
        if self._passages.get(identity, self) is None:
            self._passages[identity] = _Passage(now, predicted, objective)
            mean = self._objective or objective
            self._objective = mean + (objective - mean) * _GAIN

    def begin(self, identity: str, now: Millis) -> None:
        """Record the first byte of its answer."""
        passage = self._passages.pop(identity, None)
        if passage is None:
            return
        span = now - passage.sent
        is_late = span > passage.objective
        excess = span - passage.predicted
        self._begins.append(_Begin(now, excess, is_late))
        if not self.is_short and self.limit < math.inf:
            self.limit += 1.0 if self.limit < self._threshold else 1.0 / self.limit

    def leave(self, identity: str) -> None:
        """Remove a request whose answer doesn't begin."""
        self._passages.pop(identity, None)

    def note_wait(self, now: Millis) -> None:
        """Record that a request waits, so that the limit is still needed."""
        self._needed = now

    def update(self, now: Millis) -> None:
        """Judge whether room is short, and adapt the limit."""
        if now - self._judged < _JUDGE_INTERVAL:
            return
        self._judged = now
        while self._begins and now - self._begins[0].at > _RATE_WINDOW:
            self._begins.popleft()
        self.is_short = self._judge(now)
        if self.is_short and now - self._lowered >= _WINDOW and now >= self._lifted:
            self._lowered = self._needed = now
            self._lower(now)
        elif not self.is_short and now - self._needed >= _RELEASE_AFTER:
            self._lift()

    def _lower(self, now: Millis) -> None:
        """Lower the limit, unless that helps nothing: then the queue is of others."""
        excess = self.find_excess(now)
        is_helpful = excess < self._last_excess * _HELPFUL
        self._in_vain = 0 if is_helpful else self._in_vain + 1
        self._last_excess = excess
        if self._in_vain > _MOST_IN_VAIN:
            self._lift()
            self._lifted = now + _LIFTED_FOR
            return
        current = min(self.limit, float(self.under_way))
        self._threshold = current / 2.0
        self.limit = max(_LEAST_LIMIT, current * _DECREASE)

    def _lift(self) -> None:
        self.limit, self._in_vain, self._last_excess = math.inf, 0, math.inf

    def _judge(self, now: Millis) -> bool:
        recent = [one.is_late for one in self._begins if now - one.at <= _WINDOW]
        recent += [
            True
            for one in self._passages.values()
            if one is not None and now - one.sent > one.objective
        ]
        is_enough = len(recent) >= _LEAST_SAMPLES
        return is_enough and sum(recent) > _SHORT_SHARE * len(recent)

    def find_rate(self) -> float:
        """Return how many requests are sent in a millisecond, never zero.

        As many begin, or at least as many are sent as stop to hold room.
        """
        begun = max(1, len(self._begins)) / _RATE_WINDOW
        if self.limit == math.inf or not self._objective:
            return begun
        return max(begun, self.limit / (self._objective * _HELD_FACTOR))

    def find_excess(self, now: Millis) -> Millis:
        """Return by how much requests typically begin later than predicted."""
        excesses = [one.excess for one in self._begins if now - one.at <= _WINDOW]
        excesses += [
            now - one.sent - one.predicted
            for one in self._passages.values()
            if one is not None and now - one.sent > one.objective
        ]
        if not excesses:
            return 0.0
        return max(0.0, sorted(excesses)[len(excesses) // 2])
