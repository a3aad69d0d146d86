"""One budget's account: top-ups, grants, what is spent and what is in doubt.

Every token of an account is in exactly one place:

    topped up = spent + held by open grants + in doubt + free
"""

import base64
import hashlib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace
from enum import Enum

from anvilshift.core.errors import check_invariant

KEY_CHARS = 12
"""Characters that recognise a recorded bill: 72 bits, at which the 37,500 bills
of 150 s at 250 requests a second collide once in 10^12 requests.  A collision
leaves one request unbilled and can overspend nothing."""
TOKEN_CHARS = 4
"""Characters for a bill's tokens, for who audits the sums: up to 16 million."""
MARK_CHARS = KEY_CHARS + TOKEN_CHARS
SLOT_S = 20
"""Seconds of bills that are forgotten together."""


@dataclass(frozen=True)
class Grant:
    """Tokens that one holder may spend from one account.

    Parameters
    ----------
    drawn
        Tokens handed to the holder in all, less those it gave back.
    billed
        Tokens of its recorded bills.
    allowance
        Tokens that the holder may bill before they are recorded.
    doubt
        Tokens of a sealed holder that it may have billed unseen.
    witness
        Incarnation of the router that must hold a copy of each bill before
        the holder bills it unrecorded; empty when none is needed.
    """

    drawn: int = 0
    billed: int = 0
    allowance: int = 0
    doubt: int = 0
    sealed: bool = False
    witness: str = ""

    @property
    def held(self) -> int:
        """Return the tokens that the holder may still spend."""
        return 0 if self.sealed else self.drawn - self.billed

    def seal(self) -> "Grant":
        """Return the grant closed: the allowance in doubt, the rest let go."""
        if self.sealed:
            return self
        return replace(self, sealed=True, doubt=min(self.allowance, self.held))


@dataclass(frozen=True)
class Bill:
    """What one request of an organisation cost.

    Parameters
    ----------
    key
        The request, unique within the account: a digest of organisation and
        request id.
    at
        Wall-clock seconds when it was made, for forgetting old keys.
    after
        How many commits its holder had begun when the bill was made; only
        later ones list it.
    """

    key: str
    organisation: str
    tokens: int
    holder: str
    at: int = 0
    after: int = 0


@dataclass(frozen=True)
class Mark:
    """What is remembered of a recorded bill.

    Parameters
    ----------
    key
        What `make_mark` makes of the bill's key.
    """

    key: str
    holder: str
    tokens: int


class BillState(Enum):
    """What became of a bill in a commit."""

    RECORDED = "recorded"
    DUPLICATE = "duplicate"
    REFUSED = "refused"


@dataclass(frozen=True)
class Draw:
    """A holder's wish to change its grant of one account.

    Parameters
    ----------
    want
        Tokens that the holder wants to hold after its bills are recorded.  A
        level and not a difference, so that applying it twice draws once.
    allowance
        Allowance of the grant from now on.
    need
        How much of what it wants requests wait for now; None is all.  The rest
        is a cushion and is cut to a share of what is free.
    witness
        Witness of the grant from now on.
    least
        Level below which more tokens are of no use to any request.
    floor
        Level to go down to when the least can't be reached; None keeps what
        is held.
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
    recent
        Marks of recorded bills by the slot of time and the holder.
    written_off
        Tokens in doubt of holders that are forgotten; they count as spent.
    """

    topups: Mapping[str, int] = field(default_factory=dict)
    spent: int = 0
    grants: Mapping[str, Grant] = field(default_factory=dict)
    recent: Mapping[str, Mapping[str, str]] = field(default_factory=dict)
    usage: Mapping[str, int] = field(default_factory=dict)
    written_off: int = 0

    @property
    def total(self) -> int:
        """Return the tokens topped up."""
        return sum(self.topups.values())

    @property
    def held(self) -> int:
        """Return the tokens in open grants."""
        return sum(grant.held for grant in self.grants.values())

    @property
    def doubt(self) -> int:
        """Return the tokens that lost holders may have billed unseen."""
        return self.written_off + sum(grant.doubt for grant in self.grants.values())

    @property
    def free(self) -> int:
        """Return the tokens that can be drawn."""
        return self.total - self.spent - self.held - self.doubt

    def check(self) -> "Account":
        """Return the account, after asserting that nothing is overspent."""
        check_invariant(self.spent >= 0, "an account spent a negative amount")
        check_invariant(self.free >= 0, "an account has handed out more than it has")
        return self

    def grant(self, holder: str) -> Grant:
        """Return a holder's grant; one that never drew has nothing."""
        return self.grants.get(holder, Grant())

    def with_grant(self, holder: str, grant: Grant) -> "Account":
        """Return the account with a holder's grant replaced."""
        return replace(self, grants={**self.grants, holder: grant}).check()

    def without_grants(self, holders: set[str]) -> "Account":
        """Return the account without the grants of some holders."""
        kept = {name: g for name, g in self.grants.items() if name not in holders}
        return replace(self, grants=kept).check()

    def find(self, bill: Bill) -> BillState | None:
        """Return what is known of a bill: recorded by its holder or another."""
        mark = make_mark(bill.key)
        for by_holder in self.recent.values():
            for holder, marks in by_holder.items():
                if _has_mark(marks, mark):
                    # A commit whose answer was lost is applied again: the
                    # holder's own bill is no duplicate of another router's.
                    mine = holder == bill.holder
                    return BillState.RECORDED if mine else BillState.DUPLICATE
        return None

    def record(self, bill: Bill) -> tuple["Account", BillState]:
        """Return the account with a bill of an open grant recorded.

        What the grant lacks is drawn in the same step: a holder that was
        sealed has answers to bill that its new grant doesn't cover yet.
        """
        known = self.find(bill)
        if known is not None:
            return self, known
        grant = self.grant(bill.holder)
        lacking = max(0, bill.tokens - grant.held)
        if grant.sealed or lacking > self.free:
            return self, BillState.REFUSED
        drawn, billed = grant.drawn + lacking, grant.billed + bill.tokens
        grant = replace(grant, drawn=drawn, billed=billed)
        return self._add(bill, grant), BillState.RECORDED

    def record_late(self, bill: Bill) -> tuple["Account", BillState]:
        """Return the account with a bill of a sealed grant recorded."""
        known = self.find(bill)
        if known is not None:
            return self, known
        grant = self.grant(bill.holder)
        if not grant.sealed or bill.tokens > grant.doubt:
            return self, BillState.REFUSED
        doubt, billed = grant.doubt - bill.tokens, grant.billed + bill.tokens
        grant = replace(grant, doubt=doubt, billed=billed)
        return self._add(bill, grant), BillState.RECORDED

    def list_marks(self) -> Iterator["Mark"]:
        """Yield what is remembered of recorded bills."""
        for by_holder in self.recent.values():
            for holder, marks in by_holder.items():
                for at in range(0, len(marks), MARK_CHARS):
                    key = marks[at : at + KEY_CHARS]
                    tokens = marks[at + KEY_CHARS : at + MARK_CHARS]
                    count = int.from_bytes(base64.urlsafe_b64decode(tokens))
                    yield Mark(key, holder, count)

    def _add(self, bill: Bill, grant: Grant) -> "Account":
        usage = dict(self.usage)
        usage[bill.organisation] = usage.get(bill.organisation, 0) + bill.tokens
        slot = str(bill.at // SLOT_S)
        by_holder = dict(self.recent.get(slot, {}))
        marks = by_holder.get(bill.holder, "") + make_mark(bill.key)
        marks += _write_tokens(bill.tokens)
        by_holder[bill.holder] = marks
        return replace(
            self,
            spent=self.spent + bill.tokens,
            grants={**self.grants, bill.holder: grant},
            recent={**self.recent, slot: by_holder},
            usage=usage,
        ).check()

    def draw(self, holder: str, draw: Draw) -> "Account":
        """Return the account with a holder's grant changed as it wishes.

        The cushion is cut to an equal share of what is free, so that the last
        tokens of a budget stay within reach of every router.
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

    def forget(self, before: int) -> "Account":
        """Return the account without the marks of bills before an instant."""
        oldest = before // SLOT_S
        kept = {slot: m for slot, m in self.recent.items() if int(slot) >= oldest}
        return replace(self, recent=kept) if len(kept) < len(self.recent) else self

    @property
    def marks(self) -> int:
        """Return the characters that recorded bills take."""
        return sum(len(m) for by in self.recent.values() for m in by.values())


def _write_tokens(tokens: int) -> str:
    most = min(tokens, 2 ** (6 * TOKEN_CHARS) - 1)
    return base64.urlsafe_b64encode(most.to_bytes(3)).decode()


def make_mark(key: str) -> str:
    """Return the short mark by which a recorded bill is recognised.

    Examples
    --------
    >>> len(make_mark("request-1")) == KEY_CHARS
    True
    """
    digest = hashlib.blake2b(key.encode(), digest_size=9).digest()
    return base64.urlsafe_b64encode(digest).decode()


def _has_mark(marks: str, mark: str) -> bool:
    at = marks.find(mark)
    while at >= 0 and at % MARK_CHARS:
        at = marks.find(mark, at + 1)
    return at >= 0
