"""Hold contents back while another router relocates them to a non-home target.

Load pattern: both home targets of a content are out of use, and a router wants to send
it to a third target.  This is safe only if no router has sent the content to a home
target, and none does so later.  The routers agree by a two-phase commit: every router
prepares by holding the content back, and is told in the end whether the content was
sent.

A router that doesn't learn the outcome keeps holding the content back, because it
can't know whether the content was sent.  While it sends the content nowhere, the only
loss is that this router doesn't serve the content.
"""

from collections import OrderedDict

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.exposure import CHARGE_LIFETIME

_MAX_HELD = 10_000
_OUTCOME_TIMEOUT: Millis = 2 * SECOND
"""Twice the timeout of a call between routers: after that the outcome will not arrive
any more."""


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
        """Hold a content back for a ticket; return whether it is held for this ticket.

        It is not if the content is held back for another ticket, or if the maximum
        number of contents is held back.
        """
        if self.is_held(content, now):
            return self._held[content][0] == ticket
        if len(self._held) >= _MAX_HELD and not self._drop_expired(now):
            return False
        self._held[content] = ticket, now
        return True

    def _drop_expired(self, now: Millis) -> bool:
        oldest = next(iter(self._held))
        return not self.is_held(oldest, now)

    def release(self, content: str, ticket: str) -> None:
        """Release a content if it is held back for this ticket."""
        if self._held.get(content, ("", 0.0))[0] == ticket:
            del self._held[content]

    def is_held(self, content: str, now: Millis) -> bool:
        """Return whether a content is held back."""
        held = self._held.get(content)
        if held is not None and now - held[1] > CHARGE_LIFETIME:
            del self._held[content]
            return False
        return held is not None

    def is_overdue(self, content: str, now: Millis) -> bool:
        """Return whether a content is held back and its outcome will not arrive."""
        return (
            self.is_held(content, now)
            and now - self._held[content][1] > _OUTCOME_TIMEOUT
        )
