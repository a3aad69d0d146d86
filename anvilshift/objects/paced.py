"""Rate limit on a router's calls to the platform, with priority for ledgers.

The fleet shares the platform's rate limits, which grow more slowly than the fleet.
Without priorities, a burst of reads and watches would use up the rate while bills
wait, and callers wait for their bills.
"""

import asyncio
import heapq
import itertools
from collections.abc import Iterable

from anvilshift.core.bucket import Bucket
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.objects.store import (
    Body,
    ChangeBatch,
    HostEntry,
    Listing,
    ObjectStore,
    StoredObject,
)

LEDGER_KINDS = frozenset({"Ledger", "LedgerLayout"})
_LEDGER_RANK, _STATE_RANK, _WATCH_RANK = range(3)


class RateLimitedStore:
    """An object store that limits the rate of its calls, ledger calls first.

    Parameters
    ----------
    rate
        Calls per second; a watch counts as one call, however long it waits.
    burst
        Most calls that can be made at once after an idle period.
    """

    def __init__(
        self, store: ObjectStore, clock: Clock, rate: float, burst: float
    ) -> None:
        self._store = store
        self._clock = clock
        self._bucket = Bucket(rate, burst)
        self._queue: list[tuple[int, int, asyncio.Future[None]]] = []
        self._counter = itertools.count()
        self._timer: asyncio.TimerHandle | None = None

    @property
    def waiting(self) -> int:
        """Return the number of calls that wait for the rate limit."""
        return len(self._queue)

    async def _wait_for_permit(self, rank: int) -> None:
        if not self._queue and self._bucket.take(self._clock.now()):
            return
        permit: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (rank, next(self._counter), permit))
        self._set_timer()
        await permit

    def _set_timer(self) -> None:
        if self._timer is None and self._queue:
            # One millisecond more, so that rounding can't fire the timer too early.
            wait = self._bucket.wait(self._clock.now()) + 1.0
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait / SECOND, self._admit)

    def _admit(self) -> None:
        self._timer = None
        while self._queue:
            permit = self._queue[0][2]
            if not permit.done():
                if not self._bucket.take(self._clock.now()):
                    break
                permit.set_result(None)
            heapq.heappop(self._queue)
        self._set_timer()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        await self._wait_for_permit(_rank(kind))
        return await self._store.get(kind, name)

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of the given kinds at one revision."""
        await self._wait_for_permit(_WATCH_RANK)
        return await self._store.list(kinds)

    async def put(self, kind: str, name: str, body: Body, version: int) -> StoredObject:
        """Write an object if its version is unchanged; version 0 creates it."""
        await self._wait_for_permit(_rank(kind))
        return await self._store.put(kind, name, body, version)

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if its version is unchanged; return the revision."""
        await self._wait_for_permit(_rank(kind))
        return await self._store.delete(kind, name, version)

    async def watch(
        self, kinds: Iterable[str], after: int, wait: Millis
    ) -> ChangeBatch:
        """Wait for changes that follow a revision."""
        await self._wait_for_permit(_WATCH_RANK)
        return await self._store.watch(kinds, after, wait)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the platform's list of hosts, which may be out of date."""
        await self._wait_for_permit(_WATCH_RANK)
        return await self._store.hosts()

    def renew(self) -> None:
        """Make further calls on new connections, as open ones may be silent."""
        self._store.renew()

    def count_connections(self) -> int:
        """Return how many connections have been opened so far."""
        return self._store.count_connections()


def _rank(kind: str) -> int:
    return _LEDGER_RANK if kind in LEDGER_KINDS else _STATE_RANK
