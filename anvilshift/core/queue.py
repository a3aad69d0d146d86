"""Order waiting work by fair queueing among organisations, then by deadline.

Load pattern: one organisation sends far more than its share, or many
organisations send at once just before their deadlines.  In arrival order, an
organisation's share of the engines would equal its share of the arrivals, and
urgent work would wait behind work with a later deadline.

The policy is start-time fair queueing.  Each organisation has a tag: the tokens
that it was served, divided by its weight.  The organisation with the lowest tag is
next.  An organisation that was idle resumes at the tag that was served last, so
that idle time earns neither credit nor debt.  Among organisations whose tags are
close, the earliest deadline is next; otherwise a burst that could be served in
time would be refused only to keep the order even.  Tags never decrease, so
outdated heap entries can be discarded when they reach the top, and an event takes
logarithmic time in the number of waiting requests.

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
"""How far an organisation's tag may be above the lowest one for its work to be
ordered by deadline, in tokens per unit of weight.  This is about eight requests,
the number that one organisation sends to a router in the first second of an
opening burst."""
_OUTDATED_ENTRIES = 16
"""Outdated heap entries that are tolerated, beyond as many as there are valid ones,
before a heap is rebuilt; with any small number the amortised cost of rebuilding is
constant per event."""


@dataclass(slots=True, eq=False)
class Entry:
    """A request that is waiting or running.

    Parameters
    ----------
    service
        Expected run time in milliseconds.
    cost
        Expected number of tokens.
    is_long
        Whether it counts as a long job, which may not take every slot of a pool.
    attempts
        Number of times that it was sent.
    tried
        Names of the targets that it was sent to.
    received
        Tokens of its answer that have arrived; another target goes on after them.
    allowed
        The only targets that it may be sent to; None for any candidate.
    lane
        The organisation's queue in which it waits; None if it does not wait.
    """

    work: Work
    service: Millis
    cost: float
    is_long: bool = False
    attempts: int = 0
    tried: set[str] = field(default_factory=set)
    received: int = 0
    allowed: tuple[str, ...] | None = None
    lane: "_Lane | None" = None

    @property
    def waits(self) -> bool:
        """Return whether the request is in a queue."""
        return self.lane is not None


class ServiceTags:
    """Tokens that each organisation was served by a set of targets.

    Attributes
    ----------
    tags
        By organisation, the tokens served divided by its weight.
    """

    def __init__(self) -> None:
        self.tags: dict[str, float] = {}
        self._last_tag = 0.0

    def enter(self, organisation: str) -> None:
        """Raise the tag of an organisation that was idle to the tag served last."""
        tag = self.tags.get(organisation, 0.0)
        self.tags[organisation] = max(tag, self._last_tag)

    def charge(self, organisation: str, cost: float, weight: float) -> None:
        """Add the tokens of work that is served now to its organisation's tag."""
        tag = self.tags[organisation]
        self._last_tag = max(self._last_tag, tag)
        self.tags[organisation] = tag + cost / weight

    def merge(self, other: "ServiceTags") -> None:
        """Combine with the tags of another set of targets; the higher tag counts."""
        for organisation, tag in other.tags.items():
            self.tags[organisation] = max(tag, self.tags.get(organisation, 0.0))
        self._last_tag = max(self._last_tag, other._last_tag)


class _Lane:
    """The queue of one organisation."""

    def __init__(self, queue: "FairQueue", organisation: str) -> None:
        self.queue = queue
        self.organisation = organisation
        self.count = 0
        self._by_deadline: list[tuple[Millis, int, Entry]] = []
        self._by_length: list[tuple[Millis, int, Entry]] = []

    def push(self, entry: Entry, number: int) -> None:
        self.count += 1
        heapq.heappush(self._by_deadline, (entry.work.deadline, number, entry))
        heapq.heappush(self._by_length, (-entry.service, number, entry))
        self._by_deadline = self._rebuild(self._by_deadline)
        self._by_length = self._rebuild(self._by_length)

    def _rebuild(
        self, heap: list[tuple[Millis, int, Entry]]
    ) -> list[tuple[Millis, int, Entry]]:
        if len(heap) <= 2 * self.count + _OUTDATED_ENTRIES:
            return heap
        kept = [item for item in heap if item[2].lane is self]
        heapq.heapify(kept)
        return kept

    def _find_first(self, heap: list[tuple[Millis, int, Entry]]) -> Entry:
        while heap[0][2].lane is not self:
            heapq.heappop(heap)
        return heap[0][2]

    def find_most_urgent(self) -> Entry:
        return self._find_first(self._by_deadline)

    def find_longest(self) -> Entry:
        return self._find_first(self._by_length)


class FairQueue:
    """A fair queue of the work of many organisations for one set of targets.

    Parameters
    ----------
    shares
        Tokens that each organisation was served.  Queues over the same targets
        share this object.  Before `push`, the caller must call `shares.enter` for
        an organisation that has no other work waiting.

    Examples
    --------
    >>> shares = ServiceTags()
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

    def __init__(self, shares: ServiceTags) -> None:
        self.shares = shares
        self.count = 0
        self._lanes: dict[str, _Lane] = {}
        self._by_tag: list[tuple[float, str]] = []
        self._not_eligible: list[tuple[float, str]] = []
        self._eligible: list[tuple[Millis, str]] = []
        self._numbers = itertools.count()

    def push(self, entry: Entry) -> None:
        """Add work to the queue of its organisation."""
        name = entry.work.organisation
        lane = self._lanes.get(name)
        if lane is None:
            lane = self._lanes[name] = _Lane(self, name)
        was_idle = not lane.count
        entry.lane = lane
        lane.push(entry, next(self._numbers))
        self.count += 1
        if was_idle:
            heapq.heappush(self._by_tag, (self.shares.tags[name], name))
            heapq.heappush(self._not_eligible, (self.shares.tags[name], name))
        elif lane.find_most_urgent() is entry:
            heapq.heappush(self._eligible, (entry.work.deadline, name))
            self._bound_eligible()

    def next_tag(self) -> float:
        """Return the lowest tag of the organisations with waiting work."""
        return self.shares.tags[self._find_next_lane().organisation]

    def _find_next_lane(self) -> _Lane:
        while True:
            tag, name = self._by_tag[0]
            lane = self._lanes[name]
            current = self.shares.tags[name]
            if not lane.count:
                heapq.heappop(self._by_tag)
            elif current > tag:
                heapq.heapreplace(self._by_tag, (current, name))
            else:
                return lane

    def peek(self) -> Entry:
        """Return the next work to serve, without removing it."""
        bound = self.next_tag() + CLOSE
        while self._not_eligible and self._not_eligible[0][0] <= bound:
            _, name = heapq.heappop(self._not_eligible)
            lane = self._lanes[name]
            if lane.count:
                key = lane.find_most_urgent().work.deadline, name
                heapq.heappush(self._eligible, key)
        while True:
            deadline, name = self._eligible[0]
            lane = self._lanes[name]
            if not lane.count:
                heapq.heappop(self._eligible)
                continue
            entry = lane.find_most_urgent()
            tag = self.shares.tags[name]
            if tag > bound:
                heapq.heappop(self._eligible)
                heapq.heappush(self._not_eligible, (tag, name))
            elif entry.work.deadline != deadline:
                heapq.heapreplace(self._eligible, (entry.work.deadline, name))
            else:
                return entry

    def _bound_eligible(self) -> None:
        if len(self._eligible) <= 2 * len(self._lanes) + _OUTDATED_ENTRIES:
            return
        self._eligible = sorted(set(self._eligible))

    def remove(self, entry: Entry) -> None:
        """Remove waiting work; do nothing if it does not wait."""
        lane = entry.lane
        if lane is None:
            return
        entry.lane = None
        lane.count -= 1
        self.count -= 1

    def has_work_of(self, organisation: str) -> bool:
        """Return whether an organisation has work waiting."""
        lane = self._lanes.get(organisation)
        return lane is not None and lane.count > 0

    def find_longest(self, organisation: str) -> Entry:
        """Return an organisation's waiting work with the longest expected run time."""
        return self._lanes[organisation].find_longest()

    def list_entries(self) -> list[Entry]:
        """Return all waiting work."""
        # Work that was skipped and pushed again is in its heap twice.
        return list(
            dict.fromkeys(
                entry
                for lane in self._lanes.values()
                for _, _, entry in lane._by_deadline
                if entry.lane is lane
            )
        )
