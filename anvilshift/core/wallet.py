"""What one router may spend of each organisation's prepaid total, and has spent.

Load pattern: callers send large prompts in bursts while the platform's store
is out of reach for many seconds.  Without a cushion the router would refuse
proper work as soon as the store is gone; with too large a cushion a killed
router strands tokens that nobody can spend any more.

A request reserves the most that it can cost and settles what it used.  The
cushion follows the rate of use, so that an idle organisation strands little.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from anvilshift.core.allotments import Allotment, Allotments, Wish
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.usage import Use, UseRecord


@dataclass(frozen=True)
class CushionLimits:
    """How large the cushions of an organisation are.

    Parameters
    ----------
    cover
        Use that a full cushion lasts for.
    most, slope
        All cushions together hold at most this part of what is left of a total, and
        at most `slope` times the part that is left.
    least_part
        Part of a total that all cushions together are at least, within that.  An
        organisation's use is uneven, and one that calls seldom may still send a
        prompt of 55,000 tokens in the midst of a cut.
    """

    cover: Millis
    most: float
    slope: float
    least_part: float


UNPROVED = CushionLimits(10 * SECOND, most=0.35, slope=0.45, least_part=0.17)
"""While a cushion counts as spent whole when its router is killed.  Near the end of
a total that leaves an organisation refused for the rest of the day with tokens that
nobody can reach; cuts of 8 s starve those that send much."""
PROVED = CushionLimits(10 * SECOND, most=0.6, slope=1.0, least_part=0.17)
"""While a successor can prove how little was spent."""
_FIRST_PART = 0.002
"""Part of a total that a router asks for before it knows what is left of it and how
many routers share it.  One that took its whole cushion then, alone as it believed,
stranded an eighth of a total when it was killed a second later."""
_REFILL_BELOW = 0.9
"""Part of the cushion below which more is drawn; each draw is a priced write, and
at 0.9 a router writes about every second of steady use."""
_AT_ONCE_LEAST, _AT_ONCE_MOST = 0.12, 0.2
"""Of a cushion this part may be spent at any time: the part of the total that is left,
within these.  What time does not bound is lost with all routers, which matters near a
total's end only; a long prompt in a cut needs much at once."""
_GIVE_ABOVE = 1.4
"""Part of the cushion above which tokens go back, far enough from the refill
that a wave in the traffic doesn't draw and give back in turn."""
_RATE_SPAN: Millis = 6 * SECOND
"""Time constant of the measured rate: longer than the pause between two
large prompts, shorter than an organisation's burst."""


@dataclass(frozen=True)
class Pace:
    """How fast one record of this router's use lets it spend.

    Parameters
    ----------
    anchor
        When the store had last answered before the record was written.
    """

    anchor: Millis
    use: Use


@dataclass
class Purse:
    """One organisation's tokens at this router.

    Parameters
    ----------
    ceiling
        Tokens that may be spent in all; only what the store confirmed counts.
    left
        What is left of the total in all, as of the last write; None before it.
    settled
        Tokens of requests that have ended, and those given to other routers;
        less those that others gave.
    reserved
        By request, the most that it can cost.
    waiting
        By request, what it needs and could not reserve.
    paces
        Of every record of use that may stand in the store; were one of them
        passed, whoever ends this router's share would count too little.
    """

    total: int = 0
    routers: int = 1
    left: int | None = None
    ceiling: int = 0
    settled: int = 0
    reserved: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    paces: tuple[Pace, ...] = ()
    rate: float = 0.0
    rated_at: Millis = 0.0
    rated_since: Millis | None = None
    dry_until: Millis = -math.inf
    limited: bool = True
    provable: bool = False

    @property
    def spent(self) -> int:
        """Return what is spent or may yet be by requests that run."""
        return self.settled + sum(self.reserved.values())

    @property
    def ready(self) -> int:
        """Return what lies ready, though not all of it may be spent at once."""
        return self.ceiling - self.spent

    def available(self, now: Millis) -> int:
        """Return what another request may reserve now."""
        limits = [pace.use.most_after(now - pace.anchor) for pace in self.paces]
        return min([self.ceiling, *limits]) - self.spent

    def find_wait(self, tokens: int, now: Millis) -> Millis | None:
        """Return when so much may be reserved if nothing is drawn; None is never."""
        if tokens > self.ready:
            return None
        spent, longest = self.spent + tokens, 0.0
        for pace in self.paces:
            wait = pace.use.find_wait(spent, now - pace.anchor)
            if wait is None:
                return None
            longest = max(longest, wait)
        return longest

    def make_use(self) -> Use:
        """Return what to say of this organisation's use now."""
        needed = self.spent + sum(self.waiting.values())
        recorded = needed if needed <= self.ceiling else self.spent
        cushion = max(0, self.ceiling - recorded)
        part = (self.left or 0) / max(1, self.total)
        part = min(max(part, _AT_ONCE_LEAST), _AT_ONCE_MOST)
        return Use(recorded, int(cushion * part), cushion)

    def count_use(self, tokens: int, now: Millis) -> None:
        """Follow the rate of use, in tokens a millisecond."""
        gone = math.exp(-(now - self.rated_at) / _RATE_SPAN)
        self.rate = self.rate * gone + tokens / _RATE_SPAN
        self.rated_at = now
        if self.rated_since is None:
            self.rated_since = now

    def current_rate(self, now: Millis) -> float:
        """Return the rate of use now, in tokens a millisecond."""
        if self.rated_since is None:
            return 0.0
        # A mean that began a moment ago holds little yet; it is put right by the
        # part of its weights that it has seen.
        seen = 1.0 - math.exp(-max(SECOND, now - self.rated_since) / _RATE_SPAN)
        return self.rate * math.exp(-(now - self.rated_at) / _RATE_SPAN) / seen

    def cushion(self, now: Millis) -> int:
        """Return the tokens that should lie ready beyond what is reserved."""
        limits = PROVED if self.provable else UNPROVED
        least = int(self.total * limits.least_part / self.routers)
        wanted = max(int(self.current_rate(now) * limits.cover), least)
        if self.left is None:
            return int(self.total * _FIRST_PART)
        left = max(0, self.left)
        part = min(limits.most, limits.slope * left / max(1, self.total))
        return min(wanted, int(left * part / self.routers))

    def make_wish(self, now: Millis) -> Wish:
        """Return what to ask of the store now."""
        needed = self.spent + sum(self.waiting.values())
        cushion = self.cushion(now)
        ceiling = needed + cushion
        if needed <= self.ceiling <= needed + int(cushion * _GIVE_ABOVE):
            ceiling = max(ceiling, self.ceiling)
        return Wish(ceiling, needed, self.spent)

    def needs_change(self, now: Millis) -> bool:
        """Tell whether the share in the store should change."""
        if not self.limited:
            return False
        cushion = self.cushion(now)
        if self.ready > max(1, int(cushion * _GIVE_ABOVE)):
            return True
        if now < self.dry_until:
            return False
        return self.lacks() or self.ready < cushion * _REFILL_BELOW

    def lacks(self) -> bool:
        """Tell whether requests wait for more than lies ready."""
        return sum(self.waiting.values()) > self.ready


_DRY_SPAN: Millis = 2 * SECOND
"""After a draw that found nothing free: a total grows by seconds, and each look is
a priced write."""
_GIFT_PART = 0.5
"""Most of what is available that goes to one router that asks; the asker has a
request that waits, the giver has none."""


class Wallet:
    """Reserve and settle tokens of all organisations at one router.

    Examples
    --------
    >>> wallet = Wallet("r1")
    >>> wallet.configure({"pounds": 1_600}, now=0.0)
    >>> wallet.reserve("pounds", "a", 60, now=0.0)
    False
    >>> from anvilshift.core.allotments import Allotment, Share
    >>> held = Allotment(1_600, shares={"r1": Share(100, 0)})
    >>> wallet.take(Allotments({"pounds": held}), now=1.0)
    >>> wallet.reserve("pounds", "a", 60, now=1.0)
    True
    >>> wallet.settle("pounds", "a", 25, now=2.0)
    >>> wallet.purses["pounds"].available(now=2.0)
    75
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.purses: dict[str, Purse] = {}
        self.seen = Allotments()

    def configure(self, totals: Mapping[str, int | None], now: Millis) -> None:
        """Take in the totals of a configuration; None is no limit."""
        for name, total in totals.items():
            purse = self.purses.setdefault(name, Purse())
            purse.limited = total is not None
            if total is not None and total < purse.total:
                # Less is prepaid than before: what lies ready here may be more
                # than is left, so it goes back before anything else is drawn.
                purse.ceiling = min(purse.ceiling, purse.spent)
            if total is not None and total > purse.total:
                purse.dry_until = now
            purse.total = total or 0

    def reserve(self, name: str, key: str, tokens: int, now: Millis) -> bool:
        """Set tokens aside for a request; False when too few lie ready."""
        purse = self.purses.setdefault(name, Purse())
        if purse.limited and tokens > purse.available(now):
            purse.waiting[key] = tokens
            return False
        purse.waiting.pop(key, None)
        purse.reserved[key] = tokens
        return True

    def is_dry(self, name: str, now: Millis) -> bool:
        """Tell whether the last draw found nothing free."""
        purse = self.purses.get(name)
        return purse is not None and now < purse.dry_until

    def give_up(self, name: str, key: str) -> None:
        """Forget a request that waited for tokens."""
        self.purses[name].waiting.pop(key, None)

    def settle(self, name: str, key: str, tokens: int, now: Millis) -> None:
        """Turn a reservation into what was used; 0 gives all of it back."""
        purse = self.purses[name]
        used = min(tokens, purse.reserved.pop(key, 0))
        purse.settled += used
        if used:
            purse.count_use(used, now)

    def wants_change(self, now: Millis) -> bool:
        """Tell whether the shares in the store should change."""
        return any(purse.needs_change(now) for purse in self.purses.values())

    def is_waited_for(self, now: Millis) -> bool:
        """Tell whether a request waits for tokens that may be drawn now."""
        return any(
            purse.lacks() and now >= purse.dry_until for purse in self.purses.values()
        )

    def make_wishes(self, now: Millis) -> dict[str, Wish]:
        """Return what to ask now, and stop counting on what is given back.

        What a wish lowers is given up before it is sent: were the answer lost
        after the write took effect, this router would spend tokens that
        another has drawn meanwhile.
        """
        wishes = {}
        for name, purse in self.purses.items():
            if purse.needs_change(now):
                wishes[name] = purse.make_wish(now)
                purse.ceiling = min(purse.ceiling, wishes[name].ceiling)
        return wishes

    def take(self, allotments: Allotments, now: Millis) -> None:
        """Take in the object after a write of this router took effect."""
        self.seen = allotments
        for name, purse in self.purses.items():
            purse.ceiling = max(allotments.ceiling(name, self.holder), purse.spent)
            known = allotments.of(name)
            purse.left = (
                known.total
                - known.closed
                - sum(share.recorded for share in known.shares.values())
            )
            # Crumbs that no waiting request fits into are as good as nothing: looked
            # at again and again they cost a write every 150 ms for each of a burst.
            if known.free < min(purse.waiting.values(), default=1):
                purse.dry_until = now + _DRY_SPAN

    def set_provable(self, provable: bool) -> None:
        """Take in whether a successor could prove how much was spent here."""
        for purse in self.purses.values():
            purse.provable = provable

    def set_routers(self, routers: int) -> None:
        """Take in among how many routers the cushions are divided."""
        routers = max(1, routers, len(self.seen.list_holders()))
        for purse in self.purses.values():
            purse.routers = routers

    def make_uses(self) -> dict[str, Use]:
        """Return what to say of every organisation's use."""
        limited = {name: one for name, one in self.purses.items() if one.limited}
        return {name: purse.make_use() for name, purse in limited.items()}

    def pace(self, record: UseRecord) -> None:
        """Keep to a record that is about to be written; it may take effect."""
        for name, use in record.uses.items():
            if name in self.purses:
                self.purses[name].paces += (Pace(record.anchor, use),)

    def settle_pace(self, record: UseRecord) -> None:
        """Keep only to a record that the store has confirmed.

        A write before it that was not answered can't take effect any more.
        """
        for name, purse in self.purses.items():
            use = record.uses.get(name)
            purse.paces = (Pace(record.anchor, use),) if use else ()

    def give(self, name: str, tokens: int, now: Millis) -> int:
        """Give tokens to another router; return how many.

        They count as spent here from before they are sent, and this router's
        share in the store goes on covering them: a gift that is lost on its
        way is out of reach, never there twice.

        Examples
        --------
        >>> wallet = Wallet("r1")
        >>> wallet.purses["pounds"] = Purse(total=100, ceiling=100)
        >>> wallet.give("pounds", 80, now=0.0), wallet.purses["pounds"].available(0.0)
        (50, 50)
        """
        purse = self.purses.get(name)
        if purse is None or not purse.limited:
            return 0
        given = max(0, min(tokens, int(purse.available(now) * _GIFT_PART)))
        purse.settled += given
        return given

    def receive(self, name: str, tokens: int) -> None:
        """Take in tokens that another router gave."""
        if name in self.purses:
            self.purses[name].settled -= tokens

    def is_exhausted(self, name: str, tokens: int) -> bool:
        """Tell whether the total certainly can't cover as many tokens.

        What others hold and have not recorded as spent, and what ended holders
        left in doubt, may still be there: then nobody can say so.
        """
        purse = self.purses[name]
        known: Allotment = self.seen.of(name)
        total = min(purse.total, known.total) if known.version else purse.total
        own = known.shares.get(self.holder)
        others = known.spent_at_least() - (own.recorded if own else 0)
        return total - others - purse.spent < tokens
