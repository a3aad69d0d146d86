"""Who may send the next request to a target that has named a limit.

One router issues the permits for a target, the same for all that see the same
routers; the others ask it.  Equal parts for each would lie unused where callers stay
with one router, and are less than one request where routers are many.

The few permits go to what is most urgent, among equals to the organisation that got
the fewest, then to who has asked for longest; who waits grows more urgent.  What can't
have one in time is told so at once.
"""

from collections import Counter, deque
from collections.abc import Collection
from dataclasses import dataclass, replace
from enum import Enum

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.keepers import rank_routers
from anvilshift.core.ratelimits import Meter

TAKEOVER: Millis = 300.0
"""How long a router issues nothing after the routers that it sees have changed: the
one that issued before may not know yet, and what it issued is reported meanwhile."""
LOST_FOR: Millis = 60 * SECOND
"""How long a router that fell silent counts as one that may be sending: the network
may have been cut, and those on its other side then issue permits as well."""
_AGING: Millis = 300.0
"""Waiting that counts as much as one rank."""
_REMEMBERED: Millis = 10 * SECOND
"""How long an organisation's permits count against it."""


@dataclass(frozen=True)
class Bid:
    """A request that could be sent to a target.

    Parameters
    ----------
    run
        Names the attempt among all routers'.
    rank
        How urgent it is; 0 is most urgent.
    asked
        When its router asked first.
    latest
        A permit that comes later is of no use.
    renewed
        When its router asked last.
    """

    run: str
    organisation: str
    rank: int
    asked: Millis
    latest: Millis
    renewed: Millis


class State(Enum):
    """What became of a bid."""

    GRANTED = "granted"
    QUEUED = "queued"
    REFUSED = "refused"


@dataclass(frozen=True)
class Verdict:
    """What the issuer says to a bid.

    Parameters
    ----------
    wait
        Time until a permit is expected for it.
    """

    run: str
    state: State
    wait: Millis = 0.0


def _age(bid: Bid, now: Millis) -> int:
    """Return how urgent a bid has become."""
    return bid.rank - int((now - bid.asked) / _AGING)


class PermitDesk:
    """Issue the permits for one target.

    Parameters
    ----------
    meter
        What all routers sent to the target.
    opens
        No permit is issued before.

    Examples
    --------
    >>> desk = PermitDesk(Meter())
    >>> now = 1_000.0
    >>> bids = [Bid(f"r1/{n}", "pounds", 1, now, now + 100.0, now) for n in range(3)]
    >>> [desk.ask(bid, 1.0, now).state.value for bid in bids]
    ['granted', 'refused', 'refused']
    """

    def __init__(self, meter: Meter, opens: Millis = float("-inf")) -> None:
        self.opens = opens
        self.issued = 0
        self.refused = 0
        self._meter = meter
        self._waiting: dict[str, Bid] = {}
        self._given: deque[tuple[Millis, str]] = deque()
        self._counts: Counter[str] = Counter()

    @property
    def waiting(self) -> int:
        """Return how many bids wait."""
        return len(self._waiting)

    def __contains__(self, run: str) -> bool:
        return run in self._waiting

    def is_of(self, meter: Meter) -> bool:
        """Tell whether this issues the permits that a meter counts."""
        return self._meter is meter

    def find_next(self, rate: float | None, now: Millis) -> Millis:
        """Return when the next permit may be issued."""
        if rate is None:
            return now
        return max(self.opens, self._meter.find_next(rate, now))

    def ask(self, bid: Bid, rate: float | None, now: Millis) -> Verdict:
        """Take in a bid; one that is sent again gets the same permit.

        Parameters
        ----------
        rate
            Requests a second that the target takes; None for any number.
        """
        if bid.run in self._meter:
            return Verdict(bid.run, State.GRANTED)
        known = self._waiting.get(bid.run)
        if known is not None:
            bid = replace(bid, asked=known.asked)
        self._waiting[bid.run] = bid
        due = self.find_next(rate, now)
        best = min(self._waiting.values(), key=lambda one: self._key(one, now))
        if due <= now and best is bid:
            return self._issue(bid, now)
        gap = SECOND / rate if rate else 0.0
        expected = due + self._count_ahead(bid, now) * gap
        if expected > bid.latest:
            return self._refuse(bid, expected - now)
        return Verdict(bid.run, State.QUEUED, expected - now)

    def serve(self, rate: float | None, now: Millis, silence: Millis) -> list[Verdict]:
        """Return what became of bids that waited.

        Parameters
        ----------
        silence
            Bids that were not renewed for so long are nobody's any more.
        """
        self.expire(now, silence)
        verdicts = []
        for bid in self._list():
            if bid.latest < now:
                verdicts.append(self._refuse(bid, self.find_next(rate, now) - now))
        while self._waiting and self.find_next(rate, now) <= now:
            best = min(self._waiting.values(), key=lambda one: self._key(one, now))
            verdicts.append(self._issue(best, now))
        return verdicts

    def expire(self, now: Millis, silence: Millis) -> None:
        """Forget bids that were not renewed for some time."""
        for bid in self._list():
            if now - bid.renewed > silence:
                del self._waiting[bid.run]

    def withdraw(self, run: str) -> None:
        """Take in that a bid is given up."""
        self._waiting.pop(run, None)

    def _list(self) -> list[Bid]:
        return list(self._waiting.values())

    def _issue(self, bid: Bid, now: Millis) -> Verdict:
        del self._waiting[bid.run]
        self._meter.add(bid.run, now)
        self._given.append((now, bid.organisation))
        self._counts[bid.organisation] += 1
        while now - self._given[0][0] > _REMEMBERED:
            self._counts[self._given.popleft()[1]] -= 1
        self.issued += 1
        return Verdict(bid.run, State.GRANTED)

    def _refuse(self, bid: Bid, wait: Millis) -> Verdict:
        del self._waiting[bid.run]
        self.refused += 1
        return Verdict(bid.run, State.REFUSED, max(0.0, wait))

    def _key(self, bid: Bid, now: Millis) -> tuple[int, int, Millis]:
        return _age(bid, now), self._counts[bid.organisation], bid.asked

    def _count_ahead(self, bid: Bid, now: Millis) -> int:
        """Return how many that wait now get their permit before a bid.

        Those that are as urgent take turns by organisation: one with many bids puts
        only a part of them before another's first.
        """
        rank, ahead = _age(bid, now), 0
        peers: dict[str, list[Millis]] = {}
        for other in self._list():
            if _age(other, now) < rank:
                ahead += 1
            elif _age(other, now) == rank and other is not bid:
                peers.setdefault(other.organisation, []).append(other.asked)
        own = sum(asked < bid.asked for asked in peers.pop(bid.organisation, ()))
        level = self._counts[bid.organisation] + own
        for organisation, instants in peers.items():
            turns = level - self._counts[organisation] + (min(instants) < bid.asked)
            ahead += min(len(instants), max(0, turns))
        return ahead + own


class Attendance:
    """Which routers are there, who of them issues permits, who may be behind a cut.

    Examples
    --------
    >>> seen = Attendance()
    >>> seen.note({"r1", "r2", "r3", "r4"}, leaving=set(), now=0.0)
    True
    >>> seen.note({"r1"}, leaving={"r4"}, now=1_000.0)
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

    def note(
        self,
        routers: Collection[str],
        leaving: Collection[str],
        now: Millis,
        recorded: Collection[str] = (),
    ) -> bool:
        """Take in which routers are there; tell whether that changed.

        Parameters
        ----------
        routers, leaving
            Those that are heard, and those that said that they leave.
        recorded
            Those that should be there, heard or not.
        """
        present = frozenset(routers)
        for name in [*present, *leaving]:
            self._lost.pop(name, None)
        for name in (self.routers | frozenset(recorded)) - present - frozenset(leaving):
            self._lost[name] = now
        if present == self.routers:
            return False
        self.routers = present
        self._issuers = {}
        return True

    def find_issuer(self, target: str) -> str:
        """Return the router that issues the permits for a target.

        The same at all routers that see the same ones.
        """
        if target not in self._issuers:
            key = f"permits/{target}"
            self._issuers[target] = rank_routers(key, self.routers)[0]
        return self._issuers[target]

    def list_issuers(self) -> dict[str, str]:
        """Return the issuers of the targets that were asked for since a change."""
        return dict(self._issuers)

    def find_part(self, now: Millis) -> float:
        """Return the part of a limit that the routers in touch may use.

        Those that fell silent may go on without them, so each side of a cut keeps
        to its part and the parts add up to the limit.
        """
        return len(self.routers) / max(1, len(self.routers) + self.count_lost(now))

    def count_lost(self, now: Millis) -> int:
        """Return how many routers fell silent lately without a farewell."""
        return sum(now - at < LOST_FOR for at in self._lost.values())
