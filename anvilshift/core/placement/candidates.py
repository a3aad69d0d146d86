"""Draw the targets among which one request chooses.

Load pattern: forty routers hear of each other's requests late or not at all, and know
which target is the fastest.  If each chose among all targets, all requests of a moment
would be sent there: equal targets spread them by lot, unequal ones don't.

Each request compares a fifth of the targets, drawn by lot, so that about a fifth of the
requests of a moment go to the best of them.  Targets with its prompt cached, and those
of its own failure domain, are drawn apart from the others, so that both kinds are among
those compared.

References
----------
Mitzenmacher: How useful is old information?, 2000.
"""

import random
from collections.abc import Callable, Hashable, Iterable
from typing import TypeVar

FRACTION = 0.2
"""Part of the targets that a request compares."""
LEAST = 2
"""Targets that it compares at least: two avoid most of the badly loaded ones."""

Target = TypeVar("Target")


def draw_candidates(
    targets: Iterable[Target],
    group: Callable[[Target], Hashable],
    rng: random.Random,
) -> list[Target]:
    """Return some targets of each group.

    Examples
    --------
    >>> drawn = draw_candidates(range(40), lambda n: n < 10, random.Random(1))
    >>> sum(n < 10 for n in drawn), sum(n >= 10 for n in drawn)
    (2, 6)
    """
    groups: dict[Hashable, list[Target]] = {}
    for target in targets:
        groups.setdefault(group(target), []).append(target)
    return [
        target
        for members in groups.values()
        for target in rng.sample(members, _count(len(members)))
    ]


def _count(size: int) -> int:
    return min(size, max(LEAST, round(size * FRACTION)))
