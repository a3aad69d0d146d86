"""Choose the routers that keep an organisation's tokens for all routers.

Load pattern: dozens of routers each serve a few requests a second of one organisation,
and all of them lose the platform's store for eight seconds.  If each router held tokens
of its own, a prompt of 40,000 tokens would find only a thirtieth of the remaining
tokens at its router, and every router would write its share and its use to the store.

Therefore two routers, the allocators, hold nearly all tokens that may be spent without
the store, and the other routers request tokens from them in a round trip of
milliseconds.  There are two because one may be killed; the tokens of the other stay
available.
"""

import functools
import hashlib
from collections.abc import Collection

from anvilshift.core.money.recordschedule import is_large_fleet

ALLOCATORS = 2
"""Number of routers that keep one organisation's tokens."""
_CANDIDATE_COUNT = 4
"""Number of routers that keep tokens of any organisation.  Each writes its shares of
all totals to one object; with more writers, most writes would conflict."""
_FEW_KEEPERS = ALLOCATORS
"""The same in a larger fleet whose routers write as rarely as is safe: two write half
as many records as four, and conflict less."""
_MOST_ASKING_ROUTERS = 100
"""Largest fleet in which so few keep tokens: each request of another router may ask
one of them."""

_MAX_CACHED_HASHES = 8_192
"""Hashes kept: those of a fleet of a thousand routers, and of the four candidates with
each of a thousand organisations."""


def list_allocators(organisation: str, routers: Collection[str]) -> tuple[str, ...]:
    """Return the routers that keep an organisation's tokens, in order of rank.

    With rendezvous hashing, when a router leaves or joins, the allocators change only
    for organisations kept, before or after, by it or by the candidate exchanged for it.

    Examples
    --------
    >>> list_allocators("pounds", ["r1"])
    ('r1',)
    >>> before = list_allocators("pounds", ["r1", "r2", "r3"])
    >>> after = list_allocators("pounds", {"r1", "r2", "r3"} - {before[0]})
    >>> after[0] == before[1]
    True
    """
    return list_candidates(organisation, routers)[:ALLOCATORS]


def list_candidates(
    organisation: str, routers: Collection[str], keepers: int = _CANDIDATE_COUNT
) -> tuple[str, ...]:
    """Return the routers that may draw an organisation's tokens, in order of rank.

    The first are its allocators, and the others their deputies, who draw while no
    allocator answers.

    Parameters
    ----------
    keepers
        Number of routers that keep tokens of any organisation.

    Examples
    --------
    >>> routers = [f"r{n}" for n in range(30)]
    >>> candidates = list_candidates("pounds", routers)
    >>> len(candidates), candidates[:2] == list_allocators("pounds", routers)
    (4, True)
    """
    candidates = rank_routers("", routers)[:_CANDIDATE_COUNT]
    first = rank_routers(organisation, candidates[:keepers])
    return (*first, *rank_routers(organisation, candidates[keepers:]))


def count_keepers(routers: int, is_sparing: bool) -> int:
    """Return how many routers keep tokens of any organisation.

    Parameters
    ----------
    is_sparing
        Whether the routers of a larger fleet write as rarely as is safe.

    Examples
    --------
    >>> count_keepers(3, True), count_keepers(5, True), count_keepers(22, True)
    (3, 4, 2)
    >>> count_keepers(22, False), count_keepers(300, True)
    (4, 4)
    """
    if is_sparing and is_large_fleet(routers) and routers <= _MOST_ASKING_ROUTERS:
        return _FEW_KEEPERS
    return min(routers, _CANDIDATE_COUNT)


def rank_routers(key: str, routers: Collection[str]) -> list[str]:
    """Return routers in the order of their rendezvous hashes with a key."""
    return sorted(routers, key=lambda router: (_compute_hash(key, router), router))


def find_position(router: str) -> float:
    """Return a number from 0 to 1 that spreads what routers do at the same time.

    Examples
    --------
    >>> 0.0 <= find_position("r1") < 1.0, find_position("r1") == find_position("r2")
    (True, False)
    """
    return int.from_bytes(_compute_hash("position", router)) / 2.0**64


@functools.lru_cache(maxsize=_MAX_CACHED_HASHES)
def _compute_hash(key: str, router: str) -> bytes:
    return hashlib.blake2b(f"{key}/{router}".encode(), digest_size=8).digest()


class AllocatorMap:
    """The allocators of each organisation's tokens among the live routers.

    Parameters
    ----------
    own
        Name of this router.
    is_sparing
        Whether the routers of a larger fleet write as rarely as is safe.

    Examples
    --------
    >>> allocators = AllocatorMap("r1")
    >>> allocators.is_allocator("pounds")
    True
    >>> allocators.set_routers({"r1", "r2", "r3", "r4", "r5"})
    True
    >>> len(allocators.list_allocators("pounds"))
    2
    """

    def __init__(self, own: str, is_sparing: bool = False) -> None:
        self.own = own
        self.is_sparing = is_sparing
        self.routers = frozenset({own})
        self._candidates: dict[str, tuple[str, ...]] = {}

    def set_routers(self, routers: Collection[str]) -> bool:
        """Set the live routers; return whether they changed."""
        if self.routers == routers:
            return False
        self.routers = frozenset(routers)
        self._candidates.clear()
        return True

    def list_allocators(self, organisation: str) -> tuple[str, ...]:
        """Return the allocators of an organisation's tokens, in order of rank."""
        return self._list_candidates(organisation)[:ALLOCATORS]

    def _list_candidates(self, organisation: str) -> tuple[str, ...]:
        if organisation not in self._candidates:
            found = list_candidates(organisation, self.routers, self.count_allocators())
            self._candidates[organisation] = found
        return self._candidates[organisation]

    def is_allocator(self, organisation: str) -> bool:
        """Tell whether this router is an allocator of an organisation's tokens."""
        return self.own in self.list_allocators(organisation)

    def find_rank(self, organisation: str) -> int | None:
        """Return this router's rank among the allocators, from 0; None if none."""
        allocators = self.list_allocators(organisation)
        return allocators.index(self.own) if self.own in allocators else None

    def list_others(self, organisation: str) -> tuple[str, ...]:
        """Return the allocators other than this router, in order of rank."""
        allocators = self.list_allocators(organisation)
        return tuple(one for one in allocators if one != self.own)

    def list_deputies(self, organisation: str) -> tuple[str, ...]:
        """Return the routers to ask if no allocator answers, in order of rank.

        The tuple is empty if this router is one of the candidates itself: it may draw.
        """
        candidates = self._list_candidates(organisation)
        return () if self.own in candidates else candidates[ALLOCATORS:]

    def count_allocators(self) -> int:
        """Return how many routers keep tokens of any organisation."""
        return count_keepers(len(self.routers), self.is_sparing)
