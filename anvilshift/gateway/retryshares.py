"""Keep this router's record among those that share the fleet's retry allowance."""

import asyncio
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
_INTERVALS = WatchIntervals(wait=2 * SECOND, rest=300.0, wait_when_lost=1.0)
"""Two watches and a rest pass within the age up to which a share may be used."""
_CHECK_INTERVAL: Millis = 1 * SECOND
"""Interval between checks of this router's record."""
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
    """Follow the routers' records, and set this router's part of the allowance.

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
    _is_listed: bool = False
    _is_settled: bool = False

    def __post_init__(self) -> None:
        # A process that was frozen may send a request before its periodic work runs.
        self.budget.refresh = self.update
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

        return cls(
            store,
            name_record(settings.name, settings.ip),
            shared.retries,
            shared.boot_clock,
            shared.journal,
            shared.rng,
            list_heard,
        )

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
        if share != self.budget.share:
            self.budget.share = share
            self.journal.write("retry_share", share=round(share, 3), routers=routers)
        self.budget.expire(now)

    async def run(self) -> None:
        """Keep this router's record, and remove those of routers that are gone."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL * self.rng.uniform(0.5, 1.0) / SECOND)
            if not self._is_listed or not self.follower.is_fresh():
                continue
            try:
                await self._write_record()
                await self._remove_absent()
            except ConflictError:
                # Another router was faster, or the watch is about to show the record.
                continue
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
        now, self._is_listed = self.clock.now(), True
        for name in set(self._versions) - names:
            del self._versions[name]
            self.shares.remove(name, now)
