"""Which targets are leaving, according to all sources of information.

The platform's host list, the target's own load report or another router may
state that a target is leaving, and a target that refuses connections counts as
leaving too.  Each source may be late or silent, so the first statement from any
of them takes effect.  The target counts as leaving until every source that
reported it has withdrawn its statement.
"""

from collections.abc import Iterable, Mapping, Set
from dataclasses import dataclass, field, replace

HOST_LIST = "host list"
REPORT = "report"
REFUSED = "refused"
_FORWARDED_SOURCES = (HOST_LIST, REPORT)
"""Sources whose statements are forwarded to peers.  A refused connection may be due
to a fault of this router.  Statements of peers aren't forwarded, because they could
circulate between routers for ever after the source withdrew them."""


@dataclass(frozen=True)
class Departures:
    """The targets that are leaving, by source of the statement.

    Parameters
    ----------
    signs
        By source, the targets that it states are leaving.

    Examples
    --------
    >>> departures = Departures().replace_source(HOST_LIST, {"e1"})
    >>> departures = departures.replace_source(REPORT, {"e1", "e2"})
    >>> sorted(departures.leaving)
    ['e1', 'e2']
    >>> sorted(departures.replace_source(REPORT, set()).leaving)
    ['e1']
    """

    signs: Mapping[str, frozenset[str]] = field(default_factory=dict)

    @property
    def leaving(self) -> frozenset[str]:
        """Return the targets that at least one source states are leaving."""
        return frozenset().union(*self.signs.values())

    @property
    def told(self) -> frozenset[str]:
        """Return the leaving targets that peers are informed of."""
        known = [
            self.signs[source] for source in _FORWARDED_SOURCES if source in self.signs
        ]
        return frozenset().union(*known)

    def replace_source(self, source: str, targets: Iterable[str]) -> "Departures":
        """Return the departures after replacing the whole list of a source."""
        return replace(self, signs={**self.signs, source: frozenset(targets)})

    def mark(self, source: str, target: str, leaving: bool) -> "Departures":
        """Return the departures after a source reported on one target."""
        old = self.signs.get(source, frozenset())
        new = old | {target} if leaving else old - {target}
        return self if new == old else self.replace_source(source, new)

    def restrict_targets(
        self, sources: Iterable[str], targets: Set[str]
    ) -> "Departures":
        """Return the departures with the lists of some sources limited to targets."""
        kept = {s: self.signs[s] & targets for s in sources if s in self.signs}
        return replace(self, signs={**self.signs, **kept})

    def keep(self, sources: Iterable[str]) -> "Departures":
        """Return the departures as stated by some sources only."""
        kept = set(sources)
        return replace(self, signs={k: v for k, v in self.signs.items() if k in kept})
