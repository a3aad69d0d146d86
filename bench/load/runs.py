"""Run a trace against a policy in virtual time and keep what callers got."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.work import (
    Actions,
    Ask,
    CacheEvent,
    Cancel,
    CrashAnnouncement,
    DispatchSettings,
    Failure,
    LoadReport,
    Refuse,
    Send,
    Target,
    Work,
)
from bench.load.baselines import Policy
from bench.load.engines import CacheChange, Cluster, EngineModel, Stream
from bench.load.timeline import Timeline
from bench.load.traces import Call, Event, Trace

_NETWORK: Millis = 1.0
_LOST_EVENTS = 0.05
_DOMAINS = ("north", "middle", "south")
_NOTICED: Millis = 1 * SECOND
"""After which the other routers know that one is lost."""
_RECONNECT: Millis = 300.0
_AFTER: Millis = 50 * SECOND

Make = Callable[[DispatchSettings, random.Random], Policy]


@dataclass(eq=False)
class Outcome:
    """What one caller got."""

    call: Call
    answered: Millis | None = None
    first: Millis | None = None
    refused: Millis | None = None
    retry_after: Millis | None = None
    code: int = 0
    attempts: int = 0
    made: float = 0.0


@dataclass
class _Flight:
    outcome: Outcome
    router: int
    stream: Stream | None = None
    engine: EngineModel | None = None
    number: int = 0


@dataclass
class Result:
    """Everything that one run gave."""

    trace: Trace
    outcomes: list[Outcome] = field(default_factory=list)
    crashes: int = 0
    samples: list[tuple[Millis, int, int]] = field(default_factory=list)
    sent: list[tuple[Millis, str]] = field(default_factory=list)


class Run:
    """One trace against one policy."""

    def __init__(self, trace: Trace, make: Make, seed: int) -> None:
        self.trace = trace
        self._rng = random.Random(f"run {seed}")
        self._timeline = Timeline()
        self._cluster = Cluster.from_figures(
            self._timeline, trace.engines, trace.figures
        )
        self._alive = list(range(trace.routers))
        self._routers = [self._make_router(make, n) for n in range(trace.routers)]
        self._ticks: list[Millis | None] = [None] * trace.routers
        self._flights: dict[str, _Flight] = {}
        self._candidates: dict[int, dict[str, int]] = {}
        self.result = Result(trace)

    def _make_router(self, make: Make, number: int) -> Policy:
        domain = _DOMAINS[number % len(_DOMAINS)]
        settings = DispatchSettings(domain, routers=self.trace.routers, asks=True)
        router = make(settings, random.Random(self._rng.random()))
        targets = [
            Target(name, _DOMAINS[i % len(_DOMAINS)], self.trace.declared_slots)
            for i, name in enumerate(self._cluster.engines)
        ]
        router.configure(targets, 0.0)
        return router

    def run(self) -> Result:
        """Return what callers got."""
        for call in self.trace.calls:
            self._timeline.at(call.at, lambda c=call: self._arrive(c))
        for event in self.trace.events:
            self._timeline.at(event.at, lambda e=event: self._happen(e))
        for engine in self._cluster.engines.values():
            self._watch(engine)
        last = max(call.deadline for call in self.trace.calls)
        self._timeline.run(min(last, self.trace.calls[-1].at + _AFTER))
        engines = self._cluster.engines.values()
        self.result.crashes = sum(engine.crashes for engine in engines)
        return self.result

    # Engines

    def _watch(self, engine: EngineModel) -> None:
        engine.on_cache = lambda change: self._tell_cache(engine, change)
        offset = self._rng.uniform(0.0, self.trace.report_interval)
        self._timeline.at(offset, lambda: self._report(engine))

    def _report(self, engine: EngineModel) -> None:
        now = self._timeline.now
        self._timeline.at(
            now + self.trace.report_interval, lambda: self._report(engine)
        )
        if engine.faults.down:
            return
        self.result.samples.append((now, engine.running, engine.waiting))
        report = LoadReport(engine.name, engine.running, engine.waiting, now)
        self._timeline.at(now + self.trace.report_lag, lambda: self._tell(report))

    def _tell(self, report: LoadReport) -> None:
        now = self._timeline.now
        for number in self._alive:
            self._act(number, self._routers[number].load_report(report, now))

    def _tell_cache(self, engine: EngineModel, change: CacheChange) -> None:
        if self._rng.random() < _LOST_EVENTS:
            return
        event = CacheEvent(engine.name, change.sequence, change.stored, change.evicted)
        at = self._timeline.now + self.trace.report_lag

        def tell() -> None:
            for number in self._alive:
                self._routers[number].cache_event(event, self._timeline.now)

        self._timeline.at(at, tell)

    def _happen(self, event: Event) -> None:
        if event.kind == "router lost":
            self._lose_router(int(event.target))
            return
        engine = self._cluster.engines[event.target]
        if event.kind == "slow":
            engine.set_slow(event.value)
        elif event.kind == "failing":
            engine.faults.failing = bool(event.value)
        elif event.kind == "down":
            engine.faults.down = bool(event.value)
            if engine.faults.down:
                engine.crash()

    def _lose_router(self, number: int) -> None:
        self._alive.remove(number)
        now = self._timeline.now
        for flight in list(self._flights.values()):
            if flight.router != number:
                continue
            self._abandon(flight)
            del self._flights[flight.outcome.call.identity]
            self._timeline.at(now + _RECONNECT, lambda o=flight.outcome: self._enter(o))

        def notice() -> None:
            for left in self._alive:
                self._routers[left].set_routers(len(self._alive))

        self._timeline.at(now + _NOTICED, notice)

    # Calls

    def _arrive(self, call: Call) -> None:
        outcome = Outcome(call)
        self.result.outcomes.append(outcome)
        self._timeline.at(call.deadline, lambda: self._leave(call.identity))
        self._enter(outcome)

    def _enter(self, outcome: Outcome) -> None:
        call, now = outcome.call, self._timeline.now
        if now >= call.deadline:
            return
        number = self._rng.choice(self._alive)
        self._flights[call.identity] = _Flight(outcome, number)
        work = Work(
            call.identity,
            call.organisation,
            call.request_class,
            self._list_candidates(call.priority),
            call.prompt,
            call.bound,
            call.deadline,
            call.weight,
            call.prefixes,
            call.content,
        )
        self._act(number, self._routers[number].add_request(work, now))

    def _list_candidates(self, priority: int) -> dict[str, int]:
        if priority not in self._candidates:
            names = self._cluster.engines
            self._candidates[priority] = dict.fromkeys(names, priority)
        return self._candidates[priority]

    def _leave(self, identity: str) -> None:
        flight = self._flights.pop(identity, None)
        if flight is None:
            return
        self._abandon(flight)
        if flight.router in self._alive:
            router = self._routers[flight.router]
            self._act(flight.router, router.cancel(identity, self._timeline.now))

    def _abandon(self, flight: _Flight) -> None:
        if flight.stream is not None and flight.engine is not None:
            flight.engine.cancel(flight.stream)
            flight.outcome.made += flight.stream.made

    # Actions

    def _act(self, number: int, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Refuse):
                self._refuse(action)
            elif isinstance(action, Cancel):
                self._stop_attempt(action)
            elif isinstance(action, CrashAnnouncement):
                self._announce(number, action)
            elif isinstance(action, Ask):
                self._ask(number, action)
        self._set_tick(number)

    def _set_tick(self, number: int) -> None:
        now = self._timeline.now
        due = self._routers[number].next_tick(now)
        pending = self._ticks[number]
        if due is None or (pending is not None and now < pending <= due):
            return
        self._ticks[number] = due
        self._timeline.at(due, lambda: self._tick(number, due))

    def _tick(self, number: int, due: Millis) -> None:
        if self._ticks[number] != due or number not in self._alive:
            return
        self._ticks[number] = None
        self._act(number, self._routers[number].tick(self._timeline.now))

    def _announce(self, number: int, news: CrashAnnouncement) -> None:
        def tell() -> None:
            for other in self._alive:
                if other != number:
                    router = self._routers[other]
                    router.crashed(news.content, news.target, self._timeline.now)

        self._timeline.at(self._timeline.now + _NETWORK, tell)

    def _ask(self, number: int, ask: Ask) -> None:
        """Let the other routers prepare, and settle after a round trip."""

        def prepare() -> None:
            now, others = self._timeline.now, [n for n in self._alive if n != number]
            prepared = [self._routers[n].prepare(ask, now) for n in others]
            agreed = all(prepared)
            self._timeline.at(now + _NETWORK, lambda: settle(others, agreed))

        def settle(others: list[int], agreed: bool) -> None:
            for n in [number, *others]:
                if n in self._alive:
                    actions = self._routers[n].finish_relocation(
                        ask, agreed, self._timeline.now
                    )
                    self._act(n, actions)

        self._timeline.at(self._timeline.now + _NETWORK, prepare)

    def _stop_attempt(self, action: Cancel) -> None:
        flight = self._flights.get(action.identity)
        if flight is None:
            return
        self._abandon(flight)
        flight.stream = None
        flight.number += 1

    def _refuse(self, action: Refuse) -> None:
        flight = self._flights.pop(action.identity, None)
        if flight is None:
            return
        flight.outcome.refused = self._timeline.now
        flight.outcome.retry_after = action.retry_after
        flight.outcome.code = action.code.number

    def _send(self, send: Send) -> None:
        flight = self._flights.get(send.identity)
        if flight is None:
            return
        call = flight.outcome.call
        flight.outcome.attempts += 1
        flight.number += 1
        number = flight.number
        engine = self._cluster.engines[send.target]
        self.result.sent.append((self._timeline.now, send.target))

        def later(act: Callable[[], None]) -> Callable[[], None]:
            def arrive() -> None:
                current = self._flights.get(call.identity) is flight
                if current and flight.number == number:
                    act()

            return lambda: self._timeline.at(self._timeline.now + _NETWORK, arrive)

        stream = Stream(
            call.identity,
            call.prompt,
            call.tokens,
            call.prefixes,
            later(lambda: self._first(flight)),
            later(lambda: self._done(flight)),
            lambda failure: later(lambda: self._failed(flight, failure))(),
            call.poison,
        )
        flight.stream, flight.engine = stream, engine

        def submit() -> None:
            if stream.state != "ended":
                engine.submit(stream, send.priority)

        self._timeline.at(self._timeline.now + _NETWORK, submit)

    def _first(self, flight: _Flight) -> None:
        outcome = flight.outcome
        if outcome.first is None:
            outcome.first = self._timeline.now
        router = self._routers[flight.router]
        identity = outcome.call.identity
        self._act(flight.router, router.first_token(identity, self._timeline.now))

    def _done(self, flight: _Flight) -> None:
        outcome, now = flight.outcome, self._timeline.now
        call = outcome.call
        outcome.answered = now
        del self._flights[call.identity]
        router = self._routers[flight.router]
        self._act(flight.router, router.done(call.identity, call.tokens, now))

    def _failed(self, flight: _Flight, failure: Failure) -> None:
        outcome, now = flight.outcome, self._timeline.now
        if flight.stream is not None:
            outcome.made += flight.stream.made
        flight.stream = None
        router = self._routers[flight.router]
        identity = outcome.call.identity
        self._act(flight.router, router.failed(identity, failure, now))
