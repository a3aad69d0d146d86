"""What a holder knows of its grant of one account, and how much it wants.

The wanted level follows recent use.  Were it fixed, every router would hold
the whole of it and a small budget would lie stranded in the routers that don't
need it, while another refuses the budget's requests.
"""

from dataclasses import dataclass, field, replace

from anvilshift.core.account import Bill, Draw, Grant
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    Code,
    check_invariant,
)

REFILL_BELOW = 0.5
"""Refill when less than this share of the wanted level is left: early enough
that a refill under way (one platform write) ends before the rest is spent."""
GIVE_ABOVE = 2.0
"""Give back what is over this multiple of the wanted level; nearer to one, a
steady use would draw and give back in turn."""
USE_SPAN: Millis = 10 * SECOND
"""Time over which use is averaged: longer than one answer, shorter than the
minutes of an opening burst."""
CUSHION_SPAN: Millis = 3 * SECOND
"""Use that the cushion covers: several commits and their retries."""
PLENTY = 4
"""Free tokens, in levels, from which on the whole level is held: with so much
left nobody lacks what lies idle here, and an opening burst after a quiet night
finds it at hand instead of waiting for a commit."""
LEAN_SPAN: Millis = 2 * SECOND
"""Time without a cushion after tokens were handed back for another router:
drawn again at once, they would never get there."""
REFUSAL_SPAN: Millis = 800.0
"""Time for which a refusal is repeated without asking the platform.  A top-up
is seen within a second: this, and one call."""


@dataclass(frozen=True)
class Refusal:
    """A finding that a budget can't pay for so many tokens."""

    code: Code
    tokens: int
    until: Millis


@dataclass
class Purse:
    """A holder's side of one account.

    Parameters
    ----------
    level
        Most tokens of a cushion.
    reserved
        Tokens set aside, by request.
    waiting
        Tokens that requests wait for, by request.
    pending
        Bills that aren't recorded yet.
    released
        Pending bills whose answers may have ended.
    giving
        Whether another router has asked for what is to spare here.
    carried
        Requests reserved under an earlier holder that was sealed.
    use
        Tokens reserved of late, older ones counting less.
    """

    account: str
    allowance: int
    level: int
    grant: Grant = field(default_factory=Grant)
    reserved: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    pending: dict[str, Bill] = field(default_factory=dict)
    released: set[str] = field(default_factory=set)
    carried: set[str] = field(default_factory=set)
    frozen: bool = False
    giving: bool = False
    witness: str = ""
    free: int = 0
    elsewhere: int = 0
    use: float | None = None
    used_at: Millis = 0.0
    lean_until: Millis = -1.0
    dry_until: Millis = -1.0
    refusal: Refusal | None = None

    @property
    def unrecorded(self) -> int:
        """Return the tokens of bills that are not recorded yet."""
        return sum(bill.tokens for bill in self.pending.values())

    @property
    def available(self) -> int:
        """Return the tokens that a new request may reserve."""
        return self.grant.held - self.unrecorded - sum(self.reserved.values())

    @property
    def exposed(self) -> int:
        """Return the tokens released to callers before they were recorded."""
        return sum(self.pending[key].tokens for key in self.released)

    @property
    def need(self) -> int:
        """Return the tokens that requests hold or wait for."""
        return sum(self.reserved.values()) + sum(self.waiting.values())

    def reserve(self, key: str, tokens: int, now: Millis) -> bool:
        """Set tokens aside for a request; False when too few are held."""
        more = tokens - self.reserved.get(key, 0)
        if more > 0 and more > self.available:
            self.waiting[key] = more
            return False
        self.waiting.pop(key, None)
        if more > 0:
            self.reserved[key] = tokens
            self._count_use(more, now)
        return True

    def _count_use(self, tokens: int, now: Millis) -> None:
        self.use = self._decay(now) + tokens
        self.used_at = now

    def _decay(self, now: Millis) -> float:
        if self.use is None:
            return 0.0
        return self.use * max(0.0, 1 - (now - self.used_at) / USE_SPAN)

    def cushion(self, now: Millis) -> int:
        """Return the tokens wanted beyond what requests need.

        Before anything is known, and while the budget has plenty, it is the
        whole level.  An idle purse keeps its allowance, which it would live on
        in an outage.
        """
        if now < self.lean_until:
            return 0
        if self.use is None or self.free >= PLENTY * self.level:
            return self.level
        used = self._decay(now) * CUSHION_SPAN / USE_SPAN
        return min(self.level, max(int(used), self.allowance))

    def needs_draw(self, now: Millis) -> bool:
        """Tell whether the grant should change."""
        if self.frozen:
            return False
        settled = (self.allowance, self.witness)
        if (
            self.waiting
            or self.giving
            or (self.grant.allowance, self.grant.witness) != settled
        ):
            return True
        cushion = self.cushion(now)
        if self.available > GIVE_ABOVE * cushion:
            return self.available > 0
        return now >= self.dry_until and self.available < cushion * REFILL_BELOW

    def give(self, now: Millis) -> None:
        """Hand back with the next commit what no request has reserved.

        A crumb too small for the requests that wait here goes back as well:
        the crumbs of all together may do for them.
        """
        self.giving = self.available > 0
        self.lean_until = now + LEAN_SPAN

    def draw(self, now: Millis) -> Draw:
        """Return the wish to send, and count on nothing that it may take away.

        What a wish lowers is given up before it is sent: were the answer lost
        after the write took effect, a holder that still counted the tokens or
        the allowance would spend what another router has drawn meanwhile.
        """
        reserved = sum(self.reserved.values())
        cushion = self.cushion(now)
        want = self.need + cushion
        kept = self.grant.held - self.unrecorded
        if self.giving:
            kept = reserved
        elif self.available <= GIVE_ABOVE * cushion:
            want = max(want, kept)
        self._give_up(min(want, kept))
        least = reserved + min(self.waiting.values(), default=0)
        floor = reserved if self.giving else None
        self.giving = False
        return Draw(want, self.allowance, self.need, self.witness, least, floor)

    def _give_up(self, level: int) -> None:
        grant = self.grant
        self.grant = replace(
            grant,
            drawn=min(grant.drawn, grant.billed + self.unrecorded + level),
            allowance=min(grant.allowance, self.allowance),
        )
        if self.witness != grant.witness:
            self.grant = replace(self.grant, allowance=0)

    def expose(self, key: str) -> bool:
        """Count a pending bill as released, if the allowance holds it."""
        if key not in self.pending or key in self.released:
            return True
        if self.witness != self.grant.witness:
            return False
        # The lower of the two allowances counts: one that is being lowered may
        # be in the ledger already although the answer was lost.
        bound = min(self.allowance, self.grant.allowance, self.grant.held)
        if self.exposed + self.pending[key].tokens > bound:
            return False
        self.released.add(key)
        return True

    def bill(self, bill: Bill) -> None:
        """Turn a reservation into a bill that waits to be recorded."""
        reserved = self.reserved.pop(bill.key, None)
        check_invariant(reserved is not None, "a bill came without a reservation")
        check_invariant(bill.tokens <= (reserved or 0), "a bill is over its bound")
        # A caller may send a request again while its first bill waits; that
        # one stands, for its answer may have ended already.
        self.pending.setdefault(bill.key, bill)

    def take(self, grant: Grant, free: int, elsewhere: int, now: Millis) -> None:
        """Take in the grant after a commit."""
        if free > self.free or elsewhere != self.elsewhere:
            self.refusal = None
        self.grant = grant
        self.free = free
        self.elsewhere = elsewhere
        if not free and self.available < self.cushion(now):
            self.dry_until = now + LEAN_SPAN
        if self.available >= 0:
            self.carried.clear()
        backed = self.available + self._carried_tokens()
        check_invariant(backed >= 0, "a holder reserved more than it has")

    def _carried_tokens(self) -> int:
        reserved = sum(self.reserved.get(key, 0) for key in self.carried)
        pending = [self.pending[key] for key in self.carried if key in self.pending]
        return reserved + sum(bill.tokens for bill in pending)

    def refuse(self, key: str, tokens: int, now: Millis) -> Code:
        """Return why a request can't be paid, and remember it for a moment."""
        self.waiting.pop(key, None)
        within_reach = self.grant.held - self.unrecorded + self.free + self.elsewhere
        # What work in flight has reserved comes back in part as it ends, at
        # any moment, so only a finding that all is spent is worth keeping.
        if tokens <= within_reach:
            return BUDGET_UNREACHABLE
        self.refusal = Refusal(BUDGET_EXHAUSTED, tokens, now + REFUSAL_SPAN)
        return BUDGET_EXHAUSTED

    def recall_refusal(self, tokens: int, now: Millis) -> Code | None:
        """Return why as many tokens were refused a moment ago, if they were."""
        refusal = self.refusal
        if refusal is None or now >= refusal.until or tokens < refusal.tokens:
            return None
        return refusal.code
