"""Pools: the sets of candidate targets, each with queues of waiting requests.

Requests of many organisations share few sets of candidates.  Each distinct set with
its priorities is a pool; it has its own queues and maintains the set of its targets
with free slots, so that they needn't be searched.  Pools that have a target in
common belong to one kind: they share the organisations' tags of fair queueing and
the measured durations.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.concurrency import ConcurrencyLimit
from anvilshift.core.decayingmean import DecayingMean
from anvilshift.core.durations import Durations
from anvilshift.core.ejection import Health, HealthState
from anvilshift.core.homes import rank_targets
from anvilshift.core.queue import Entry, FairQueue, ServiceTags
from anvilshift.core.queueset import QueueSet
from anvilshift.core.ratelimits import RateLimit, RequestLog
from anvilshift.core.retries import RetryWindow
from anvilshift.core.sampling import SampledSet
from anvilshift.core.work import Target

_LONG_FACTOR = 4.0
"""Work is long if its expected run time exceeds this multiple of the typical one."""
_MAX_LONG_FRACTION = 0.7
"""Fraction of the slots that long work may occupy: the rest become free often for
short work, and long work alone can still use most of the targets."""
_MAX_CACHED = 1_000
"""Entries after which a lookup cache is cleared."""
_RANKED_TARGETS = 12
"""Targets ranked for a content that may go to any: at an occupancy of four fifths,
two of them have a free slot nine times in ten."""


@dataclass(eq=False)
class Kind:
    """A group of interchangeable targets: those of pools with targets in common.

    Attributes
    ----------
    typical
        Mean expected run time of work, by which long work is recognised.
    levels
        Sum of the targets' levels, the mean logarithms of their relative times.
    retries
        Requests for these targets, and how often they were sent again.
    """

    shares: ServiceTags = field(default_factory=ServiceTags)
    durations: Durations = field(default_factory=Durations)
    typical: DecayingMean = field(default_factory=lambda: DecayingMean(1.0))
    pools: "list[Pool]" = field(default_factory=list)
    views: "dict[str, TargetView]" = field(default_factory=dict)
    levels: float = 0.0
    retries: RetryWindow = field(default_factory=RetryWindow)

    def sum_levels(self) -> None:
        """Compute the sum of the targets' levels from scratch."""
        self.levels = sum(view.health.level for view in self.views.values())

    def count_unhealthy(self) -> int:
        """Return how many targets are ejected or being probed."""
        return sum(
            view.health.state is not HealthState.HEALTHY for view in self.views.values()
        )


@dataclass(eq=False)
class TargetView:
    """A target with this router's knowledge of it.

    Parameters
    ----------
    whole
        Requests that this router may have there, as a randomly rounded integer.
    pooled_slots
        Slots of this target that are included in its pools' slots.
    last_outage
        When it last went out of use after being healthy.
    named
        Rate limit that the target has announced, if any.
    permits
        Unused permits of this router.
    """

    target: Target
    limit: ConcurrencyLimit
    health: Health = field(default_factory=Health)
    leaving: bool = False
    whole: int = 0
    pooled_slots: float = 0.0
    last_outage: Millis = float("-inf")
    named: RateLimit | None = None
    meter: RequestLog = field(default_factory=RequestLog)
    permits: int = 0
    pools: "list[Pool]" = field(default_factory=list)
    kind: Kind = field(default_factory=Kind)

    @property
    def is_used(self) -> bool:
        """Return whether it is neither leaving nor ejected."""
        return not self.leaving and self.health.state is not HealthState.EJECTED

    @property
    def is_healthy(self) -> bool:
        """Return whether it is neither leaving nor ejected nor being probed."""
        return not self.leaving and self.health.state is HealthState.HEALTHY

    def note_outage(self, now: Millis) -> None:
        """Record when a healthy target goes out of use; call it before the change."""
        if self.is_healthy:
            self.last_outage = now

    @property
    def share(self) -> float:
        """Return how many requests this router may have here on average."""
        if not self.is_used:
            return 0.0
        if self.named is not None:
            # Concurrency equals arrival rate times run time (Little's law).
            concurrent = self.named.rate * self.kind.typical.value / SECOND
            return min(concurrent / self.limit.routers, self.limit.share)
        if self.health.state is HealthState.PROBING:
            return min(float(self.health.cap), self.limit.share)
        return self.limit.share

    def add_latency(self, span: Millis, expected: Millis) -> None:
        """Record a measured time together with its expected value."""
        before = self.health.level
        self.health.add_latency(span, expected)
        self.kind.levels += self.health.level - before

    def probe(self, now: Millis) -> None:
        """Put an ejected target back into use with one request at a time."""
        self.kind.levels -= self.health.level
        self.health.probe(now)

    def _mean_other_level(self) -> float:
        """Return the mean level of the kind's other targets."""
        others = len(self.kind.views) - 1
        level = self.health.level
        return (self.kind.levels - level) / others if others > 0 else level

    def should_eject(self) -> bool:
        """Return whether the target should be ejected."""
        return self.health.should_eject(self._mean_other_level())

    def get_slowdown(self) -> float:
        """Return its times relative to those of the other targets, at least one.

        Faster targets aren't preferred, or the others would never be measured.
        """
        return self.health.get_slowdown(self._mean_other_level())

    def has_room(self) -> bool:
        """Return whether the rate limit and the slots allow another request."""
        return self.is_permitted() and self.has_slot()

    def has_slot(self) -> bool:
        """Return whether this router has a free slot here, whatever the rate limit."""
        most = self.whole
        if self.health.state is HealthState.PROBING:
            most = min(self.health.cap, max(1, self.whole))
        return self.is_used and self.limit.own < most

    def is_permitted(self) -> bool:
        """Return whether the target has no rate limit or this router has a permit."""
        return self.named is None or self.permits > 0

    def refresh(self) -> None:
        """Update the slots and the open targets of its pools after a change."""
        share, room = self.share, self.has_room()
        for pool in self.pools:
            pool.slots += share - self.pooled_slots
            if room:
                pool.open.add(self.target.name)
            else:
                pool.open.discard(self.target.name)
        self.pooled_slots = share


class Pool:
    """A set of candidate targets with their priorities and queues.

    Attributes
    ----------
    top
        Highest priority among the targets.
    open
        Names of the targets that have room for another request.
    usable
        Number of targets that aren't leaving.
    slots
        Requests that this router may have at the targets in total.
    homes
        Targets assigned to contents, as looked up before.
    """

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
        """Return the number of waiting requests."""
        return self.short.count + self.long.count

    @property
    def backlog(self) -> float:
        """Return the expected total run time of the waiting requests."""
        return self.short.backlog + self.long.backlog

    def classify(self, entry: Entry) -> None:
        """Classify work as long or short; it isn't classified again later."""
        typical = self.kind.typical
        entry.is_long = (
            typical.count > 0 and entry.service > _LONG_FACTOR * typical.value
        )
        typical.add(entry.service)

    def find_queues(self, entry: Entry) -> QueueSet:
        """Return the set of queues for long or for short work that an entry uses."""
        return self.long if entry.is_long else self.short

    def may_run_long(self) -> bool:
        """Return whether another long request may run beside short ones.

        If long work took every slot, each short request would wait for a long one
        to end, and its answer would be late whenever the engines are full.
        """
        return self.long_running < max(1.0, _MAX_LONG_FRACTION * self.slots)

    def order(self, content: str) -> list[str]:
        """Return the first targets in the ranking of a content.

        The ranking depends only on the content and the names of the targets.
        """
        return rank_targets(content, self._names, _RANKED_TARGETS)

    def cache_homes(self, content: str, homes: tuple[str, ...]) -> None:
        """Cache the homes of a content, which are looked up for each attempt."""
        if len(self.homes) >= _MAX_CACHED:
            self.homes.clear()
        self.homes[content] = homes

    def list_queues(self, target: str) -> Iterator[FairQueue]:
        """Yield the non-empty queues from which a target may be sent work now."""
        yield from self.short.list_for(target)
        if self.may_run_long():
            yield from self.long.list_for(target)


class Pools:
    """The pools by their sets of candidates.

    Parameters
    ----------
    views
        All targets by name.
    """

    def __init__(self, views: Mapping[str, TargetView]) -> None:
        self._views = views
        self._pools: dict[frozenset[tuple[str, int]], Pool] = {}
        self._by_identity: dict[int, tuple[Mapping[str, int], Pool | None]] = {}

    def __iter__(self) -> Iterator[Pool]:
        return iter(self._pools.values())

    def find(self, candidates: Mapping[str, int]) -> Pool | None:
        """Return the pool of the declared candidates; None if none is declared.

        Results are cached by object identity, so that a mapping of a thousand
        candidates isn't read for each request.
        """
        known = self._by_identity.get(id(candidates))
        if known is not None:
            return known[1]
        declared = {n: p for n, p in candidates.items() if n in self._views}
        key = frozenset(declared.items())
        pool = self._pools.get(key)
        if pool is None and declared:
            pool = self._pools[key] = self._make(declared)
        if len(self._by_identity) >= _MAX_CACHED:
            self._by_identity.clear()
        # The reference keeps the mapping alive, so that its id isn't reused.
        self._by_identity[id(candidates)] = candidates, pool
        return pool

    def _make(self, priorities: Mapping[str, int]) -> Pool:
        views = [self._views[name] for name in priorities]
        kind = self._merge_kinds(views)
        pool = Pool(priorities, kind)
        kind.pools.append(pool)
        for view in views:
            view.pools.append(pool)
            pool.usable += not view.leaving
            pool.slots += view.pooled_slots
            view.refresh()
        return pool

    def _merge_kinds(self, views: list[TargetView]) -> Kind:
        """Merge the kinds of targets into the one with the most targets."""
        kind = max((view.kind for view in views), key=lambda k: len(k.views))
        for view in views:
            other = view.kind
            if other is kind:
                kind.views[view.target.name] = view
                continue
            kind.shares.merge(other.shares)
            kind.retries.merge(other.retries)
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
