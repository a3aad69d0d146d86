"""Bound what a router holds in memory for callers and targets that are slow.

Load pattern: many callers read their answers at a tenth of the rate at which targets
write them, while others send long bodies over a narrow link.  Each connection has a
bound of its own, but thousands that reach it at once take more memory than the host
has, and the process ends with every stream that it carries.

All bytes are counted against one budget, a part of the host's memory:

- A body gets room before it is read.  Its caller is told at once if there is none.
- An answer that its caller takes slowly is read ahead as far as there is room, since
  its target would cut it off if it stayed unread; without room it waits at the target.
- What is written to a caller and not yet read is always counted and never refused: the
  answer is there.  It leaves less room for the others.  Only above the ceiling, where
  the process would end, those are cut off whose slowness has cost most.

Long bodies and long answers leave a part of the room to those that need no more than
an equal part.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import Enum

from anvilshift.core.admission.callershare import HostLimits
from anvilshift.core.clock import SECOND, Millis

_SHARE = 0.3
"""Part of the host's memory that is the budget."""
_CEILING = 1.4
"""Bytes held, relative to the budget, from which on unread answers are cut off.  The
process itself and unfinished answers need the rest of the host's memory."""
_PART = 0.5
"""Part of the budget that bodies may take, and that answers read ahead may take."""
_UNRESERVED = 0.75
"""Share of its part that a use fills for all alike; the rest is for those that hold no
more than an equal part."""
_RATE_SPAN: Millis = 1 * SECOND
"""Time over which the rate is measured at which bytes are given up."""
_LONGEST: Millis = 10 * SECOND
"""Time in which what is held now is given up at the latest, about the longest deadline
of callers; and the longest wait that is told."""
_MB = 1024 * 1024


class Use(Enum):
    """What bytes are held for."""

    BODY = "body"
    AHEAD = "ahead"
    UNREAD = "unread"


@dataclass
class HeldBytes:
    """The bytes that a router holds, by their use.

    Parameters
    ----------
    limit
        Bytes that it may hold.

    Examples
    --------
    >>> held = HeldBytes(limit=800)
    >>> held.may_take(Use.BODY, 300), held.may_take(Use.BODY, 500)
    (True, False)
    >>> held.change(Use.BODY, 300, now=0.0, count=1)
    >>> held.may_take(Use.BODY, 150), held.may_take(Use.BODY, 100)
    (False, True)
    """

    limit: float
    _held: dict[Use, int] = field(default_factory=lambda: dict.fromkeys(Use, 0))
    _counts: dict[Use, int] = field(default_factory=lambda: dict.fromkeys(Use, 0))
    _given_up: float = 0.0
    _at: Millis = 0.0
    _promised: Millis = 0.0

    @classmethod
    def from_limits(cls, limits: HostLimits) -> "HeldBytes | None":
        """Return the budget of a host; None where its memory isn't known."""
        return cls(limits.memory * _MB * _SHARE) if limits.memory else None

    @property
    def total(self) -> int:
        """Return the bytes that are held for any use."""
        return sum(self._held.values())

    @property
    def is_above_ceiling(self) -> bool:
        """Return whether unread answers have to be cut off."""
        return self.total > _CEILING * self.limit

    def get(self, use: Use) -> int:
        """Return the bytes that are held for a use."""
        return self._held[use]

    def may_take(self, use: Use, size: int, before: int = 0) -> bool:
        """Return whether one holder may hold so many bytes.

        Parameters
        ----------
        size
            Bytes that it would hold.
        before
            Bytes of these that it holds already.
        """
        added, part = size - before, self.limit * _PART
        held, count = self._held[use] + added, self._counts[use] + (not before)
        if self.total + added > self.limit or held > part:
            return False
        # One more holder may come, and has to find an equal part as well.
        return held <= part * _UNRESERVED or size * (count + 1) <= part

    def change(self, use: Use, added: int, now: Millis, count: int = 0) -> None:
        """Record that bytes are held or given up.

        Parameters
        ----------
        added
            Bytes held from now on; negative for bytes given up.
        count
            Change of the number of their holders.
        """
        self._held[use] += added
        self._counts[use] += count
        if added < 0:
            self._given_up = self._find_given_up(now) - added
            self._at = now

    def promise(self, use: Use, size: int, now: Millis) -> Millis:
        """Return after which time a refused holder finds room, and keep that for it.

        It follows from the rate at which bytes are given up, behind those that were
        told before.  It holds as far as no others come.

        Examples
        --------
        >>> held = HeldBytes(limit=2_000)
        >>> held.change(Use.BODY, 900, now=0.0, count=1)
        >>> held.promise(Use.BODY, 300, now=0.0)
        5000.0
        >>> held.change(Use.BODY, -150, now=0.0)
        >>> held.promise(Use.BODY, 300, now=1.0) > 5_000.0
        True
        """
        part = self.limit * _PART * _UNRESERVED
        missing = max(self._held[use] + size - part, self.total + size - self.limit)
        rate = self._find_given_up(now) / _RATE_SPAN or self.total / _LONGEST
        if not rate:
            return _LONGEST
        free = max(now + max(0.0, missing) / rate, self._promised + size / rate)
        self._promised = min(free, now + _LONGEST)
        return self._promised - now

    def _find_given_up(self, now: Millis) -> float:
        return self._given_up * math.exp((self._at - now) / _RATE_SPAN)


@dataclass(eq=False)
class UnreadAnswer:
    """What is written to one caller and not yet read.

    Parameters
    ----------
    size
        Its bytes.
    since
        When the caller began to be behind.
    """

    size: int
    since: Millis


def find_slowest(unread: Iterable[UnreadAnswer], now: Millis) -> UnreadAnswer | None:
    """Return the answer whose caller's slowness has cost most; None if there is none.

    The cost is its bytes times the time that they are held: an answer that is just
    ready is cut last, however long.

    Examples
    --------
    >>> slow, ready = UnreadAnswer(1_000, since=0.0), UnreadAnswer(9_000, since=990.0)
    >>> find_slowest([ready, slow], now=1_000.0) is slow
    True
    """
    return max(unread, key=lambda one: one.size * (now - one.since), default=None)
