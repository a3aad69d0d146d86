"""Choose when a router tries the platform's store that doesn't answer it.

Load pattern: the store is out of reach of a whole large fleet for some seconds, and
each router tries it about once a second.  Each of these calls is paid for, none tells
anything, and the first one that is answered tells enough for all.

So the routers of a failure domain take turns.  Each one's turn comes within the time
that its own bounds leave, whatever happens to the others: a router that alone is
answered again finds that out by itself.  The turns are spread, so that in a large
domain some router tries at nearly any time, and the others go on as they hear of it.
"""

from collections.abc import Collection
from dataclasses import dataclass

from anvilshift.core.clock import Millis
from anvilshift.core.duties.storereaders import ReaderCandidate, is_sharing_domain
from anvilshift.core.homes import rank_targets

_KEY = "store try"
_CALL_TIME: Millis = 1_000.0
"""Time in which a call fails that finds no connection."""
_PROBED_PERIODS = 3.0
"""Periods until a router tries for objects whose probe fails too: the store may refuse
only the probe's kind of objects."""


@dataclass(frozen=True)
class TryTurns:
    """When a router's tries are due while nobody it hears of reaches the store.

    Parameters
    ----------
    first
        Time from the end of its first failed call to its first turn.
    period
        Time between its further turns.
    """

    first: Millis
    period: Millis

    def find_due(
        self, tried: Millis, failed: Millis, failures: int, is_probed: bool
    ) -> Millis:
        """Return when the next try is due.

        Parameters
        ----------
        tried, failed
            When the last failed call was made, and when it had failed.
        failures
            Calls that failed since the last answer.
        is_probed
            Whether another kind of object is tried in place of this one.

        Examples
        --------
        >>> turns = TryTurns(first=500.0, period=2_000.0)
        >>> turns.find_due(100.0, 200.0, 1, False)
        700.0
        >>> turns.find_due(700.0, 900.0, 2, False)
        2700.0
        >>> turns.find_due(100.0, 200.0, 1, True)
        6100.0
        """
        if is_probed:
            return tried + self.period * _PROBED_PERIODS
        return failed + self.first if failures <= 1 else tried + self.period


def find_turns(
    candidates: Collection[ReaderCandidate],
    own: ReaderCandidate,
    period: Millis,
    has_shared: bool = False,
) -> TryTurns | None:
    """Return a router's turns; None if it tries as often as it likes.

    Parameters
    ----------
    candidates
        All present routers that aren't leaving, with this one.
    period
        Longest time between two tries of one router that its bounds allow.
    has_shared
        Whether it shared its watches when the store answered last.  A router that is
        cut off hears of few others or none: it tries as rarely, since hearing one
        tells it that its own connection works again.

    Examples
    --------
    >>> fleet = [ReaderCandidate(f"n{n}", "north", False) for n in range(9)]
    >>> turns = sorted(find_turns(fleet, one, 2_800.0).first for one in fleet)
    >>> turns[0], turns[-1], find_turns(fleet[:8], fleet[0], 2_800.0)
    (200.0, 1800.0, None)
    >>> find_turns(fleet[:1], fleet[0], 2_800.0, has_shared=True).first
    1800.0
    """
    if not has_shared and not is_sharing_domain(candidates, own.failure_domain):
        return None
    near = {
        one.router for one in candidates if one.failure_domain == own.failure_domain
    }
    ranked = rank_targets(f"{_KEY}/{own.failure_domain}", sorted(near), len(near))
    turn = (ranked.index(own.router) + 1) / len(ranked)
    # The store may have been back since the failed call began.
    return TryTurns(turn * max(period - _CALL_TIME, 0.0), period)


def list_returned(
    candidates: Collection[ReaderCandidate], reached: Collection[str]
) -> set[str]:
    """Return the routers that reach the store now and didn't at a former time.

    Parameters
    ----------
    reached
        The routers that reached it at that time.

    Examples
    --------
    >>> fleet = [ReaderCandidate(name, "north", name != "n2") for name in ("n1", "n2")]
    >>> list_returned(fleet, set()), list_returned(fleet, {"n1"})
    ({'n1'}, set())
    """
    return {one.router for one in candidates if one.reaches_store} - set(reached)
