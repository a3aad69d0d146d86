"""Choose a target for work.

Load pattern: targets fill up, slow down and hold different prefixes.  Without
this, round robin sends work to full targets while others have room, and the
same prompt prefix is computed everywhere.

A few of the targets that have room are weighed, with a few that hold the prompt's
prefix, and the one with the least predicted time is taken.  Work's content fixes
which are weighed first; work without one draws them by lot.  Few cost the same
with ten targets as with thousands and come close to the best of all; that they
differ from content to content keeps many routers from taking the same best one.

References
----------
Mitzenmacher: The power of two choices in randomized load balancing, 2001.
"""

import random
from collections.abc import Iterable
from dataclasses import dataclass

from anvilshift.core.clock import Millis

DRAWN = 4
"""Targets weighed for one request without a content: two draws bring most of the
gain, four make it likely that one of them is in the own failure domain."""
HOLDERS = 2
_REMOTE: Millis = 2.0
"""One way between failure domains, both users' figure, there and back."""


@dataclass(frozen=True)
class Option:
    """A target that could take work.

    Parameters
    ----------
    occupancy
        Requests there over what it runs at once.
    ratio
        Its times over the expected ones.
    held
        Part of the prompt's prefix that it is believed to hold.
    """

    name: str
    occupancy: float
    ratio: float = 1.0
    held: float = 0.0
    remote: bool = False


def predict(option: Option, service: Millis, saving: Millis) -> Millis:
    """Return the predicted run time of work at a target.

    A batch that is full to a part makes it slower by about that part, and
    what it has queued beyond its batch waits as well.

    Parameters
    ----------
    service
        Expected run time without a prefix.
    saving
        What a whole prefix in the cache saves.
    """
    busy = service * option.ratio * (1.0 + option.occupancy)
    return busy - saving * option.held + (_REMOTE if option.remote else 0.0)


def choose(
    options: Iterable[Option], service: Millis, saving: Millis, rng: random.Random
) -> Option | None:
    """Return the option with the least predicted time; lots break ties.

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
