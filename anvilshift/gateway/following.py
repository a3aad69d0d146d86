"""Follow the operators' configuration and the targets in the platform's store.

Both are followed by watches.  A watch may go silent, lose its history or be
cut, so each call is short, and anything unexpected begins anew with a list.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.gateway.journal import Journal
from anvilshift.objects.store import Body, Change, ObjectStore

_PAUSE: Millis = 300.0
"""After a failed call."""
_PAUSE_GROWTH, _MOST_PAUSE = 1.5, 900.0
"""After each further one the pause is longer by the first, up to the second in
milliseconds: calls in vain are priced too, and the store's return is still seen well
within the bounds that begin with it."""
_SCOUT_POLL: Millis = 50.0
"""Between two looks at what a scout found."""
_RETURN: Millis = 2_200.0
"""Entries of targets that live are back in the store about 2 s after it is."""
_STALE: Millis = 1_000.0
"""A watch whose end is overdue by so long tells that the store is out of reach."""
_FEW = 4
_MOST_STRETCH = 2.7


def find_stretch(routers: int) -> float:
    """Return how many times longer watches and rests are in a larger fleet.

    Each call is priced, and the store's rate grows more slowly than the fleet.  What
    changes ends a watch at once all the same; a longer one only notices later that
    its connection has gone silent.

    Examples
    --------
    >>> find_stretch(4), find_stretch(6), find_stretch(2_000)
    (1.0, 1.5, 2.7)
    """
    return min(max(1.0, routers / _FEW), _MOST_STRETCH)


@dataclass(frozen=True)
class Pace:
    """How one kind is followed.

    Parameters
    ----------
    wait
        Longest time of one watch: a watch that has gone silent for good, with its
        connection open, is noticed then.
    rest
        Pause after a watch that brought something: changes that come many times
        a second are taken together, for each call is priced.
    """

    wait: Millis
    rest: Millis = 0.0


@dataclass
class Follower:
    """Follow the objects of one kind.

    Parameters
    ----------
    change
        Called with each object that is there, was written or was removed.
    settle
        Called with the names that are there after a list.
    scout
        Another follower of the same store: while that one finds it out of reach,
        this one waits for its word, so that one call in vain is made and not two.
    """

    store: ObjectStore
    kind: str
    pace: Pace
    clock: Clock
    journal: Journal
    change: Callable[[Change], None]
    settle: Callable[[set[str]], None] = lambda names: None
    seen: Millis = -1e12
    revision: int = 0
    stretch: float = 1.0
    scout: "Follower | None" = None
    _failures: int = 0
    _lost: bool = False
    _restart: bool = False

    def is_fresh(self) -> bool:
        """Tell whether the store answered lately."""
        overdue = self.pace.wait * self.stretch + _STALE
        return not self._lost and self.clock.now() - self.seen < overdue

    def restart(self) -> None:
        """Begin anew with a list; what is known may be old."""
        self._restart = True

    async def run(self) -> None:
        """Follow for ever."""
        while True:
            try:
                if not self.revision or self._restart:
                    self._restart = False
                    await self._list()
                await self._watch()
            except AnvilshiftError as error:
                self._note_failure(error)
                await self._rest()

    async def _rest(self) -> None:
        """Wait after a failed call."""
        pause = min(_PAUSE * _PAUSE_GROWTH**self._failures, _MOST_PAUSE)
        self._failures += 1
        await asyncio.sleep(pause / SECOND)
        # The scout may itself hang on a connection that has gone silent.
        most = self.clock.now() + _MOST_PAUSE
        while self.scout and self.scout._lost and self.clock.now() < most:
            await asyncio.sleep(_SCOUT_POLL / SECOND)

    def _note_failure(self, error: AnvilshiftError) -> None:
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

    async def _list(self) -> None:
        listing = await self.store.list([self.kind])
        self._note_answer()
        for item in listing.items:
            self.change(Change(item.kind, item.name, item.version, item.body))
        self.settle({item.name for item in listing.items})
        self.revision = listing.revision

    async def _watch(self) -> None:
        wait = self.pace.wait * self.stretch
        found = await self.store.watch([self.kind], self.revision, wait)
        self._note_answer()
        if found.too_old:
            self.journal.write("history_lost", kind=self.kind, since=self.revision)
            self.revision = 0
            return
        for change in found.changes:
            self.change(change)
        self.revision = max(self.revision, found.revision)
        if found.changes and self.pace.rest:
            await asyncio.sleep(self.pace.rest * min(self.stretch, 2.0) / SECOND)


@dataclass
class Register:
    """The targets' entries, and which of them are gone.

    An entry may lapse while its target lives, because the store was away and the
    target could not renew it.  So an entry that is missed just after an outage is
    given time to come back.
    """

    clock: Clock
    remove: Callable[[str], None]
    bodies: dict[str, Body] = field(default_factory=dict)
    outage_until: Millis = -1e12
    _missing: dict[str, Millis] = field(default_factory=dict)

    def note_outage(self) -> None:
        """Take in that the store is out of reach now."""
        self.outage_until = self.clock.now()

    def put(self, name: str, body: Body) -> None:
        """Take in an entry."""
        self.bodies[name] = body
        self._missing.pop(name, None)

    def drop(self, name: str) -> None:
        """Take in that an entry is missing."""
        now = self.clock.now()
        due = max(now, self.outage_until + _RETURN)
        if name in self.bodies:
            self._missing.setdefault(name, due)
        self.sweep()

    def settle(self, names: set[str]) -> None:
        """Take in the names of a whole list."""
        for name in set(self.bodies) - names:
            self.drop(name)

    def sweep(self) -> None:
        """Remove what has been missing long enough."""
        now = self.clock.now()
        for name, due in list(self._missing.items()):
            if due <= now:
                del self._missing[name]
                self.bodies.pop(name, None)
                self.remove(name)
