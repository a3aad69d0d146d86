"""Which versions of a service's software have served lately.

A stream of which nothing else is known began at the only version that its service has
had for as long as streams last.
"""

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.origins import MAX_LIFETIME
from anvilshift.core.targetload import TargetInfo

_MAX_GAP: Millis = 2 * SECOND
"""Time in which no target can register, begin a stream and be gone from the register:
one that leaves stays for this long, and one that crashes for some heartbeats."""


@dataclass
class VersionHistory:
    """The versions of each service, and when a target had them last.

    Examples
    --------
    >>> history = VersionHistory()
    >>> target = TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8, version="v1")
    >>> for now in range(0, 21_000, 1_000):
    ...     history.observe([target], now)
    >>> history.find_only("advice", window=20_000.0, now=20_000.0)
    'v1'
    """

    _since: Millis = math.inf
    _last: Millis = -math.inf
    _seen: dict[str, dict[str | None, Millis]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def observe(self, targets: Iterable[TargetInfo], now: Millis) -> None:
        """Record the targets that are registered, while the register is being read."""
        if now - self._last > _MAX_GAP:
            self._since = now
            self._seen.clear()
        self._last = now
        for info in targets:
            self._seen[info.service][info.version] = now

    def list_gone(self, now: Millis) -> tuple[tuple[str, str | None, Millis], ...]:
        """Return the versions that no target has now, each with the time since then."""
        return tuple(
            (service, version, now - at)
            for service, versions in self._seen.items()
            for version, at in versions.items()
            if _MAX_GAP < now - at <= MAX_LIFETIME
        )

    def find_covered(self, now: Millis) -> Millis:
        """Return the time for which all versions have been seen, until now."""
        return max(0.0, now - self._since) if now - self._last <= _MAX_GAP else 0.0

    def adopt(
        self,
        covered: Millis,
        gone: Iterable[tuple[str, str | None, Millis]],
        now: Millis,
    ) -> None:
        """Take over what a router has seen that has run for longer than this one."""
        if now - covered >= min(self._since, now):
            return
        self._since = now - covered
        self._last = max(self._last, now)
        for service, version, ago in gone:
            seen = self._seen[service]
            seen[version] = max(seen.get(version, -math.inf), now - ago)

    def restart(self) -> None:
        """Begin anew: targets may have come and gone unseen."""
        self._last = -math.inf

    def find_only(self, service: str, window: Millis, now: Millis) -> str | None:
        """Return a service's only version; None if there were others, or may have been.

        A target of unknown version may have had any.

        Parameters
        ----------
        window
            Time since which no other version must have been there.
        """
        is_covered = self._last - self._since >= window
        if not is_covered or now - self._last > _MAX_GAP:
            return None
        seen = self._seen.get(service, {})
        lately = [one for one, at in seen.items() if now - at <= window]
        return lately[0] if len(lately) == 1 else None
