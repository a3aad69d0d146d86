"""Simulate a trace under a policy in virtual time and record each outcome."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.failures import Failure
from anvilshift.core.work import (
    Actions,
    Ask,
    CacheEvent,
    Cancel,
    CrashAnnouncement,
    DispatchSettings,
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

_NETWORK_DELAY: Millis = 1.0
_CACHE_EVENT_LOSS_RATE = 0.05
_DOMAINS = ("north", "middle", "south")
_ROUTER_LOSS_DETECTION: Millis = 1 * SECOND
"""Time until the other routers have detected the loss of a router."""
_RECONNECT_DELAY: Millis = 300.0
_MAX_RUN_AFTER_LAST_CALL: Millis = 50 * SECOND

PolicyFactory = Callable[[DispatchSettings, random.Random], Policy]


@dataclass(eq=False)
class Outcome:
    """The outcome of one call."""

    call: Call
    answered: Millis | None = None
    first: Millis | None = None
    refused: Millis | None = None
    retry_after: Millis | None = None
    code: int = 0
    attempts: int = 0
    tokens_generated: float = 0.0


@dataclass
class _ActiveCall:
    outcome: Outcome
    router: int
    stream: Stream | None = None
    engine: EngineModel | None = None
    number: int = 0


@dataclass
class Result:
    """The records of one run, from which the metrics are computed."""

    trace: Trace
    outcomes: list[Outcome] = field(default_factory=list)
    crashes: int = 0
    samples: list[tuple[Millis, int, int]] = field(default_factory=list)
    sent: list[tuple[Millis, str]] = field(default_factory=list)


class Run:
    """A simulation of one trace under one policy."""

    def __init__(self, trace: Trace, make_policy: PolicyFactory, seed: int) -> None:
        self.trace = trace
        self._rng = random.Random(f"run {seed}")
        self._timeline = Timeline()
        self._cluster = Cluster.from_parameters(
            self._timeline, trace.engines, trace.parameters
        )
        self._alive = list(range(trace.routers))
        self._routers = [
            self._make_router(make_policy, n) for n in range(trace.routers)
        ]
        self._ticks: list[Millis | None] = [None] * trace.routers
        self._active_calls: dict[str, _ActiveCall] = {}
        self._candidates: dict[int, dict[str, int]] = {}
        self.result = Result(trace)

    def _make_router(self, make_policy: PolicyFactory, number: int) -> Policy:
        domain = _DOMAINS[number % len(_DOMAINS)]
        settings = DispatchSettings(domain, routers=self.trace.routers, asks=True)
        router = make_policy(settings, random.Random(self._rng.random()))
        targets = [
            Target(name, _DOMAINS[i % len(_DOMAINS)], self.trace.declared_slots)
            for i, name in enumerate(self._cluster.engines)
        ]
        router.configure(targets, 0.0)
        return router

    def run(self) -> Result:
        """Simulate the whole trace and return its records."""
        for call in self.trace.calls:
            self._timeline.at(call.at, lambda c=call: self._arrive(c))
        for event in self.trace.events:
            self._timeline.at(event.at, lambda e=event: self._apply_event(e))
        for engine in self._cluster.engines.values():
            self._start_reporting(engine)
        last = max(call.deadline for call in self.trace.calls)
        self._timeline.run(
            min(last, self.trace.calls[-1].at + _MAX_RUN_AFTER_LAST_CALL)
        )
        engines = self._cluster.engines.values()
        self.result.crashes = sum(engine.crashes for engine in engines)
        return self.result

    # Engines

    def _start_reporting(self, engine: EngineModel) -> None:
        engine.on_cache = lambda change: self._deliver_cache_change(engine, change)
        offset = self._rng.uniform(0.0, self.trace.report_interval)
        self._timeline.at(offset, lambda: self._send_report(engine))

    def _send_report(self, engine: EngineModel) -> None:
        now = self._timeline.now
        self._timeline.at(
            now + self.trace.report_interval, lambda: self._send_report(engine)
        )
        if engine.faults.down:
            return
        self.result.samples.append((now, engine.running, engine.waiting))
        report = LoadReport(engine.name, engine.running, engine.waiting, now)
        self._timeline.at(
            now + self.trace.report_delay, lambda: self._deliver_report(report)
        )

    def _deliver_report(self, report: LoadReport) -> None:
        now = self._timeline.now
        for number in self._alive:
            self._perform(number, self._routers[number].load_report(report, now))

    def _deliver_cache_change(self, engine: EngineModel, change: CacheChange) -> None:
        if self._rng.random() < _CACHE_EVENT_LOSS_RATE:
            return
        event = CacheEvent(engine.name, change.sequence, change.stored, change.evicted)
        at = self._timeline.now + self.trace.report_delay

        def tell() -> None:
            for number in self._alive:
                self._routers[number].cache_event(event, self._timeline.now)

        self._timeline.at(at, tell)

    def _apply_event(self, event: Event) -> None:
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
        for active in list(self._active_calls.values()):
            if active.router != number:
                continue
            self._cancel_stream(active)
            del self._active_calls[active.outcome.call.identity]
            self._timeline.at(
                now + _RECONNECT_DELAY, lambda o=active.outcome: self._submit_call(o)
            )

        def update_survivors() -> None:
            for left in self._alive:
                self._routers[left].set_routers(len(self._alive))

        self._timeline.at(now + _ROUTER_LOSS_DETECTION, update_survivors)

    # Calls

    def _arrive(self, call: Call) -> None:
        outcome = Outcome(call)
        self.result.outcomes.append(outcome)
        self._timeline.at(call.deadline, lambda: self._time_out(call.identity))
        self._submit_call(outcome)

    def _submit_call(self, outcome: Outcome) -> None:
        call, now = outcome.call, self._timeline.now
        if now >= call.deadline:
            return
        number = self._rng.choice(self._alive)
        self._active_calls[call.identity] = _ActiveCall(outcome, number)
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
        self._perform(number, self._routers[number].add_request(work, now))

    def _list_candidates(self, priority: int) -> dict[str, int]:
        if priority not in self._candidates:
            names = self._cluster.engines
            self._candidates[priority] = dict.fromkeys(names, priority)
        return self._candidates[priority]

    def _time_out(self, identity: str) -> None:
        active = self._active_calls.pop(identity, None)
        if active is None:
            return
        self._cancel_stream(active)
        if active.router in self._alive:
            router = self._routers[active.router]
            self._perform(active.router, router.cancel(identity, self._timeline.now))

    def _cancel_stream(self, active: _ActiveCall) -> None:
        if active.stream is not None and active.engine is not None:
            active.engine.cancel(active.stream)
            active.outcome.tokens_generated += active.stream.tokens_generated

    # Actions

    def _perform(self, number: int, actions: Actions) -> None:
        for action in actions:
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Refuse):
                self._refuse(action)
            elif isinstance(action, Cancel):
                self._cancel_attempt(action)
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
        self._perform(number, self._routers[number].tick(self._timeline.now))

    def _announce(self, number: int, announcement: CrashAnnouncement) -> None:
        def tell() -> None:
            for other in self._alive:
                if other != number:
                    router = self._routers[other]
                    router.crashed(
                        announcement.content, announcement.target, self._timeline.now
                    )

        self._timeline.at(self._timeline.now + _NETWORK_DELAY, tell)

    def _ask(self, number: int, ask: Ask) -> None:
        """Ask the other routers to prepare; settle everywhere after a round trip."""

        def prepare() -> None:
            now, others = self._timeline.now, [n for n in self._alive if n != number]
            prepared = [self._routers[n].prepare(ask, now) for n in others]
            agreed = all(prepared)
            self._timeline.at(now + _NETWORK_DELAY, lambda: settle(others, agreed))

        def settle(others: list[int], agreed: bool) -> None:
            for n in [number, *others]:
                if n in self._alive:
                    actions = self._routers[n].finish_relocation(
                        ask, agreed, self._timeline.now
                    )
                    self._perform(n, actions)

        self._timeline.at(self._timeline.now + _NETWORK_DELAY, prepare)

    def _cancel_attempt(self, action: Cancel) -> None:
        active = self._active_calls.get(action.identity)
        if active is None:
            return
        self._cancel_stream(active)
        active.stream = None
        active.number += 1

    def _refuse(self, action: Refuse) -> None:
        active = self._active_calls.pop(action.identity, None)
        if active is None:
            return
        active.outcome.refused = self._timeline.now
        active.outcome.retry_after = action.retry_after
        active.outcome.code = action.code.number

    def _send(self, send: Send) -> None:
        active = self._active_calls.get(send.identity)
        if active is None:
            return
        call = active.outcome.call
        active.outcome.attempts += 1
        active.number += 1
        number = active.number
        engine = self._cluster.engines[send.target]
        self.result.sent.append((self._timeline.now, send.target))

        def defer(act: Callable[[], None]) -> Callable[[], None]:
            def arrive() -> None:
                current = self._active_calls.get(call.identity) is active
                if current and active.number == number:
                    act()

            return lambda: self._timeline.at(
                self._timeline.now + _NETWORK_DELAY, arrive
            )

        stream = Stream(
            call.identity,
            call.prompt,
            call.tokens,
            call.prefixes,
            defer(lambda: self._handle_first_token(active)),
            defer(lambda: self._handle_done(active)),
            lambda failure: defer(lambda: self._handle_failure(active, failure))(),
            call.poison,
        )
        active.stream, active.engine = stream, engine

        def submit() -> None:
            if stream.state != "ended":
                engine.submit(stream, send.priority)

        self._timeline.at(self._timeline.now + _NETWORK_DELAY, submit)

    def _handle_first_token(self, active: _ActiveCall) -> None:
        outcome = active.outcome
        if outcome.first is None:
            outcome.first = self._timeline.now
        router = self._routers[active.router]
        identity = outcome.call.identity
        self._perform(active.router, router.first_token(identity, self._timeline.now))

    def _handle_done(self, active: _ActiveCall) -> None:
        outcome, now = active.outcome, self._timeline.now
        call = outcome.call
        outcome.answered = now
        del self._active_calls[call.identity]
        router = self._routers[active.router]
        self._perform(active.router, router.done(call.identity, call.tokens, now))

    def _handle_failure(self, active: _ActiveCall, failure: Failure) -> None:
        outcome, now = active.outcome, self._timeline.now
        if active.stream is not None:
            outcome.tokens_generated += active.stream.tokens_generated
        active.stream = None
        router = self._routers[active.router]
        identity = outcome.call.identity
        self._perform(active.router, router.failed(identity, failure, now))
