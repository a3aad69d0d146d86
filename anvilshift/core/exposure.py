"""Limit the targets that a content may reach before it was answered completely.

Load pattern: a request crashes each target that runs it.  Evidence of the cause
arrives late, also applies to harmless requests that ran at the same time, and is lost
when routers fail.  Therefore any rule that waits for proof loses one more target under
some order of events.

This module requires no proof.  Each content has a limit on its number of targets, and
a target is charged to the content before the content is sent there.  The charge is
refunded if the content never ran there, a complete answer clears all charges, and all
other charges remain.  A content that has reached its limit runs only on targets that
are already charged to it: it may crash these again, but no others.
"""

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

TARGETS = 2
"""Maximum targets that one content may make fail; the users require this limit."""
CHARGE_LIFETIME: Millis = 600 * SECOND
"""Charges expire after this time, which is longer than the interval between callers'
retries of one request."""
_MAX_RECORDS = 10_000


@dataclass
class _Charges:
    """Targets charged to one content.

    Parameters
    ----------
    at
        Time of the latest charge.
    running
        Number of attempts in progress on each target.
    kept
        Targets that stay charged after the attempt there ended or crashed.
    """

    at: Millis
    running: Counter[str] = field(default_factory=Counter)
    kept: set[str] = field(default_factory=set)


class Exposure:
    """Tracks the targets that each content reached without a complete answer.

    Parameters
    ----------
    max_targets
        Maximum targets that may be charged to one content.

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

    def __init__(self, max_targets: int = TARGETS) -> None:
        self._max_targets = max_targets
        self._charges: OrderedDict[str, _Charges] = OrderedDict()
        self._harmless: OrderedDict[str, None] = OrderedDict()

    def charge(self, content: str, target: str, now: Millis) -> None:
        """Charge a target to the content that is about to be sent there."""
        if content:
            self._update_charges(content, now).running[target] += 1

    def end(self, content: str, target: str, ran: bool) -> None:
        """Record that an attempt ended without a complete answer.

        Parameters
        ----------
        ran
            Whether the attempt may have run; otherwise its charge is refunded.
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

    def retain_running_charges(self) -> None:
        """Keep the targets of all attempts in progress charged after they end."""
        for charges in self._charges.values():
            charges.kept |= set(charges.running)

    def crashed(self, content: str, target: str, now: Millis) -> None:
        """Record that a target crashed while it ran a content."""
        if content:
            self._harmless.pop(content, None)
            self._update_charges(content, now).kept.add(target)

    def clear(self, content: str) -> None:
        """Record that a content was answered completely and is therefore harmless."""
        charges = self._charges.get(content)
        if charges is not None:
            self._drop_kept(content, charges)
        if content:
            self._harmless[content] = None
            self._harmless.move_to_end(content)
            if len(self._harmless) > _MAX_RECORDS:
                self._harmless.popitem(last=False)

    def forgive(self, target: str) -> None:
        """Charge a target that ended for a known cause to no content any more."""
        for content, charges in list(self._charges.items()):
            charges.kept.discard(target)
            if not charges.running and not charges.kept:
                del self._charges[content]

    def expire(self, content: str, now: Millis) -> None:
        """Drop the charges of a content not charged within `CHARGE_LIFETIME`."""
        charges = self._charges.get(content)
        if charges is not None and now - charges.at > CHARGE_LIFETIME:
            self._drop_kept(content, charges)

    def list_charged_targets(self, content: str) -> list[str]:
        """Return the targets charged to a content; none if it is harmless."""
        charges = self._charges.get(content)
        if charges is None or content in self._harmless:
            return []
        return sorted(charges.kept | set(charges.running))

    def is_harmless(self, content: str) -> bool:
        """Tell whether a content was answered and has crashed no target since."""
        return content in self._harmless

    def list_charges(self, most: int) -> list[tuple[str, str]]:
        """Return pairs of content and charged target, for the newest contents.

        Parameters
        ----------
        most
            Maximum number of contents.
        """
        return [
            (content, target)
            for content, charges in list(self._charges.items())[-most:]
            for target in sorted(charges.kept)
        ]

    def list_only_targets(self, content: str) -> list[str]:
        """Return the only targets that a content may reach; empty if not limited."""
        reached = self.list_charged_targets(content)
        return reached if len(reached) >= self._max_targets else []

    def may_reach(self, content: str, target: str) -> bool:
        """Tell whether a content may be sent to a target."""
        confined = self.list_only_targets(content)
        return not confined or target in confined

    def _drop_kept(self, content: str, charges: _Charges) -> None:
        charges.kept.clear()
        if not charges.running:
            del self._charges[content]

    def _update_charges(self, content: str, now: Millis) -> _Charges:
        charges = self._charges.setdefault(content, _Charges(now))
        charges.at = now
        self._charges.move_to_end(content)
        if len(self._charges) > _MAX_RECORDS:
            self._charges.popitem(last=False)
        return charges
