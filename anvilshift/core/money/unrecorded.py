"""How many tokens an allocator may spend beyond its record of use.

Load pattern: the store is unreachable for seconds, or all routers lose power.  Nothing
tells the two apart, as both end the records: what may be spent in the one is in doubt
after the other.
"""

from anvilshift.core.clock import SECOND, Millis

_AT_ONCE_FRACTIONS = (0.06, 0.015)
"""Fractions of the remaining tokens that the first and the second allocator may spend
at any time.  No proof bounds this spending, so the tokens are lost if all routers fail.
They are needed for the first prompts of a store outage, before elapsed time has
released any other tokens."""
_OUTAGE_USE: Millis = 10 * SECOND
"""Duration of use at the measured rate that may be spent during a store outage of 8 s.
It is longer than the outage because an organisation may send more than usual."""
_MIN_OUTAGE_USE = 0.06
"""Lower bound on that amount, as a fraction of the total, for an organisation that
sends rarely."""
_MAX_DOUBT = 0.03
"""Fraction of a total beyond which tokens in doubt make its organisation lose requests
that it is owed.  The more of it earlier losses have used, the less may be spent without
a record."""
_MIN_AT_ONCE_TRUST, _MIN_TRUST = 0.3, 0.1
"""Fractions of what may be spent at any time, and in all, without a record that stay
when that much is in doubt.  Large prompts would otherwise wait for a record each, and a
store outage may still follow."""
_RECORDED_USE: Millis = 0.8 * SECOND
"""Duration of use at the measured rate that may be spent at any time however much is in
doubt: twice the time between two records, so that few requests wait for one."""


def find_unrecorded(
    rank: int, rate: float, left: int, total: int, doubt: int
) -> tuple[int, int]:
    """Return how many tokens to spend beyond a record: at any time, and in all.

    Both shrink with the tokens in doubt: any number of losses of all power leaves
    little more in doubt than the first.

    Parameters
    ----------
    rank
        Position among the organisation's allocators, from 0.
    rate
        Measured use, in tokens a millisecond.
    left, total, doubt
        Tokens that remain of the total, the total, and those of it in doubt.

    Examples
    --------
    >>> find_unrecorded(0, rate=1.0, left=100_000, total=100_000, doubt=0)
    (6000, 10000)
    """
    extra = max(rate * _OUTAGE_USE, total * _MIN_OUTAGE_USE)
    at_once = left * _AT_ONCE_FRACTIONS[rank]
    trust = 1.0 - doubt / max(1.0, total * _MAX_DOUBT)
    recorded_use = min(at_once, rate * _RECORDED_USE)
    at_once = max(recorded_use, at_once * max(_MIN_AT_ONCE_TRUST, trust))
    return int(at_once), int(max(at_once, extra * max(_MIN_TRUST, trust)))
