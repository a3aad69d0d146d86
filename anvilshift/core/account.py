"""The account of one budget: top-ups, grants, and tokens spent and in doubt.

Every token of an account is counted in exactly one term:

    topped up = spent + held by open grants + in doubt + free
"""

import base64
import hashlib
from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from anvilshift.core.errors import check_invariant
from anvilshift.core.grant import Grant, ReservationList

KEY_CHARS = 12
"""Characters of the digest that identifies a recorded bill: 72 bits, at which the
37,500 bills of 150 s at 250 requests per second collide once in 10^12 requests.  A
collision leaves one request unbilled and cannot cause overspending."""
TOKEN_CHARS = 4
"""Characters that encode a bill's tokens, up to 16 million, for auditing the sums."""
MARK_CHARS = KEY_CHARS + TOKEN_CHARS
SLOT_S = 20
"""Length in seconds of a time slot; the marks of one slot are dropped together."""


@dataclass(frozen=True)
class Bill:
    """The cost of one request of an organisation.

    Parameters
    ----------
    key
        Digest of organisation and request id, unique within the account.
    holder
        Holder whose grant the bill is charged to.
    at
        Wall-clock time in seconds at which the bill was made; it decides when
        the bill's mark is dropped.
    after
        Number of commits that the holder had begun when the bill was made;
        only later commits list the bill.
    """

    key: str
    organisation: str
    tokens: int
    holder: str
    at: int = 0
    after: int = 0


@dataclass(frozen=True)
class Mark:
    """Compact record that identifies a recorded bill.

    Parameters
    ----------
    key
        Result of `make_mark` for the bill's key.
    """

    key: str
    holder: str
    tokens: int


class BillState(Enum):
    """Result of a commit for one bill."""

    RECORDED = "recorded"
    DUPLICATE = "duplicate"
    REFUSED = "refused"


@dataclass(frozen=True)
class Draw:
    """A holder's request to change its grant of one account.

    Parameters
    ----------
    want
        Tokens that the holder wants to hold after its bills are recorded.  It
        is an absolute level, not a difference, so that applying the draw twice
        has the effect of applying it once.
    allowance
        New allowance of the grant.
    need
        Part of `want` that current requests reserve or wait for; None means all
        of it.  The rest is a cushion, limited to a share of the free tokens.
    witness
        New witness of the grant.
    least
        Minimum level that lets any waiting request run; a lower level is of no
        use.
    floor
        Level to reduce the grant to when `least` can't be reached; None keeps
        the tokens held.
    """

    want: int
    allowance: int
    need: int | None = None
    witness: str = ""
    least: int = 0
    floor: int | None = None


@dataclass(frozen=True)
class Account:
    """The state of one budget.

    Parameters
    ----------
    topups
        Tokens of each top-up, by its id.
    recent
        Concatenated marks of recorded bills, by time slot and holder.
    usage
        Tokens of recorded bills, by organisation.
    written_off
        Tokens in doubt of holders that were removed; they count as spent.
    """

    topups: Mapping[str, int] = field(default_factory=dict)
    spent: int = 0
    grants: Mapping[str, Grant] = field(default_factory=dict)
    recent: Mapping[str, Mapping[str, str]] = field(default_factory=dict)
    usage: Mapping[str, int] = field(default_factory=dict)
    written_off: int = 0

    @property
    def total(self) -> int:
        """Return the sum of all top-ups."""
        return sum(self.topups.values())

    @property
    def held(self) -> int:
        """Return the tokens in open grants."""
        return sum(grant.held for grant in self.grants.values())

    @property
    def doubt(self) -> int:
        """Return the tokens that lost holders may have billed without a record."""
        return self.written_off + sum(grant.doubt for grant in self.grants.values())

    @property
    def free(self) -> int:
        """Return the tokens that can be drawn."""
        return self.total - self.spent - self.held - self.doubt

    def check(self) -> "Account":
        """Return the account after checking that it is not overspent."""
        check_invariant(self.spent >= 0, "an account spent a negative amount")
        check_invariant(self.free >= 0, "an account has handed out more than it has")
        return self

    def grant(self, holder: str) -> Grant:
        """Return a holder's grant; empty if the holder never drew."""
        return self.grants.get(holder, Grant())

    def with_grant(self, holder: str, grant: Grant) -> "Account":
        """Return the account with the grant of one holder replaced."""
        return replace(self, grants={**self.grants, holder: grant}).check()

    def without_grants(self, holders: set[str]) -> "Account":
        """Return the account without the grants of the given holders."""
        kept = {name: g for name, g in self.grants.items() if name not in holders}
        return replace(self, grants=kept).check()

    def find(self, bill: Bill) -> BillState | None:
        """Return RECORDED or DUPLICATE for a recorded bill; None if it has no mark.

        DUPLICATE means that another holder recorded the bill.
        """
        mark = make_mark(bill.key)
        for by_holder in self.recent.values():
            for holder, marks in by_holder.items():
                if _has_mark(marks, mark):
                    # A holder repeats a commit whose response was lost, so its
                    # own recorded bill is not a duplicate.
                    own = holder == bill.holder
                    return BillState.RECORDED if own else BillState.DUPLICATE
        return None

    def is_billed(self, key: str) -> bool:
        """Tell whether a request has a bill whose mark isn't forgotten."""
        return self.find(Bill(key, "", 0, "")) is not None

    def record(self, bill: Bill) -> tuple["Account", BillState]:
        """Return the account with a bill of an open grant recorded.

        Tokens that the grant lacks are drawn in the same step: the successor of
        a sealed holder takes over bills that its new grant doesn't cover yet.
        """
        known = self.find(bill)
        if known is not None:
            return self, known
        grant = self.grant(bill.holder)
        shortfall = max(0, bill.tokens - grant.held)
        if grant.sealed or shortfall > self.free:
            return self, BillState.REFUSED
        drawn, billed = grant.drawn + shortfall, grant.billed + bill.tokens
        grant = replace(grant, drawn=drawn, billed=billed)
        return self._add_bill(bill, grant), BillState.RECORDED

    def record_late(self, bill: Bill) -> tuple["Account", BillState]:
        """Return the account with a bill recorded from a sealed grant's doubt."""
        known = self.find(bill)
        if known is not None:
            return self, known
        grant = self.grant(bill.holder)
        if not grant.sealed or bill.tokens > grant.doubt:
            return self, BillState.REFUSED
        doubt, billed = grant.doubt - bill.tokens, grant.billed + bill.tokens
        grant = replace(grant, doubt=doubt, billed=billed)
        return self._add_bill(bill, grant), BillState.RECORDED

    def list_marks(self) -> Iterator["Mark"]:
        """Yield the marks of the recorded bills."""
        for by_holder in self.recent.values():
            for holder, marks in by_holder.items():
                for start in range(0, len(marks), MARK_CHARS):
                    key = marks[start : start + KEY_CHARS]
                    encoded = marks[start + KEY_CHARS : start + MARK_CHARS]
                    tokens = int.from_bytes(base64.urlsafe_b64decode(encoded))
                    yield Mark(key, holder, tokens)

    def _add_bill(self, bill: Bill, grant: Grant) -> "Account":
        usage = dict(self.usage)
        usage[bill.organisation] = usage.get(bill.organisation, 0) + bill.tokens
        slot = str(bill.at // SLOT_S)
        by_holder = dict(self.recent.get(slot, {}))
        marks = by_holder.get(bill.holder, "") + make_mark(bill.key)
        marks += _encode_tokens(bill.tokens)
        by_holder[bill.holder] = marks
        grants = {**self.grants, bill.holder: grant}
        # A request that was sent again to another router is reserved at both.  The
        # reservation of a lost router goes with the bill: were it billed after the
        # bill's mark is dropped, the request would be billed twice.
        grants = {name: g.without_reservation(bill.key) for name, g in grants.items()}
        return replace(
            self,
            spent=self.spent + bill.tokens,
            grants=grants,
            recent={**self.recent, slot: by_holder},
            usage=usage,
        ).check()

    def record_reservations(self, holder: str, listed: ReservationList) -> "Account":
        """Return the account with the fixed costs that a holder lists recorded.

        None is added that the allowance doesn't cover, nor while the grant is smaller
        than what the holder needs: a request that still waits for tokens may be
        refused, and would be billed without having run if its holder were lost then.
        A request that has a bill is left out.
        """
        grant = self.grant(holder)
        entries = {k: one for k, one in listed.entries.items() if not self.is_billed(k)}
        total = sum(one.tokens for one in entries.values())
        if grant.held < listed.need or total > grant.allowance:
            entries = {k: one for k, one in entries.items() if k in grant.reservations}
        if entries == grant.reservations:
            return self
        return self.with_grant(holder, replace(grant, reservations=entries))

    def draw(self, holder: str, draw: Draw) -> "Account":
        """Return the account with a holder's grant changed as requested.

        The cushion is limited to an equal share of the free tokens, so that
        every router can still draw from the last tokens of a budget.
        """
        grant = self.grant(holder)
        change = draw.want - grant.held
        if change > 0:
            need = draw.want if draw.need is None else min(draw.need, draw.want)
            needed = max(0, min(need - grant.held, self.free))
            holders = len(self.grants) + (holder not in self.grants)
            share = (self.free - needed) // (holders + 1)
            change = needed + max(0, min(change - needed, share))
            if grant.held + change < draw.least:
                floor = grant.held if draw.floor is None else draw.floor
                change = min(0, floor - grant.held)
        grant = replace(
            grant,
            drawn=grant.drawn + change,
            allowance=draw.allowance,
            witness=draw.witness,
        )
        return self.with_grant(holder, grant)

    def forget(self, before: int, recent: Collection[str] = ()) -> "Account":
        """Return the account without the marks of slots before a time.

        Parameters
        ----------
        recent
            Slots whose marks are kept all the same.
        """
        oldest = before // SLOT_S
        kept = {
            slot: marks
            for slot, marks in self.recent.items()
            if int(slot) >= oldest or slot in recent
        }
        return replace(self, recent=kept) if len(kept) < len(self.recent) else self

    @property
    def marks(self) -> int:
        """Return the total length in characters of the stored marks."""
        return sum(len(m) for slot in self.recent.values() for m in slot.values())


def _encode_tokens(tokens: int) -> str:
    capped = min(tokens, 2 ** (6 * TOKEN_CHARS) - 1)
    return base64.urlsafe_b64encode(capped.to_bytes(3)).decode()


def make_mark(key: str) -> str:
    """Return the short digest that identifies a recorded bill.

    Examples
    --------
    >>> len(make_mark("request-1")) == KEY_CHARS
    True
    """
    digest = hashlib.blake2b(key.encode(), digest_size=9).digest()
    return base64.urlsafe_b64encode(digest).decode()


def _has_mark(marks: str, mark: str) -> bool:
    start = marks.find(mark)
    while start >= 0 and start % MARK_CHARS:
        start = marks.find(mark, start + 1)
    return start >= 0
