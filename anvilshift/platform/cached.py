"""An object that one process writes often: its last state is kept at hand."""

from collections.abc import Callable

from anvilshift.platform.store import (
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
    falls back to reading the object again.
    """

    def __init__(self, store: ObjectStore, kind: str, name: str) -> None:
        self._store = store
        self._kind = kind
        self._name = name
        self._kept: Stored | None = None

    async def update(self, change: Callable[[Body | None], Body | None]) -> Stored:
        """Change the object; the change must be idempotent."""
        kept, self._kept = self._kept, None
        if kept is not None:
            body = change(kept.body)
            # A stale copy can make a change look needless; only a fresh read
            # may say that.
            if body is not None and body != kept.body:
                try:
                    self._kept = await self._store.put(
                        self._kind, self._name, body, kept.version
                    )
                    return self._kept
                except (ConflictError, UncertainError):
                    pass
        self._kept = await update(self._store, self._kind, self._name, change)
        return self._kept
