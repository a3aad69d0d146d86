"""What one router has of one organisation's tokens, and what it may spend of them.

Load pattern: see `wallet`.  Here stand the sizes: how much keepers hold, how much
of that they may spend without a record, and when tokens go back.
"""

import math
from dataclasses import dataclass, field

from anvilshift.core.allotments import Wish
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.usage import Use

_COVER: Millis = 10 * SECOND
"""Use that a cushion lasts for while nobody could prove how little of it was spent."""
_UNPROVED_MOST, _UNPROVED_SLOPE, _UNPROVED_LEAST = 0.35, 0.45, 0.17
"""Then all cushions together hold at most this part of what is left, at most the
second times the part of the total that is left, and otherwise at least the third of
the total.  Each counts as spent whole when its router is killed."""
_KEPT_PARTS = (0.55, 0.3)
"""Parts of what is left that the first and the second keeper hold while a successor
can prove how little was spent: a cut from the store leaves nothing else to spend.  The
rest lies free, for when a keeper is down for seconds with its part."""
_FIRST_PART = 0.002
"""Part of a total that a router asks for before it knows what is left of it and how
many routers share it.  One that took its whole cushion then, alone as it believed,
stranded an eighth of a total when it was killed a second later."""
_REFILL_BELOW = 0.9
"""Part of the cushion below which more is drawn; each draw is a priced write."""
_AT_ONCE_PARTS = (0.06, 0.015)
"""Part of what is left that the first and the second keeper may spend at any time.  No
proof bounds it, so it is lost with all routers; and the first prompts of a cut need
it before time has unlocked anything."""
_REACH: Millis = 10 * SECOND
"""Use, at the measured rate, that may be spent in a cut of 8 s: an organisation may
send more than its usual meanwhile."""
_REACH_LEAST = 0.06
"""The same for an organisation that sends seldom, as a part of its total."""
_GIVE_ABOVE = 1.4
"""Part of the cushion above which tokens go back, far enough from the refill
that a wave in the traffic doesn't draw and give back in turn."""
_RETURN_PART = 0.01
"""Part of a total that may go to a keeper by datagram, where it may be lost; more
than that goes back through the store."""
_RATE_SPAN: Millis = 6 * SECOND
"""Time constant of the measured rate: longer than the pause between two
large prompts, shorter than an organisation's burst."""
_IDLE: Millis = 1 * SECOND
"""Without a request for so long, what a request left over goes back to a keeper: the
next one of the same organisation would use it at once."""


@dataclass(frozen=True)
class Pace:
    """How fast one record of this router's use lets it spend.

    Parameters
    ----------
    anchor
        When the record was made.
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
    rank
        Place of this router among the `keepers` of the organisation's tokens; None
        if it is none of them.
    free, free_until
        Tokens that no router had as of the last write, and until when that holds.
    busy_at
        When a request last reserved tokens.
    unkept_until
        Until when this router draws for itself although it is no keeper.
    paces
        Of every record of use that may stand in the store; were one of them
        passed, whoever ends this router's share would count too little.
    """

    total: int = 0
    keepers: int = 1
    rank: int | None = 0
    left: int | None = None
    ceiling: int = 0
    settled: int = 0
    reserved: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    paces: tuple[Pace, ...] = ()
    rate: float = 0.0
    rated_at: Millis = 0.0
    rated_since: Millis | None = None
    free: int = 0
    free_until: Millis = -math.inf
    limited: bool = True
    provable: bool = False
    busy_at: Millis = -math.inf
    unkept_until: Millis = -math.inf

    @property
    def spent(self) -> int:
        """Return what is spent or may yet be by requests that run."""
        return self.settled + sum(self.reserved.values())

    @property
    def keeping(self) -> bool:
        """Tell whether this router keeps the organisation's tokens."""
        return self.rank is not None

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

    def make_use(self, now: Millis) -> Use:
        """Return what to say of this organisation's use now."""
        needed = self.spent + sum(self.waiting.values())
        recorded = needed if needed <= self.ceiling else self.spent
        beyond = max(0, self.ceiling - recorded)
        if self.rank is None:
            # It spends what keepers gave for one request each.  Paced, it would ask
            # for the tokens of the next one while those of the last lie unused.
            return Use(recorded, beyond, beyond)
        rate = self.current_rate(now)
        reach = max(int(rate * _REACH), int(self.total * _REACH_LEAST))
        reach = min(reach, beyond)
        at_once = int(max(0, self.left or 0) * _AT_ONCE_PARTS[self.rank])
        return Use(recorded, min(at_once, reach), reach)

    def is_paced(self) -> bool:
        """Tell whether a record keeps this router from spending what lies ready."""
        uses = [pace.use for pace in self.paces]
        return any(use.recorded + use.at_once < self.ceiling for use in uses)

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
        if not self.keeping:
            return 0
        if self.left is None:
            return int(self.total * _FIRST_PART)
        left = max(0, self.left)
        if self.provable:
            return int(left * _KEPT_PARTS[self.rank or 0])
        least = int(self.total * _UNPROVED_LEAST / self.keepers)
        wanted = max(int(self.current_rate(now) * _COVER), least)
        part = min(_UNPROVED_MOST, _UNPROVED_SLOPE * left / max(1, self.total))
        return min(wanted, int(left * part / self.keepers))

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
        if not self.keeping and self.ready > int(self.total * _RETURN_PART):
            return True
        if not self.draws(now):
            return False
        cushion = self.cushion(now)
        if self.ready > max(1, int(cushion * _GIVE_ABOVE)):
            return True
        if self.is_dry(now):
            return False
        return self.lacks() or self.ready < cushion * _REFILL_BELOW

    def is_dry(self, now: Millis) -> bool:
        """Tell whether a draw would find too little free for any request that waits.

        What one write tells holds for all organisations: looked at for each alone,
        a burst near the end of many totals costs several priced writes a second.
        """
        least = min(self.waiting.values(), default=1) - max(0, self.ready)
        return now < self.free_until and self.free < max(1, least)

    def draws(self, now: Millis) -> bool:
        """Tell whether this router draws from the store, as no keeper does it."""
        return self.keeping or now < self.unkept_until

    def find_idle(self, now: Millis) -> int:
        """Return the tokens that lie idle at a router that keeps none."""
        idle = not self.reserved and not self.waiting and now - self.busy_at > _IDLE
        if self.keeping or not self.limited or not idle:
            return 0
        return min(max(0, self.available(now)), int(self.total * _RETURN_PART))

    def lacks(self) -> bool:
        """Tell whether requests wait for more than lies ready."""
        return sum(self.waiting.values()) > self.ready
