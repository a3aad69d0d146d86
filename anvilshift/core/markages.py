"""How long a router has seen the marks of recorded bills unchanged, by its own clock.

Marks are dated by the wall clocks of the routers that recorded them.  A router whose
clock is minutes slow dates a bill so far back that the next router would drop its mark
at once, and a repeat of the request would be billed again.  So a router drops marks
only after it has itself seen them for their whole lifetime.
"""

from collections.abc import Mapping

from anvilshift.core.account import Account
from anvilshift.core.clock import Millis

Slot = tuple[str, str]
"""An account and one of its slots of marks."""


class MarkAges:
    """When each slot of marks was last seen to change.

    Parameters
    ----------
    lifetime
        Time for which marks are kept after the last change that was seen.

    Examples
    --------
    >>> ages = MarkAges(lifetime=150_000.0)
    >>> account = Account(recent={"7": {"r1": "mark"}})
    >>> ages.find_recent({"pounds": account}, now=0.0)
    {('pounds', '7')}
    >>> ages.find_recent({"pounds": account}, now=150_000.0)
    set()
    """

    def __init__(self, lifetime: Millis) -> None:
        self._lifetime = lifetime
        self._changes: dict[Slot, tuple[int, Millis]] = {}

    def find_recent(self, accounts: Mapping[str, Account], now: Millis) -> set[Slot]:
        """Return the slots that changed within the lifetime, or are seen first."""
        sizes = {
            (name, slot): sum(map(len, marks.values()))
            for name, account in accounts.items()
            for slot, marks in account.recent.items()
        }
        self._changes = {
            slot: self._note_size(slot, size, now) for slot, size in sizes.items()
        }
        return {
            slot
            for slot, (_, since) in self._changes.items()
            if now - since < self._lifetime
        }

    def _note_size(self, slot: Slot, size: int, now: Millis) -> tuple[int, Millis]:
        known = self._changes.get(slot)
        return (size, now) if known is None or known[0] != size else known
