"""Bound how many targets one content may reach before it was answered whole.

Load pattern: a request crashes each target that runs it.  Evidence of that
comes late, is shared with innocent neighbours and is lost with routers, so any
rule that waits for proof lets some order of events cost one more target.

Here nothing is proved.  A content has a credit of targets, and each target is
charged to it before it is sent there.  What never ran is refunded, a whole
answer clears the content, and all else stays charged.  A content whose credit
is used up runs only where it was already: it may cost these targets again, but
no other.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

TARGETS = 2
"""Targets that one content may cost, by the users' law."""
FORGET_AFTER: Millis = 600 * SECOND
"""Longer than callers' retries of one request are apart."""
_MOST_RECORDS = 10_000


@dataclass
class _Charges:
    """The targets that one content reached.

    Parameters
    ----------
    running
        Attempts under way at each target.
    kept
        Targets at which an attempt ended, and it is not known harmless there.
    """

    at: Millis
    running: Counter[str] = field(default_factory=Counter)
    kept: set[str] = field(default_factory=set)


class Exposure:
    """Which targets each content has reached without a whole answer.

    Parameters
    ----------
    most
        Targets that one content may cost.

    Examples
    --------
    >>> exposure = Exposure()
    >>> for name in ("e1", "e2"):
    ...     exposure.charge("long", name, now=0.0)
    ...     exposure.end("long", name, ran=True)
    >>> exposure.may_reach("long", "e3"), exposure.may_reach("long", "e1")
    (False, True)
    >>> exposure.clear("long")
    >>> exposure.may_reach("long", "e3")
    True
    """

    def __init__(self, most: int = TARGETS) -> None:
        self._most = most
        self._charges: OrderedDict[str, _Charges] = OrderedDict()
        self._harmless: OrderedDict[str, None] = OrderedDict()

    def charge(self, content: str, target: str, now: Millis) -> None:
        """Charge a target to a content that is about to be sent there."""
        if content:
            self._record(content, now).running[target] += 1

    def end(self, content: str, target: str, ran: bool) -> None:
        """Take in that an attempt ended without a whole answer.

        Parameters
        ----------
        ran
            Whether it may have run; what never ran is refunded.
        """
        charges = self._charges.get(content)
        if charges is None:
            return
        charges.running[target] -= 1
        if charges.running[target] <= 0:
            del charges.running[target]
        if ran and content not in self._harmless:
            charges.kept.add(target)
        if not charges.running and not charges.kept:
            del self._charges[content]

    def keep_running(self) -> None:
        """Keep each target charged where an attempt is under way now."""
        for charges in self._charges.values():
            charges.kept |= set(charges.running)

    def crashed(self, content: str, target: str, now: Millis) -> None:
        """Take in that a target crashed while it ran a content."""
        if content:
            self._harmless.pop(content, None)
            self._record(content, now).kept.add(target)

    def clear(self, content: str) -> None:
        """Take in that a content was answered whole: it does no harm."""
        charges = self._charges.get(content)
        if charges is not None:
            self._drop_kept(content, charges)
        if content:
            self._harmless[content] = None
            self._harmless.move_to_end(content)
            if len(self._harmless) > _MOST_RECORDS:
                self._harmless.popitem(last=False)

    def expire(self, content: str, now: Millis) -> None:
        """Forget a content that was not sent for some time."""
        charges = self._charges.get(content)
        if charges is not None and now - charges.at > FORGET_AFTER:
            self._drop_kept(content, charges)

    def list_reached(self, content: str) -> list[str]:
        """Return the targets charged to a content that is not known harmless."""
        charges = self._charges.get(content)
        if charges is None or content in self._harmless:
            return []
        return sorted(charges.kept | set(charges.running))

    def is_harmless(self, content: str) -> bool:
        """Tell whether a content was answered whole and has crashed nothing since."""
        return content in self._harmless

    def list_kept(self, most: int) -> list[tuple[str, str]]:
        """Return the newest contents with each target that stays charged."""
        return [
            (content, target)
            for content, charges in list(self._charges.items())[-most:]
            for target in sorted(charges.kept)
        ]

    def list_confined(self, content: str) -> list[str]:
        """Return the only targets that a content may reach; empty for any."""
        reached = self.list_reached(content)
        return reached if len(reached) >= self._most else []

    def may_reach(self, content: str, target: str) -> bool:
        """Tell whether a content may be sent to a target."""
        confined = self.list_confined(content)
        return not confined or target in confined

    def _drop_kept(self, content: str, charges: _Charges) -> None:
        charges.kept.clear()
        if not charges.running:
            del self._charges[content]

    def _record(self, content: str, now: Millis) -> _Charges:
        charges = self._charges.setdefault(content, _Charges(now))
        charges.at = now
        self._charges.move_to_end(content)
        if len(self._charges) > _MOST_RECORDS:
            self._charges.popitem(last=False)
        return charges
