"""Which targets are leaving, by every sign that there is.

A target leaves by the platform's host list, by its own load report, by the
word of another router, or because it refuses connections.  Each source may be
late or silent, so the first sign from any of them counts, and a target stays
away until every source that gave a sign has taken it back.
"""

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field, replace

HOST_LIST = "host list"
REPORT = "report"
REFUSED = "refused"
_TOLD = (HOST_LIST, REPORT)
"""Signs passed on to peers.  A refused connection may be this router's own
trouble, and a peer's word passed on could outlive its source for ever."""


@dataclass(frozen=True)
class Departures:
    """The signs, by source.

    Examples
    --------
    >>> departures = Departures().take(HOST_LIST, {"e1"}).take(REPORT, {"e1", "e2"})
    >>> sorted(departures.leaving)
    ['e1', 'e2']
    >>> sorted(departures.take(REPORT, set()).leaving)
    ['e1']
    """

    signs: Mapping[str, frozenset[str]] = field(default_factory=dict)

    @property
    def leaving(self) -> frozenset[str]:
        """Return the targets that any source says are leaving."""
        return frozenset().union(*self.signs.values())

    @property
    def told(self) -> frozenset[str]:
        """Return the targets that peers are told of."""
        known = [self.signs[source] for source in _TOLD if source in self.signs]
        return frozenset().union(*known)

    def take(self, source: str, targets: Iterable[str]) -> "Departures":
        """Return the signs after a source gave its whole list."""
        return replace(self, signs={**self.signs, source: frozenset(targets)})

    def mark(self, source: str, target: str, leaving: bool) -> "Departures":
        """Return the signs after a source spoke of one target."""
        old = self.signs.get(source, frozenset())
        new = old | {target} if leaving else old - {target}
        return self if new == old else self.take(source, new)

    def keep_targets(self, sources: Iterable[str], targets: Set[str]) -> "Departures":
        """Return the signs without what some sources said of other targets."""
        kept = {s: self.signs[s] & targets for s in sources if s in self.signs}
        return replace(self, signs={**self.signs, **kept})

    def keep(self, sources: Iterable[str]) -> "Departures":
        """Return the signs of some sources only."""
        kept = set(sources)
        return replace(self, signs={k: v for k, v in self.signs.items() if k in kept})
