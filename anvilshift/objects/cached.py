"""Updates of a frequently written object, based on a cached copy of its last state."""

from collections.abc import Callable

from anvilshift.objects.store import (
    Body,
    ConflictError,
    ObjectStore,
    Stored,
    UncertainError,
    update,
)

_MAX_ATTEMPTS = 12
"""Writes on cached or returned copies before the object is read again."""


class CachedObject:
    """Update an object without reading it first, unless other writers change it.

    A write on the cached version costs one call.  If the store returns the current
    object with a conflict, the next attempt uses that object and saves a read.
    Otherwise a conflict or a lost answer makes the update read the object again.
    While others write the object as often, the cached version is nearly always
    stale and a write on it is wasted, so every update reads the object first until
    a read finds it unchanged.
    """

    def __init__(self, store: ObjectStore, kind: str, name: str) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._cached: Stored | None = None
        self._contended = False

    async def update(self, change: Callable[[Body | None], Body | None]) -> Stored:
        """Apply a change to the object and return the stored result.

        The change must be idempotent: it is applied again to its own result if
        the answer to the write is lost.
        """
        cached, self._cached = self._cached, None
        attempts_left = 0 if self._contended else _MAX_ATTEMPTS
        while cached is not None and attempts_left:
            attempts_left -= 1
            body = change(cached.body)
            # The cached copy may be stale, so only a fresh read can show that the
            # change has no effect.
            if body is None or body == cached.body:
                break
            try:
                self._cached = await self._store.put(
                    self._kind, self._name, body, cached.version
                )
                return self._cached
            except ConflictError as error:
                self._contended = error.found is None
                cached = error.found
            except UncertainError:
                break
        return await self._read_and_update(cached, change)

    async def _read_and_update(
        self, cached: Stored | None, change: Callable[[Body | None], Body | None]
    ) -> Stored:
        seen = []

        def recording_change(body: Body | None) -> Body | None:
            seen.append(body)
            return change(body)

        self._cached = await update(
            self._store, self._kind, self._name, recording_change
        )
        if cached is not None and len(seen) == 1 and seen[0] == cached.body:
            self._contended = False
        return self._cached
