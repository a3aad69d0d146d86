"""Bound how much retried work adds to the load.

Load pattern: targets fail, and every failed attempt is sent again.  Without a
bound, a fleet that fails because it is overloaded gets several times the load
and stays down.

Whole answers earn retries, so that in the long run at most one request in five
is a retry, and a reserve covers a burst.  Attempts that never reached a target
cost it nothing and are not counted.
"""

from anvilshift.core.backoff import Backoff
from anvilshift.core.work import Failure

_EARNED = 0.2
"""Retries earned by a whole answer: with a target in five failing, all of its
work can go elsewhere; with more, admission has less to offer anyway."""
_RESERVE = 30.0
"""What a router has in flight at three lost engines of eight slots, shared by
four routers, is 6; five times that also covers a fleet of one router."""
BACKOFF = Backoff(base=50.0, limit=2_000.0)
"""Between tries at the same target; a restart takes seconds."""


class RetryBudget:
    """Retries that may be made.

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
        self._left = reserve

    def limit(self, reserve: float) -> None:
        """Take in the reserve anew: it is shared by as many routers as there are."""
        self._reserve = reserve
        self._left = min(self._left, reserve)

    def earn(self) -> None:
        """Count a whole answer."""
        self._left = min(self._reserve, self._left + _EARNED)

    def take(self, failure: Failure) -> bool:
        """Take a retry; False when there is none."""
        if failure is Failure.NOT_SENT:
            return True
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
