"""Permits to send requests to a target that announced a rate limit.

For each target one router, the issuer, grants the permits, and the other routers ask
it.  All routers that see the same routers choose the same issuer.  Equal parts of the
limit for each router would go unused where callers stay with one router, and would be
less than one request where there are many routers.

Permits go to the most urgent request, among equals to the organisation that got the
fewest permits, then to the request that has waited longest.  Waiting makes a request
more urgent.  A request that can't get a permit in time is refused at once.
"""

from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import Enum

from anvilshift.core.allocators import rank_routers
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.ratelimits import RequestLog

TAKEOVER_DELAY: Millis = 300.0
"""How long a router grants no permits after the routers that it sees have changed: the
previous issuer may not have noticed the change, and the permits that it granted are
reported meanwhile."""
LOST_ROUTER_TIMEOUT: Millis = 60 * SECOND
"""How long an unreachable router is assumed to be sending: if the network is
partitioned, the routers on the other side grant permits as well."""
_AGING_INTERVAL: Millis = 300.0
"""Waiting time that raises the urgency of a bid by one rank."""
_PERMIT_MEMORY: Millis = 10 * SECOND
"""How long a permit is counted against its organisation."""


@dataclass(frozen=True)
class Bid:
    """A router's request for a permit to send one request to a target.

    Parameters
    ----------
    run
        Identifier of the attempt, unique among all routers.
    rank
        Urgency of the request; 0 is most urgent.
    asked
        When the router first asked.
    latest
        Time after which a permit is useless.
    renewed
        When the router last asked.
    """

    run: str
    organisation: str
    rank: int
    asked: Millis
    latest: Millis
    renewed: Millis


class BidState(Enum):
    """State of a bid."""

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclass(frozen=True)
class Verdict:
    """The issuer's response to a bid.

    Parameters
    ----------
    wait
        Time until a permit is expected for the bid.
    """

    run: str
    state: BidState
    wait: Millis = 0.0


def _find_effective_rank(bid: Bid, now: Millis) -> int:
    """Return a bid's rank, lowered by the time that it has waited."""
    return bid.rank - int((now - bid.asked) / _AGING_INTERVAL)


class PermitQueue:
    """The issuer's queue of bids for one target.

    Parameters
    ----------
    meter
        Record of the requests that all routers sent to the target.
    opens_at
        Time before which no permit is granted.

    Attributes
    ----------
    held_until
        Time before which no permit is granted as far as is known now; it may change
        either way.
    issued
        Number of granted permits.
    refused
        Number of refused bids.

    Examples
    --------
    >>> permit_queue = PermitQueue(RequestLog())
    >>> now = 1_000.0
    >>> bids = [Bid(f"r1/{n}", "pounds", 1, now, now + 100.0, now) for n in range(3)]
    >>> [permit_queue.ask(bid, 1.0, now).state.value for bid in bids]
    ['granted', 'refused', 'refused']
    """

    def __init__(self, meter: RequestLog, opens: Millis = float("-inf")) -> None:
        self.opens_at = opens
        self.held_until = float("-inf")
        self.issued = 0
        self.refused = 0
        self._meter = meter
        self._waiting: dict[str, Bid] = {}
        self._granted: deque[tuple[Millis, str]] = deque()
        self._recent_permits: Counter[str] = Counter()

    @property
    def waiting(self) -> int:
        """Return the number of waiting bids."""
        return len(self._waiting)

    def __contains__(self, run: str) -> bool:
        return run in self._waiting

    def is_of(self, meter: RequestLog) -> bool:
        """Return whether the permits are recorded in a given meter."""
        return self._meter is meter

    def find_next(self, rate: float | None, now: Millis) -> Millis:
        """Return when the next permit may be granted."""
        if rate is None:
            return now
        earliest = max(self.opens_at, self.held_until)
        return max(earliest, self._meter.find_next(rate, now))

    def ask(self, bid: Bid, rate: float | None, now: Millis) -> Verdict:
        """Grant, queue or refuse a bid.

        A bid that is sent again after its permit was granted gets the same permit,
        unless that has expired.

        Parameters
        ----------
        rate
            Requests per second that the target accepts; None if unlimited.
        """
        self._meter.drop_unused(bid.run, now)
        if bid.run in self._meter:
            return Verdict(bid.run, BidState.GRANTED)
        earlier_bid = self._waiting.get(bid.run)
        if earlier_bid is not None:
            bid = replace(bid, asked=earlier_bid.asked)
        self._waiting[bid.run] = bid
        due = self.find_next(rate, now)
        next_bid = min(
            self._waiting.values(), key=lambda one: self._order_key(one, now)
        )
        if due <= now and next_bid is bid:
            return self._issue(bid, now)
        gap = SECOND / rate if rate else 0.0
        expected = due + self._count_ahead(bid, now) * gap
        if expected > bid.latest:
            return self._refuse(bid, expected - now)
        return Verdict(bid.run, BidState.QUEUED, expected - now)

    def grant_due(
        self, rate: float | None, now: Millis, silence: Millis
    ) -> list[Verdict]:
        """Grant the permits that are due, and refuse bids that are too late.

        Parameters
        ----------
        silence
            Bids that were not renewed for this long are dropped without a verdict.

        Returns
        -------
        list[Verdict]
            Verdicts on the waiting bids that were granted or refused.
        """
        self.expire(now, silence)
        verdicts = []
        for bid in self._list_bids():
            if bid.latest < now:
                verdicts.append(self._refuse(bid, self.find_next(rate, now) - now))
        while self._waiting and self.find_next(rate, now) <= now:
            next_bid = min(
                self._waiting.values(), key=lambda one: self._order_key(one, now)
            )
            verdicts.append(self._issue(next_bid, now))
        return verdicts

    def expire(self, now: Millis, silence: Millis) -> None:
        """Drop bids that were not renewed for longer than `silence`."""
        for bid in self._list_bids():
            if now - bid.renewed > silence:
                del self._waiting[bid.run]

    def withdraw(self, run: str) -> None:
        """Drop a bid that its router no longer needs."""
        self._waiting.pop(run, None)

    def _list_bids(self) -> list[Bid]:
        return list(self._waiting.values())

    def _issue(self, bid: Bid, now: Millis) -> Verdict:
        del self._waiting[bid.run]
        self._meter.add(bid.run, now)
        self._granted.append((now, bid.organisation))
        self._recent_permits[bid.organisation] += 1
        while now - self._granted[0][0] > _PERMIT_MEMORY:
            self._recent_permits[self._granted.popleft()[1]] -= 1
        self.issued += 1
        return Verdict(bid.run, BidState.GRANTED)

    def _refuse(self, bid: Bid, wait: Millis) -> Verdict:
        del self._waiting[bid.run]
        self.refused += 1
        return Verdict(bid.run, BidState.REFUSED, max(0.0, wait))

    def _order_key(self, bid: Bid, now: Millis) -> tuple[int, int, Millis]:
        return (
            _find_effective_rank(bid, now),
            self._recent_permits[bid.organisation],
            bid.asked,
        )

    def _count_ahead(self, bid: Bid, now: Millis) -> int:
        """Return the number of waiting bids that get their permits before a bid.

        Organisations take turns among bids of the same urgency: of an organisation
        with many bids, only some precede the first bid of another organisation.
        """
        rank, ahead = _find_effective_rank(bid, now), 0
        peers: dict[str, list[Millis]] = {}
        for other in self._list_bids():
            if _find_effective_rank(other, now) < rank:
                ahead += 1
            elif _find_effective_rank(other, now) == rank and other is not bid:
                peers.setdefault(other.organisation, []).append(other.asked)
        own_ahead = sum(asked < bid.asked for asked in peers.pop(bid.organisation, ()))
        permits = self._recent_permits[bid.organisation] + own_ahead
        for organisation, asked_times in peers.items():
            turns_ahead = (
                permits
                - self._recent_permits[organisation]
                + (min(asked_times) < bid.asked)
            )
            ahead += min(len(asked_times), max(0, turns_ahead))
        return ahead + own_ahead


def choose_issuer(target: str, routers: Collection[str]) -> str:
    """Return the router that issues the permits for a target; empty without routers."""
    ranked = rank_routers(f"permits/{target}", routers)
    return ranked[0] if ranked else ""


class RouterPresence:
    """The reachable routers, the issuer of each target, and the unreachable routers.

    Examples
    --------
    >>> seen = RouterPresence()
    >>> seen.update({"r1", "r2", "r3", "r4"}, leaving=set(), now=0.0)
    True
    >>> seen.update({"r1"}, leaving={"r4"}, now=1_000.0)
    True
    >>> round(seen.find_part(now=1_000.0), 2)
    0.33
    >>> seen.find_part(now=62_000.0)
    1.0
    >>> seen.find_issuer("e1")
    'r1'
    """

    def __init__(self) -> None:
        self.routers: frozenset[str] = frozenset()
        self._lost: dict[str, Millis] = {}
        self._issuers: dict[str, str] = {}

    def update(
        self,
        routers: Collection[str],
        leaving: Collection[str],
        now: Millis,
        recorded: Collection[str] = (),
    ) -> bool:
        """Update the reachable routers; return whether they changed.

        Parameters
        ----------
        routers, leaving
            Reachable routers, and routers that announced their shutdown.
        recorded
            Routers that are registered, whether or not they are reachable.
        """
        present = frozenset(routers)
        if self._lost:
            for name in [*present, *leaving]:
                self._lost.pop(name, None)
        if present == self.routers and not recorded:
            return False
        for name in (self.routers | frozenset(recorded)) - present - frozenset(leaving):
            self._lost[name] = now
        if present == self.routers:
            return False
        self.routers = present
        self._issuers = {}
        return True

    def find_issuer(self, target: str) -> str:
        """Return the router that issues the permits for a target.

        All routers that see the same routers get the same result.
        """
        if target not in self._issuers:
            self._issuers[target] = choose_issuer(target, self.routers)
        return self._issuers[target]

    def list_issuers(self) -> dict[str, str]:
        """Return the issuers that were looked up since the routers last changed."""
        return dict(self._issuers)

    def find_part(self, now: Millis) -> float:
        """Return the fraction of a limit that the reachable routers may use.

        The unreachable routers may go on sending.  Each side of a network partition
        keeps to its fraction, so that the fractions add up to the limit.
        """
        return len(self.routers) / max(1, len(self.routers) + self.count_lost(now))

    def count_lost(self, now: Millis) -> int:
        """Return how many routers recently became unreachable without a shutdown."""
        return sum(now - at < LOST_ROUTER_TIMEOUT for at in self._lost.values())
