"""What other routers said of targets that leave, until an entry says otherwise.

The store may turn one router away while it serves the others.  These tell it of
entries that say that their targets leave, or that are gone, so that it sends nothing
there.  Such a notice holds only until the revision of the store at which it was read:
a target that couldn't renew its entry for a while registers again.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

_MAX_NOTICES = 1_000
"""Most targets whose notices are kept; the oldest notice is dropped first."""


@dataclass
class DepartureNotices:
    """Until which revision of the store each target is said to leave.

    Examples
    --------
    >>> notices = DepartureNotices()
    >>> notices.add("e1", revision=7)
    >>> notices.covers("e1", version=6), notices.covers("e1", version=8)
    (True, False)
    >>> notices.add("e1", revision=5)
    >>> notices.covers("e1", version=6)
    True
    """

    _revisions: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def add(self, target: str, revision: int) -> None:
        """Add a notice that was true at a revision; later ones stay in force."""
        known = self._revisions.pop(target, 0)
        self._revisions[target] = max(known, revision)
        if len(self._revisions) > _MAX_NOTICES:
            self._revisions.popitem(last=False)

    def covers(self, target: str, version: int) -> bool:
        """Return whether a notice is as recent as a version of a target's entry."""
        return version <= self._revisions.get(target, -1)

    def end(self, target: str) -> bool:
        """Drop the notice of a target; return whether there was one."""
        return self._revisions.pop(target, None) is not None
