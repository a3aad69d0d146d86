"""An object that one process writes often: its last state is kept at hand."""

from collections.abc import Callable

from anvilshift.objects.store import (
    Body,
    ConflictError,
    ObjectStore,
    Stored,
    UncertainError,
    update,
)

_TRIES = 12
"""Writes that lose the race against others before the object is read anew."""


class CachedObject:
    """Update an object without reading it first, as long as nobody interferes.

    A write on the kept version costs one call.  A store that tells what the
    object is when it refuses a write saves the read: the next try is made on that.
    Otherwise a conflict or a lost answer falls back to reading the object again;
    while others write it as often, the kept version is nearly always old and a
    write on it is a write wasted, so the object is read first until it was found
    unchanged.
    """

    def __init__(self, store: ObjectStore, kind: str, name: str) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._kept: Stored | None = None
        self._contended = False

    async def update(self, change: Callable[[Body | None], Body | None]) -> Stored:
        """Change the object; the change must be idempotent."""
        kept, self._kept = self._kept, None
        tries = 0 if self._contended else _TRIES
        while kept is not None and tries:
            tries -= 1
            body = change(kept.body)
            # A stale copy can make a change look needless; only a fresh read
            # may say that.
            if body is None or body == kept.body:
                break
            try:
                self._kept = await self._store.put(
                    self._kind, self._name, body, kept.version
                )
                return self._kept
            except ConflictError as error:
                self._contended = error.found is None
                kept = error.found
            except UncertainError:
                break
        return await self._read_first(kept, change)

    async def _read_first(
        self, kept: Stored | None, change: Callable[[Body | None], Body | None]
    ) -> Stored:
        seen = []

        def look(body: Body | None) -> Body | None:
            seen.append(body)
            return change(body)

        self._kept = await update(self._store, self._kind, self._name, look)
        if kept is not None and len(seen) == 1 and seen[0] == kept.body:
            self._contended = False
        return self._kept
