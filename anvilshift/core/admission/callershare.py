"""Decide whether a router is full, and which new connections it takes.

Load pattern: callers of one organisation go on opening connections to one router of
many after they were told of others.  What they send fills its link, memory, descriptors
or processor, while its neighbours idle.

A router that is full by any of these says so, and callers are told of others.  One that
runs out of memory, descriptors or processor time loses all that it holds, so it also
closes a part of the new connections unread: their callers may repeat any request, and
leave that router out when they choose again.  A full link only delays; a connection
turned away has cost it as much as one that is taken, as its request is on the way.

The share of connections that is taken falls while a resource runs out and rises again
once there is room.  Some are always taken: a router that takes none is no router.
"""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

FULL, ROOMY = 0.9, 0.7
"""Use of the scarcest resource from which on a router is full, and below which it has
room again."""
_STEP: Millis = 250.0
"""Time between two changes of the share: what was changed shows in the use by then."""
_FALL, _RISE = 0.7, 1.25
"""Factors of the share in one step, while the router is full and once it has room."""
_LEAST_SHARE = 0.05
_MAX_PAUSE: Millis = 1 * SECOND
"""Longest time without a new connection, if one is asked for: well within the seconds
after which a router that says it is ready has to be seen to take some."""
_LATE_FULL: Millis = 400.0
"""Lateness of an event loop that counts as a full processor: the shortest objectives of
interactive work are about as long."""


@dataclass(frozen=True)
class HostLimits:
    """What a router may use of its host; None where that isn't limited or known.

    Parameters
    ----------
    link
        Megabits per second, each way.
    memory
        Megabytes.
    descriptors
        Open files and sockets.
    """

    link: float | None = None
    memory: float | None = None
    descriptors: int | None = None


@dataclass(frozen=True)
class ResourceUse:
    """Shares of a router's resources that are used; over 1 if work waits for one.

    Parameters
    ----------
    late
        Milliseconds by which timers of its event loop were late lately.
    """

    link: float = 0.0
    memory: float = 0.0
    descriptors: float = 0.0
    late: Millis = 0.0

    @property
    def most(self) -> float:
        """Return the share of the scarcest resource that is used.

        Examples
        --------
        >>> ResourceUse(link=0.5, late=200.0).most
        0.5
        """
        return max(self.link, self.scarcity)

    @property
    def scarcity(self) -> float:
        """Return the use of the resource that runs out first, the link left aside."""
        return max(self.memory, self.descriptors, self.late / _LATE_FULL)


@dataclass
class CallerShare:
    """The share of new connections that a router takes.

    Attributes
    ----------
    is_full
        Whether the router is full; it stays so until it has room again.
    share
        Share of the new connections that it takes.
    turned_away
        Connections that it has not taken so far.

    Examples
    --------
    >>> callers = CallerShare()
    >>> callers.update(ResourceUse(memory=0.95), now=0.0)
    >>> callers.is_full, round(callers.share, 2)
    (True, 0.7)
    >>> [callers.take(now=1.0) for _ in range(3)]
    [True, False, True]
    """

    is_full: bool = False
    share: float = 1.0
    turned_away: int = 0
    _credit: float = 0.0
    _taken: Millis = float("-inf")
    _changed: Millis = float("-inf")

    def update(self, use: ResourceUse, now: Millis) -> None:
        """Take note of the router's use, and change the share."""
        if use.most >= FULL:
            self.is_full = True
        elif use.most < ROOMY:
            self.is_full = False
        if now - self._changed < _STEP:
            return
        if use.scarcity >= FULL:
            self._change(self.share * _FALL, now)
        elif use.scarcity < ROOMY and self.share < 1.0:
            self._change(self.share * _RISE, now)

    def _change(self, share: float, now: Millis) -> None:
        self.share = min(1.0, max(_LEAST_SHARE, share))
        self._changed = now

    def take(self, now: Millis) -> bool:
        """Return whether to take a connection that a caller has just opened."""
        if self.share >= 1.0:
            self._credit, self._taken = 0.0, now
            return True
        self._credit += self.share
        if self._credit < 1.0 and now - self._taken < _MAX_PAUSE:
            self.turned_away += 1
            return False
        self._credit, self._taken = max(0.0, self._credit - 1.0), now
        return True

    def keep(self) -> bool:
        """Return whether a caller's connection stays open after its answer.

        A router that runs out of a resource ends them with an announced close, so that
        callers choose again; no request is lost by that.
        """
        return self.share >= 1.0
