"""When routes last began to lead to other services."""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis
from anvilshift.core.routing import Rule


@dataclass
class RouteChanges:
    """The services of each route, and when they last changed.

    Examples
    --------
    >>> from anvilshift.core.routing import RequestKind
    >>> chat = Rule("r1", "a", "/x/", RequestKind.STREAMING, (("s1", 1.0),), 1e3, 1e3)
    >>> changes = RouteChanges()
    >>> changes.update([chat], now=0.0)
    >>> changes.has_settled(chat, 20_000.0, now=19_000.0)
    False
    >>> changes.has_settled(chat, 20_000.0, now=20_000.0)
    True
    """

    _since: Millis = math.inf
    _services: dict[str, tuple[tuple[str, float], ...]] = field(default_factory=dict)
    _changed: dict[str, Millis] = field(default_factory=dict)

    def update(self, rules: Iterable[Rule], now: Millis) -> None:
        """Record the routes that are in force from now on."""
        self._since = min(self._since, now)
        current = {_name(rule): rule.services for rule in rules}
        for name, services in current.items():
            # A route that is back may have led elsewhere before.
            if self._services and self._services.get(name) != services:
                self._changed[name] = now
        self._services = current

    def adopt(
        self, covered: Millis, changed: Iterable[tuple[str, Millis]], now: Millis
    ) -> None:
        """Take over what another router has seen.

        Parameters
        ----------
        covered
            Time for which that router has followed the routes; 0 if it doesn't say.
        changed
            Names of routes, each with the time since it changed.
        """
        if covered > 0.0:
            self._since = min(self._since, now - covered)
        for name, ago in changed:
            known = self._changed.get(name, -math.inf)
            self._changed[name] = max(known, now - ago)

    def note_beginning(self, window: Millis, now: Millis) -> None:
        """Record that there was no route for a time, until now."""
        self._since = min(self._since, now - window)

    def list_changed(
        self, within: Millis, now: Millis
    ) -> tuple[tuple[str, Millis], ...]:
        """Return the routes that changed within a time, each with the time since."""
        ages = ((name, now - at) for name, at in self._changed.items())
        return tuple((name, ago) for name, ago in ages if ago <= within)

    def find_covered(self, now: Millis) -> Millis:
        """Return the time for which the routes have been followed."""
        return max(0.0, now - self._since)

    def has_settled(self, rule: Rule, window: Millis, now: Millis) -> bool:
        """Return whether a route has led to the same services for a time."""
        changed = self._changed.get(_name(rule), -math.inf)
        return now - max(self._since, changed) >= window


def _name(rule: Rule) -> str:
    return f"{rule.host}{rule.prefix}"
