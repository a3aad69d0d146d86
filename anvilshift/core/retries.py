"""Limit the load that retries add.

Load pattern: targets fail, and every failed attempt is sent again.  Without a
limit, a fleet that fails because it is overloaded receives several times the load
and doesn't recover.

Each complete answer adds part of a retry to the budget: in the long run there is at
most one retry for every five complete answers.  A reserve covers bursts of failures.
Attempts that never reached a target put no load on it and are not counted.
"""

from anvilshift.core.backoff import Backoff
from anvilshift.core.work import Failure

_EARNED_PER_ANSWER = 0.2
"""Retries added by a complete answer: if one target in five fails, all of its work can
be sent elsewhere; if more fail, admission accepts less work anyway."""
_RESERVE = 30.0
"""Maximum of the budget.  When three engines of eight slots that are shared by four
routers fail, a router has 6 requests in flight there; five times that also covers a
fleet of one router."""
BACKOFF = Backoff(base=50.0, limit=2_000.0)
"""Delay between attempts at the same target; a restart takes seconds."""


class RetryBudget:
    """Budget of retries, which complete answers refill.

    Parameters
    ----------
    reserve
        Initial and maximum number of retries.

    Examples
    --------
    >>> budget = RetryBudget(reserve=1.0)
    >>> budget.take(Failure.BROKE_OFF), budget.take(Failure.BROKE_OFF)
    (True, False)
    >>> budget.take(Failure.NOT_SENT)
    True
    """

    def __init__(self, reserve: float = _RESERVE) -> None:
        self._reserve = reserve
        self._available = reserve

    def limit(self, reserve: float) -> None:
        """Set the reserve, which depends on the number of routers that share it."""
        self._reserve = reserve
        self._available = min(self._available, reserve)

    def add_answer(self) -> None:
        """Add the part of a retry that a complete answer earns."""
        self._available = min(self._reserve, self._available + _EARNED_PER_ANSWER)

    def take(self, failure: Failure) -> bool:
        """Return whether a failed attempt may be retried, and count the retry."""
        if failure is Failure.NOT_SENT:
            return True
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
