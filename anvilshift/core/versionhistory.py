"""Which versions of a service's software have served lately.

Load pattern: callers take up streams of which no router was told, as after a loss of
all routers.  Such a stream began at the only version that its service has had for as
long as callers may come back.
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
_MAX_LAG: Millis = 15 * SECOND
"""Time by which one router may read the register or the configuration later than
another: the longest watch on a connection that has fallen silent."""
SETTLING_TIME: Millis = MAX_LIFETIME + _MAX_LAG
"""Time since which nothing may have changed where the origin of a stream is inferred:
the longest wait of a caller, and the lag of the router that began the stream."""


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
    _is_observed: bool = False
    _seen: dict[str, dict[str | None, Millis]] = field(
        default_factory=lambda: defaultdict(dict)
    )

    def observe(self, targets: Iterable[TargetInfo], now: Millis) -> None:
        """Record the targets that are registered, while the register is being read."""
        if now - self._last > _MAX_GAP:
            self._since = now
        self._last = now
        self._is_observed = True
        for info in targets:
            self._seen[info.service][info.version] = now

    def note(self, service: str, version: str | None, now: Millis) -> bool:
        """Record a version that serves; return whether it wasn't known to serve."""
        seen = self._seen[service]
        before = seen.get(version, -math.inf)
        seen[version] = max(before, now)
        is_new = now - before > SETTLING_TIME
        if is_new:
            lately = (
                (one, at) for one, at in seen.items() if now - at <= SETTLING_TIME
            )
            self._seen[service] = dict(lately)
        return is_new

    def note_beginning(self, now: Millis) -> None:
        """Record that no stream has begun anywhere until now."""
        self._since = min(self._since, now - SETTLING_TIME)
        self._last = max(self._last, now)

    def note_list(self, confirmed: Millis, now: Millis) -> None:
        """Record that the register is read as a whole, without what came between.

        Parameters
        ----------
        confirmed
            Instant until which every change of the register had been read before.
        """
        if self._is_observed and now - confirmed > _MAX_GAP:
            self.restart()

    def list_seen(self, now: Millis) -> tuple[tuple[str, str | None, Millis], ...]:
        """Return the versions that served lately, each with the time since then."""
        return tuple(
            (service, version, now - at)
            for service, versions in self._seen.items()
            for version, at in versions.items()
            if now - at <= SETTLING_TIME
        )

    def find_covered(self, now: Millis) -> Millis:
        """Return the time for which all versions have been seen, until now."""
        is_current = self._is_observed and now - self._last <= _MAX_GAP
        return max(0.0, now - self._since) if is_current else 0.0

    def adopt(
        self,
        covered: Millis,
        seen: Iterable[tuple[str, str | None, Millis]],
        began: Millis,
        now: Millis,
    ) -> None:
        """Take over what another router has seen.

        A message may be late.  It was sent after this router had made itself known, so
        what the other one has seen joins up with what this one sees if that began soon
        after.

        Parameters
        ----------
        covered
            Time for which the other router had seen all versions, until it sent this.
        seen
            Services and versions, each with the time since it was last seen.
        began
            When this router made itself known to the others.
        """
        for service, version, ago in seen:
            self.note(service, version, now - ago)
        is_late = self._is_observed and self._since - began > _MAX_GAP
        if is_late or now - covered >= min(self._since, now):
            return
        self._since = now - covered
        self._last = max(self._last, began)

    def restart(self) -> None:
        """Begin anew: targets may have come and gone unseen."""
        self._since = math.inf
        self._last = -math.inf
        self._is_observed = False

    def find_only(self, service: str, window: Millis, now: Millis) -> str | None:
        """Return a service's only version; None if there were others, or may have been.

        A target of unknown version may have had any.

        Parameters
        ----------
        window
            Time since which no other version must have been there.
        """
        if self.find_covered(self._last) < window or now - self._last > _MAX_GAP:
            return None
        seen = self._seen.get(service, {})
        lately = [one for one, at in seen.items() if now - at <= window]
        return lately[0] if len(lately) == 1 else None
