"""Names that no other process or request has."""

import random

_BITS = 128


def make_identity(rng: random.Random) -> str:
    """Return a name drawn from a source of random numbers.

    Daemons pass a `random.SystemRandom`; a seeded run passes its own source
    and replays the same.

    Examples
    --------
    >>> len(make_identity(random.Random(0)))
    32
    """
    return f"{rng.getrandbits(_BITS):032x}"
