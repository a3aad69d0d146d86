"""Choose the routers through which a target is reached while the own path is broken.

Load pattern: all routers of a failure domain lose their links to the targets at once.
Their work comes to the routers of the other domains.  If each cut router asked the
others in a fixed order, one router would carry the work of a whole domain; if it asked
its neighbours first, it would ask only routers that are cut off as well.
"""

import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

_AVOIDED_FOR: Millis = 1 * SECOND
"""How long a router that couldn't help is asked last."""


@dataclass(frozen=True)
class Forwarder:
    """Another router that may forward requests."""

    name: str
    failure_domain: str


@dataclass
class ForwarderChoice:
    """The routers that couldn't help lately, and the choice among the others.

    Examples
    --------
    >>> choice, rng = ForwarderChoice(), random.Random(1)
    >>> peers = [Forwarder("r2", "a"), Forwarder("r3", "b"), Forwarder("r4", "b")]
    >>> choice.avoid(peers[0], now=0.0)
    >>> choice.choose(peers, "a", {"r3": 2}, 10.0, rng).name
    'r4'
    """

    _avoided: dict[str, Millis] = field(default_factory=dict)
    _avoided_domains: dict[str, Millis] = field(default_factory=dict)

    def avoid(self, one: Forwarder, now: Millis) -> None:
        """Record that a router couldn't reach a target that this one can't reach.

        Routers of its failure domain have probably lost the same links.
        """
        self._avoided[one.name] = now + _AVOIDED_FOR
        self._avoided_domains[one.failure_domain] = now + _AVOIDED_FOR

    def accept(self, one: Forwarder) -> None:
        """Record that a router reached a target."""
        self._avoided.pop(one.name, None)
        self._avoided_domains.pop(one.failure_domain, None)

    def choose(
        self,
        peers: Iterable[Forwarder],
        domain: str,
        load: Mapping[str, int],
        now: Millis,
        rng: random.Random,
    ) -> Forwarder | None:
        """Return the router to ask for a connection; None if there is none.

        Parameters
        ----------
        peers
            The routers that haven't been asked for it yet.
        domain
            The target's failure domain.
        load
            Open connections through each router.
        """

        def cost(one: Forwarder) -> tuple[bool, bool, int, bool, float]:
            return (
                self._avoided.get(one.name, 0.0) > now,
                self._avoided_domains.get(one.failure_domain, 0.0) > now,
                load.get(one.name, 0),
                one.failure_domain != domain,
                rng.random(),
            )

        return min(peers, key=cost, default=None)
