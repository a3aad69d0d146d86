"""Order the requests that wait for room, and refuse those that can't end in time.

Load pattern: callers compete for too little room: urgent short requests beside long
ones, one organisation that sends many times its share, callers that repeat at once.
In order of arrival most requests would end after their deadlines, and room would be
spent on answers that nobody gets.

The most urgent request is sent first; among equals that of the organisation which was
served least, then that of a caller that comes back as told, then the one that
has to be sent soonest to end in time.  What can't end in time at its place is refused
as soon as that is known.  A route, an organisation or the largest requests of a route
that are served far less often than others go first until they aren't.
"""

from dataclasses import dataclass
from enum import Enum

from anvilshift.core.admission.returns import ReturnPlaces
from anvilshift.core.admission.room import RoomGauge
from anvilshift.core.admission.shares import ServedShares
from anvilshift.core.clock import Millis
from anvilshift.core.queue import ServiceTags

_LEAST_PART = 0.05
"""Part of the rate that is left at least for what is less urgent: its estimate is of
the last seconds."""


@dataclass(frozen=True)
class RoomRequest:
    """A request that asks for room at its service.

    Parameters
    ----------
    content
        Digest of the request, the same for each repetition.
    route
        Name of its route.
    priority
        Priority of its organisation or route; 0 is the most urgent.
    tokens
        Its size, in tokens or what costs as much.
    latest
        Instant at which it has to be sent to end before its deadline.
    """

    identity: str
    content: str
    route: str
    organisation: str
    priority: int
    tokens: float
    latest: Millis


class RoomState(Enum):
    """State of a request that asked for room."""

    ADMITTED = "admitted"
    WAITING = "waiting"
    REFUSED = "refused"


@dataclass(frozen=True)
class RoomVerdict:
    """The answer to a request that asked for room.

    Parameters
    ----------
    wait
        For a refused one the time after which there will be room.
    """

    identity: str
    state: RoomState
    wait: Millis = 0.0


class AdmissionOrder:
    """The requests that wait for room at one service.

    Examples
    --------
    >>> order = AdmissionOrder()
    >>> order.ask(RoomRequest("a", "c", "read", "pounds", 0, 600.0, 900.0), now=0.0)
    RoomVerdict(identity='a', state=<RoomState.ADMITTED: 'admitted'>, wait=0.0)
    """

    def __init__(self) -> None:
        self.gauge = RoomGauge()
        self.shares = ServedShares()
        self.returns = ReturnPlaces()
        self._tags = ServiceTags()
        self._waiting: dict[str, RoomRequest] = {}
        self._returned: set[str] = set()

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._waiting)

    def ask(self, request: RoomRequest, now: Millis) -> RoomVerdict:
        """Admit a request, let it wait or refuse it."""
        self.gauge.update(now)
        if not (self._waiting or self.gauge.is_short):
            self.returns.restart()
        is_hopeless = self.gauge.is_short and request.latest < now
        if not self._waiting and self.gauge.has_room(now) and not is_hopeless:
            return self._admit(request, now)
        organisation = request.organisation
        if all(one.organisation != organisation for one in self._waiting.values()):
            self._tags.enter(organisation)
        self._waiting[request.identity] = request
        if self.returns.take(request.content, now):
            self._returned.add(request.identity)
        return self._place(request, now)

    def _place(self, request: RoomRequest, now: Millis) -> RoomVerdict:
        """Refuse a request that comes too late at its place; let it wait otherwise."""
        own = self._order_key(request)
        others = (one for one in self._waiting.values() if one is not request)
        ahead = sum(self._order_key(one) < own for one in others)
        if self._comes_too_late(request, ahead, now):
            return self._refuse(request, now)
        return RoomVerdict(request.identity, RoomState.WAITING)

    def withdraw(self, identity: str) -> None:
        """Forget a request whose caller has left."""
        self._waiting.pop(identity, None)
        self._returned.discard(identity)

    def fill(self, now: Millis) -> list[RoomVerdict]:
        """Admit as many waiting requests as there is room for.

        Returns
        -------
        list[RoomVerdict]
            Verdicts on these, and on those whose turn comes too late.
        """
        verdicts: list[RoomVerdict] = []
        while self._waiting and self.gauge.has_room(now):
            first = min(self._waiting.values(), key=self._order_key)
            is_late = first.latest < now
            settle = self._refuse if is_late else self._admit
            verdicts.append(settle(first, now))
        return verdicts

    def review(self, now: Millis) -> list[RoomVerdict]:
        """Judge whether room is short, and refuse what comes too late at its place."""
        self.gauge.update(now)
        verdicts = self.fill(now)
        if not self._waiting:
            return verdicts
        self.gauge.note_wait(now)
        ahead = 0
        for request in sorted(self._waiting.values(), key=self._order_key):
            if self._comes_too_late(request, ahead, now):
                verdicts.append(self._refuse(request, now))
            else:
                ahead += 1
        return verdicts

    def _comes_too_late(self, request: RoomRequest, ahead: int, now: Millis) -> bool:
        rate = self._find_rate(request, now)
        return now + (ahead + 1) / rate > request.latest

    def _find_rate(self, request: RoomRequest, now: Millis) -> float:
        """Return the rate at which what waits before a request is sent.

        More urgent requests that come meanwhile go before it, unless those like it are
        served too seldom.
        """
        rate = self.gauge.find_rate()
        if self._is_behind(request):
            return rate
        urgent = self.shares.find_urgent_rate(request.priority, now)
        return max(rate * _LEAST_PART, rate - urgent)

    def _is_behind(self, request: RoomRequest) -> bool:
        return self.shares.is_behind(
            request.route, request.organisation, request.tokens
        )

    def _order_key(self, one: RoomRequest) -> tuple[bool, int, float, bool, Millis]:
        return (
            not self._is_behind(one),
            one.priority,
            self._tags.tags[one.organisation],
            one.identity not in self._returned,
            one.latest,
        )

    def _admit(self, request: RoomRequest, now: Millis) -> RoomVerdict:
        if self._waiting.pop(request.identity, None) is not None:
            self._tags.charge(request.organisation, request.tokens, 1.0)
        self._returned.discard(request.identity)
        self.gauge.enter(request.identity)
        self._count(request, True, now)
        return RoomVerdict(request.identity, RoomState.ADMITTED)

    def _refuse(self, request: RoomRequest, now: Millis) -> RoomVerdict:
        del self._waiting[request.identity]
        self._returned.discard(request.identity)
        self._count(request, False, now)
        return RoomVerdict(
            request.identity, RoomState.REFUSED, self.find_return(request.content, now)
        )

    def find_return(self, content: str, now: Millis) -> Millis:
        """Return the time after which a refused caller finds room."""
        rate = self.gauge.find_rate()
        wait = (self.gauge.under_way + self.waiting) / rate
        return self.returns.give(content, now, wait, rate)

    def _count(self, request: RoomRequest, is_served: bool, now: Millis) -> None:
        self.shares.add(
            request.route,
            request.organisation,
            request.priority,
            request.tokens,
            is_served,
            now,
        )
