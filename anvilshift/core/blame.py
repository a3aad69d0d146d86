"""Detect requests that crash every target that runs them (poison requests).

Load pattern: a request crashes its engine, and its caller retries it, through any
router and under a new id.  Without detection, each retry crashes another engine and
fails all requests that run there.

Requests are identified by their content.  The number of targets that a content may
reach without a complete answer is bounded independently of known crashes (see
`exposure`).  Blame decides only when the content is refused.  An answer that breaks off
is not enough, because answers are also lost or corrupted without a crash: a content is
blamed if its target is found to be gone shortly afterwards, and refused once it is
blamed for the loss of three targets.  Requests that only ran beside it are blamed for
one or two.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.exposure import Exposure
from anvilshift.core.silences import RouterSilences

MAX_CRASHES = 3
"""Crashed targets after which a content is refused.  A harmless request that its
caller sends twice is present at two crashes at most."""
_DETECTION_WINDOW: Millis = 4 * SECOND
"""Longest time from a broken answer to the discovery that the target is gone.  A
crashed target refuses connections at once, so the next request to it shows the
crash."""
_BLAME_LIFETIME: Millis = 120 * SECOND
_MAX_RECORDS = 2_000
"""Most contents that are remembered; one crash fails about twenty requests."""
_MAX_FORGIVEN = 1_000
"""Most targets remembered whose crashes have a known cause."""


@dataclass
class _Record:
    """The crashed targets that one content is blamed for, and the last crash."""

    targets: set[str] = field(default_factory=set)
    at: Millis = 0.0


@dataclass
class CrashBlame:
    """The contents that were running on targets when these crashed.

    Attributes
    ----------
    exposure
        The targets that each content has reached and may still reach.
    silences
        When other routers couldn't tell what ran on targets that crashed.

    Examples
    --------
    >>> blame = CrashBlame()
    >>> for name in ("e1", "e2", "e3"):
    ...     _ = blame.record_broken_answer("poison", name, now=0.0)
    ...     blame.lost(name, now=100.0)
    ['poison']
    ['poison']
    ['poison']
    >>> blame.is_poison("poison", now=200.0)
    True
    """

    exposure: Exposure = field(default_factory=lambda: Exposure(MAX_CRASHES))
    silences: RouterSilences = field(default_factory=RouterSilences)
    _broken_answers: dict[str, list[tuple[str, Millis]]] = field(default_factory=dict)
    _records: OrderedDict[str, _Record] = field(default_factory=OrderedDict)
    _forgiven: OrderedDict[str, None] = field(default_factory=OrderedDict)

    def record_broken_answer(self, content: str, target: str, now: Millis) -> list[str]:
        """Record that a target broke off an answer.

        Returns
        -------
        list[str]
            The targets that should be checked by opening a connection.  Empty after
            the first broken answer of a content that isn't blamed yet.  Once a second
            target breaks off the same content, both are returned: otherwise the first
            crash would never be counted.
        """
        recent = [
            (broken_content, at)
            for broken_content, at in self._broken_answers.get(target, [])
            if now - at <= _DETECTION_WINDOW
        ]
        self._broken_answers[target] = [*recent, (content, now)]
        others = [
            name
            for name, broken in self._broken_answers.items()
            if name != target and self._list_recent(broken, now).count(content)
        ]
        if not others and content not in self._records:
            return []
        return [*others, target]

    @staticmethod
    def _list_recent(broken: list[tuple[str, Millis]], now: Millis) -> list[str]:
        return [content for content, at in broken if now - at <= _DETECTION_WINDOW]

    def lost(self, target: str, now: Millis) -> list[str]:
        """Record that a target is gone; return the contents blamed for it."""
        broken = self._broken_answers.pop(target, [])
        blamed = self._list_recent(broken, now)
        for content in blamed:
            self.record_crash(content, target, now)
        return blamed

    def record_crash(self, content: str, target: str, now: Millis) -> None:
        """Record that a content is blamed for a target's crash, here or elsewhere."""
        if target in self._forgiven:
            return
        self.exposure.crashed(content, target, now)
        record = self._records.setdefault(content, _Record())
        record.targets.add(target)
        record.at = now
        self._records.move_to_end(content)
        if len(self._records) > _MAX_RECORDS:
            self._records.popitem(last=False)

    def list_targets(self, content: str) -> list[str]:
        """Return the targets for whose crashes a content is blamed."""
        record = self._records.get(content)
        return sorted(record.targets) if record else []

    def clear(self, content: str) -> None:
        """Clear a content of all blame after a complete answer."""
        self._records.pop(content, None)
        self.exposure.clear(content)

    def forgive(self, target: str) -> None:
        """Hold the crash of a target against no content: its cause is known.

        Contents that only ran there would otherwise be refused after three of these.
        """
        self._forgiven[target] = None
        if len(self._forgiven) > _MAX_FORGIVEN:
            self._forgiven.popitem(last=False)
        for record in self._records.values():
            record.targets.discard(target)
        self.exposure.forgive(target)

    def is_poison(self, content: str, now: Millis) -> bool:
        """Tell whether a content is blamed for enough crashes to be refused."""
        self.exposure.expire(content, now)
        record = self._records.get(content)
        if record is None:
            return False
        if now - record.at > _BLAME_LIFETIME:
            del self._records[content]
            return False
        return len(record.targets) >= MAX_CRASHES
