"""Keep a router's calls of the platform within a rate, money first.

The platform's rates are shared by the fleet and grow more slowly than it.  In
a burst a router would otherwise spend them on reads and watches while bills
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
    Changes,
    HostEntry,
    Listing,
    ObjectStore,
    Stored,
)

MONEY_KINDS = frozenset({"Ledger", "LedgerLayout"})
_MONEY, _STATE, _FOLLOWING = range(3)


class PacedStore:
    """An object store whose calls wait for a permit.

    Parameters
    ----------
    rate
        Calls a second; a waiting watch is one call.
    burst
        Most permits that can be saved up.
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
        """Return how many calls wait for a permit."""
        return len(self._queue)

    async def _pace(self, rank: int) -> None:
        if not self._queue and self._bucket.take(self._clock.now()):
            return
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        heapq.heappush(self._queue, (rank, next(self._counter), turn))
        self._set_timer()
        await turn

    def _set_timer(self) -> None:
        if self._timer is None and self._queue:
            # A hair longer, so that rounding can't wake it just too early.
            wait = self._bucket.wait(self._clock.now()) + 1.0
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(wait / SECOND, self._admit)

    def _admit(self) -> None:
        self._timer = None
        while self._queue:
            turn = self._queue[0][2]
            if not turn.done():
                if not self._bucket.take(self._clock.now()):
                    break
                turn.set_result(None)
            heapq.heappop(self._queue)
        self._set_timer()

    async def get(self, kind: str, name: str) -> Stored | None:
        """Return an object, or None."""
        await self._pace(_rank(kind))
        return await self._store.get(kind, name)

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of some kinds at one revision."""
        await self._pace(_FOLLOWING)
        return await self._store.list(kinds)

    async def put(self, kind: str, name: str, body: Body, version: int) -> Stored:
        """Write an object if it still has a version; 0 creates it."""
        await self._pace(_rank(kind))
        return await self._store.put(kind, name, body, version)

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if it still has a version; return the revision."""
        await self._pace(_rank(kind))
        return await self._store.delete(kind, name, version)

    async def watch(self, kinds: Iterable[str], after: int, wait: Millis) -> Changes:
        """Wait for changes after a revision."""
        await self._pace(_FOLLOWING)
        return await self._store.watch(kinds, after, wait)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the lagging list of hosts."""
        await self._pace(_FOLLOWING)
        return await self._store.hosts()


def _rank(kind: str) -> int:
    return _MONEY if kind in MONEY_KINDS else _STATE
