"""Tokens of each organisation's prepaid total that one router may spend and has spent.

Load pattern: callers send large prompts in bursts while the platform's store is
unreachable for many seconds.  Without a cushion the router would refuse valid requests
as soon as the store is unreachable; with too large a cushion, killing the router
would leave tokens allotted to it that no router can spend.

A request reserves the maximum that it can cost and settles the tokens it used.  Two
routers, the allocators, hold an organisation's tokens and transfer them to the other
routers for each request.  The amount that an allocator may spend beyond its record of
use follows the rate of use, so that killing an allocator makes few of its tokens
unusable.
"""

import math
from collections.abc import Mapping

from anvilshift.core.allocators import AllocatorMap
from anvilshift.core.allotments import Allotments, ShareRequest
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.cushions import Balance
from anvilshift.core.usage import RecordLimit, Use, UseRecord

FREE_KNOWN_FOR: Millis = 2 * SECOND
"""How long the free tokens that a write returned count as known.  Totals change over
seconds, and finding out the free tokens costs a billed write."""
_SELF_DRAW_SPAN: Millis = 1 * SECOND
"""How long the router draws tokens itself after no allocator answered: about the time
for which a lost allocator is still listed as present."""


class Balances:
    """Reserves and settles the tokens of all organisations at one router.

    Parameters
    ----------
    holder
        Name under which this router's shares are stored.

    Examples
    --------
    >>> balances = Balances("r1")
    >>> balances.configure({"pounds": 1_600}, now=0.0)
    >>> balances.reserve("pounds", "a", 60, now=0.0)
    False
    >>> from anvilshift.core.allotments import Allotment, Share
    >>> held = Allotment(1_600, shares={"r1": Share(100, 0)})
    >>> balances.apply_allotments(Allotments({"pounds": held}), now=1.0)
    >>> balances.reserve("pounds", "a", 60, now=1.0)
    True
    >>> balances.settle("pounds", "a", 25, now=2.0)
    >>> balances.by_name["pounds"].available(now=2.0)
    75
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.by_name: dict[str, Balance] = {}
        self.seen = Allotments()

    def configure(self, totals: Mapping[str, int | None], now: Millis) -> None:
        """Apply the totals of a configuration; None means no limit."""
        for name, total in totals.items():
            balance = self.by_name.setdefault(name, Balance())
            balance.limited = total is not None
            if total is not None and total < balance.total:
                # The total was reduced, so the tokens held here may exceed what
                # is left.  They are returned before anything else is drawn.
                balance.ceiling = min(balance.ceiling, balance.spent)
            if total is not None and total > balance.total:
                balance.free_until = -math.inf
            balance.total = total or 0

    def reserve(self, name: str, key: str, tokens: int, now: Millis) -> bool:
        """Reserve tokens for a request; return False if too few are available."""
        balance = self.by_name.setdefault(name, Balance())
        if balance.limited and tokens > balance.available(now):
            balance.waiting[key] = tokens
            return False
        balance.waiting.pop(key, None)
        balance.reserved[key] = tokens
        balance.hold_times.begin(key, now)
        balance.last_reserved_at = now
        return True

    def is_depleted(self, name: str, now: Millis) -> bool:
        """Tell whether too few tokens were free as of the last write."""
        balance = self.by_name.get(name)
        return balance is not None and balance.is_depleted(now)

    def cancel_waiting(self, name: str, key: str) -> None:
        """Remove a request that was waiting for tokens."""
        self.by_name[name].waiting.pop(key, None)

    def settle(self, name: str, key: str, tokens: int, now: Millis) -> None:
        """Replace a reservation by the tokens used; 0 returns all of it."""
        balance = self.by_name[name]
        reserved = balance.reserved.pop(key, 0)
        used = min(tokens, reserved)
        balance.hold_times.end(key, reserved, used, now)
        balance.settled += used
        balance.delivered += used
        if used:
            balance.count_use(used, now)

    def wants_change(self, now: Millis) -> bool:
        """Tell whether this router's shares in the store should change."""
        return any(balance.needs_change(now) for balance in self.by_name.values())

    def has_drawable_waiters(self, now: Millis) -> bool:
        """Tell whether a request waits for tokens that can be drawn now."""
        return any(
            balance.draws(now) and balance.lacks() and not balance.is_depleted(now)
            for balance in self.by_name.values()
        )

    def record_missing_allocator(self, name: str, now: Millis) -> None:
        """Record that no allocator of an organisation's tokens answered."""
        self.by_name[name].self_draw_until = now + _SELF_DRAW_SPAN

    def make_share_requests(self, now: Millis) -> dict[str, ShareRequest]:
        """Return the share changes to request, after applying reductions locally.

        A reduction applies before it is sent: if the response were lost after the
        write took effect, this router could otherwise spend tokens that another
        router has since drawn.
        """
        requests = {}
        for name, balance in self.by_name.items():
            if balance.needs_change(now) or balance.may_join(now):
                requests[name] = balance.make_share_request(now)
                balance.ceiling = min(balance.ceiling, requests[name].ceiling)
        return requests

    def apply_allotments(
        self, allotments: Allotments, now: Millis, known_for: Millis = FREE_KNOWN_FOR
    ) -> None:
        """Store the allotments after a write of this router took effect.

        Parameters
        ----------
        known_for
            How long the free tokens count as known.
        """
        self.seen = allotments
        for name, balance in self.by_name.items():
            balance.ceiling = max(allotments.ceiling(name, self.holder), balance.spent)
            known = allotments.of(name)
            balance.left = (
                known.total
                - known.closed
                - sum(share.recorded for share in known.shares.values())
            )
            balance.doubt = known.doubt
            own = known.shares.get(self.holder)
            balance.spent_at_write = own.recorded if own else balance.spent
            balance.free, balance.free_until = known.free, now + known_for

    def set_provable(self, provable: bool) -> None:
        """Set whether a successor could prove how many tokens were spent here."""
        for balance in self.by_name.values():
            balance.provable = provable

    def set_sparing(self, is_sparing: bool, record_hold: Millis) -> None:
        """Set whether the store is written as rarely as is safe.

        Parameters
        ----------
        record_hold
            Time after a record in which it releases no further tokens.
        """
        for balance in self.by_name.values():
            balance.is_sparing = is_sparing
            balance.record_hold = record_hold

    def set_allocators(self, allocators: AllocatorMap) -> None:
        """Update which routers are the allocators of each organisation's tokens."""
        for name, balance in self.by_name.items():
            balance.rank = allocators.find_rank(name)
            balance.allocators = len(allocators.list_allocators(name))

    def is_allocator(self) -> bool:
        """Tell whether this router keeps tokens of any organisation."""
        return any(one.limited and one.keeping for one in self.by_name.values())

    def must_record_use(self) -> bool:
        """Tell whether this router must record its use of any organisation's tokens."""
        return any(
            balance.limited and (balance.keeping or balance.is_rate_limited())
            for balance in self.by_name.values()
        )

    def are_calmly_recorded(self) -> bool:
        """Tell whether the records of all organisations may grow old."""
        limited = [one for one in self.by_name.values() if one.limited]
        return all(one.is_calmly_recorded() for one in limited)

    def make_uses(self, now: Millis) -> dict[str, Use]:
        """Return the use of every limited organisation to write to the record."""
        limited = {name: p for name, p in self.by_name.items() if p.limited}
        return {name: balance.make_use(now) for name, balance in limited.items()}

    def limit_by_record(self, record: UseRecord) -> None:
        """Limit spending by a record of use that is about to be written.

        The limit applies before the write, which may take effect unnoticed.
        """
        for name, use in record.uses.items():
            if name in self.by_name:
                self.by_name[name].record_limits += (RecordLimit(record.anchor, use),)

    def confirm_record(self, record: UseRecord) -> None:
        """Limit spending only by a record that the store has confirmed.

        Earlier writes without a response can no longer take effect.
        """
        for name, balance in self.by_name.items():
            use = record.uses.get(name)
            balance.record_limits = (RecordLimit(record.anchor, use),) if use else ()

    def transfer_reservation(self, name: str, key: str, now: Millis) -> int:
        """Transfer the tokens of a reservation to another router; return their number.

        They count as spent here before they are sent, and this router's share in
        the store continues to cover them: tokens of a transfer that is lost become
        unusable, but are never spent twice.

        Examples
        --------
        >>> balances = Balances("r1")
        >>> balances.by_name["pounds"] = Balance(total=100, ceiling=100)
        >>> balances.reserve("pounds", "r2/7", 80, now=0.0)
        True
        >>> balances.transfer_reservation("pounds", "r2/7", now=0.0)
        80
        >>> balances.by_name["pounds"].available(0.0)
        20
        """
        balance = self.by_name[name]
        given = balance.reserved.pop(key, 0)
        balance.hold_times.cancel(key)
        balance.settled += given
        if given:
            balance.count_use(given, now)
        return given

    def find_returnable(self, now: Millis) -> dict[str, int]:
        """Return the idle tokens by organisation.

        Only organisations for which this router is not an allocator are listed.
        """
        idle = {name: p.find_returnable(now) for name, p in self.by_name.items()}
        return {name: tokens for name, tokens in idle.items() if tokens > 0}

    def debit(self, name: str, tokens: int) -> None:
        """Count tokens as spent that are about to be transferred."""
        self.by_name[name].settled += tokens

    def find_wait(self, name: str, key: str, now: Millis) -> Millis | None:
        """Return how long until a waiting request may reserve if nothing is drawn.

        Requests that began to wait earlier go first.  None means never.
        """
        balance = self.by_name[name]
        tokens = 0
        for waiting_key, needed in balance.waiting.items():
            tokens += needed
            if waiting_key == key:
                break
        return balance.find_wait(tokens, now)

    def credit(self, name: str, tokens: int) -> None:
        """Add tokens that another router transferred."""
        if name in self.by_name:
            self.by_name[name].settled -= tokens

    def describe(self, name: str, now: Millis) -> dict[str, int | bool]:
        """Return the figures of an organisation's tokens for the log."""
        known = self.seen.of(name)
        stored = {"free": known.free, "closed": known.closed, "doubt": known.doubt}
        return {**self.by_name[name].describe(now), **stored}

    def hand_over_settled(self, name: str) -> int:
        """Return the settled tokens that another router counts from now on."""
        return self.by_name[name].hand_over_settled()

    def take_over_settled(self, name: str, tokens: int) -> None:
        """Count settled tokens that another router reported."""
        if name in self.by_name:
            self.by_name[name].delivered += tokens

    def is_exhausted(self, name: str, tokens: int) -> bool:
        """Tell whether the total certainly can't cover this many tokens.

        Only settled tokens count.  Those that are reserved, in doubt, lent, on their
        way or not yet released by a record may be unspent; exhaustion is not certain
        while they would cover the request.

        Examples
        --------
        >>> balances = Balances("r1")
        >>> balances.by_name["pounds"] = Balance(total=100, ceiling=100)
        >>> balances.reserve("pounds", "a", 80, now=0.0)
        True
        >>> balances.is_exhausted("pounds", 30)
        False
        >>> balances.settle("pounds", "a", 80, now=1.0)
        >>> balances.is_exhausted("pounds", 30)
        True
        """
        balance, known = self.by_name[name], self.seen.of(name)
        # After a change of the total the store or this router may have the older one.
        total = max(balance.total, known.total) if known.version else balance.total
        settled = known.count_settled(without=self.holder) + balance.delivered
        return total - settled < tokens
