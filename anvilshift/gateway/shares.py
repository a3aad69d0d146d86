"""Maintain this router's shares of the prepaid totals in the platform's store.

One object holds the allotments of all organisations and changes only by
conditional updates.  Requests spend from the balances without a call to the store;
this module draws tokens and returns unused ones in the background.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from anvilshift.core.allocators import find_position
from anvilshift.core.allotments import Allotments, Totals
from anvilshift.core.balances import FREE_KNOWN_FOR, Balances
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    AnvilshiftError,
)
from anvilshift.core.usage import SpendingBounds
from anvilshift.gateway.journal import Journal
from anvilshift.objects.cached import CachedObject
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import Body, ObjectStore

KIND = "anvilshift-allotments"
NAME = "main"
_CHECK_INTERVAL: Millis = 250.0
"""Interval between checks of the cushions.  A cushion lasts for seconds."""
_MIN_WRITE_INTERVAL: Millis = 100.0
"""Minimum time between two writes.  Requests that wait for tokens share one write,
and the added delay is small compared with the time to a first token."""
_MIN_IDLE_WRITE_INTERVAL: Millis = 800.0
"""Minimum time between two writes while no request waits for tokens.  Each write is
priced, and a cushion lasts for many of these intervals."""
_RETRY_PAUSE: Millis = 250.0
"""Pause after a failed write."""
_FIRST_WRITES = 2
"""Writes before the minimum interval applies: the first only reads how many tokens
are left, the second draws accordingly."""
_DISCOVERY_DELAY: Millis = 180.0
"""Delay of the first write after the start and after the latest discovery of another
router.  Routers that start together discover one another one by one: a router that
wrote earlier would consider itself an allocator of tokens, and its write would conflict
with those of all others.  It is longer than a heartbeat interval, because heartbeats
name further routers."""
_MAX_FIRST_WRITE_DELAY: Millis = 600.0
"""Maximum delay of the first write after the start, also used while no other router
is heard.  A router that writes before it knows the others draws tokens that the
allocators then have to get back."""
_FORMER_SHARE_DELAY: Millis = 1 * SECOND
_FORMER_SHARE_SPREAD: Millis = 2 * SECOND
"""When a router that is no allocator ends its former share: after the delay, and over
the spread by a hash of its name.  Its share is small, and if each router of a large
fleet ended its own at the start, the allocators' writes would fail for seconds."""
_START_PERIOD: Millis = 1.5 * SECOND
"""How long after the start other routers may be starting as well.  They end the
shares of their former incarnations, so the number of free tokens grows within tenths
of a second."""
_FREE_KNOWN_FOR_AT_START: Millis = 200.0
"""How long the number of free tokens found by a write counts as current at a router
that has just started."""
_TOTALS_MAX_AGE: Millis = 2.5 * SECOND
"""How long what the store reported of a total counts as current.  A draw that found no
free tokens is repeated after two seconds."""


async def _find_no_former() -> None:
    return None


@dataclass
class ShareManager:
    """Draw tokens from the shared totals and return unused ones.

    Parameters
    ----------
    node
        Name of the host, which a restart doesn't change: all former incarnations
        there have ended.
    holder
        Name of this incarnation.
    bound_former_use
        Returns the former incarnation of this host with bounds on what it spent.
    has_no_peers, last_discovery
        Whether no other router is heard, and when one was last discovered.
    """

    store: ObjectStore
    node: str
    holder: str
    clock: Clock
    journal: Journal
    bound_former_use: Callable[
        [], Awaitable[tuple[str, dict[str, SpendingBounds]] | None]
    ] = _find_no_former
    totals: Totals = field(default_factory=lambda: Totals(0))
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _update_event: asyncio.Event = field(default_factory=asyncio.Event)
    failing: bool = False
    ended: dict[str, dict[str, SpendingBounds]] = field(default_factory=dict)
    writes_ended: int = 0
    has_no_peers: bool = True
    last_discovery: Millis = -1e12
    _writes: int = 0
    _updated_at: Millis = -1e12

    def __post_init__(self) -> None:
        self.balances = Balances(self.holder)
        self._object = CachedObject(self.store, KIND, NAME)
        self._begun = False
        self._former_settled = False
        self._closed = False
        self._started_at = self.clock.now()

    def configure(self, version: int, totals: Mapping[str, int | None]) -> None:
        """Apply the prepaid totals of a configuration; None means no limit."""
        limited = {name: total for name, total in totals.items() if total is not None}
        self.totals = Totals(version, limited)
        self.balances.configure(totals, self.clock.now())
        self._wake.set()

    def wake(self) -> None:
        """Trigger a check of the shares, because a request waits for tokens."""
        self._wake.set()

    async def wait_for_update(self) -> None:
        """Wait until a write ends or tokens arrive from another router."""
        await self._update_event.wait()

    def find_shares_age(self) -> Millis:
        """Return the time since the shares were last read from the store."""
        return self.clock.now() - self._updated_at

    def has_just_started(self) -> bool:
        """Tell whether other starting routers may still have former shares to end."""
        return self.clock.now() - self._started_at < _START_PERIOD

    def is_exhausted(self, name: str, tokens: int) -> bool:
        """Tell whether a total is known to be too small for a number of tokens."""
        recent = self.find_shares_age() < _TOTALS_MAX_AGE
        return recent and self.balances.is_exhausted(name, tokens)

    def record_ended(self, holder: str, spent: Mapping[str, int]) -> None:
        """Record the final spending of another router that has ended."""
        self.ended[holder] = {
            name: SpendingBounds(one, one) for name, one in spent.items()
        }
        self._wake.set()

    @property
    def is_ready(self) -> bool:
        """Tell whether its share is set up and those of former incarnations ended."""
        return self._begun

    def has_discovered_peers(self) -> bool:
        """Tell whether this router knows the fleet that it has started in."""
        latest = max(self._started_at, self.last_discovery)
        return not self.has_no_peers and self.clock.now() - latest >= _DISCOVERY_DELAY

    def list_spent(self) -> dict[str, int]:
        """Return the tokens spent or reserved here, by organisation."""
        return {name: balance.spent for name, balance in self.balances.by_name.items()}

    async def run(self) -> None:
        """Draw and return tokens until cancelled."""
        await self._try_settle_former()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_CHECK_INTERVAL / SECOND):
                    await self._wake.wait()
            self._wake.clear()
            if not self.totals.version or not self._needs_write():
                continue
            try:
                await self._write()
            except AnvilshiftError as error:
                self._note_failure(error)
                await asyncio.sleep(_RETRY_PAUSE / SECOND)
            finally:
                self.writes_ended += 1
                self.notify_waiters()
            await asyncio.sleep(_MIN_WRITE_INTERVAL / SECOND)

    async def _try_settle_former(self) -> None:
        """Settle the former process' share first.

        The bound on what that process spent grows with the time until then.
        """
        try:
            await self._settle_former()
        except AnvilshiftError as error:
            self._note_failure(error)

    async def _settle_former(self) -> None:
        former = await self.bound_former_use()
        self._former_settled = True
        if former is not None:
            # Spending reported by the process itself is more exact than a bound.
            self.ended.setdefault(*former)

    def _needs_write(self) -> bool:
        now = self.clock.now()
        if self._closed:
            return False
        if not self._begun:
            return self._is_due_to_begin(now)
        if self.balances.has_drawable_waiters(now):
            return True
        if self.ended.keys() & self.balances.seen.list_holders():
            return True
        interval_over = (
            self.writes_ended < _FIRST_WRITES
            or now - self._updated_at >= _MIN_IDLE_WRITE_INTERVAL
        )
        return interval_over and self.balances.wants_change(now)

    def _is_due_to_begin(self, now: Millis) -> bool:
        """Tell whether this router's share should be set up.

        Other routers may report what the former incarnation here spent.
        """
        age = now - self._started_at
        if self.has_discovered_peers() and not self.balances.is_allocator():
            delay = _FORMER_SHARE_DELAY + _FORMER_SHARE_SPREAD * find_position(
                self.node
            )
            return age >= delay or self.balances.has_drawable_waiters(now)
        return age >= _MAX_FIRST_WRITE_DELAY or self.has_discovered_peers()

    def notify_waiters(self) -> None:
        """Wake all callers of `wait_for_update`."""
        done, self._update_event = self._update_event, asyncio.Event()
        done.set()

    def _note_failure(self, error: AnvilshiftError) -> None:
        if not self.failing:
            self.failing = True
            self.journal.write(
                "shares_unwritten", code=error.code.number, why=error.detail
            )

    async def _write(self) -> None:
        """Write this router's requests for shares and apply what was granted."""
        if not self._former_settled:
            await self._settle_former()
        if not self._begun and await self._begin_empty():
            return
        now = self.clock.now()
        requests = self.balances.make_share_requests(now)
        self._writes += 1
        mark = f"{self.holder}:{self._writes}"

        def change(body: Body | None) -> Body:
            # An unanswered write may take effect later, if its condition still
            # holds.  The mark makes each write change the object, and this router
            # spends only what an answered write granted: after that no earlier
            # write of this router can take effect.
            if body is not None and body.get("mark") == mark:
                return body
            allotments = self._end_former(read_allotments(body))
            allotments = allotments.grant(self.holder, requests, self.totals)
            return {**encode(allotments), "mark": mark}

        stored = await self._object.update(change)
        self._begun = True
        self._updated_at = self.clock.now()
        known_for = (
            _FREE_KNOWN_FOR_AT_START if self.has_just_started() else FREE_KNOWN_FOR
        )
        self.balances.apply_allotments(
            read_allotments(stored.body), self._updated_at, known_for
        )
        self._log_shares(stored.version, list(requests))
        if self.failing:
            self.failing = False
            self.journal.write("shares_regained")

    async def _begin_empty(self) -> bool:
        """Begin without a write if no share is needed and no former one is left.

        In a large fleet all routers start at once.  If each of them wrote the shared
        object, their writes would conflict for seconds.
        """
        if self.balances.must_record_use():
            return False
        stored = await self.store.get(KIND, NAME)
        allotments = read_allotments(stored.body if stored else None)
        if any(self._is_former(holder) for holder in allotments.list_holders()):
            return False
        self._begun = True
        self._updated_at = self.clock.now()
        self.balances.apply_allotments(allotments, self._updated_at)
        return True

    def _is_former(self, holder: str) -> bool:
        """Tell whether a holder is a former incarnation on this host."""
        return holder != self.holder and holder.rpartition(".")[0] == self.node

    def _log_shares(self, revision: int, asked: list[str]) -> None:
        shares = self.balances.seen.organisations
        self.journal.write(
            "shares_written",
            revision=revision,
            asked=asked,
            total=sum(one.total for one in shares.values()),
            free=sum(one.free for one in shares.values()),
            closed=sum(one.closed for one in shares.values()),
            doubt=sum(one.doubt for one in shares.values()),
            own_spent=sum(balance.spent for balance in self.balances.by_name.values()),
            own_ready=sum(balance.ready for balance in self.balances.by_name.values()),
        )

    def _end_former(self, allotments: Allotments) -> Allotments:
        """End the shares of routers that have ended.

        These are former incarnations on this host, and routers that sent a
        farewell.
        """
        for holder in allotments.list_holders() - {self.holder}:
            spent = self.ended.get(holder)
            if spent is not None or self._is_former(holder):
                self.journal.write(
                    "share_ended",
                    holder=holder,
                    known=spent is not None,
                    most=sum(one.most for one in (spent or {}).values()),
                    shares=_describe_end(allotments, holder, spent or {}),
                )
                allotments = allotments.end(holder, spent)
        return allotments

    async def close(self) -> None:
        """End this router's share, which returns all unspent tokens to the total."""
        self._closed = True
        spent = {
            name: SpendingBounds(one.spent, one.spent, one.delivered)
            for name, one in self.balances.by_name.items()
        }
        for balance in self.balances.by_name.values():
            balance.ceiling = balance.spent

        def change(body: Body | None) -> Body | None:
            known = read_allotments(body)
            allotments = self._end_former(known).end(self.holder, spent)
            if allotments == known and not self._writes:
                return None
            return {**encode(allotments), "mark": f"{self.holder}:end"}

        if not self._former_settled:
            await self._settle_former()
        await self._object.update(change)


def _describe_end(
    allotments: Allotments, holder: str, spent: Mapping[str, SpendingBounds]
) -> dict[str, list[int]]:
    """Return by organisation the ceiling of a share, and what its end counts.

    After the ceiling come the most and the least that it may have spent, and the part
    that is settled.
    """
    described = {}
    for name, one in allotments.organisations.items():
        share = one.shares.get(holder)
        if share is not None:
            known = spent.get(name) or SpendingBounds(share.recorded, share.ceiling)
            most = min(known.most, share.ceiling)
            settled = max(share.settled, known.settled)
            described[name] = [share.ceiling, most, known.least, settled]
    return described


def read_allotments(body: Body | None) -> Allotments:
    """Return the allotments in a stored body; a missing body has none."""
    if not body:
        return Allotments()
    return decode(Allotments, {"organisations": body.get("organisations", {})})
