"""Interface to the platform's object API."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import CONFLICT, PLATFORM_DOWN, AnvilshiftError

Body = dict[str, Any]
_RETRY_AFTER_RATE_LIMIT: Millis = 1 * SECOND


@dataclass(frozen=True)
class StoredObject:
    """An object in the platform's store.

    Parameters
    ----------
    version
        The platform's revision at the object's last write; 0 if it does not exist.
    """

    kind: str
    name: str
    version: int
    body: Body


@dataclass(frozen=True)
class ObjectChange:
    """A write of an object, or its deletion if the body is None."""

    kind: str
    name: str
    version: int
    body: Body | None


@dataclass(frozen=True)
class Listing:
    """All objects of the requested kinds at one revision."""

    revision: int
    items: tuple[StoredObject, ...]


@dataclass(frozen=True)
class ChangeBatch:
    """The changes of a watch up to a revision.

    Parameters
    ----------
    too_old
        Whether the platform no longer has the history after the requested revision.
    confirmed
        Instant until which they are complete, where another router told them; None
        where the platform answered.
    """

    revision: int
    changes: tuple[ObjectChange, ...] = ()
    too_old: bool = False
    confirmed: Millis | None = None


@dataclass(frozen=True)
class HostEntry:
    """A host in the platform's list of hosts, which may be out of date."""

    name: str
    leaving: bool


class ConflictError(AnvilshiftError):
    """The object changed since it was read.

    Parameters
    ----------
    found
        The current object, if the store returned it with the conflict.
    """

    def __init__(self, name: str, found: StoredObject | None = None) -> None:
        super().__init__(CONFLICT, f"{name} changed since it was read")
        self.found = found


class UncertainWriteError(AnvilshiftError):
    """A write without a usable answer: it may or may not have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(PLATFORM_DOWN, detail)


class RateLimitedError(AnvilshiftError):
    """The platform is reachable but rejects calls that exceed its rate limit.

    Calling it through another router does not help.
    """

    def __init__(self, detail: str) -> None:
        super().__init__(PLATFORM_DOWN, detail, _RETRY_AFTER_RATE_LIMIT)


class WatchedStore(Protocol):
    """Store of versioned objects whose changes can be followed."""

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of the given kinds."""

    async def watch(
        self, kinds: Iterable[str], after: int, wait: Millis
    ) -> ChangeBatch:
        """Wait for changes that follow a revision."""


class ObjectStore(WatchedStore, Protocol):
    """Store of versioned objects with conditional writes and watches."""

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""

    async def put(self, kind: str, name: str, body: Body, version: int) -> StoredObject:
        """Write an object if its version is unchanged; version 0 creates it.

        Raises
        ------
        ConflictError
            If the object's version has changed.
        UncertainWriteError
            If the write may or may not have taken effect.
        """

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if its version is unchanged; return the revision."""

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the platform's list of hosts, which may be out of date."""

    def renew(self) -> None:
        """Make further calls on new connections, as open ones may be silent."""

    def count_connections(self) -> int:
        """Return how many connections have been opened so far."""


Mutation = Callable[[Body | None], Body | None]
"""Returns an object's new body; None leaves the object unchanged.

A mutation must be idempotent: it runs again on the result of its own write if the
answer to that write was lost.
"""
_MAX_ATTEMPTS = 12


async def update(
    store: ObjectStore, kind: str, name: str, change: Mutation
) -> StoredObject:
    """Read, change and write an object, and retry after conflicts.

    After a write whose answer was lost, the object is read again and the mutation
    is applied to its current state, so an effective write is not repeated.

    Raises
    ------
    AnvilshiftError
        Code 5001 if the platform doesn't answer, code 5002 if every attempt
        conflicts with another writer.
    """
    answer_lost = False
    for _ in range(_MAX_ATTEMPTS):
        current = await store.get(kind, name)
        body = change(current.body if current else None)
        if body is None or (current is not None and body == current.body):
            return current or StoredObject(kind, name, 0, {})
        try:
            return await store.put(kind, name, body, current.version if current else 0)
        except ConflictError:
            continue
        except UncertainWriteError:
            if answer_lost:
                raise
            answer_lost = True
    raise ConflictError(f"{kind}/{name}")
