"""Learn which failure domains are drained, from the store and from other routers.

The store may turn single routers away while it serves the others.  So a router tells
what it knows to others, at once when it changes and again while a drain is in force.
"""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.placement.domaindrains import (
    DomainDrain,
    DomainDrains,
    DrainChanges,
    DrainView,
)
from anvilshift.gateway.drainmessages import DrainsTold
from anvilshift.gateway.following import Follower, WatchIntervals
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.peers import Peers
from anvilshift.objects.store import ObjectChange, ObjectStore

_LONG_WATCH = WatchIntervals(wait=20 * SECOND)
"""A change ends a watch at once, and other routers tell of it where a watch hangs."""
_RENEWAL_TIME: Millis = 1.3 * SECOND
"""Time to notice that a watch is overdue and to follow the store on a new connection,
for a router that no other one tells."""
_MIN_WAIT: Millis = 300.0
"""Shortest watch, where the bound leaves less."""
_TOLD_AT_ONCE = 16
"""Routers that one router tells of a change; each of them tells as many."""
_TOLD_AGAIN = 3
"""Routers that one router tells each time while a drain is in force."""
_REPEAT_INTERVAL: Millis = 500.0
_STORE, _PEER = "store", "peer"


@dataclass(eq=False)
class DrainWatch:
    """Keep this router's view of the drains current.

    Parameters
    ----------
    ip
        This router's address.
    bound
        Time from the acknowledgement of a drain until nothing is sent there any more;
        None if operators can't drain failure domains.
    on_return
        Called with a failure domain whose drain has ended, before anything is sent
        there.
    """

    ip: str
    bound: Millis | None
    drains: DomainDrains
    peers: Peers
    clock: Clock
    journal: Journal
    rng: random.Random
    on_return: Callable[[str], None] = lambda domain: None
    follower: Follower | None = None
    _listed: set[str] | None = None
    _repeated_at: Millis = -math.inf
    _is_changed: bool = False

    # The store

    def follow(self, store: ObjectStore, kind: str, probe: Follower) -> None:
        """Follow the drains in the store, unless operators can't request any.

        Parameters
        ----------
        probe
            A follower with short watches, which notices silent connections.
        """
        if self.bound is None:
            return
        self.follower = Follower(
            store,
            kind,
            _LONG_WATCH,
            self.clock,
            self.journal,
            self._take_change,
            self._take_list,
            self._take_revision,
            probe=probe,
        )
        self._limit_wait(self.bound)

    def _limit_wait(self, bound: Millis) -> None:
        """Choose the longest watch: a router alone has to notice one that hangs."""
        wait = _LONG_WATCH.wait
        if not self.peers.routers:
            wait = min(wait, max(bound - _RENEWAL_TIME, _MIN_WAIT))
        if self.follower is not None:
            self.follower.max_wait = wait

    async def run(self) -> None:
        """Follow the store until cancelled."""
        if self.follower is not None:
            await self.follower.run()

    def _take_change(self, change: ObjectChange) -> None:
        """Apply a written or removed entry; only its name counts, not its content."""
        if change.body is None:
            self._apply(self.drains.end(change.name, change.version), _STORE)
        else:
            drain = DomainDrain(change.name, change.version, self.clock.now())
            self._apply(self.drains.begin(drain), _STORE)

    def _take_list(self, names: set[str]) -> None:
        self._listed = names

    def _take_revision(self, revision: int) -> None:
        """Complete what the store has answered, and tell other routers of changes."""
        if self._listed is not None:
            self._apply(self.drains.retain(self._listed, revision), _STORE)
            self._listed = None
        was_known = self.drains.is_known
        self.drains.advance(revision)
        self._note_known(was_known, _STORE)
        self._tell_changes()

    # The other routers

    def apply_told(self, message: DrainsTold) -> None:
        """Apply what another router knows; tell it what it lacks."""
        if self.bound is None:
            return
        now, was_known = self.clock.now(), self.drains.is_known
        drains = (DomainDrain(name, at, now - age) for name, at, age in message.drains)
        view = DrainView(message.revision, tuple(drains))
        self._apply(self.drains.merge(view), _PEER)
        self._note_known(was_known, _PEER)
        self._tell_changes()
        if self.drains.is_ahead_of(view):
            self.tell(message.ip)

    def tell(self, ip: str) -> None:
        """Tell another router what this one knows, or that it knows nothing."""
        if self.bound is not None:
            self.peers.send(self._describe(), ip)

    def _describe(self) -> DrainsTold:
        view, now = self.drains.get_view(), self.clock.now()
        drains = tuple(
            (one.domain, one.revision, now - one.since) for one in view.drains
        )
        return DrainsTold(self.ip, view.revision, drains)

    def _tell_changes(self) -> None:
        if self._is_changed:
            self._is_changed = False
            self._tell_some(_TOLD_AT_ONCE)

    def _tell_some(self, most: int) -> None:
        """Tell some of the routers that aren't lost yet, chosen at random."""
        ips = [peer.beat.ip for peer in self.peers.routers.values()]
        chosen = self.rng.sample(ips, min(most, len(ips)))
        self.peers.send_each(self._describe(), chosen)

    # What follows

    def _note_known(self, was_known: bool, way: str) -> None:
        if self.drains.is_known and not was_known:
            drained = [one.domain for one in self.drains.list_drains()]
            self.journal.write("drains_known", drained=drained, way=way)

    def _apply(self, changes: DrainChanges, way: str) -> None:
        if not changes:
            return
        self._is_changed = True
        for drain in changes.ended:
            # Whoever presumes its targets cold must do so before anything is sent.
            self.on_return(drain.domain)
            self._write("domain_returned", drain, way)
        for drain in changes.begun:
            self._write("domain_drained", drain, way)

    def _write(self, event: str, drain: DomainDrain, way: str) -> None:
        age = round(self.clock.now() - drain.since)
        self.journal.write(
            event, domain=drain.domain, revision=drain.revision, way=way, age=age
        )

    def run_checks(self, now: Millis) -> None:
        """Tell other routers again what they may have missed.

        A router that knows nothing yet says so, and one that holds a drain says that:
        whoever knows more answers.
        """
        if self.bound is None:
            return
        self._limit_wait(self.bound)
        if now - self._repeated_at < _REPEAT_INTERVAL:
            return
        self._repeated_at = now
        if self.drains.list_drains() or not self.drains.is_known:
            self._tell_some(_TOLD_AGAIN)

    def list_gauges(self) -> dict[str, float]:
        """Return what monitoring reads of the drains, by metric."""
        if self.bound is None:
            return {}
        return {"anvilshift_drained_domains": len(self.drains.list_drains())}
