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


class CachedObject:
    """Update an object without reading it first, as long as nobody interferes.

    A write on the kept version costs one call; a conflict or a lost answer
    falls back to reading the object again.  While others write it as often,
    the kept version is nearly always old and a write on it is a write wasted,
    so the object is read first until it was found unchanged.
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
        if kept is not None and not self._contended:
            body = change(kept.body)
            # A stale copy can make a change look needless; only a fresh read
            # may say that.
            if body is not None and body != kept.body:
                try:
                    self._kept = await self._store.put(
                        self._kind, self._name, body, kept.version
                    )
                    return self._kept
                except ConflictError:
                    self._contended = True
                except UncertainError:
                    pass
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
