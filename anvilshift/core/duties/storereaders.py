"""Choose the routers that follow the platform's store for others.

Load pattern: ninety routers watch the same few objects, each watch is a call that is
paid for however little changes, and the store's rate grows more slowly than the fleet.

In a large fleet one router of each failure domain watches the store, and the others of
the domain ask it.  Every router finds the readers by hashing, so that nobody has to
agree on them; a router that sees others than the rest reads the store itself for a
moment, which costs calls and nothing else.
"""

from collections.abc import Collection
from dataclasses import dataclass

from anvilshift.core.homes import rank_targets

SMALLEST_SHARING_FLEET = 9
"""Smallest fleet in which routers share watches: in a smaller one each watch is among
few, and a reader's loss would concern a large part of the routers."""
_SMALLEST_DOMAIN = 3
"""Fewest routers of a failure domain that share its reader's watches."""
_KEY = "store reader"


@dataclass(frozen=True)
class ReaderCandidate:
    """A router that may read the store for others.

    Parameters
    ----------
    reaches_store
        Whether its own last call to the store was answered.
    """

    router: str
    failure_domain: str
    reaches_store: bool = True


def is_sharing_domain(candidates: Collection[ReaderCandidate], domain: str) -> bool:
    """Tell whether the routers of a failure domain share what they read of the store.

    Examples
    --------
    >>> fleet = [ReaderCandidate(f"n{n}", "north") for n in range(9)]
    >>> is_sharing_domain(fleet, "north"), is_sharing_domain(fleet, "south")
    (True, False)
    """
    near = sum(one.failure_domain == domain for one in candidates)
    return len(candidates) >= SMALLEST_SHARING_FLEET and near >= _SMALLEST_DOMAIN


def choose_readers(
    candidates: Collection[ReaderCandidate], domain: str, most: int
) -> tuple[str, ...]:
    """Return the routers that read the store for a domain, the first choice first.

    Parameters
    ----------
    candidates
        All present routers that aren't leaving.
    most
        Readers wanted; 0 if every router reads for itself.

    Returns
    -------
    tuple of str
        Empty where every router reads for itself.

    Examples
    --------
    >>> fleet = [ReaderCandidate(f"n{n}", "north") for n in range(9)]
    >>> readers = choose_readers(fleet, "north", most=1)
    >>> len(readers), choose_readers(fleet[:8], "north", most=1)
    (1, ())
    """
    if not is_sharing_domain(candidates, domain):
        return ()
    able = [
        one.router
        for one in candidates
        if one.failure_domain == domain and one.reaches_store
    ]
    return tuple(rank_targets(f"{_KEY}/{domain}", able, most))
