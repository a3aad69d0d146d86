"""The latest changes of one kind of object, for readers that follow them."""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, field

from anvilshift.objects.store import ObjectChange

_MAX_CHANGES = 2_000
"""Most changes that are kept; a reader that is further behind asks the store."""


@dataclass(frozen=True)
class _Batch:
    """Changes that were read together, after one revision and until another."""

    since: int
    until: int
    changes: tuple[ObjectChange, ...]

    def list_left(self, revision: int) -> list[ObjectChange]:
        """Return the last change of each object, unless a revision includes it."""
        last = {change.name: change for change in self.changes}
        return [
            change
            for change in last.values()
            if change.body is None or change.version > revision
        ]


@dataclass
class ChangeLog:
    """The changes that followed a revision, in the order in which they were read.

    Attributes
    ----------
    first
        Revision after which all changes are kept.
    revision
        Revision until which all changes are known.

    Examples
    --------
    >>> log = ChangeLog()
    >>> log.restart(7)
    >>> log.add(9, [ObjectChange("servers", "e1", 8, {})])
    >>> [change.name for change in log.list_since(7)], log.list_since(9)
    (['e1'], ())
    >>> log.list_since(6) is None
    True
    """

    first: int = 0
    revision: int = 0
    _batches: deque[_Batch] = field(default_factory=deque)
    _kept: int = 0

    def restart(self, revision: int) -> None:
        """Begin anew: what changed until a revision isn't known one by one."""
        self.first = self.revision = revision
        self._batches.clear()
        self._kept = 0

    def add(self, revision: int, changes: Iterable[ObjectChange]) -> None:
        """Add the changes until a revision that followed the known ones."""
        since, self.revision = self.revision, max(self.revision, revision)
        batch = _Batch(since, self.revision, tuple(changes))
        if batch.changes:
            self._batches.append(batch)
            self._kept += len(batch.changes)
        while self._kept > _MAX_CHANGES:
            oldest = self._batches.popleft()
            self.first = oldest.until
            self._kept -= len(oldest.changes)

    def list_since(self, revision: int) -> tuple[ObjectChange, ...] | None:
        """Return the changes after a revision; None if some aren't kept any more.

        Of changes that were read together the asker may know a part: of these it is
        told how each object was left, unless it knows that.
        """
        if revision < self.first:
            return None
        told: list[ObjectChange] = []
        for batch in self._batches:
            if batch.since >= revision:
                told += batch.changes
            elif batch.until > revision:
                told += batch.list_left(revision)
        return tuple(told)
