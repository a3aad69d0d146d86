"""Know a request that crashes each target which runs it.

Load pattern: a request crashes its engine, and its caller sends it again, at any
router, under a new id.  Without this, each time costs another engine and all
that ran there.

Requests are known by their content.  How many targets one may reach without a
whole answer is bounded whatever is known of crashes (see `exposure`).  Blame only
decides when it is refused: a broken answer alone proves nothing, since answers are
lost and spoiled without a crash.  Content is blamed when its target is found gone
soon after, and refused once three targets were lost to it.  Who merely ran beside
it falls with one or two.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.exposure import Exposure

CRASHES = 3
"""Targets that content may cost.  An innocent request that its caller sends twice
falls with two crashes at the most."""
_FOUND_WITHIN: Millis = 4 * SECOND
"""A crashed target refuses connections at once, and its next request shows it."""
_FORGET_AFTER: Millis = 120 * SECOND
_MOST = 2_000
"""Contents that are remembered: a crash takes down some twenty requests."""


@dataclass
class _Record:
    targets: set[str] = field(default_factory=set)
    at: Millis = 0.0


@dataclass
class BlameBook:
    """Which content was running where a target crashed.

    Attributes
    ----------
    exposure
        What each content may still cost.

    Examples
    --------
    >>> book = BlameBook()
    >>> for name in ("e1", "e2", "e3"):
    ...     _ = book.broke("poison", name, now=0.0)
    ...     book.lost(name, now=100.0)
    ['poison']
    ['poison']
    ['poison']
    >>> book.is_poison("poison", now=200.0)
    True
    """

    exposure: Exposure = field(default_factory=lambda: Exposure(CRASHES))
    _broken: dict[str, list[tuple[str, Millis]]] = field(default_factory=dict)
    _records: OrderedDict[str, _Record] = field(default_factory=OrderedDict)

    def broke(self, content: str, target: str, now: Millis) -> list[str]:
        """Take in that a target broke an answer off.

        Returns
        -------
        list[str]
            The targets that are worth a connection to see if they are gone: none
            at first, and once another target breaks the content off as well both,
            or the first crash would count for nothing.
        """
        recent = [
            (one, at)
            for one, at in self._broken.get(target, [])
            if now - at <= _FOUND_WITHIN
        ]
        self._broken[target] = [*recent, (content, now)]
        others = [
            name
            for name, broken in self._broken.items()
            if name != target and self._list_recent(broken, now).count(content)
        ]
        if not others and content not in self._records:
            return []
        return [*others, target]

    @staticmethod
    def _list_recent(broken: list[tuple[str, Millis]], now: Millis) -> list[str]:
        return [one for one, at in broken if now - at <= _FOUND_WITHIN]

    def lost(self, target: str, now: Millis) -> list[str]:
        """Take in that a target is gone; return what is blamed for it."""
        broken = self._broken.pop(target, [])
        blamed = self._list_recent(broken, now)
        for content in blamed:
            self.hear(content, target, now)
        return blamed

    def hear(self, content: str, target: str, now: Millis) -> None:
        """Take in that content is blamed for a target's crash."""
        self.exposure.crashed(content, target, now)
        record = self._records.setdefault(content, _Record())
        record.targets.add(target)
        record.at = now
        self._records.move_to_end(content)
        if len(self._records) > _MOST:
            self._records.popitem(last=False)

    def clear(self, content: str) -> None:
        """Take in that content was answered whole."""
        self._records.pop(content, None)
        self.exposure.clear(content)

    def is_poison(self, content: str, now: Millis) -> bool:
        """Tell whether content must not run any more."""
        self.exposure.expire(content, now)
        record = self._records.get(content)
        if record is None:
            return False
        if now - record.at > _FORGET_AFTER:
            del self._records[content]
            return False
        return len(record.targets) >= CRASHES
