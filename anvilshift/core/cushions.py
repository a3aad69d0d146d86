"""One router's balance of one organisation's tokens, and how much it may spend.

The load pattern is described in `balances`.  This module defines the sizes: how many
tokens allocators hold, how many of those they may spend before their next use record,
and when a router returns tokens.
"""

import math
from dataclasses import dataclass, field

from anvilshift.core.allotments import ShareRequest
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.holdtimes import HoldTimes
from anvilshift.core.money.draws import FREE_RELIED_ON, Cushion
from anvilshift.core.money.recordschedule import find_hold, is_calm_since
from anvilshift.core.money.unrecorded import find_unrecorded
from anvilshift.core.usage import RecordLimit, Use

_UNPROVED_COVERAGE: Millis = 10 * SECOND
"""Duration of use at the measured rate that a cushion covers while no successor could
prove how little of it was spent."""
_UNPROVED_MAX, _UNPROVED_SLOPE, _UNPROVED_MIN = 0.35, 0.45, 0.17
"""Bounds on the sum of all cushions in that case.  It is at most a fraction of the
remaining tokens: the first value, or the second value times the part of the total that
remains, whichever is smaller.  Below this limit it is at least the third value times
the total.  A cushion counts as spent in full when its router is killed."""
_KEPT_FRACTIONS = (0.55, 0.3)
"""Fractions of the remaining tokens that the first and the second allocator hold while
a successor can prove how little was spent.  While the store is unreachable, nothing
else can be spent.  The rest stays free in the store, for when an allocator is down for
seconds and its tokens are out of reach."""
_INITIAL_FRACTION = 0.002
"""Fraction of a total that a router requests before it knows how much remains and how
many routers share it.  A router that drew its whole cushion at that point, believing
itself the only one, stranded an eighth of a total when it was killed a second later."""
_RETURN_ABOVE = 1.4
"""Multiple of the cushion above which tokens are returned to the store.  It is far
enough above the refill threshold that fluctuating traffic doesn't cause alternate draws
and returns."""
_MAX_DATAGRAM_FRACTION = 0.01
"""Largest fraction of a total that is returned to an allocator by datagram, which may
be lost.  Larger amounts are returned through the store."""
_RATE_TIME_CONSTANT: Millis = 6 * SECOND
"""Time constant of the rate's exponential average: longer than the gap between two
large prompts, shorter than an organisation's burst."""
_IDLE_TIME: Millis = 1 * SECOND
"""Time without a reservation after which leftover tokens are returned to an allocator.
A request of the same organisation within this time can use them immediately."""


@dataclass
class Balance:
    """One organisation's tokens at this router.

    Parameters
    ----------
    total
        Prepaid tokens of the organisation.
    allocators
        Number of routers that keep the organisation's tokens.
    rank
        This router's position among these allocators, from 0; None if it is not one.
    left
        Remaining tokens of the total across all routers, as of the last write to
        the store; None before the first write.
    doubt
        Tokens of ended routers that count as spent and may not have been, likewise.
    ceiling
        Tokens that this router may spend over its lifetime, as confirmed by the
        store.
    settled
        Tokens spent by requests that have ended, plus tokens given to other routers,
        minus tokens received from them.
    delivered
        Tokens that requests which have ended used and that this router counts: its own
        and those of other routers that reported to it, less those that it reported.
    published
        Part of `delivered` that the store may know under this router's name.
    reserved
        By request, the most that it can cost.
    waiting
        By request, the tokens that it needs and could not reserve.
    record_limits
        The limit of every use record that may be in the store.  If spending exceeded
        one of them, a router that ends this router's share would count too little.
    rate, rate_updated_at
        Exponential average of the use, in tokens a millisecond, and when it was
        last updated.
    rate_since
        When the average began; None before the first use.
    free, free_until
        Unallocated tokens as of the last write, and until when this router relies on
        that number.
    limited
        Whether the organisation has a total at all.
    provable
        Whether a successor could prove how little this router spent.
    last_reserved_at
        When a request last reserved tokens.
    self_draw_until
        Until when this router draws from the store although it is not an allocator.
    hold_times
        How long requests hold their reservations.
    is_sparing
        Whether the store is written as rarely as is safe.
    record_hold
        Time after a record in which it releases no further tokens.
    spent_at_write
        What this router had spent when `left` was read.
    """

    total: int = 0
    allocators: int = 1
    rank: int | None = 0
    left: int | None = None
    doubt: int = 0
    ceiling: int = 0
    settled: int = 0
    delivered: int = 0
    published: int = 0
    reserved: dict[str, int] = field(default_factory=dict)
    waiting: dict[str, int] = field(default_factory=dict)
    record_limits: tuple[RecordLimit, ...] = ()
    rate: float = 0.0
    rate_updated_at: Millis = 0.0
    rate_since: Millis | None = None
    free: int = 0
    free_until: Millis = -math.inf
    limited: bool = True
    provable: bool = False
    last_reserved_at: Millis = -math.inf
    self_draw_until: Millis = -math.inf
    hold_times: HoldTimes = field(default_factory=HoldTimes)
    is_sparing: bool = False
    record_hold: Millis = 0.0
    spent_at_write: int = 0

    @property
    def spent(self) -> int:
        """Return the tokens that are spent or reserved by running requests."""
        return self.settled + sum(self.reserved.values())

    @property
    def lent(self) -> int:
        """Return the tokens at other routers that aren't known to be settled.

        It is negative at a router that was given them.
        """
        return self.settled - self.delivered

    @property
    def keeping(self) -> bool:
        """Tell whether this router is an allocator of the organisation's tokens."""
        return self.rank is not None

    @property
    def ready(self) -> int:
        """Return the unspent tokens; use records may delay spending some of them."""
        return self.ceiling - self.spent

    def available(self, now: Millis) -> int:
        """Return the tokens that another request may reserve now."""
        limits = [
            limit.use.find_limit(now - limit.anchor) for limit in self.record_limits
        ]
        return min([self.ceiling, *limits]) - self.spent

    def describe(self, now: Millis) -> dict[str, int | bool]:
        """Return its figures for the log."""
        available = self.available(now)
        return {
            "available": available,
            "ready": self.ready,
            "total": self.total,
            "settled": self.delivered,
            "reserved": sum(self.reserved.values()),
            "lent": self.lent,
            "locked": self.ready - available,
            "spent": self.spent,
            "keeping": self.keeping,
        }

    def find_wait(self, tokens: int, now: Millis) -> Millis | None:
        """Return the time until so many tokens may be reserved without a draw.

        None means never: the unspent tokens are too few.
        """
        if tokens > self.ready:
            return None
        spent, longest = self.spent + tokens, 0.0
        for limit in self.record_limits:
            wait = limit.use.find_wait(spent, now - limit.anchor)
            if wait is None:
                return None
            longest = max(longest, wait)
        return longest

    def find_release(self, tokens: int, now: Millis) -> Millis | None:
        """Return the expected time until running requests have returned enough.

        None if the tokens aren't missing, or nothing tells when they come.
        """
        missing, times = tokens - self.ready, self.hold_times
        if missing <= 0 or times.mean is None:
            return None
        wait = times.find_release(self.reserved, missing, now)
        if wait is not None:
            return wait
        running = sum(self.reserved.values()) + max(0, self.lent)
        comes = self.lent > 0 and running * times.returned >= missing
        return times.mean + _IDLE_TIME if comes else None

    def make_use(self, now: Millis) -> Use:
        """Return the use of this organisation to record now."""
        needed = self.spent + sum(self.waiting.values())
        recorded = needed if needed <= self.ceiling else self.spent
        beyond = max(0, self.ceiling - recorded)
        if self.rank is None:
            # A router that is not an allocator spends what allocators gave it for
            # single requests.  If its spending were limited over time, it would ask for
            # the next request's tokens while those left from the last one are unused.
            return Use(recorded, beyond, beyond, self.publish())
        at_once, extra = self._find_unrecorded(self.rank, now)
        extra = min(extra, beyond)
        at_once = min(at_once, extra)
        hold = find_hold(self.record_hold, self.compute_rate(now), at_once)
        return Use(recorded, at_once, extra, self.publish(), hold)

    def is_calmly_recorded(self) -> bool:
        """Tell whether its records allow for a long time without another one."""
        return all(
            use.hold > 0.0 and is_calm_since(self.spent - use.recorded, use.at_once)
            for use in (limit.use for limit in self.record_limits)
            if use.recorded + use.at_once < self.ceiling
        )

    def _find_unrecorded(self, rank: int, now: Millis) -> tuple[int, int]:
        """Return how many tokens to spend beyond a record: at any time, and in all."""
        rate, left = self.compute_rate(now), self._find_left()
        return find_unrecorded(rank, rate, left, self.total, self.doubt)

    def _find_left(self) -> int:
        """Return the tokens that remain of the total, as far as is known."""
        # Where writes are rare, what was read may be far above what is left by now.
        since = max(0, self.spent - self.spent_at_write) if self.is_sparing else 0
        return max(0, (self.left or 0) - since)

    def publish(self) -> int:
        """Return the settled tokens to store under this router's name from now on.

        A router that is no allocator reports further ones to an allocator instead.
        """
        if self.keeping:
            self.published = max(self.published, self.delivered)
        return self.published

    def hand_over_settled(self) -> int:
        """Return the settled tokens that another router counts from now on."""
        tokens = 0 if self.keeping else self.delivered - self.published
        self.delivered -= tokens
        return tokens

    def is_rate_limited(self) -> bool:
        """Tell whether a use record limits spending to less than the ceiling."""
        uses = [limit.use for limit in self.record_limits]
        return any(use.recorded + use.at_once < self.ceiling for use in uses)

    def count_use(self, tokens: int, now: Millis) -> None:
        """Update the measured rate of use, in tokens a millisecond."""
        decay = math.exp(-(now - self.rate_updated_at) / _RATE_TIME_CONSTANT)
        self.rate = self.rate * decay + tokens / _RATE_TIME_CONSTANT
        self.rate_updated_at = now
        if self.rate_since is None:
            self.rate_since = now

    def compute_rate(self, now: Millis) -> float:
        """Return the rate of use now, in tokens a millisecond."""
        if self.rate_since is None:
            return 0.0
        # An exponential average that began recently is too low; dividing by the sum
        # of the weights so far corrects this bias.
        weight = 1.0 - math.exp(
            -max(SECOND, now - self.rate_since) / _RATE_TIME_CONSTANT
        )
        return (
            self.rate
            * math.exp(-(now - self.rate_updated_at) / _RATE_TIME_CONSTANT)
            / weight
        )

    def cushion(self, now: Millis) -> int:
        """Return the number of unreserved tokens that this router should hold."""
        if not self.keeping:
            return 0
        if self.left is None:
            return int(self.total * _INITIAL_FRACTION)
        left = max(0, self.left)
        if self.provable:
            return int(left * _KEPT_FRACTIONS[self.rank or 0])
        least = int(self.total * _UNPROVED_MIN / self.allocators)
        wanted = max(int(self.compute_rate(now) * _UNPROVED_COVERAGE), least)
        fraction = min(_UNPROVED_MAX, _UNPROVED_SLOPE * left / max(1, self.total))
        return min(wanted, int(left * fraction / self.allocators))

    def make_share_request(self, now: Millis) -> ShareRequest:
        """Return the ceiling to request from the store now."""
        needed = self.spent + sum(self.waiting.values())
        cushion = self.cushion(now)
        ceiling = needed + cushion
        if needed <= self.ceiling <= needed + int(cushion * _RETURN_ABOVE):
            ceiling = max(ceiling, self.ceiling)
        return ShareRequest(ceiling, needed, self.spent, self.publish())

    def needs_change(self, now: Millis) -> bool:
        """Tell whether this router should request another ceiling."""
        if not self.limited:
            return False
        if not self.keeping and self.ready > int(self.total * _MAX_DATAGRAM_FRACTION):
            return True
        if not self.draws(now):
            return False
        cushion = self.cushion(now)
        if self.ready > max(1, int(cushion * _RETURN_ABOVE)):
            return True
        if self.is_depleted(now):
            return False
        if self.lacks():
            return True
        held = self._describe_cushion(cushion, now)
        return held.is_due() if self.is_sparing else held.is_low()

    def may_join(self, now: Millis) -> bool:
        """Tell whether a write for another organisation should draw for this one."""
        joins = self.is_sparing and self.limited and self.keeping
        return joins and self._describe_cushion(self.cushion(now), now).is_low()

    def _describe_cushion(self, wanted: int, now: Millis) -> Cushion:
        _, outage_use = self._find_unrecorded(self.rank or 0, now)
        is_known = self.left is not None and now < self.free_until + FREE_RELIED_ON
        return Cushion(self.ready, wanted, outage_use, self.free if is_known else None)

    def is_depleted(self, now: Millis) -> bool:
        """Tell whether too few tokens are free for even the smallest waiting request.

        The answer to one write reports the free tokens of all organisations.  If each
        organisation were checked by a write of its own, a burst near the end of many
        totals would cost several billed writes a second.
        """
        least = min(self.waiting.values(), default=1) - max(0, self.ready)
        return now < self.free_until and self.free < max(1, least)

    def knows_free(self, tokens: int, now: Millis) -> bool:
        """Tell whether at least so many tokens were free as of the last write."""
        return now < self.free_until and self.free >= tokens

    def draws(self, now: Millis) -> bool:
        """Tell whether it draws from the store, as an allocator or without one."""
        return self.keeping or now < self.self_draw_until

    def find_returnable(self, now: Millis) -> int:
        """Return the unused tokens that a router which is no allocator returns."""
        if self.keeping or not self.limited or self.reserved or self.waiting:
            return 0
        # Nothing is reserved, so what is settled is all that is spent.
        if self.settled >= self.ceiling or now - self.last_reserved_at <= _IDLE_TIME:
            return 0
        return min(
            max(0, self.available(now)), int(self.total * _MAX_DATAGRAM_FRACTION)
        )

    def lacks(self) -> bool:
        """Tell whether waiting requests need more tokens than this router has."""
        return sum(self.waiting.values()) > self.ready
