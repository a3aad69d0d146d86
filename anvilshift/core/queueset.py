"""Separate the waiting work of a set of targets by the targets that may run it.

Load pattern: each content may be sent to two targets only, and hundreds of requests
wait.  With a single queue, a target with a free slot could find no request for it
near the front, and would be idle although the queue is long.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

from anvilshift.core.clock import Millis
from anvilshift.core.queue import Entry, FairQueue, ServiceTags

Targets = tuple[str, ...] | None
"""The only targets that work may be sent to; None for any of its candidates."""


class QueueSet:
    """Fair queues of one set of targets, one for each combination of allowed targets.

    Parameters
    ----------
    shares
        Tokens that each organisation was served, from all of these queues.

    Attributes
    ----------
    count
        Number of waiting requests.
    backlog
        Sum of their expected run times.
    weight
        Sum of the weights of the organisations that have work waiting.

    Examples
    --------
    >>> from anvilshift.core.work import Work
    >>> queues = QueueSet(ServiceTags())
    >>> work = Work("a", "org", "advice", {}, 0, 10, deadline=9.0)
    >>> queues.push(Entry(work, service=1.0, cost=5.0, allowed=("e1", "e2")))
    >>> [len(list(queues.list_for(name))) for name in ("e1", "e3")]
    [1, 0]
    """

    def __init__(self, shares: ServiceTags) -> None:
        self.count = 0
        self.backlog: Millis = 0.0
        self.weight = 0.0
        self._shares = shares
        self._queues: dict[Targets, FairQueue] = {}
        self._by_target: dict[str, dict[Targets, FairQueue]] = {}
        self._waiting_counts: Counter[str] = Counter()
        self._weights: dict[str, float] = {}
        self._backlogs: defaultdict[str, Millis] = defaultdict(float)

    def set_shares(self, shares: ServiceTags) -> None:
        """Use the shares of a larger set of targets from now on."""
        self._shares = shares
        for queue in self._queues.values():
            queue.shares = shares

    def push(self, entry: Entry) -> None:
        """Add work to the queue of its allowed targets."""
        queue = self._queues.get(entry.allowed)
        if queue is None:
            queue = self._add_queue(entry.allowed)
        name = entry.work.organisation
        if not self._waiting_counts[name]:
            self._shares.enter(name)
            self._weights[name] = entry.work.weight
            self.weight += entry.work.weight
        queue.push(entry)
        self._waiting_counts[name] += 1
        self._backlogs[name] += entry.service
        self.count += 1
        self.backlog += entry.service

    def _add_queue(self, allowed: Targets) -> FairQueue:
        queue = self._queues[allowed] = FairQueue(self._shares)
        for name in allowed or ():
            self._by_target.setdefault(name, {})[allowed] = queue
        return queue

    def _remove_queue(self, allowed: Targets) -> None:
        del self._queues[allowed]
        for name in allowed or ():
            del self._by_target[name][allowed]

    def take(self, entry: Entry) -> None:
        """Remove work that is sent now and charge its organisation for the tokens."""
        self._shares.charge(entry.work.organisation, entry.cost, entry.work.weight)
        self.remove(entry)

    def remove(self, entry: Entry) -> None:
        """Remove waiting work; do nothing if it does not wait."""
        if not entry.waits:
            return
        queue = self._queues[entry.allowed]
        queue.remove(entry)
        if not queue.count:
            self._remove_queue(entry.allowed)
        name = entry.work.organisation
        self._waiting_counts[name] -= 1
        self._backlogs[name] -= entry.service
        self.count -= 1
        self.backlog -= entry.service
        if not self._waiting_counts[name]:
            del self._waiting_counts[name], self._backlogs[name]
            self.weight -= self._weights.pop(name)
        if not self.count:
            self.backlog = self.weight = 0.0

    def list_for(self, target: str) -> Iterator[FairQueue]:
        """Return the non-empty queues whose work a target may run."""
        if None in self._queues:
            yield self._queues[None]
        yield from self._by_target.get(target, {}).values()

    def find_backlog(self, organisation: str) -> Millis:
        """Return the expected run time of all waiting work of an organisation."""
        return self._backlogs.get(organisation, 0.0)

    def find_least_valuable(self) -> Entry:
        """Return the work to drop when the queue is full.

        This is the longest work of the organisation with the largest backlog per
        weight: dropping it frees capacity for the most answers to others.
        """
        largest = max(
            self._backlogs, key=lambda n: self._backlogs[n] / self._weights[n]
        )
        found = [
            queue.find_longest(largest)
            for queue in self._queues.values()
            if queue.has_work_of(largest)
        ]
        return max(found, key=lambda entry: entry.service)

    def drain(self) -> list[Entry]:
        """Remove and return all waiting work."""
        entries = [e for queue in self._queues.values() for e in queue.list_entries()]
        for entry in entries:
            self.remove(entry)
        return entries
