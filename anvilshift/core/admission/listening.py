"""Decide when a router with a full link listens for new connections.

Load pattern: callers of one organisation go on opening connections to one router of
many after they were told of others.  A connection that is taken puts a request on a
link that is full already, where it waits for seconds; one that is refused costs a
packet, and its caller chooses another router at once.

A router refuses new connections only while its link stays full and others have room
for their callers.  It still listens for a moment each second, so that
callers that know no other router are served.
"""

import math
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis

_FULL, _ROOMY = 0.95, 0.85
"""Use of the link from which on new connections are refused, and below which they are
taken again."""
_MOST_FULL = 0.5
"""Part of all routers that may be full: twice the callers is what the others can be
expected to bear."""
_LASTING: Millis = 400.0
"""Time for which the link has to be full before anyone is refused: what came together
by chance is carried by then.  At twice what the link carries requests wait as long as
it has been full, and the shortest objectives of interactive work are about as long."""
_REMEMBERED: Millis = 5 * SECOND
"""Time after refusals in which a link that fills again is taken to stay full."""
_PERIOD: Millis = 1 * SECOND
"""Time from which on a full router that refuses connections listens again."""
_OPEN: Millis = 100.0
"""How long it listens then, at least until the next update."""


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
    >>> [listening.update(1.1, full_part=0.1, now=n * 200.0) for n in range(6)]
    [True, True, False, False, False, False]
    >>> listening.update(link=1.1, full_part=0.7, now=1_200.0)
    True
    """

    is_refusing: bool = False
    _full_since: Millis | None = None
    _opened: Millis = 0.0
    _refused: Millis = -math.inf

    def update(self, link: float, full_part: float, now: Millis) -> bool:
        """Return whether to listen until the next update.

        Parameters
        ----------
        link
            Share of the link that is used; over 1 if data wait for it.
        full_part
            Part of all routers that is full.
        """
        if link < _FULL:
            self._full_since = None
        elif self._full_since is None:
            self._full_since = now
        if full_part > _MOST_FULL or link < _ROOMY:
            self.is_refusing = False
        elif self._stays_full(now) and not self.is_refusing:
            self.is_refusing, self._opened = True, now - _OPEN
        if not self.is_refusing:
            return True
        self._refused = now
        if now - self._opened >= _PERIOD:
            self._opened = now
        return now - self._opened < _OPEN

    def _stays_full(self, now: Millis) -> bool:
        if self._full_since is None:
            return False
        is_lasting = now - self._full_since >= _LASTING
        return is_lasting or now - self._refused < _REMEMBERED
