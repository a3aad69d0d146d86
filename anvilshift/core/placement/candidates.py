"""Choose a target for work from a small sample of candidates.

Load pattern: targets differ in occupancy, speed and cached prefixes.  Round robin
sends work to full targets while others have free slots, and every target computes
the same prompt prefixes.

The candidates are a few targets with free slots and a few that have the prompt's
prefix in their caches; the one with the lowest predicted run time is chosen.  A
content is always tried at its own targets first; work without content samples
targets at random.  The cost of a small sample doesn't grow with the number of
targets, and its best target is close to the best of all.  As samples differ between
contents, many routers don't choose the same target at the same time.

References
----------
Mitzenmacher: The power of two choices in randomized load balancing, 2001.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from anvilshift.core.clock import Millis

DRAWN = 4
"""Targets sampled for a request without content: two bring most of the gain, four
make it likely that one of them is in the router's own failure domain."""
HOLDERS = 2
"""Targets added to the sample that have the prompt's prefix in their caches."""
_REMOTE_MS: Millis = 2.0
"""Round trip between failure domains, twice the one-way latency that users gave."""


@dataclass(frozen=True)
class Option:
    """A candidate target.

    Parameters
    ----------
    occupancy
        Its requests relative to its slots.
    ratio
        Its run times relative to the expected ones.
    held
        Fraction of the prompt's prefix that is assumed to be in its cache.
    remote
        Whether it is in another failure domain than the router.
    """

    name: str
    occupancy: float
    ratio: float = 1.0
    held: float = 0.0
    remote: bool = False


def predict(option: Option, service: Millis, saving: Millis) -> Millis:
    """Return the predicted run time of work at a target.

    Run time grows about in proportion to the occupancy of the target's batch, and
    requests that it has queued beyond its batch delay new work in the same way.

    Parameters
    ----------
    service
        Expected run time without a cached prefix.
    saving
        Time saved when the whole prefix is cached.
    """
    busy = service * option.ratio * (1.0 + option.occupancy)
    return busy - saving * option.held + (_REMOTE_MS if option.remote else 0.0)


def choose(
    options: Iterable[Option], service: Millis, saving: Millis, rng: random.Random
) -> Option | None:
    """Return the option with the lowest predicted run time; ties are broken randomly.

    Examples
    --------
    >>> options = [Option("idle", 0.0), Option("warm", 0.5, held=1.0)]
    >>> choose(options, 100.0, saving=80.0, rng=random.Random(0)).name
    'warm'
    >>> choose(options, 100.0, saving=20.0, rng=random.Random(0)).name
    'idle'
    """

    def key(option: Option) -> tuple[Millis, float]:
        return predict(option, service, saving), rng.random()

    return min(options, key=key, default=None)
