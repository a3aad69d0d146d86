"""Follow the operators' configuration and the targets in the platform's store.

Both are followed by watches.  A watch may hang, fall behind the store's history or
lose its connection.  So each call is short, and a lost history causes a new list.
"""

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import PLATFORM_UNREADABLE, AnvilshiftError
from anvilshift.gateway.journal import Journal
from anvilshift.objects.store import ObjectChange, WatchedStore

_FIRST_PAUSE: Millis = 300.0
"""Pause after the first failed call."""
_PAUSE_GROWTH, _MAX_PAUSE = 1.5, 900.0
"""Growth of the pause with each further failure, and its maximum in milliseconds.
Failed calls are priced too.  The maximum is short enough to notice the store's return
well within the time limits that start with it."""
_PROBE_POLL_INTERVAL: Millis = 50.0
"""Interval between checks of the probe's state."""
_REGISTRATION_TIME: Millis = 2_200.0
"""Time for targets to register again after an outage: entries of running targets are
back about 2 s after the store is reachable."""
_WATCH_GRACE: Millis = 1_000.0
"""The store counts as unreachable when a watch is overdue by this much."""
_MAX_LOGGED_NAME, _MAX_LOGGED_REASON = 80, 200
"""Characters of an object's name, and of an error, that are logged."""
_UNSTRETCHED_ROUTERS = 4
_MAX_INTERVAL_FACTOR = 2.7
_MAX_WAIT_FACTOR = 3.0
"""Longest watch beside a shorter one, as a multiple of the wait of equal ones."""


def find_interval_factor(routers: int) -> float:
    """Return the factor by which watches and rests are longer in a larger fleet.

    Each call is priced, and the store's rate grows more slowly than the fleet.  A
    change still ends a watch at once; a longer watch only detects a hanging connection
    later.

    Examples
    --------
    >>> find_interval_factor(4), find_interval_factor(6), find_interval_factor(2_000)
    (1.0, 1.5, 2.7)
    """
    return min(max(1.0, routers / _UNSTRETCHED_ROUTERS), _MAX_INTERVAL_FACTOR)


def find_remaining_wait(wait: Millis, probe_wait: Millis) -> Millis:
    """Return the wait of a watch beside a shorter one that tells of silent connections.

    Together they make as many calls as two watches of one wait, or a few more.

    Examples
    --------
    >>> find_remaining_wait(1_500.0, 1_500.0)
    1500.0
    >>> round(find_remaining_wait(4_000.0, 3_000.0))
    6000
    >>> find_remaining_wait(4_000.0, 1_000.0)
    12000.0
    """
    longest = wait * _MAX_WAIT_FACTOR
    calls_left = 2.0 / wait - 1.0 / probe_wait
    return longest if calls_left * longest <= 1.0 else 1.0 / calls_left


@dataclass(frozen=True)
class WatchIntervals:
    """Durations for following one kind of object.

    Parameters
    ----------
    wait
        Maximum duration of a watch, after which a watch that hangs on an open
        connection is detected.
    rest
        Pause after a watch that returned changes.  Frequent changes are thus read
        together, because each call is priced.
    """

    wait: Millis
    rest: Millis = 0.0


class Call(Enum):
    """By which call a follower learns of changes."""

    NONE = "none"
    LIST = "list"
    WATCH = "watch"


@dataclass
class Follower:
    """Follow the objects of one kind.

    Parameters
    ----------
    change
        Called with each object that exists, was written or was removed.
    settle
        Called after a list with the names of all existing objects.
    note_applied
        Called with the revision up to which all changes have been applied.
    probe
        Another follower of the same store.  While the probe finds the store
        unreachable, this follower waits for it instead of making calls that would
        fail as well.
    seen
        When the store last answered.
    confirmed
        Instant until which all changes have been applied: when the last call was made
        whose answer was applied.
    interval_factor
        Factor on the durations, see `find_interval_factor`.
    max_wait
        Longest watch, whatever the factor.
    call, asked
        The last call, and when it was made.
    on_list, on_batch
        Called with the revision once a list, or the changes of a watch, are applied.
    """

    store: WatchedStore
    kind: str
    intervals: WatchIntervals
    clock: Clock
    journal: Journal
    change: Callable[[ObjectChange], None]
    settle: Callable[[set[str]], None] = lambda names: None
    note_applied: Callable[[int], None] = lambda revision: None
    seen: Millis = -1e12
    confirmed: Millis = -1e12
    revision: int = 0
    interval_factor: float = 1.0
    max_wait: Millis = math.inf
    probe: "Follower | None" = None
    call: Call = Call.NONE
    asked: Millis = -1e12
    on_list: Callable[[int], None] = lambda revision: None
    on_batch: Callable[[int, tuple[ObjectChange, ...]], None] = (
        lambda revision, changes: None
    )
    _newest: int = 0
    _failures: int = 0
    _lost: bool = False
    _restart: bool = False

    def is_fresh(self) -> bool:
        """Tell whether the store answered recently."""
        if self.probe is not None and not self.probe.is_fresh():
            return False
        overdue = self._find_wait() + _WATCH_GRACE
        return not self._lost and self.clock.now() - self.seen < overdue

    def _find_wait(self) -> Millis:
        wait = self.intervals.wait * self.interval_factor
        if self.probe is not None:
            wait = find_remaining_wait(wait, self.probe._find_wait())
        return min(wait, self.max_wait)

    def restart(self) -> None:
        """Begin again with a list, because the known state may be outdated."""
        self._restart = True

    async def run(self) -> None:
        """Follow the objects until cancelled."""
        while True:
            try:
                if not self.revision or self._restart:
                    await self._list()
                await self._watch()
            except AnvilshiftError as error:
                self._note_failure(error)
                await self._rest()

    async def poll(self) -> bool:
        """Apply what has changed until now; return whether the store answered.

        It is used in place of `run` where changes matter only at times, with intervals
        whose watch waits for nothing.
        """
        try:
            if self.revision and not self._restart:
                await self._watch()
            if not self.revision or self._restart:
                await self._list()
        except AnvilshiftError as error:
            self._note_failure(error)
            return False
        return True

    @property
    def is_lost(self) -> bool:
        """Tell whether the last call to the store failed."""
        return self._lost

    async def _rest(self) -> None:
        """Wait after a failed call, and for the probe while it fails."""
        pause = min(_FIRST_PAUSE * _PAUSE_GROWTH**self._failures, _MAX_PAUSE)
        self._failures += 1
        await asyncio.sleep(pause / SECOND)
        # The wait is limited, because the probe may itself hang on a connection.
        deadline = self.clock.now() + _MAX_PAUSE
        while self.probe and self.probe._lost and self.clock.now() < deadline:
            await asyncio.sleep(_PROBE_POLL_INTERVAL / SECOND)

    def _note_failure(self, error: AnvilshiftError) -> None:
        self._restart = self._restart or self.call is Call.LIST
        self.journal.write(
            "store_call_failed",
            kind=self.kind,
            call=self.call.value,
            took=round(self.clock.now() - self.asked),
            why=error.detail,
        )
        if not self._lost:
            self._lost = True
            self.journal.write(
                "store_lost", kind=self.kind, code=error.code.number, why=error.detail
            )

    def _note_answer(self) -> None:
        self.seen = self.clock.now()
        self._failures = 0
        if self._lost:
            self._lost = False
            self.journal.write("store_regained", kind=self.kind)

    def _begin(self, call: Call) -> Millis:
        self.call, self.asked = call, self.clock.now()
        return self.asked

    async def _list(self) -> None:
        asked = self._begin(Call.LIST)
        self._restart = False
        listing = await self.store.list([self.kind])
        self._note_answer()
        # A late answer must not bring back what a newer one has ended.
        if listing.revision < self._newest:
            raise AnvilshiftError(PLATFORM_UNREADABLE, "the listing is outdated")
        for item in listing.items:
            self._apply(ObjectChange(item.kind, item.name, item.version, item.body))
        self.settle({item.name for item in listing.items})
        self.revision = self._newest = listing.revision
        self.confirmed = asked
        self.on_list(listing.revision)
        self.note_applied(self.revision)

    def _apply(self, change: ObjectChange) -> None:
        """Apply a change; one that can't be applied mustn't hide those behind it."""
        try:
            self.change(change)
        except Exception as error:
            self.journal.write(
                "change_not_applied",
                kind=self.kind,
                name=change.name[:_MAX_LOGGED_NAME],
                why=repr(error)[:_MAX_LOGGED_REASON],
            )

    async def _watch(self) -> None:
        wait = self._find_wait()
        asked = self._begin(Call.WATCH)
        found = await self.store.watch([self.kind], self.revision, wait)
        self._note_answer()
        if found.too_old:
            self.journal.write("history_lost", kind=self.kind, since=self.revision)
            self.revision = 0
            return
        for change in found.changes:
            self._apply(change)
        self.revision = max(self.revision, found.revision)
        self._newest = max(self._newest, self.revision)
        self.on_batch(self.revision, found.changes)
        self.note_applied(self.revision)
        if found.confirmed is not None:
            # The router that told them has rested already.
            self.confirmed = max(self.confirmed, found.confirmed)
            return
        self.confirmed = asked
        if found.changes and self.intervals.rest:
            await asyncio.sleep(
                self.intervals.rest * min(self.interval_factor, 2.0) / SECOND
            )


@dataclass
class TargetEntries:
    """The targets' entries in the store, and which of them are missing.

    An entry may expire while its target runs, because the target could not renew it
    during an outage of the store.  So an entry that is missing just after an outage
    is removed only if it stays missing for a while.

    Parameters
    ----------
    remove
        Called with the name of a target whose entry is gone for good.
    outage_until
        When the store was last unreachable.
    """

    clock: Clock
    remove: Callable[[str], None]
    outage_until: Millis = -1e12
    _versions: dict[str, int] = field(default_factory=dict)
    _missing_until: dict[str, Millis] = field(default_factory=dict)

    def note_outage(self) -> None:
        """Record that the store is unreachable now."""
        self.outage_until = self.clock.now()

    def find_version(self, name: str) -> int:
        """Return the last known version of an entry; 0 if none is known."""
        return self._versions.get(name, 0)

    def put(self, name: str, version: int) -> None:
        """Add or update an entry."""
        self._versions[name] = max(version, self.find_version(name))
        self._missing_until.pop(name, None)

    def drop(self, name: str, version: int = 0) -> None:
        """Record that an entry is missing.

        Parameters
        ----------
        version
            Version of the entry that was removed; 0 if it isn't known.
        """
        known = self._versions.get(name)
        if known is not None and not 0 < version < known:
            self._versions[name] = max(version, known)
            due = max(self.clock.now(), self.outage_until + _REGISTRATION_TIME)
            self._missing_until.setdefault(name, due)
        self.remove_missing()

    def settle(self, names: set[str]) -> None:
        """Record as missing all entries that a complete list doesn't contain."""
        for name in set(self._versions) - names:
            self.drop(name)

    def remove_missing(self) -> None:
        """Remove entries that have been missing for long enough."""
        now = self.clock.now()
        for name, due in list(self._missing_until.items()):
            if due <= now:
                del self._missing_until[name]
                self.remove(name)
                del self._versions[name]
