"""The sets of targets that requests may use, with what waits for each.

Requests of many organisations share few sets of candidates.  Each distinct set
with its priorities is a pool, which holds its own queues and knows without a
search which of its targets have room.  Pools that have a target in common are
of one kind: they share what organisations were given and what was learned of
durations.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.concurrency import Limit
from anvilshift.core.durations import Durations, Mean
from anvilshift.core.ejection import Health, State
from anvilshift.core.homes import rank_targets
from anvilshift.core.queue import Entry, FairQueue, Shares
from anvilshift.core.queueset import QueueSet
from anvilshift.core.ratelimits import Meter, RateLimit
from anvilshift.core.sampling import SampledSet
from anvilshift.core.work import Target

_LONG = 4.0
"""Work that runs over four times the typical work is long."""
_LONG_PART = 0.7
"""Part of the slots that long work may hold: the rest turns over quickly for
short work, and long work alone still fills most of the targets."""
_MOST_REMEMBERED = 1_000
_TRIED_PLACES = 12
"""Targets looked at for those that a content prefers, where it may go to any: in a
fleet that is full to four fifths, two of them have room nine times in ten."""


@dataclass(eq=False)
class Kind:
    """Targets that can stand in for one another."""

    shares: Shares = field(default_factory=Shares)
    durations: Durations = field(default_factory=Durations)
    typical: Mean = field(default_factory=lambda: Mean(1.0))
    pools: "list[Pool]" = field(default_factory=list)
    views: "dict[str, TargetView]" = field(default_factory=dict)
    levels: float = 0.0

    def sum_levels(self) -> None:
        """Add up the targets' levels anew."""
        self.levels = sum(view.health.level for view in self.views.values())

    def count_out(self) -> int:
        """Return how many targets are ejected or return only now."""
        return sum(b.health.state is not State.HEALTHY for b in self.views.values())


@dataclass(eq=False)
class TargetView:
    """A target with this router's view of it.

    Parameters
    ----------
    whole
        Requests that this router may have there, its fraction drawn by lot.
    counted
        What the pools' slots hold of this target.
    out_since
        When it was last found down after it had been sound.
    named
        Requests a second that the target has named, if any.
    permits
        Permits that this router has and has not used.
    """

    target: Target
    limit: Limit
    health: Health = field(default_factory=Health)
    leaving: bool = False
    whole: int = 0
    counted: float = 0.0
    out_since: Millis = float("-inf")
    named: RateLimit | None = None
    meter: Meter = field(default_factory=Meter)
    permits: int = 0
    pools: "list[Pool]" = field(default_factory=list)
    kind: Kind = field(default_factory=Kind)

    @property
    def is_used(self) -> bool:
        """Tell whether it may get work at all."""
        return not self.leaving and self.health.state is not State.EJECTED

    @property
    def is_sound(self) -> bool:
        """Tell whether it is in use and not just coming back."""
        return not self.leaving and self.health.state is State.HEALTHY

    def note_outage(self, now: Millis) -> None:
        """Take in that it is about to go out of use."""
        if self.is_sound:
            self.out_since = now

    @property
    def part(self) -> float:
        """Return how many requests this router may have here, as a mean."""
        if not self.is_used:
            return 0.0
        if self.named is not None:
            # So many run at once where so few may begin a second.
            begun = self.named.rate * self.kind.typical.value / SECOND
            return min(begun / self.limit.routers, self.limit.part)
        if self.health.state is State.PROBING:
            return min(float(self.health.cap), self.limit.part)
        return self.limit.part

    def add_span(self, span: Millis, expected: Millis) -> None:
        """Take in how long a step took against what was expected."""
        before = self.health.level
        self.health.add_span(span, expected)
        self.kind.levels += self.health.level - before

    def probe(self, now: Millis) -> None:
        """Let the target have one request at a time."""
        self.kind.levels -= self.health.level
        self.health.probe(now)

    def _usual(self) -> float:
        """Return the mean level of the others."""
        others = len(self.kind.views) - 1
        level = self.health.level
        return (self.kind.levels - level) / others if others > 0 else level

    def is_bad(self) -> bool:
        """Tell whether the target should be out of use."""
        return self.health.is_bad(self._usual())

    def slowness(self) -> float:
        """Return its times over the others'; one for all that aren't slow.

        Were a fast one preferred, the others would never be measured.
        """
        return self.health.slowness(self._usual())

    def has_room(self) -> bool:
        """Tell whether another request may be sent."""
        return self.is_permitted() and self.has_slot()

    def has_slot(self) -> bool:
        """Tell whether another request may be sent, but for the target's limit."""
        most = self.whole
        if self.health.state is State.PROBING:
            most = min(self.health.cap, max(1, self.whole))
        return self.is_used and self.limit.own < most

    def is_permitted(self) -> bool:
        """Tell whether the target's limit allows another request now."""
        return self.named is None or self.permits > 0

    def refresh(self) -> None:
        """Bring the pools up to date after a change."""
        part, room = self.part, self.has_room()
        for pool in self.pools:
            pool.slots += part - self.counted
            if room:
                pool.open.add(self.target.name)
            else:
                pool.open.discard(self.target.name)
        self.counted = part


class Pool:
    """A set of candidates with their priorities."""

    def __init__(self, priorities: Mapping[str, int], kind: Kind) -> None:
        self.priorities = priorities
        self.top = max(priorities.values())
        self.kind = kind
        self.open = SampledSet()
        self._names = sorted(priorities)
        self.usable = 0
        self.slots = 0.0
        self.long_running = 0
        self.short = QueueSet(kind.shares)
        self.long = QueueSet(kind.shares)
        self.homes: dict[str, tuple[str, ...]] = {}

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return self.short.count + self.long.count

    @property
    def backlog(self) -> float:
        """Return the expected run time of all that waits."""
        return self.short.backlog + self.long.backlog

    def classify(self, entry: Entry) -> None:
        """Decide whether work is long; it stays so."""
        typical = self.kind.typical
        entry.is_long = typical.count > 0 and entry.service > _LONG * typical.value
        typical.add(entry.service)

    def queue_of(self, entry: Entry) -> QueueSet:
        """Return the queues in one of which work waits."""
        return self.long if entry.is_long else self.short

    def may_run_long(self) -> bool:
        """Tell whether one more long request leaves room for short ones.

        Long jobs that took every slot would make each short one wait for a
        long one's end; it shows as late short answers while engines are full.
        """
        return self.long_running < max(1.0, _LONG_PART * self.slots)

    def order(self, content: str) -> list[str]:
        """Return some targets in an order that a content fixes."""
        return rank_targets(content, self._names, _TRIED_PLACES)

    def remember_homes(self, content: str, homes: tuple[str, ...]) -> None:
        """Keep the homes of a content, which are looked up for each attempt."""
        if len(self.homes) >= _MOST_REMEMBERED:
            self.homes.clear()
        self.homes[content] = homes

    def queues_for(self, target: str) -> Iterator[FairQueue]:
        """Return the queues that a target may serve now; none is empty."""
        yield from self.short.list_for(target)
        if self.may_run_long():
            yield from self.long.list_for(target)


class Pools:
    """Find the pool of a set of candidates.

    Parameters
    ----------
    views
        Every target by name.
    """

    def __init__(self, views: Mapping[str, TargetView]) -> None:
        self._bays = views
        self._pools: dict[frozenset[tuple[str, int]], Pool] = {}
        self._known: dict[int, tuple[Mapping[str, int], Pool | None]] = {}

    def __iter__(self) -> Iterator[Pool]:
        return iter(self._pools.values())

    def find(self, candidates: Mapping[str, int]) -> Pool | None:
        """Return the pool of candidates; None when none of them is declared.

        The same object is found again by its identity: a thousand candidates
        need not be read for each request.
        """
        known = self._known.get(id(candidates))
        if known is not None:
            return known[1]
        declared = {n: p for n, p in candidates.items() if n in self._bays}
        key = frozenset(declared.items())
        pool = self._pools.get(key)
        if pool is None and declared:
            pool = self._pools[key] = self._make(declared)
        if len(self._known) >= _MOST_REMEMBERED:
            self._known.clear()
        # The object is kept, or another could come to have its identity.
        self._known[id(candidates)] = candidates, pool
        return pool

    def _make(self, priorities: Mapping[str, int]) -> Pool:
        views = [self._bays[name] for name in priorities]
        kind = self._join(views)
        pool = Pool(priorities, kind)
        kind.pools.append(pool)
        for view in views:
            view.pools.append(pool)
            pool.usable += not view.leaving
            pool.slots += view.counted
            view.refresh()
        return pool

    def _join(self, views: list[TargetView]) -> Kind:
        """Make the targets' kinds one."""
        kind = max((view.kind for view in views), key=lambda k: len(k.views))
        for view in views:
            other = view.kind
            if other is kind:
                kind.views[view.target.name] = view
                continue
            kind.shares.merge(other.shares)
            for moved in [*other.views.values(), view]:
                moved.kind = kind
                kind.views[moved.target.name] = moved
            for pool in other.pools:
                pool.kind = kind
                pool.short.set_shares(kind.shares)
                pool.long.set_shares(kind.shares)
                kind.pools.append(pool)
            other.pools = []
        kind.sum_levels()
        return kind
