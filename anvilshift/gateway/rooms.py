"""Let requests wait for room at their services, in the order that the core decides."""

import asyncio
from dataclasses import dataclass

from anvilshift.core.admission.order import (
    AdmissionOrder,
    RoomRequest,
    RoomState,
    RoomVerdict,
)
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.durations import DecayingMean
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.routed import RoutedRequest

_CHECK_INTERVAL: Millis = 50.0
"""Interval at which it is judged anew what can still end in time."""
_PLAIN_TOKENS = 600.0
"""Size of a plain service's request: about a short prompt's."""
_DEFAULT_ANSWER: Millis = 20.0
"""Assumed time from an answer's first byte to its end until some are measured."""


@dataclass(frozen=True)
class RoomAnswer:
    """The outcome of a request's wait for room.

    Parameters
    ----------
    waited
        Whether it had to wait.
    wait
        For a refused request the time after which there will be room.
    """

    state: RoomState
    waited: bool
    wait: Millis = 0.0


class ServiceRooms:
    """The requests of one router that are under way to each service, or wait."""

    def __init__(self, clock: Clock, journal: Journal) -> None:
        self.clock = clock
        self.journal = journal
        self.answers: dict[str, DecayingMean] = {}
        self._orders: dict[str, AdmissionOrder] = {}
        self._short: dict[str, bool] = {}
        self._waits: dict[str, asyncio.Future[RoomVerdict]] = {}
        self._timers: dict[str, asyncio.TimerHandle] = {}
        self._asks = 0

    def open(self, routed: RoutedRequest, content: str) -> "RequestRoom":
        """Return the place of a request among those of its service."""
        self._asks += 1
        return RequestRoom(self, routed, content, f"{self._asks}")

    def find_order(self, service: str) -> AdmissionOrder:
        """Return the order of a service."""
        return self._orders.setdefault(service, AdmissionOrder())

    def find_answer_time(self, route: str) -> DecayingMean:
        """Return the mean time from the first byte to the end of a route's answers."""
        return self.answers.setdefault(route, DecayingMean(_DEFAULT_ANSWER))

    async def ask(self, service: str, request: RoomRequest) -> RoomAnswer:
        """Wait until a request is admitted or refused."""
        order = self.find_order(service)
        verdict = order.ask(request, self.clock.now())
        self._log(service, order)
        if verdict.state is not RoomState.WAITING:
            return RoomAnswer(verdict.state, False, verdict.wait)
        loop = asyncio.get_running_loop()
        future = self._waits[request.identity] = loop.create_future()
        self._set_timer(service)
        try:
            verdict = await future
        except asyncio.CancelledError:
            # It may have been admitted in the same turn of the loop.
            order.withdraw(request.identity)
            order.gauge.leave(request.identity)
            raise
        finally:
            del self._waits[request.identity]
        return RoomAnswer(verdict.state, True, verdict.wait)

    def fill(self, service: str) -> None:
        """Send what waits for a service while there is room."""
        order = self.find_order(service)
        if order.waiting:
            self._tell(order.fill(self.clock.now()))

    def _tell(self, verdicts: list[RoomVerdict]) -> None:
        for verdict in verdicts:
            future = self._waits.get(verdict.identity)
            if future is not None and not future.done():
                future.set_result(verdict)

    def _set_timer(self, service: str) -> None:
        if service not in self._timers:
            loop = asyncio.get_running_loop()
            delay = _CHECK_INTERVAL / SECOND
            self._timers[service] = loop.call_later(delay, self._check, service)

    def _check(self, service: str) -> None:
        del self._timers[service]
        order = self.find_order(service)
        self._tell(order.review(self.clock.now()))
        self._log(service, order)
        if order.waiting:
            self._set_timer(service)

    def _log(self, service: str, order: AdmissionOrder) -> None:
        """Write when room becomes short at a service, and when it no longer is."""
        gauge = order.gauge
        if gauge.is_short == self._short.get(service, False):
            return
        self._short[service] = gauge.is_short
        self.journal.write(
            "room_short" if gauge.is_short else "room_regained",
            service=service,
            under_way=gauge.under_way,
            limit=round(gauge.limit, 1) if gauge.limit < 1e9 else None,
            waiting=order.waiting,
            excess=round(gauge.find_excess(self.clock.now())),
        )

    def list_gauges(self) -> dict[str, float]:
        """Return how many requests wait for room, and at how many services."""
        orders = self._orders.values()
        return {
            "anvilshift_room_waiting": sum(order.waiting for order in orders),
            "anvilshift_room_short_services": sum(o.gauge.is_short for o in orders),
        }


class RequestRoom:
    """The place of one request among those of its service."""

    def __init__(
        self, rooms: ServiceRooms, routed: RoutedRequest, content: str, identity: str
    ) -> None:
        self._rooms = rooms
        self._routed = routed
        self._content = content
        self._identity = identity
        self._order = rooms.find_order(routed.service)
        self._is_entered = False
        self._first: Millis | None = None

    async def ask(self, predicted: Millis) -> RoomAnswer:
        """Wait until the request may be sent, or is refused.

        Parameters
        ----------
        predicted
            Predicted time to its first byte.
        """
        if self._is_entered:
            return RoomAnswer(RoomState.ADMITTED, False)
        request = self._make_request(predicted)
        answer = await self._rooms.ask(self._routed.service, request)
        self._is_entered = answer.state is RoomState.ADMITTED
        return answer

    def _make_request(self, predicted: Millis) -> RoomRequest:
        routed, rooms = self._routed, self._rooms
        prompt, payer = routed.call.prompt, routed.payer
        is_model = routed.model is not None
        needed = predicted + self._order.gauge.find_excess(rooms.clock.now())
        needed += rooms.find_answer_time(routed.rule.name).value
        own = payer.priority if payer else None
        return RoomRequest(
            self._identity,
            self._content,
            routed.rule.name,
            payer.name if payer else "",
            routed.rule.priority if own is None else own,
            prompt.tokens + prompt.most_answer if is_model else _PLAIN_TOKENS,
            routed.end - needed,
        )

    def note_return(self, after: Millis) -> None:
        """Record the delay that the caller was told."""
        self._order.returns.shift(self._content, after, self._rooms.clock.now())

    def enter(self) -> None:
        """Count a request that need not wait, as it may have run already."""
        if not self._is_entered:
            self._is_entered = True
            self._order.gauge.enter(self._identity)

    def start(self, predicted: Millis) -> None:
        """Record that the request is about to be sent."""
        now, objective = self._rooms.clock.now(), self._routed.rule.objective
        self._order.gauge.start(self._identity, predicted, objective, now)

    def begin(self) -> None:
        """Record the first byte of its answer."""
        self._first = self._rooms.clock.now()
        if self._is_entered:
            self._is_entered = False
            self._order.gauge.begin(self._identity, self._first)
            self._rooms.fill(self._routed.service)

    def close(self, is_whole: bool) -> None:
        """Give back its place when the request has ended.

        Parameters
        ----------
        is_whole
            Whether its stream ended as its target meant it to.
        """
        now = self._rooms.clock.now()
        if is_whole and self._first is not None:
            name = self._routed.rule.name
            self._rooms.find_answer_time(name).add(max(1.0, now - self._first))
        if self._is_entered:
            self._is_entered = False
            self._order.gauge.leave(self._identity)
            self._rooms.fill(self._routed.service)
