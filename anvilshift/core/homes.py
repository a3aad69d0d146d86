"""Fix the few targets that one content may cost, by the content alone.

Load pattern: copies of a request that crashes its target reach many routers at
once, before any can tell the others, or while they are cut off from one another.
Were targets chosen by what a router knows at that instant (room, caches, who is in
use), each router would lose other ones.

Every target gets a score from the content and its own name, and the content's homes
are the two or three highest.  A target that comes or goes changes the homes of a
content only where it is one of them.  Each further one is taken from another failure
domain where one of the next few has another, so that the loss of a domain leaves
most contents one of their homes.

References
----------
Thaler, Ravishankar: Using name-based mappings to increase hit rates, 1998
(highest random weight).
"""

import functools
import hashlib
import heapq
from collections.abc import Iterable, Mapping

from anvilshift.core.exposure import TARGETS

_NEXT = 3
"""Targets after a home among which one of another failure domain is looked for:
with three domains all of these are of the first's once in 27 contents."""
_MASK = (1 << 64) - 1
_ODD = 0x9E3779B97F4A7C15
_SPREAD = 32


@functools.lru_cache(maxsize=20_000)
def _hash_name(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _score(content: int, target: int) -> int:
    """Return a target's score for a content; all scores are equally likely."""
    mixed = ((content ^ target) * _ODD) & _MASK
    return ((mixed ^ (mixed >> _SPREAD)) * _ODD) & _MASK


def rank_targets(content: str, names: Iterable[str], most: int) -> list[str]:
    """Return the targets with a content's highest scores, the highest first.

    Examples
    --------
    >>> ranked = rank_targets("c1", ["e1", "e2", "e3"], most=3)
    >>> [n for n in ranked if n != "e2"] == rank_targets("c1", ["e1", "e3"], most=3)
    True
    """
    digest = hashlib.blake2b(content.encode(), digest_size=8).digest()
    hashed = int.from_bytes(digest, "big")
    scored = ((_score(hashed, _hash_name(name)), name) for name in names)
    return [name for _, name in heapq.nlargest(most, scored)]


def choose_homes(
    content: str, domains: Mapping[str, str], most: int = TARGETS
) -> tuple[str, ...]:
    """Return the targets of a content, the first first.

    Parameters
    ----------
    domains
        Each target's failure domain.
    most
        Targets that one content may cost.

    Examples
    --------
    >>> len(choose_homes("c1", {"e1": "north", "e2": "north", "e3": "south"}))
    2
    """
    ranked = rank_targets(content, domains, most + _NEXT - 1)
    homes: list[str] = []
    while ranked and len(homes) < most:
        met = {domains[name] for name in homes}
        others = [name for name in ranked[:_NEXT] if domains[name] not in met]
        homes.append((others or ranked)[0])
        ranked.remove(homes[-1])
    return tuple(homes)
