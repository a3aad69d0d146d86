"""Callers that compete for one full link, with and without the order of the core."""

import heapq
import itertools
import math
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

from anvilshift.core.admission.order import (
    AdmissionOrder,
    RoomRequest,
    RoomState,
    RoomVerdict,
)

CHECK = 50.0


@dataclass(frozen=True)
class Call:
    """One caller's request; a refused caller comes back once, as told or at once."""

    at: float
    route: str
    organisation: str = "pounds"
    priority: int = 1
    work: float = 10.0
    tokens: float = 600.0
    objective: float = 250.0
    patience: float = 2_000.0
    retries: int = 1
    obeys: bool = True
    content: str = ""
    first: float = math.nan

    @property
    def end(self) -> float:
        return self.at + self.patience


class RoomPlay:
    """A link that passes one request at a time, each for its own time of work.

    Attributes
    ----------
    asked, served, late
        Calls by route, those answered by their deadlines, and those sent in vain.
    told
        How long refused callers were held, in milliseconds.
    returns
        Instants at which refused callers come back.
    """

    def __init__(self, is_ordered: bool = True) -> None:
        self.is_ordered = is_ordered
        self.order = AdmissionOrder()
        self.asked: Counter = Counter()
        self.served: Counter = Counter()
        self.wasted = 0
        self.told: list[float] = []
        self.returns: list[float] = []
        self.order_of_service: list[Call] = []
        self._events: list = []
        self._numbers = itertools.count()
        self._free = 0.0
        self._calls: dict[str, Call] = {}

    def run(self, calls: Iterable[Call]) -> "RoomPlay":
        for call in calls:
            self.asked[call.route] += 1
            self.asked[call.organisation] += 1
            self._plan(call.at, self._arrive, call)
        self._plan(0.0, self._check, None)
        while self._events:
            at, _, act, call = heapq.heappop(self._events)
            act(at, call)
        return self

    def _plan(self, at: float, act, call: Call | None) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), act, call))

    def _arrive(self, now: float, call: Call) -> None:
        identity = f"{next(self._numbers)}"
        self._calls[identity] = call
        if not self.is_ordered:
            self._send(now, identity)
            return
        request = RoomRequest(
            identity,
            call.content or f"{call.route}/{call.first}/{call.at}/{identity}",
            call.route,
            call.organisation,
            call.priority,
            call.tokens,
            call.end - call.work - self.order.gauge.find_excess(now),
        )
        self._apply(now, self.order.ask(request, now))

    def _apply(self, now: float, verdict: RoomVerdict) -> None:
        if verdict.state is RoomState.ADMITTED:
            self._send(now, verdict.identity)
        elif verdict.state is RoomState.REFUSED:
            self._refuse(now, self._calls.pop(verdict.identity), verdict.wait)

    def _refuse(self, now: float, call: Call, wait: float) -> None:
        self.told.append(now - call.at)
        if call.retries:
            at = now + (wait if call.obeys else 10.0)
            self.returns.append(at)
            again = {**call.__dict__, "at": at, "retries": call.retries - 1}
            self._plan(at, self._arrive, Call(**again))

    def _send(self, now: float, identity: str) -> None:
        call = self._calls[identity]
        self.order.gauge.start(identity, call.work, call.objective, now)
        self._free = max(self._free, now) + call.work
        self._plan(self._free, lambda at, _: self._begin(at, identity), None)

    def _begin(self, now: float, identity: str) -> None:
        call = self._calls.pop(identity)
        self.order_of_service.append(call)
        if now <= call.end:
            self.served[call.route] += 1
            self.served[call.organisation] += 1
        else:
            self.wasted += 1
        self.order.gauge.begin(identity, now)
        self._apply_all(now, self.order.fill(now))

    def _check(self, now: float, _: None) -> None:
        self._apply_all(now, self.order.review(now))
        if self._events:
            self._plan(now + CHECK, self._check, None)

    def _apply_all(self, now: float, verdicts: list[RoomVerdict]) -> None:
        for verdict in verdicts:
            self._apply(now, verdict)

    def find_share(self, name: str) -> float:
        return self.served[name] / self.asked[name]


def make_calls(every: float, until: float, **fields) -> list[Call]:
    """Return a call each so many milliseconds."""
    count = int(until / every)
    return [Call(at=n * every, **fields) for n in range(count)]
