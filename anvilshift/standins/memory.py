"""Stand in for the platform inside one process: an `ObjectStore` with faults.

It needs no socket, so that tests and seeded runs on a loop of virtual time can
use it.  Several routers share one `MemoryStore`; each calls it through its own
`MemoryView`, which can be cut off alone.
"""

import asyncio
import json
import math
from collections import Counter, deque
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import PLATFORM_DOWN, PLATFORM_UNREADABLE, AnvilshiftError
from anvilshift.objects.store import (
    Body,
    Change,
    Changes,
    ConflictError,
    HostEntry,
    Listing,
    Stored,
    UncertainError,
)

MAX_VALUE_BYTES = 1_000_000
"""Largest value that the platform holds."""
_HISTORY = 10_000

Hook = Callable[[str, str], Awaitable[None]]
"""Runs before each call with the caller's name and the verb; may wait."""


async def _pass(caller: str, verb: str) -> None:
    return None


@dataclass
class MemoryFaults:
    """What goes wrong now.

    Parameters
    ----------
    outage
        No call is answered; one under way ends without an answer.
    cut
        Callers whose calls neither arrive nor are answered.
    lose_answers
        How many of the next writes take effect and get no answer.
    lose_writes
        How many of the next writes have no effect and get no answer.
    before
        Awaited before a call takes effect.
    after
        Awaited after a call took effect and before its answer.
    """

    outage: bool = False
    cut: set[str] = field(default_factory=set)
    lose_answers: int = 0
    lose_writes: int = 0
    before: Hook = _pass
    after: Hook = _pass


@dataclass(frozen=True)
class _Kept:
    version: int
    text: str


class MemoryStore:
    """Objects, versions and watches in memory.

    Parameters
    ----------
    kept_for
        Age at which a change is discarded from the history, by `clock`.
    tells_conflicts
        Whether a refused write is told what the object is.

    Examples
    --------
    >>> store = MemoryStore()
    >>> asyncio.run(store.put("Note", "a", {"text": "hello"}, 0)).version
    1
    >>> asyncio.run(store.get("Note", "a")).body
    {'text': 'hello'}
    """

    def __init__(
        self,
        clock: Clock | None = None,
        kept_for: Millis = math.inf,
        tells_conflicts: bool = False,
    ) -> None:
        self.faults = MemoryFaults()
        self.tells_conflicts = tells_conflicts
        self._clock = clock
        self._kept_for = kept_for
        self.calls: Counter[str] = Counter()
        self.host_entries: tuple[HostEntry, ...] = ()
        self.revision = 0
        self._objects: dict[tuple[str, str], _Kept] = {}
        self._history: deque[Change] = deque(maxlen=_HISTORY)
        self._written: deque[Millis] = deque(maxlen=_HISTORY)
        self._forgotten = 0
        self._waiting: dict[asyncio.Event, None] = {}

    def view(self, caller: str) -> "MemoryView":
        """Return the store as one caller reaches it."""
        return MemoryView(self, caller)

    def peek(self, kind: str, name: str) -> Body | None:
        """Return an object's body past every fault, for a test's own check."""
        kept = self._objects.get((kind, name))
        return json.loads(kept.text) if kept else None

    def names(self, kind: str) -> list[str]:
        """Return the names of a kind's objects past every fault."""
        return sorted(n for k, n in self._objects if k == kind)

    def forget_history(self) -> None:
        """Forget past changes, so that older watches must list again."""
        self._history.clear()
        self._written.clear()
        self._forgotten = self.revision
        self._wake()

    async def get(self, kind: str, name: str) -> Stored | None:
        """Return an object, or None."""
        return await self.view("").get(kind, name)

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of some kinds at one revision."""
        return await self.view("").list(kinds)

    async def put(self, kind: str, name: str, body: Body, version: int) -> Stored:
        """Write an object if it still has a version; 0 creates it."""
        return await self.view("").put(kind, name, body, version)

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if it still has a version; return the revision."""
        return await self.view("").delete(kind, name, version)

    async def watch(self, kinds: Iterable[str], after: int, wait: Millis) -> Changes:
        """Wait for changes after a revision."""
        return await self.view("").watch(kinds, after, wait)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the list of hosts."""
        return await self.view("").hosts()

    def _read(self, kind: str, name: str) -> Stored | None:
        kept = self._objects.get((kind, name))
        if kept is None:
            return None
        return Stored(kind, name, kept.version, json.loads(kept.text))

    def _read_all(self, kinds: frozenset[str]) -> Listing:
        found = [self._read(*key) for key in self._objects if key[0] in kinds]
        return Listing(self.revision, tuple(item for item in found if item))

    def _write(self, kind: str, name: str, body: Body | None, version: int) -> Stored:
        kept = self._objects.get((kind, name))
        if version != (kept.version if kept else 0):
            found = self._read(kind, name) if self.tells_conflicts else None
            raise ConflictError(f"{kind}/{name}", found)
        text = json.dumps(body)
        if len(text) > MAX_VALUE_BYTES:
            raise AnvilshiftError(PLATFORM_UNREADABLE, f"{kind}/{name} is too large")
        self.revision += 1
        if body is None:
            self._objects.pop((kind, name), None)
        else:
            self._objects[kind, name] = _Kept(self.revision, text)
        if len(self._history) == _HISTORY:
            self._forgotten = self._history[0].version
        self._history.append(Change(kind, name, self.revision, json.loads(text)))
        self._written.append(self._clock.now() if self._clock else 0.0)
        self._wake()
        return Stored(kind, name, self.revision, json.loads(text) or {})

    def _discard_old(self) -> None:
        now = self._clock.now() if self._clock else 0.0
        while self._written and now - self._written[0] > self._kept_for:
            self._written.popleft()
            self._forgotten = self._history.popleft().version

    def _since(self, kinds: frozenset[str], after: int) -> Changes | None:
        self._discard_old()
        if after < self._forgotten:
            return Changes(after, too_old=True)
        found = []
        for change in reversed(self._history):
            if change.version <= after:
                break
            if change.kind in kinds:
                found.append(change)
        return Changes(self.revision, tuple(found[::-1])) if found else None

    def _wake(self) -> None:
        for event in list(self._waiting):
            event.set()


class MemoryView:
    """One caller's way to a `MemoryStore`."""

    def __init__(self, store: MemoryStore, caller: str) -> None:
        self._store = store
        self._caller = caller

    def _reach(self) -> None:
        faults = self._store.faults
        if faults.outage or self._caller in faults.cut:
            raise AnvilshiftError(PLATFORM_DOWN, "the platform is out")

    async def _begin(self, verb: str) -> None:
        self._reach()
        self._store.calls[verb] += 1
        await self._store.faults.before(self._caller, verb)
        self._reach()

    async def _end(self, verb: str) -> None:
        await self._store.faults.after(self._caller, verb)
        self._reach()

    async def get(self, kind: str, name: str) -> Stored | None:
        """Return an object, or None."""
        await self._begin("get")
        found = self._store._read(kind, name)
        await self._end("get")
        return found

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of some kinds at one revision."""
        await self._begin("list")
        found = self._store._read_all(frozenset(kinds))
        await self._end("list")
        return found

    async def put(self, kind: str, name: str, body: Body, version: int) -> Stored:
        """Write an object if it still has a version; 0 creates it."""
        return await self._write("put", kind, name, body, version)

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if it still has a version; return the revision."""
        if not version:
            raise ConflictError(f"{kind}/{name}")
        return (await self._write("delete", kind, name, None, version)).version

    async def _write(
        self, verb: str, kind: str, name: str, body: Body | None, version: int
    ) -> Stored:
        await self._begin(verb)
        faults = self._store.faults
        if faults.lose_writes:
            faults.lose_writes -= 1
            raise UncertainError("the write was lost on its way")
        stored = self._store._write(kind, name, body, version)
        if faults.lose_answers:
            faults.lose_answers -= 1
            raise UncertainError("the answer was lost")
        try:
            await self._end(verb)
        except AnvilshiftError as error:
            raise UncertainError("the platform went out during the write") from error
        return stored

    async def watch(self, kinds: Iterable[str], after: int, wait: Millis) -> Changes:
        """Wait for changes after a revision."""
        wanted = frozenset(kinds)
        await self._begin("watch")
        event = asyncio.Event()
        self._store._waiting[event] = None
        try:
            async with asyncio.timeout(wait / SECOND):
                while (found := self._store._since(wanted, after)) is None:
                    event.clear()
                    await event.wait()
        except TimeoutError:
            found = Changes(self._store.revision)
        finally:
            self._store._waiting.pop(event, None)
        await self._end("watch")
        return found

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the list of hosts."""
        await self._begin("hosts")
        found = self._store.host_entries
        await self._end("hosts")
        return found
