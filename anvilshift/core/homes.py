"""Choose the home targets of a content by rendezvous hashing.

Load pattern: copies of a request that crashes its target reach many routers at once,
before any router can inform the others, or while the routers are partitioned.  If each
router chose targets by its own current state (free capacity, caches, which targets are
in use), the copies would crash different targets through each router.

Every target gets a score from the content and its own name, and the content's homes
are the two or three targets with the highest scores.  Adding or removing a target
changes the homes of a content only where the target is one of them.  Each further home
is taken from a failure domain not used so far if one of the next few targets is in such
a domain, so that the loss of a domain leaves most contents one of their homes.

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

_DOMAIN_LOOKAHEAD = 3
"""Next-ranked targets that are searched for one in another failure domain.  With three
domains, all three are in the first home's domain for one content in 27."""
_MASK = (1 << 64) - 1
_MULTIPLIER = 0x9E3779B97F4A7C15
_SHIFT = 32


@functools.lru_cache(maxsize=20_000)
def _hash_name(name: str) -> int:
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def _score(content: int, target: int) -> int:
    """Return a target's score for a content; all scores are equally likely."""
    mixed = ((content ^ target) * _MULTIPLIER) & _MASK
    return ((mixed ^ (mixed >> _SHIFT)) * _MULTIPLIER) & _MASK


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
    """Return the home targets of a content, the one with the highest score first.

    Parameters
    ----------
    domains
        Failure domain of each target, by the target's name.
    most
        Number of homes: the targets that one content may crash.

    Examples
    --------
    >>> len(choose_homes("c1", {"e1": "north", "e2": "north", "e3": "south"}))
    2
    """
    ranked = rank_targets(content, domains, most + _DOMAIN_LOOKAHEAD - 1)
    homes: list[str] = []
    while ranked and len(homes) < most:
        used_domains = {domains[name] for name in homes}
        others = [
            name
            for name in ranked[:_DOMAIN_LOOKAHEAD]
            if domains[name] not in used_domains
        ]
        homes.append((others or ranked)[0])
        ranked.remove(homes[-1])
    return tuple(homes)
