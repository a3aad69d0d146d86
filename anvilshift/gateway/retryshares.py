"""Keep this router's record among those that share the fleet's retry allowance."""

import asyncio
import contextlib
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.fleetshares import FleetShares
from anvilshift.core.retries import RetryBudget, RetryLimits
from anvilshift.gateway.following import Follower, WatchIntervals
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.gateway.shared import RouterContext
from anvilshift.objects.store import ConflictError, ObjectChange, ObjectStore

KIND = "anvilshift-routers"
_SETTLED = "settled"
"""Field of a record that says that its router has waited after it joined."""
_INTERVALS = WatchIntervals(wait=1.0)
_REFRESH_AGE: Millis = 2 * SECOND
"""Age of what is known of the records at which they are read again while shares are
needed."""
_MIN_INTERVAL: Millis = 500.0
"""Minimum interval between two calls."""
_CHECK_INTERVAL: Millis = 30 * SECOND
"""Interval between calls while no share is needed."""
_LOST_INTERVAL: Millis = 3 * SECOND
"""The same while the store doesn't answer; failed calls are priced too."""
_MAX_WAIT: Millis = 60.0
"""How long a request waits for a call that may bring a share; the store answers within
some milliseconds, or is in trouble."""
_ABSENT_AFTER: Millis = 60 * SECOND
"""How long a router isn't heard until its record is removed, and its share divided
among the others: a host that is replaced or restarted is back sooner."""


def name_record(router: str, ip: str) -> str:
    """Return the name of a router's record, which a restart doesn't change.

    A host that takes over the name of another, which may be cut off and running, gets a
    record of its own.
    """
    return f"{router}@{ip}"


@dataclass(eq=False)
class RetryShares:
    """Read the routers' records, and set this router's part of the allowance.

    A share is seldom needed, so the records are read only while what requests earn is
    nearly used up, and now and then.

    Parameters
    ----------
    name
        Name of this router's record, see `name_record`.
    clock
        A clock that goes on while the host is suspended.
    list_heard
        Returns the names of the records of the other routers that are present.
    """

    store: ObjectStore
    name: str
    budget: RetryBudget
    clock: Clock
    journal: Journal
    rng: random.Random
    list_heard: Callable[[], set[str]]
    _versions: dict[str, int] = field(default_factory=dict)
    _absent_since: dict[str, Millis] = field(default_factory=dict)
    _is_settled: bool = False
    _routers: int | None = None
    _wanted: asyncio.Event = field(default_factory=asyncio.Event)
    _polled: asyncio.Event = field(default_factory=asyncio.Event)

    def __post_init__(self) -> None:
        # A process that was frozen may send a request before its periodic work runs.
        self.budget.refresh = self._refresh
        self.shares = FleetShares(self.name, self.budget.limits.window)
        self.follower = Follower(
            self.store,
            KIND,
            _INTERVALS,
            self.clock,
            self.journal,
            self._apply_change,
            self._settle,
        )

    @classmethod
    def for_router(
        cls,
        settings: GatewaySettings,
        store: ObjectStore,
        shared: RouterContext,
        peers: Peers,
    ) -> "RetryShares":
        """Return the shares of a router that hears the others through `peers`."""

        def list_heard() -> set[str]:
            beats = [peer.beat for peer in peers.list_present()]
            return {name_record(beat.router, beat.ip) for beat in beats}

        shares = cls(
            store,
            name_record(settings.name, settings.ip),
            shared.retries,
            shared.boot_clock,
            shared.journal,
            shared.rng,
            list_heard,
        )
        shared.wait_for_share = shares.wait_for_share
        return shares

    def configure(self, limits: RetryLimits) -> None:
        """Put new limits in force."""
        self.budget.configure(limits)
        self.shares.window = limits.window
        self.update()

    def update(self) -> None:
        """Set this router's part of the allowance by what it knows now."""
        now = self.clock.now()
        self.shares.confirm(self.follower.confirmed)
        routers = self.shares.count(now)
        share = 0.0 if routers is None else self.budget.limits.allowance / routers
        self.budget.share = share
        if routers is not None and routers != self._routers:
            self._routers = routers
            self.journal.write("retry_share", share=round(share, 3), routers=routers)
        self.budget.expire(now)

    def _refresh(self, scarce: bool) -> None:
        if scarce and self._find_age() > _REFRESH_AGE:
            self._wanted.set()
        self.update()

    def _find_age(self) -> Millis:
        return self.clock.now() - self.follower.confirmed

    async def wait_for_share(self) -> None:
        """Wait a moment for a share if a call to the store may bring one."""
        begins = self.shares.begins
        if begins is None or self.clock.now() < begins or self.follower.is_lost:
            return
        if self._find_age() > _REFRESH_AGE:
            self._wanted.set()
            self._polled.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_MAX_WAIT / SECOND):
                    await self._polled.wait()

    async def run(self) -> None:
        """Keep this router's record, and read the others' when a share is needed."""
        while True:
            if await self.follower.poll():
                self.update()
                await self._maintain()
            self._polled.set()
            await asyncio.sleep(_MIN_INTERVAL * self.rng.uniform(0.8, 1.2) / SECOND)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._find_pause() / SECOND):
                    await self._wanted.wait()
            self._wanted.clear()

    def _find_pause(self) -> Millis:
        """Return the time until the records are read although no share is needed."""
        begins = self.shares.begins
        if self.follower.is_lost:
            return _LOST_INTERVAL
        if begins is None:
            return 0.0
        if self._is_settled:
            return _CHECK_INTERVAL
        return max(0.0, begins - self.clock.now())

    async def _maintain(self) -> None:
        """Write this router's record, and remove those of routers that are gone."""
        try:
            await self._write_record()
            await self._remove_absent()
        except ConflictError:
            # Another router was faster, or this one's record is about to be read.
            return
        except AnvilshiftError as error:
            self.journal.write(
                "retry_share_unwritten", code=error.code.number, why=error.detail
            )

    async def _write_record(self) -> None:
        """Create this router's record, or write that it has waited long enough."""
        version = self._versions.get(self.name, 0)
        is_settled = self.shares.count(self.clock.now()) is not None
        if not version or (is_settled and not self._is_settled):
            await self.store.put(KIND, self.name, {_SETTLED: is_settled}, version)

    async def _remove_absent(self) -> None:
        """Remove the records of routers that have not been heard for long.

        One router does that.  A router that is only cut off from this one records
        itself again, and has no share until all others count it.
        """
        now, heard = self.clock.now(), self.list_heard() | {self.name}
        absent = set(self._versions) - heard
        self._absent_since = {
            name: self._absent_since.get(name, now) for name in absent
        }
        if self.name != min(heard & set(self._versions), default=""):
            return
        for name, since in self._absent_since.items():
            if now - since > _ABSENT_AFTER:
                self.journal.write("router_removed", router=name)
                await self.store.delete(KIND, name, self._versions[name])

    def _apply_change(self, change: ObjectChange) -> None:
        now = self.clock.now()
        if change.body is None:
            self._versions.pop(change.name, None)
            self.shares.remove(change.name, now)
        else:
            self._versions[change.name] = change.version
            settled = change.body.get(_SETTLED) is True
            self.shares.add(change.name, now, settled)
            if change.name == self.name:
                self._is_settled = settled

    def _settle(self, names: set[str]) -> None:
        now = self.clock.now()
        for name in set(self._versions) - names:
            del self._versions[name]
            self.shares.remove(name, now)
