"""Decide when a router with a full link listens for new connections.

Load pattern: callers of one organisation go on opening connections to one router of
many after they were told of others.  A connection that is taken puts a request on a
link that is full already, where it waits for seconds; one that is refused costs a
packet, and its caller chooses another router at once.

A router refuses new connections only while others have room for their callers.  It
still listens for a moment each second: a router that takes none is no router.
"""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_FULL, _ROOMY = 0.95, 0.85
"""Use of the link from which on new connections are refused, and below which they are
taken again."""
_MOST_FULL = 0.5
"""Part of all routers that may be full: twice the callers is what the others can be
expected to bear."""
_PERIOD: Millis = 1 * SECOND
_OPEN: Millis = 100.0
"""How long a full router listens in each period."""


@dataclass
class Listening:
    """Whether a router listens for new connections.

    Attributes
    ----------
    is_refusing
        Whether it refuses new ones, but for a moment in each period.

    Examples
    --------
    >>> listening = Listening()
    >>> listening.update(link=1.1, full_part=0.1, now=1_000.0)
    True
    >>> listening.update(link=1.1, full_part=0.1, now=1_100.0)
    False
    >>> listening.update(link=1.1, full_part=0.7, now=1_200.0)
    True
    """

    is_refusing: bool = False
    _since: Millis = 0.0

    def update(self, link: float, full_part: float, now: Millis) -> bool:
        """Return whether to listen until the next update.

        Parameters
        ----------
        link
            Share of the link that is used; over 1 if data wait for it.
        full_part
            Part of all routers that is full.
        """
        if full_part > _MOST_FULL or link < _ROOMY:
            self.is_refusing = False
        elif link >= _FULL and not self.is_refusing:
            self.is_refusing, self._since = True, now
        return not self.is_refusing or (now - self._since) % _PERIOD < _OPEN
