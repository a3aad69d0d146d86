"""Hold contents back while another router sends them elsewhere than to their homes.

Load pattern: both homes of a content are out of use, and a router would send it to a
third target.  It may only if no router has sent it to a home, and none does later.
That is a two-phase commit: every router prepares, by which it holds the content
back, and is told in the end whether it was sent.

A router that is not told goes on holding the content back: it can't know whether the
content was sent, and as long as it sends it nowhere nothing is lost but its own part
in serving this content.
"""

from collections import OrderedDict

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.exposure import FORGET_AFTER

_MOST = 10_000
_OVERDUE: Millis = 2 * SECOND
"""Twice what a call between routers may take: the end will not be heard any more."""


class Preparations:
    """The contents that this router holds back.

    Examples
    --------
    >>> held = Preparations()
    >>> held.hold("c1", "r1/1", now=0.0), held.hold("c1", "r2/1", now=0.0)
    (True, False)
    >>> held.release("c1", "r1/1")
    >>> held.is_held("c1", now=1.0)
    False
    """

    def __init__(self) -> None:
        self._held: OrderedDict[str, tuple[str, Millis]] = OrderedDict()

    def hold(self, content: str, ticket: str, now: Millis) -> bool:
        """Hold a content back; False if it is held back for another ticket."""
        if self.is_held(content, now):
            return self._held[content][0] == ticket
        if len(self._held) >= _MOST and not self._drop_oldest(now):
            return False
        self._held[content] = ticket, now
        return True

    def _drop_oldest(self, now: Millis) -> bool:
        oldest = next(iter(self._held))
        return not self.is_held(oldest, now)

    def release(self, content: str, ticket: str) -> None:
        """Hold a content back no longer for a ticket."""
        if self._held.get(content, ("", 0.0))[0] == ticket:
            del self._held[content]

    def is_held(self, content: str, now: Millis) -> bool:
        """Tell whether a content is held back."""
        held = self._held.get(content)
        if held is not None and now - held[1] > FORGET_AFTER:
            del self._held[content]
            return False
        return held is not None

    def is_overdue(self, content: str, now: Millis) -> bool:
        """Tell whether a content is held back and its end will not be heard."""
        return self.is_held(content, now) and now - self._held[content][1] > _OVERDUE
