"""In-process stand-in for the platform: an `ObjectStore` with fault injection.

It uses no sockets, so that tests and seeded runs on a virtual-time event loop
can use it.  Several routers share one `MemoryStore`; each calls it through its
own `MemoryView`, which can be disconnected independently of the others.
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
    ChangeBatch,
    ConflictError,
    HostEntry,
    Listing,
    ObjectChange,
    StoredObject,
    UncertainWriteError,
)

MAX_VALUE_BYTES = 1_000_000
"""Maximum size of a stored object's JSON text."""
_MAX_CHANGES = 10_000
_ANSWER_TIMEOUT: Millis = 2 * SECOND

Hook = Callable[[str, str], Awaitable[None]]
"""Awaited around each call with the caller's name and the operation; may wait."""


async def _no_hook(caller: str, operation: str) -> None:
    return None


@dataclass
class MemoryFaults:
    """Faults that are currently injected.

    Parameters
    ----------
    outage
        Every call fails; a call in progress fails without an answer.
    cut
        Names of the callers whose calls neither arrive nor are answered.
    lose_answers
        Number of following writes that take effect but get no answer.
    lose_writes
        Number of following writes that neither take effect nor get an answer.
    before
        Hook awaited before a call takes effect.
    after
        Hook awaited after a call took effect and before it is answered.
    """

    outage: bool = False
    cut: set[str] = field(default_factory=set)
    lose_answers: int = 0
    lose_writes: int = 0
    before: Hook = _no_hook
    after: Hook = _no_hook


@dataclass(frozen=True)
class _StoredText:
    version: int
    text: str


class MemoryStore:
    """An object store in memory, with versions, a change history and watches.

    Parameters
    ----------
    max_age
        Maximum age, measured by `clock`, of a change in the history.
    returns_conflicting_object
        Whether a conflict error contains the object as it is stored.

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
        max_age: Millis = math.inf,
        returns_conflicting_object: bool = False,
    ) -> None:
        self.faults = MemoryFaults()
        self.returns_conflicting_object = returns_conflicting_object
        self._clock = clock
        self._max_age = max_age
        self.calls: Counter[str] = Counter()
        self.host_entries: tuple[HostEntry, ...] = ()
        self.revision = 0
        self._objects: dict[tuple[str, str], _StoredText] = {}
        self._history: deque[ObjectChange] = deque(maxlen=_MAX_CHANGES)
        self._change_times: deque[Millis] = deque(maxlen=_MAX_CHANGES)
        self._discarded_revision = 0
        self._watch_events: dict[asyncio.Event, None] = {}
        self.silences = 0

    def view(self, caller: str) -> "MemoryView":
        """Return the view through which one caller accesses the store."""
        return MemoryView(self, caller)

    def read_ignoring_faults(self, kind: str, name: str) -> Body | None:
        """Return an object's body regardless of faults, for assertions in tests."""
        current = self._objects.get((kind, name))
        return json.loads(current.text) if current else None

    def names(self, kind: str) -> list[str]:
        """Return the sorted names of a kind's objects, regardless of faults."""
        return sorted(n for k, n in self._objects if k == kind)

    def forget_history(self) -> None:
        """Discard the change history, so that watches from before it must relist."""
        self._history.clear()
        self._change_times.clear()
        self._discarded_revision = self.revision
        self._wake()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        return await self.view("").get(kind, name)

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return all objects of the given kinds at one revision."""
        return await self.view("").list(kinds)

    async def put(self, kind: str, name: str, body: Body, version: int) -> StoredObject:
        """Write an object if its version is still `version`; 0 creates it."""
        return await self.view("").put(kind, name, body, version)

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if its version is still `version`; return the revision."""
        return await self.view("").delete(kind, name, version)

    async def watch(
        self, kinds: Iterable[str], after: int, wait: Millis
    ) -> ChangeBatch:
        """Wait up to `wait` milliseconds for changes after revision `after`."""
        return await self.view("").watch(kinds, after, wait)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the list of hosts."""
        return await self.view("").hosts()

    def renew(self) -> None:
        """Do nothing, as there are no connections."""

    def count_connections(self) -> int:
        """Return 0, as there are no connections."""
        return 0

    def _read(self, kind: str, name: str) -> StoredObject | None:
        current = self._objects.get((kind, name))
        if current is None:
            return None
        return StoredObject(kind, name, current.version, json.loads(current.text))

    def _read_all(self, kinds: frozenset[str]) -> Listing:
        found = [self._read(*key) for key in self._objects if key[0] in kinds]
        return Listing(self.revision, tuple(item for item in found if item))

    def _write(
        self, kind: str, name: str, body: Body | None, version: int
    ) -> StoredObject:
        current = self._objects.get((kind, name))
        if version != (current.version if current else 0):
            found = self._read(kind, name) if self.returns_conflicting_object else None
            raise ConflictError(f"{kind}/{name}", found)
        text = json.dumps(body)
        if len(text) > MAX_VALUE_BYTES:
            raise AnvilshiftError(
                PLATFORM_UNREADABLE, f"{kind}/{name} exceeds the maximum size"
            )
        self.revision += 1
        if body is None:
            self._objects.pop((kind, name), None)
        else:
            self._objects[kind, name] = _StoredText(self.revision, text)
        if len(self._history) == _MAX_CHANGES:
            self._discarded_revision = self._history[0].version
        self._history.append(ObjectChange(kind, name, self.revision, json.loads(text)))
        self._change_times.append(self._clock.now() if self._clock else 0.0)
        self._wake()
        return StoredObject(kind, name, self.revision, json.loads(text) or {})

    def _discard_expired(self) -> None:
        now = self._clock.now() if self._clock else 0.0
        while self._change_times and now - self._change_times[0] > self._max_age:
            self._change_times.popleft()
            self._discarded_revision = self._history.popleft().version

    def _changes_since(self, kinds: frozenset[str], after: int) -> ChangeBatch | None:
        self._discard_expired()
        if after < self._discarded_revision:
            return ChangeBatch(after, too_old=True)
        found = []
        for change in reversed(self._history):
            if change.version <= after:
                break
            if change.kind in kinds:
                found.append(change)
        return ChangeBatch(self.revision, tuple(found[::-1])) if found else None

    def silence(self) -> None:
        """Let the open connections of all callers fall silent; new ones work.

        Watches that wait hear of no change, and each caller's next calls get no answer
        until it has found that out.
        """
        self.silences += 1

    def _wake(self) -> None:
        for event in list(self._watch_events):
            event.set()


class MemoryView:
    """A `MemoryStore` as one caller accesses it, subject to that caller's faults."""

    def __init__(self, store: MemoryStore, caller: str) -> None:
        self._store = store
        self._caller = caller
        self._silences = store.silences

    async def _find_silence(self) -> None:
        """Wait in vain for an answer if the open connections have fallen silent."""
        silences = self._store.silences
        if self._silences == silences:
            return
        await asyncio.sleep(_ANSWER_TIMEOUT / SECOND)
        self._silences = silences
        raise AnvilshiftError(PLATFORM_DOWN, "the connection is silent")

    def _reach(self) -> None:
        faults = self._store.faults
        if faults.outage or self._caller in faults.cut:
            raise AnvilshiftError(PLATFORM_DOWN, "the platform is unreachable")

    async def _begin(self, operation: str) -> None:
        self._reach()
        await self._find_silence()
        self._store.calls[operation] += 1
        await self._store.faults.before(self._caller, operation)
        self._reach()

    async def _end(self, operation: str) -> None:
        await self._store.faults.after(self._caller, operation)
        self._reach()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        await self._begin("get")
        found = self._store._read(kind, name)
        await self._end("get")
        return found

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return all objects of the given kinds at one revision."""
        await self._begin("list")
        found = self._store._read_all(frozenset(kinds))
        await self._end("list")
        return found

    async def put(self, kind: str, name: str, body: Body, version: int) -> StoredObject:
        """Write an object if its version is still `version`; 0 creates it."""
        return await self._write("put", kind, name, body, version)

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if its version is still `version`; return the revision."""
        if not version:
            raise ConflictError(f"{kind}/{name}")
        return (await self._write("delete", kind, name, None, version)).version

    async def _write(
        self, operation: str, kind: str, name: str, body: Body | None, version: int
    ) -> StoredObject:
        await self._begin(operation)
        faults = self._store.faults
        if faults.lose_writes:
            faults.lose_writes -= 1
            raise UncertainWriteError("the write was lost before it took effect")
        stored = self._store._write(kind, name, body, version)
        if faults.lose_answers:
            faults.lose_answers -= 1
            raise UncertainWriteError("the answer to the write was lost")
        try:
            await self._end(operation)
        except AnvilshiftError as error:
            raise UncertainWriteError(
                "the platform became unreachable during the write"
            ) from error
        return stored

    async def watch(
        self, kinds: Iterable[str], after: int, wait: Millis
    ) -> ChangeBatch:
        """Wait up to `wait` milliseconds for changes after revision `after`."""
        wanted = frozenset(kinds)
        await self._begin("watch")
        event, silences = asyncio.Event(), self._store.silences
        self._store._watch_events[event] = None
        found = None
        try:
            async with asyncio.timeout(wait / SECOND):
                while found is None:
                    if silences == self._store.silences:
                        found = self._store._changes_since(wanted, after)
                    if found is None:
                        event.clear()
                        await event.wait()
        except TimeoutError as error:
            if silences != self._store.silences:
                raise AnvilshiftError(PLATFORM_DOWN, "the watch is silent") from error
            found = ChangeBatch(self._store.revision)
        finally:
            self._store._watch_events.pop(event, None)
        await self._end("watch")
        return found

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the list of hosts."""
        await self._begin("hosts")
        found = self._store.host_entries
        await self._end("hosts")
        return found

    def renew(self) -> None:
        """Do nothing, as there are no connections."""

    def count_connections(self) -> int:
        """Return 0, as there are no connections."""
        return 0
