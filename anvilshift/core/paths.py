"""Tell a broken path to a target from a broken target.

Load pattern: a router loses its own links to some or all targets, while callers and
the other routers still reach it.  Its connections are reset, hang or can't be opened.
If it read that as failures of the targets, it would refuse every request although
each of the other routers could send it.

A path counts as broken once this router can't connect to a target that another router
reaches at the same time.  Requests then go through another router.  Connections that
are still open may work: those that have received bytes since the break are used.

If the paths to several targets break and no connection to any target opens, the rest
are assumed to be broken as well: in a cut that swallows packets, each of them would
otherwise cost a request and the time in which it fails.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

_SERVICE_SILENCE: Millis = 300.0
_ENGINE_SILENCE: Millis = 800.0
"""Time without a byte from a plain service, and from a model engine, whose answer is
due, after which the path is checked.  An engine is silent while it reads a long prompt,
and a connection opened just to look delays it further."""
_DOUBTED_SILENCE: Millis = 100.0
"""The same for all targets while another path has broken just now."""
_CHECK_INTERVAL: Millis = 1 * SECOND
"""Least time between two checks of a path, as each opens a connection."""
_FIRST_PROBE: Millis = 300.0
_MAX_PROBE_INTERVAL: Millis = 1.5 * SECOND
"""Bounds of the time between two probes of a broken path, which doubles each time."""
_CUT_TARGETS = 2
"""Broken paths from which on the other paths are doubted."""
_CUT_WINDOW: Millis = 2 * SECOND
"""Time within which these paths must have broken."""


@dataclass
class TargetPath:
    """What one router knows of its own way to one target.

    Attributes
    ----------
    heard
        When a direct connection to the target was last opened or received bytes.
    broken_at
        When the path was found broken; None while it works.
    next_probe, interval
        When a broken path is probed next, and the time between two probes.
    checked
        When a silent path was last checked.
    """

    heard: Millis = -math.inf
    broken_at: Millis | None = None
    next_probe: Millis = 0.0
    interval: Millis = _FIRST_PROBE
    checked: Millis = -math.inf


@dataclass
class TargetPaths:
    """The paths of one router to the targets, by the targets' names.

    Attributes
    ----------
    doubted_at
        Since when all paths are doubted; None while they aren't.

    Examples
    --------
    >>> paths = TargetPaths()
    >>> paths.is_direct("e1"), paths.break_path("e1", now=100.0), paths.is_direct("e1")
    (True, True, False)
    >>> paths.is_direct("e2"), paths.break_path("e2", now=150.0), paths.is_direct("e3")
    (True, True, False)
    >>> paths.hear("e3", now=160.0)
    >>> paths.is_direct("e3"), paths.list_due(now=450.0)
    (True, ['e1', 'e2'])
    >>> paths.restore("e1", now=460.0), paths.is_direct("e1"), paths.is_direct("e2")
    (True, True, False)
    """

    doubted_at: Millis | None = None
    _paths: dict[str, TargetPath] = field(default_factory=dict)
    _broken: set[str] = field(default_factory=set)

    def _find(self, name: str) -> TargetPath:
        return self._paths.setdefault(name, TargetPath())

    def is_direct(self, name: str) -> bool:
        """Tell whether requests to a target are sent on connections of this router."""
        return self.find_break(name) is None

    def find_break(self, name: str) -> Millis | None:
        """Return since when a path is broken or doubted; None if it is in use.

        Open connections that received bytes later than this still work.
        """
        path = self._find(name)
        if path.broken_at is not None:
            return path.broken_at
        if self.doubted_at is not None and path.heard < self.doubted_at:
            return self.doubted_at
        return None

    def hear(self, name: str, now: Millis) -> None:
        """Record that a connection to a target opened or received bytes."""
        path = self._find(name)
        path.heard = max(path.heard, now)

    def break_path(self, name: str, now: Millis) -> bool:
        """Record that only others reach a target; return whether that is new."""
        path = self._find(name)
        if path.broken_at is not None:
            return False
        path.broken_at = now
        self._broken.add(name)
        path.interval = _FIRST_PROBE
        path.next_probe = now + path.interval
        self._doubt_others(now)
        return True

    def _doubt_others(self, now: Millis) -> None:
        recent = self._list_recent_breaks(now)
        if self.doubted_at is None and len(recent) >= _CUT_TARGETS:
            self.doubted_at = min(recent)

    def _list_recent_breaks(self, now: Millis) -> list[Millis]:
        breaks = [self._paths[name].broken_at for name in self._broken]
        return [at for at in breaks if at is not None and now - at <= _CUT_WINDOW]

    def restore(self, name: str, now: Millis) -> bool:
        """Record that a connection to a target opened; return whether that is new.

        The paths that were only doubted are in use again too.
        """
        path = self._find(name)
        was_broken = path.broken_at is not None
        path.broken_at = None
        self._broken.discard(name)
        path.heard = max(path.heard, now)
        if was_broken:
            self.doubted_at = None
        return was_broken

    def forget(self, name: str) -> None:
        """Forget the path to a target that nobody reaches: the target is at fault."""
        self._paths.pop(name, None)
        self._broken.discard(name)
        if not self._broken:
            self.doubted_at = None

    def retain(self, names: Collection[str]) -> None:
        """Forget the paths to all but some targets."""
        for name in self._paths.keys() - set(names):
            self.forget(name)

    def should_check(
        self, name: str, due: Millis, is_engine: bool, now: Millis
    ) -> bool:
        """Tell whether a path must be checked because its target is silent.

        Parameters
        ----------
        due
            When the target was expected to begin the oldest answer that it owes.
        """
        path = self._find(name)
        silent = now - max(path.heard, due)
        checked_lately = now - path.checked < _CHECK_INTERVAL
        limit = _ENGINE_SILENCE if is_engine else _SERVICE_SILENCE
        if self._list_recent_breaks(now):
            limit = _DOUBTED_SILENCE
        return silent >= limit and not checked_lately and self.is_direct(name)

    def note_check(self, name: str, now: Millis) -> None:
        """Record that the check of a path has begun."""
        self._find(name).checked = now

    def is_verified(self, name: str, since: Millis) -> bool:
        """Tell whether the path worked at about some instant or later."""
        path = self._find(name)
        recently_checked = path.checked >= since - _CHECK_INTERVAL
        return path.heard >= since or (recently_checked and path.heard >= path.checked)

    def list_broken(self) -> list[str]:
        """Return the targets whose paths are broken."""
        return sorted(self._broken)

    def list_due(self, now: Millis) -> list[str]:
        """Return the targets whose broken paths are to be probed now."""
        return [
            name for name in self.list_broken() if now >= self._paths[name].next_probe
        ]

    def note_probe(self, name: str, now: Millis) -> None:
        """Record that the probe of a broken path has begun."""
        path = self._find(name)
        path.interval = min(_MAX_PROBE_INTERVAL, 2.0 * path.interval)
        path.next_probe = now + path.interval
