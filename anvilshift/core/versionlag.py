"""When a router that hears of a newer version of the configuration looks for it."""

from dataclasses import dataclass
from enum import Enum

from anvilshift.core.clock import Millis

RENEW_AFTER: Millis = 250.0
"""Time behind the others after which the connections to the store are doubted: a change
reaches routers within milliseconds of each other, and is heard of in heartbeats."""
ASK_AFTER: Millis = 600.0
"""Time behind the others after which one of them is asked, and between questions."""


class LagStep(Enum):
    """What a router that is behind does."""

    NOTHING = "nothing"
    RENEW = "renew the connections to the store"
    ASK = "ask another router"


@dataclass
class VersionLag:
    """Whether this router is behind the others, and since when.

    Examples
    --------
    >>> lag = VersionLag()
    >>> lag.observe(mine=4, newest=5, now=0.0).name
    'NOTHING'
    >>> lag.observe(mine=4, newest=5, now=250.0).name
    'RENEW'
    >>> lag.observe(mine=4, newest=5, now=600.0).name
    'ASK'
    >>> lag.observe(mine=5, newest=5, now=700.0).name
    'NOTHING'
    """

    _mine: int = 0
    _since: Millis | None = None
    _has_renewed: bool = False
    _asked: Millis = 0.0

    def observe(self, mine: int, newest: int, now: Millis) -> LagStep:
        """Return what to do now.

        Parameters
        ----------
        mine, newest
            The version in force here, and the newest one that another router has.
        """
        if newest <= mine:
            self._since = None
            return LagStep.NOTHING
        if self._since is None or mine != self._mine:
            # A version that came meanwhile shows that changes do arrive.
            self._mine, self._since, self._asked = mine, now, now
            self._has_renewed = False
        if now - self._since >= ASK_AFTER and now - self._asked >= ASK_AFTER:
            self._asked = now
            return LagStep.ASK
        if now - self._since >= RENEW_AFTER and not self._has_renewed:
            self._has_renewed = True
            return LagStep.RENEW
        return LagStep.NOTHING

    def find_lag(self, now: Millis) -> Millis:
        """Return for how long this router has been behind; 0 if it isn't."""
        return 0.0 if self._since is None else now - self._since
