"""Choose the routers that keep an organisation's tokens for all others.

Load pattern: dozens of routers serve one organisation a few requests a second each,
and all of them lose the platform's store for eight seconds.  If each held tokens of
its own, a prompt of 40,000 tokens would find a thirtieth of what is left at its
router, and every router would write its share and its use into the store.

So two routers keep nearly all that may be spent without the store, and the others
ask them, a round trip of milliseconds.  Two, because one may be killed: the other
half stays in reach.
"""

import hashlib
from collections.abc import Collection

KEEPERS = 2
"""Routers that keep one organisation's tokens."""
_CANDIDATES = 4
"""Routers that keep any organisation's tokens: each of them writes its share of all
totals into one object, and more would mostly meet each other's writes."""


def list_keepers(organisation: str, routers: Collection[str]) -> tuple[str, ...]:
    """Return the routers that keep an organisation's tokens, first one first.

    Rendezvous hashing: when a router goes or comes, only the organisations that it
    kept or will keep move.

    Examples
    --------
    >>> list_keepers("pounds", ["r1"])
    ('r1',)
    >>> before = list_keepers("pounds", ["r1", "r2", "r3"])
    >>> after = list_keepers("pounds", {"r1", "r2", "r3"} - {before[0]})
    >>> after[0] == before[1]
    True
    """
    candidates = rank_routers("", routers)[:_CANDIDATES]
    return tuple(rank_routers(organisation, candidates)[:KEEPERS])


def rank_routers(key: str, routers: Collection[str]) -> list[str]:
    """Return routers in an order that a key fixes, by rendezvous hashing."""
    return sorted(routers, key=lambda router: (_weigh(key, router), router))


def _weigh(key: str, router: str) -> bytes:
    return hashlib.blake2b(f"{key}/{router}".encode(), digest_size=8).digest()


class KeeperMap:
    """Who keeps which organisation's tokens among the routers that are there.

    Examples
    --------
    >>> keepers = KeeperMap("r1")
    >>> keepers.is_keeper("pounds")
    True
    >>> keepers.set_routers({"r1", "r2", "r3", "r4", "r5"})
    True
    >>> len(keepers.list_keepers("pounds"))
    2
    """

    def __init__(self, own: str) -> None:
        self.own = own
        self.routers = frozenset({own})
        self._known: dict[str, tuple[str, ...]] = {}

    def set_routers(self, routers: Collection[str]) -> bool:
        """Take in which routers are there; tell whether that changed."""
        if self.routers == routers:
            return False
        self.routers = frozenset(routers)
        self._known.clear()
        return True

    def list_keepers(self, organisation: str) -> tuple[str, ...]:
        """Return the keepers of an organisation's tokens, first one first."""
        if organisation not in self._known:
            self._known[organisation] = list_keepers(organisation, self.routers)
        return self._known[organisation]

    def is_keeper(self, organisation: str) -> bool:
        """Tell whether this router keeps an organisation's tokens."""
        return self.own in self.list_keepers(organisation)

    def find_rank(self, organisation: str) -> int | None:
        """Return this router's place among the keepers, 0 first; None if it is none."""
        keepers = self.list_keepers(organisation)
        return keepers.index(self.own) if self.own in keepers else None

    def list_others(self, organisation: str) -> tuple[str, ...]:
        """Return the keepers other than this router, first one first."""
        keepers = self.list_keepers(organisation)
        return tuple(one for one in keepers if one != self.own)

    def count_recording(self) -> int:
        """Return how many routers keep tokens of any organisation."""
        return min(len(self.routers), _CANDIDATES)
