"""Order waiting work: fair by tokens among organisations, then by deadline.

Load pattern: one organisation sends far more than its share, or many send at
once just before their deadlines.  Without this, first come first served gives
the hot organisation whatever share of the engines it has of the arrivals, and
urgent work waits behind work that has time.

Organisations are served by start-time fair queueing: each has a tag, the
tokens it was given over its weight, and the lowest tag is next.  One that was
idle begins at the tag served last, so that it neither saves up service nor
owes any.  Among organisations whose tags are close the earliest deadline is
next, so that a burst that can be served in time is not refused for the sake of
an even order.  Tags only grow, so that heaps with outdated entries need no
search: an event costs the logarithm of what waits.

References
----------
Goyal, Vin, Cheng: Start-time fair queueing, SIGCOMM 1996.
"""

import heapq
import itertools
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis
from anvilshift.core.work import Work

CLOSE = 5_000.0
"""Tokens for each unit of weight by which an organisation may be ahead: about
eight requests, what one sends a router in the first second of an opening
burst."""
_SPARE = 16
"""Outdated heap entries that are left before a heap is rebuilt; any small
number keeps the rebuild's cost constant for each event."""


@dataclass(slots=True, eq=False)
class Entry:
    """A request that waits or runs.

    Parameters
    ----------
    service
        Milliseconds that it is expected to run.
    cost
        Tokens that it is expected to use.
    allowed
        The only targets that it may be sent to; None for any candidate.
    """

    work: Work
    service: Millis
    cost: float
    is_long: bool = False
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    allowed: tuple[str, ...] | None = None
    lane: "_Lane | None" = None

    @property
    def waits(self) -> bool:
        """Tell whether it is in a queue."""
        return self.lane is not None


class Shares:
    """What each organisation has been given of a set of targets."""

    def __init__(self) -> None:
        self.tags: dict[str, float] = {}
        self._served = 0.0

    def enter(self, organisation: str) -> None:
        """Bring an organisation that was idle up to what was served last."""
        tag = self.tags.get(organisation, 0.0)
        self.tags[organisation] = max(tag, self._served)

    def charge(self, organisation: str, cost: float, weight: float) -> None:
        """Count tokens that an organisation was given."""
        tag = self.tags[organisation]
        self._served = max(self._served, tag)
        self.tags[organisation] = tag + cost / weight

    def merge(self, other: "Shares") -> None:
        """Take in what was given of another set of targets."""
        for organisation, tag in other.tags.items():
            self.tags[organisation] = max(tag, self.tags.get(organisation, 0.0))
        self._served = max(self._served, other._served)


class _Lane:
    """The waiting work of one organisation."""

    def __init__(self, queue: "FairQueue", organisation: str) -> None:
        self.queue = queue
        self.organisation = organisation
        self.count = 0
        self._urgent: list[tuple[Millis, int, Entry]] = []
        self._longest: list[tuple[Millis, int, Entry]] = []

    def push(self, entry: Entry, number: int) -> None:
        self.count += 1
        heapq.heappush(self._urgent, (entry.work.deadline, number, entry))
        heapq.heappush(self._longest, (-entry.service, number, entry))
        self._urgent = self._rebuild(self._urgent)
        self._longest = self._rebuild(self._longest)

    def _rebuild(
        self, heap: list[tuple[Millis, int, Entry]]
    ) -> list[tuple[Millis, int, Entry]]:
        if len(heap) <= 2 * self.count + _SPARE:
            return heap
        kept = [item for item in heap if item[2].lane is self]
        heapq.heapify(kept)
        return kept

    def _top(self, heap: list[tuple[Millis, int, Entry]]) -> Entry:
        while heap[0][2].lane is not self:
            heapq.heappop(heap)
        return heap[0][2]

    def most_urgent(self) -> Entry:
        return self._top(self._urgent)

    def longest(self) -> Entry:
        return self._top(self._longest)


class FairQueue:
    """Waiting work of many organisations for one set of targets.

    Parameters
    ----------
    shares
        What organisations were given; queues over the same targets share it, and
        who pushes the first work of an organisation enters it there.

    Examples
    --------
    >>> shares = Shares()
    >>> queue = FairQueue(shares)
    >>> for name, organisation in (("a", "hot"), ("b", "hot"), ("c", "quiet")):
    ...     work = Work(name, organisation, "advice", {}, 0, 10, deadline=9.0)
    ...     shares.enter(organisation)
    ...     queue.push(Entry(work, service=1.0, cost=6_000.0))
    >>> order = []
    >>> while queue.count:
    ...     entry = queue.peek()
    ...     shares.charge(entry.work.organisation, entry.cost, weight=1.0)
    ...     queue.remove(entry)
    ...     order.append(entry.work.identity)
    >>> order
    ['a', 'c', 'b']
    """

    def __init__(self, shares: Shares) -> None:
        self.shares = shares
        self.count = 0
        self._lanes: dict[str, _Lane] = {}
        self._heads: list[tuple[float, str]] = []
        self._ahead: list[tuple[float, str]] = []
        self._ready: list[tuple[Millis, str]] = []
        self._numbers = itertools.count()

    def push(self, entry: Entry) -> None:
        """Take in work."""
        name = entry.work.organisation
        lane = self._lanes.get(name)
        if lane is None:
            lane = self._lanes[name] = _Lane(self, name)
        idle = not lane.count
        entry.lane = lane
        lane.push(entry, next(self._numbers))
        self.count += 1
        if idle:
            heapq.heappush(self._heads, (self.shares.tags[name], name))
            heapq.heappush(self._ahead, (self.shares.tags[name], name))
        elif lane.most_urgent() is entry:
            heapq.heappush(self._ready, (entry.work.deadline, name))
            self._bound_ready()

    def next_tag(self) -> float:
        """Return the tag of the organisation that is next."""
        return self.shares.tags[self._next_lane().organisation]

    def _next_lane(self) -> _Lane:
        while True:
            tag, name = self._heads[0]
            lane = self._lanes[name]
            current = self.shares.tags[name]
            if not lane.count:
                heapq.heappop(self._heads)
            elif current > tag:
                heapq.heapreplace(self._heads, (current, name))
            else:
                return lane

    def peek(self) -> Entry:
        """Return the work that is next."""
        bound = self.next_tag() + CLOSE
        while self._ahead and self._ahead[0][0] <= bound:
            _, name = heapq.heappop(self._ahead)
            lane = self._lanes[name]
            if lane.count:
                key = lane.most_urgent().work.deadline, name
                heapq.heappush(self._ready, key)
        while True:
            deadline, name = self._ready[0]
            lane = self._lanes[name]
            if not lane.count:
                heapq.heappop(self._ready)
                continue
            entry = lane.most_urgent()
            tag = self.shares.tags[name]
            if tag > bound:
                heapq.heappop(self._ready)
                heapq.heappush(self._ahead, (tag, name))
            elif entry.work.deadline != deadline:
                heapq.heapreplace(self._ready, (entry.work.deadline, name))
            else:
                return entry

    def _bound_ready(self) -> None:
        if len(self._ready) <= 2 * len(self._lanes) + _SPARE:
            return
        self._ready = sorted(set(self._ready))

    def remove(self, entry: Entry) -> None:
        """Remove work that waits."""
        lane = entry.lane
        if lane is None:
            return
        entry.lane = None
        lane.count -= 1
        self.count -= 1

    def holds(self, organisation: str) -> bool:
        """Tell whether work of an organisation waits."""
        lane = self._lanes.get(organisation)
        return lane is not None and lane.count > 0

    def longest_of(self, organisation: str) -> Entry:
        """Return the longest work that an organisation has waiting."""
        return self._lanes[organisation].longest()

    def list_entries(self) -> list[Entry]:
        """Return everything that waits."""
        # Work that was passed over and put back stands twice in its heap.
        return list(
            dict.fromkeys(
                entry
                for lane in self._lanes.values()
                for _, _, entry in lane._urgent
                if entry.lane is lane
            )
        )
