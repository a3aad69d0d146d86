"""A holder's local view of its grant of one account, and the tokens it requests.

The number of tokens that a router requests follows its recent use.  With a fixed
number every router would hold that many, so most of a small budget could be held by
routers that don't need it while another router refuses the budget's requests.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from anvilshift.core.account import Bill, Draw
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    Code,
    check_invariant,
)
from anvilshift.core.grant import Grant, Reservation, ReservationList

REFILL_BELOW_FRACTION = 0.5
"""Draw tokens when less than this fraction of the cushion is available: early enough
that the draw (one platform write) completes before the rest is spent."""
RETURN_ABOVE_MULTIPLE = 2.0
"""Return tokens when more than this multiple of the cushion is available.  With a
multiple closer to one, steady use would draw and return tokens alternately."""
USE_SPAN: Millis = 10 * SECOND
"""Time over which use is averaged: longer than one answer, shorter than the minutes
of a burst at opening time."""
CUSHION_SPAN: Millis = 3 * SECOND
"""Duration of use that the cushion covers: several commits and their retries."""
FULL_CUSHION_LEVELS = 4
"""Number of levels that must be free for the cushion to be a whole level: with so
many tokens free no router lacks the idle ones held here, and a burst at opening time
after a quiet night can use them without waiting for a commit."""
CUSHION_PAUSE: Millis = 2 * SECOND
"""Time without a cushion after tokens were returned for another router, which would
not get them if they were drawn again at once; also the time for which nothing is
drawn for a cushion after the ledger had no free tokens."""
REFUSAL_SPAN: Millis = 800.0
"""Time for which a refusal is repeated without a call to the platform.  A top-up
takes effect within one second: this time plus one call."""


@dataclass(frozen=True)
class Refusal:
    """A cached result: a request for this many tokens was refused."""

    code: Code
    tokens: int
    until: Millis


@dataclass
class GrantState:
    """A holder's local state for one account.

    Parameters
    ----------
    level
        Maximum cushion in tokens.
    grant
        The holder's grant, as far as it may still count on it.
    reserved
        Tokens reserved by each request.
    waiting
        Tokens that each waiting request lacks.
    fixed_costs
        Costs of the requests that have or wait for tokens, where they are fixed.
    listed
        Costs that the ledger may have recorded; a superset of those that it has.
    pending
        Bills that the ledger hasn't recorded yet, by key.
    released
        Keys of pending bills whose answers may have ended.
    carried
        Requests reserved under an earlier holder that was sealed.
    frozen
        Whether the account is excluded from commits after an invariant failed.
    giving
        Whether to return all unreserved tokens with the next commit, because
        another router asked for them.
    free, elsewhere
        Tokens that could be drawn, and tokens in other holders' open grants, as
        of the last commit.
    doubt
        Tokens that sealed holders may or may not have spent, as of the last commit.
    recent_use
        Tokens reserved recently, reduced linearly with their age; None before
        the first reservation.
    no_cushion_until
        Time until which the cushion is 0, after tokens were returned.
    no_refill_until
        Time until which nothing is drawn for the cushion, after none were free.
    """

    account: str
    allowance: int
    level: int
    grant: Grant = field(default_factory=Grant)
    reserved: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    fixed_costs: dict[str, Reservation] = field(default_factory=dict)
    listed: dict[str, Reservation] = field(default_factory=dict)
    pending: dict[str, Bill] = field(default_factory=dict)
    released: set[str] = field(default_factory=set)
    carried: set[str] = field(default_factory=set)
    frozen: bool = False
    giving: bool = False
    witness: str = ""
    free: int = 0
    elsewhere: int = 0
    doubt: int = 0
    recent_use: float | None = None
    used_at: Millis = 0.0
    no_cushion_until: Millis = -1.0
    no_refill_until: Millis = -1.0
    refusal: Refusal | None = None

    @property
    def unrecorded(self) -> int:
        """Return the tokens of pending bills."""
        return sum(bill.tokens for bill in self.pending.values())

    @property
    def available(self) -> int:
        """Return the tokens that a new request can reserve."""
        return self.grant.held - self.unrecorded - sum(self.reserved.values())

    @property
    def need(self) -> int:
        """Return the tokens that requests have reserved or wait for."""
        return sum(self.reserved.values()) + sum(self.waiting.values())

    @property
    def has_unrecorded_changes(self) -> bool:
        """Tell whether the ledger lacks bills, or may list cancelled reservations."""
        cancelled = set(self.listed) - set(self.fixed_costs) - set(self.pending)
        return not self.frozen and bool(self.pending or cancelled)

    def reserve(
        self, key: str, tokens: int, now: Millis, fixed_cost: Reservation | None = None
    ) -> bool:
        """Reserve tokens for a request; return False if too few are available."""
        if fixed_cost is not None:
            self.fixed_costs[key] = fixed_cost
        more = tokens - self.reserved.get(key, 0)
        if more > 0 and more > self.available:
            self.waiting[key] = more
            return False
        self.waiting.pop(key, None)
        if more > 0:
            self.reserved[key] = tokens
            self._count_use(more, now)
        return True

    def release(self, key: str) -> None:
        """Cancel the reservation of a request that costs nothing."""
        self.reserved.pop(key, None)
        self.carried.discard(key)
        self.stop_waiting(key)

    def stop_waiting(self, key: str) -> None:
        """Draw no more tokens for a request; keep those that it has reserved."""
        self.waiting.pop(key, None)
        if key not in self.reserved:
            self.fixed_costs.pop(key, None)

    def _count_use(self, tokens: int, now: Millis) -> None:
        self.recent_use = self._decayed_use(now) + tokens
        self.used_at = now

    def _decayed_use(self, now: Millis) -> float:
        if self.recent_use is None:
            return 0.0
        return self.recent_use * max(0.0, 1 - (now - self.used_at) / USE_SPAN)

    def cushion(self, now: Millis) -> int:
        """Return the tokens to hold in addition to what requests need.

        It is the whole level before the first reservation and while many tokens
        are free.  It is at least the allowance, even without use, because that is
        all that the holder can spend during an outage.
        """
        if now < self.no_cushion_until:
            return 0
        if self.recent_use is None or self.free >= FULL_CUSHION_LEVELS * self.level:
            return self.level
        used = self._decayed_use(now) * CUSHION_SPAN / USE_SPAN
        return min(self.level, max(int(used), self.allowance))

    def needs_draw(self, now: Millis) -> bool:
        """Tell whether the next commit should change the grant."""
        if self.frozen:
            return False
        configured = (self.allowance, self.witness)
        if (
            self.waiting
            or self.giving
            or (self.grant.allowance, self.grant.witness) != configured
        ):
            return True
        cushion = self.cushion(now)
        if self.available > RETURN_ABOVE_MULTIPLE * cushion:
            return self.available > 0
        return (
            now >= self.no_refill_until
            and self.available < cushion * REFILL_BELOW_FRACTION
        )

    def make_reservation_list(self) -> ReservationList | None:
        """Return the fixed costs to send with a commit; None if nothing is recorded.

        They are recorded only while there is no witness, which would know more.
        Together with the bills released early they stay within the allowance, because
        sealing this holder leaves no more than that in doubt.
        """
        if self.frozen or not (self.listed or (self.fixed_costs and not self.witness)):
            return None
        entries: dict[str, Reservation] = {}
        if not self.witness:
            entries = {k: c for k, c in self.listed.items() if k in self.fixed_costs}
            left = self.allowance - self._count_covered_by_allowance()
            for key, cost in self.fixed_costs.items():
                if key not in entries and cost.tokens <= left:
                    entries[key] = cost
                    left -= cost.tokens
        self.listed.update(entries)
        self._give_up_withdrawn_costs(entries)
        return ReservationList(entries, self.need)

    def _give_up_withdrawn_costs(self, entries: Mapping[str, Reservation]) -> None:
        # Before the commit is sent: if its response is lost, an answer must not end on
        # a record that it took back.  The commit has the bill of a pending request.
        kept = {
            key: cost
            for key, cost in self.grant.reservations.items()
            if key in entries or key in self.pending
        }
        self.grant = replace(self.grant, reservations=kept)

    def is_cost_recorded(self, key: str) -> bool:
        """Tell whether any router can bill a pending request from the ledger alone.

        With a witness none can: closing the holder, it frees what it has no copy of.
        """
        bill, recorded = self.pending.get(key), self.grant.reservations.get(key)
        if bill is None or recorded is None or self.grant.witness:
            return False
        return recorded.tokens == bill.tokens

    def drop_billed_costs(self, listed: ReservationList) -> None:
        """Stop listing the costs that an answered commit left out though it had room.

        The ledger has a bill of such a request already.  Listed again once the mark
        of that bill is forgotten, it would be billed a second time.
        """
        if self.grant.held < listed.need:
            return
        for key in listed.entries:
            if key not in self.grant.reservations:
                self.fixed_costs.pop(key, None)

    def _count_covered_by_allowance(self) -> int:
        """Return the tokens of listed reservations and of further early releases."""
        listed = sum(cost.tokens for cost in self.listed.values())
        unlisted = [key for key in self.released if key not in self.listed]
        return listed + sum(self.pending[key].tokens for key in unlisted)

    def give(self, now: Millis) -> None:
        """Return all unreserved tokens to the account with the next commit.

        Tokens too few for any request that waits here are returned as well: the
        remainders of all routers together may be enough for such a request.
        """
        self.giving = self.available > 0
        self.no_cushion_until = now + CUSHION_PAUSE

    def draw(self, now: Millis) -> Draw:
        """Return the draw to send, after applying its reductions locally.

        Reductions apply before the draw is sent: if the response were lost after
        the write took effect, a holder that still counted the old tokens or the
        old allowance could spend tokens that another router has since drawn.
        """
        reserved = sum(self.reserved.values())
        cushion = self.cushion(now)
        want = self.need + cushion
        kept = self.grant.held - self.unrecorded
        if self.giving:
            kept = reserved
        elif self.available <= RETURN_ABOVE_MULTIPLE * cushion:
            want = max(want, kept)
        self._apply_reductions(min(want, kept))
        least = reserved + min(self.waiting.values(), default=0)
        floor = reserved if self.giving else None
        self.giving = False
        return Draw(want, self.allowance, self.need, self.witness, least, floor)

    def _apply_reductions(self, level: int) -> None:
        grant = self.grant
        self.grant = replace(
            grant,
            drawn=min(grant.drawn, grant.billed + self.unrecorded + level),
            allowance=min(grant.allowance, self.allowance),
        )
        if self.witness != grant.witness:
            self.grant = replace(self.grant, allowance=0)

    def mark_released(self, key: str) -> bool:
        """Mark a pending bill as released if the allowance covers it; else False.

        Returns True as well for a bill that isn't pending, and for one that is marked
        already, unless the ledger may name another witness by now.
        """
        if key not in self.pending:
            return True
        # While a change of the witness is under way, the ledger may name either.
        if self.witness != self.grant.witness:
            return False
        if key in self.released:
            return True
        # The lower of the two allowances applies: a reduced one may be in the
        # ledger already even if the response was lost.
        bound = min(self.allowance, self.grant.allowance, self.grant.held)
        needed = 0 if key in self.listed else self.pending[key].tokens
        if self._count_covered_by_allowance() + needed > bound:
            return False
        self.released.add(key)
        return True

    def bill(self, bill: Bill) -> None:
        """Replace a reservation by a bill that is pending until it is recorded."""
        reserved = self.reserved.pop(bill.key, None)
        self.fixed_costs.pop(bill.key, None)
        check_invariant(reserved is not None, "a bill has no reservation")
        check_invariant(
            bill.tokens <= (reserved or 0), "a bill exceeds its reservation"
        )
        # A caller may repeat a request while its first bill is pending.  The
        # first bill is kept, because its answer may have ended already.
        self.pending.setdefault(bill.key, bill)

    def update_grant(
        self, grant: Grant, free: int, elsewhere: int, now: Millis
    ) -> None:
        """Store the grant and the totals that a commit returned."""
        if free > self.free or elsewhere != self.elsewhere:
            self.refusal = None
        self.grant = grant
        self.listed = dict(grant.reservations)
        self.free = free
        self.elsewhere = elsewhere
        if not free and self.available < self.cushion(now):
            self.no_refill_until = now + CUSHION_PAUSE
        if self.available >= 0:
            self.carried.clear()
        covered = self.available + self._count_carried_tokens()
        check_invariant(covered >= 0, "a holder has reserved more tokens than it holds")

    def _count_carried_tokens(self) -> int:
        reserved = sum(self.reserved.get(key, 0) for key in self.carried)
        pending = [self.pending[key] for key in self.carried if key in self.pending]
        return reserved + sum(bill.tokens for bill in pending)

    def refuse(self, key: str, tokens: int, now: Millis) -> Code:
        """Return why a request can't be paid for, and cache an exhausted budget."""
        self.stop_waiting(key)
        # Requests in flight may return part of their reservations at any time, and
        # a witness may free tokens in doubt, so only the result that too few tokens
        # are unspent is cached.
        if tokens <= self._count_reachable() + self.doubt:
            return BUDGET_UNREACHABLE
        self.refusal = Refusal(BUDGET_EXHAUSTED, tokens, now + REFUSAL_SPAN)
        return BUDGET_EXHAUSTED

    def lacks_doubtful(self, tokens: int) -> bool:
        """Tell whether only tokens in doubt could cover this many."""
        return tokens > self._count_reachable()

    def _count_reachable(self) -> int:
        return self.grant.held - self.unrecorded + self.free + self.elsewhere

    def recall_refusal(self, tokens: int, now: Millis) -> Code | None:
        """Return the cached reason for refusing this many tokens, if any."""
        refusal = self.refusal
        if refusal is None or now >= refusal.until or tokens < refusal.tokens:
            return None
        return refusal.code
