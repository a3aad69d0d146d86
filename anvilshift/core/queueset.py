"""Keep the waiting work of one set of targets apart by who may run it.

Load pattern: each content may go to two targets only, and hundreds of requests wait.
In one queue a target that falls free would find nothing for it among the first, and
stand idle beside a long queue.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

from anvilshift.core.clock import Millis
from anvilshift.core.queue import Entry, FairQueue, Shares

Targets = tuple[str, ...] | None
"""The only targets that work may reach; None for any of its candidates."""


class QueueSet:
    """The waiting work of one set of targets, a fair queue for each choice of them.

    Parameters
    ----------
    shares
        What organisations were given, in whichever queue they waited.

    Examples
    --------
    >>> from anvilshift.core.work import Work
    >>> queues = QueueSet(Shares())
    >>> work = Work("a", "org", "advice", {}, 0, 10, deadline=9.0)
    >>> queues.push(Entry(work, service=1.0, cost=5.0, allowed=("e1", "e2")))
    >>> [len(list(queues.list_for(name))) for name in ("e1", "e3")]
    [1, 0]
    """

    def __init__(self, shares: Shares) -> None:
        self.count = 0
        self.backlog: Millis = 0.0
        self.weight = 0.0
        self._shares = shares
        self._queues: dict[Targets, FairQueue] = {}
        self._by_target: dict[str, dict[Targets, FairQueue]] = {}
        self._waiting: Counter[str] = Counter()
        self._weights: dict[str, float] = {}
        self._backlogs: defaultdict[str, Millis] = defaultdict(float)

    def set_shares(self, shares: Shares) -> None:
        """Take in what organisations were given of a larger set of targets."""
        self._shares = shares
        for queue in self._queues.values():
            queue.shares = shares

    def push(self, entry: Entry) -> None:
        """Take in work."""
        queue = self._queues.get(entry.allowed)
        if queue is None:
            queue = self._open(entry.allowed)
        name = entry.work.organisation
        if not self._waiting[name]:
            self._shares.enter(name)
            self._weights[name] = entry.work.weight
            self.weight += entry.work.weight
        queue.push(entry)
        self._waiting[name] += 1
        self._backlogs[name] += entry.service
        self.count += 1
        self.backlog += entry.service

    def _open(self, allowed: Targets) -> FairQueue:
        queue = self._queues[allowed] = FairQueue(self._shares)
        for name in allowed or ():
            self._by_target.setdefault(name, {})[allowed] = queue
        return queue

    def _close(self, allowed: Targets) -> None:
        del self._queues[allowed]
        for name in allowed or ():
            del self._by_target[name][allowed]

    def take(self, entry: Entry) -> None:
        """Remove work that is served now and charge its organisation."""
        self._shares.charge(entry.work.organisation, entry.cost, entry.work.weight)
        self.remove(entry)

    def remove(self, entry: Entry) -> None:
        """Remove work that waits."""
        if not entry.waits:
            return
        queue = self._queues[entry.allowed]
        queue.remove(entry)
        if not queue.count:
            self._close(entry.allowed)
        name = entry.work.organisation
        self._waiting[name] -= 1
        self._backlogs[name] -= entry.service
        self.count -= 1
        self.backlog -= entry.service
        if not self._waiting[name]:
            del self._waiting[name], self._backlogs[name]
            self.weight -= self._weights.pop(name)
        if not self.count:
            self.backlog = self.weight = 0.0

    def list_for(self, target: str) -> Iterator[FairQueue]:
        """Return the queues that a target may serve; none is empty."""
        if None in self._queues:
            yield self._queues[None]
        yield from self._by_target.get(target, {}).values()

    def backlog_of(self, organisation: str) -> Millis:
        """Return the expected run time of what an organisation has waiting."""
        return self._backlogs.get(organisation, 0.0)

    def least_valuable(self) -> Entry:
        """Return what to drop when the queue is full.

        That is the longest work of the organisation that has most waiting for
        its weight: dropping it makes room for most answers of others.
        """
        largest = max(
            self._backlogs, key=lambda n: self._backlogs[n] / self._weights[n]
        )
        found = [
            queue.longest_of(largest)
            for queue in self._queues.values()
            if queue.holds(largest)
        ]
        return max(found, key=lambda entry: entry.service)

    def drain(self) -> list[Entry]:
        """Remove and return everything."""
        entries = [e for queue in self._queues.values() for e in queue.list_entries()]
        for entry in entries:
            self.remove(entry)
        return entries
