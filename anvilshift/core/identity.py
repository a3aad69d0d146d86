"""Unique names for processes and requests."""

import random

_IDENTITY_BITS = 128


def make_identity(rng: random.Random) -> str:
    """Return a random name of 128 bits, in hexadecimal.

    Daemons pass a `random.SystemRandom`; a reproducible run passes its own seeded
    generator and gets the same names again.

    Examples
    --------
    >>> len(make_identity(random.Random(0)))
    32
    """
    return f"{rng.getrandbits(_IDENTITY_BITS):032x}"
