"""Seeded load traces: the calls, and the faults injected during them."""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from bench.load.engines import EngineParameters

FULL_LOAD_RATE = 75.0
"""Requests per second of the ordinary mix that saturate ten engines: a request
occupies a slot for 60 tokens x 16 ms and 80 ms of prefill."""
ORGANISATIONS = tuple(f"org{index}" for index in range(10))
_LARGE_WEIGHTS = {"org0": 3.0, "org1": 3.0, "org2": 2.0}
URGENT = ("org8", "org9")
_URGENT_PRIORITY = 10


@dataclass(eq=False)
class Call:
    """One request of a caller."""

    identity: str
    at: Millis
    organisation: str
    request_class: str
    prompt: int
    bound: int
    tokens: int
    timeout: Millis
    prefixes: tuple[str, ...]
    weight: float = 1.0
    priority: int = 0
    content: str = ""
    poison: bool = False

    @property
    def deadline(self) -> Millis:
        """Return the instant after which the caller no longer needs the answer."""
        return self.at + self.timeout


@dataclass(frozen=True)
class Event:
    """The beginning or the end of a fault."""

    at: Millis
    kind: str
    target: str = ""
    value: float = 0.0


@dataclass
class Trace:
    """The calls and faults of one scenario, with the size of the fleet."""

    name: str
    calls: list[Call]
    events: list[Event] = field(default_factory=list)
    routers: int = 4
    engines: int = 10
    report_interval: Millis = 250.0
    report_delay: Millis = 200.0
    disturbance: tuple[Millis, Millis] | None = None
    parameters: EngineParameters = field(default_factory=EngineParameters)
    declared_slots: int = 8


class _TraceBuilder:
    """Draws the calls of a trace from a seeded random generator."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.calls: list[Call] = []

    def add_poisson_calls(
        self,
        rate: Callable[[Millis], float],
        until: Millis,
        make: Callable[[Millis], Call],
    ) -> None:
        """Add calls of a Poisson process whose rate (per second) may vary."""
        at = 0.0
        while True:
            at += self.rng.expovariate(max(rate(at), 1e-3)) * SECOND
            if at >= until:
                return
            self.calls.append(make(at))

    def draw_call(self, at: Millis, organisation: str | None = None) -> Call:
        """Draw a call of the ordinary mix, of any organisation or a given one."""
        rng = self.rng
        weights = [_LARGE_WEIGHTS.get(name, 1.0) for name in ORGANISATIONS]
        name = organisation or rng.choices(ORGANISATIONS, weights)[0]
        urgent = name in URGENT
        bound = rng.randint(50, 100)
        prefix = f"{name}/{rng.randint(0, 3)}"
        return Call(
            identity=f"c{len(self.calls)}",
            at=at,
            organisation=name,
            request_class="urgent" if urgent else "advice",
            prompt=rng.randint(300, 700),
            bound=bound,
            tokens=max(1, round(bound * rng.uniform(0.6, 1.0))),
            timeout=rng.uniform(3.0, 6.0) * SECOND,
            prefixes=(f"{prefix}/0",),
            weight=_LARGE_WEIGHTS.get(name, 1.0),
            priority=_URGENT_PRIORITY if urgent else 0,
            content=f"content{len(self.calls)}",
        )

    def finish(self, name: str, **fields: object) -> Trace:
        """Return a trace with the calls in order of arrival."""
        self.calls.sort(key=lambda call: call.at)
        return Trace(name, self.calls, **fields)  # type: ignore[arg-type]


_DURATION: Millis = 30 * SECOND


_OVERLOAD_DURATION: Millis = 60 * SECOND
"""Longer, so that the start and end of an overload affect the metrics little."""


def _steady(
    name: str, seed: int, load: float, span: Millis = _DURATION, **fields: object
) -> Trace:
    builder = _TraceBuilder(seed)
    builder.add_poisson_calls(lambda at: load * FULL_LOAD_RATE, span, builder.draw_call)
    return builder.finish(name, **fields)


def make_burst(seed: int) -> Trace:
    """One second at five times full load, with half load before and after."""
    builder = _TraceBuilder(seed)
    builder.add_poisson_calls(
        lambda at: FULL_LOAD_RATE * (5.0 if 5_000 <= at < 6_000 else 0.5),
        _DURATION,
        builder.draw_call,
    )
    return builder.finish("burst", disturbance=(5_000.0, 6_000.0))


def make_hot_caller(seed: int) -> Trace:
    """One small organisation sends twice the capacity of all engines."""
    builder = _TraceBuilder(seed)
    others = [name for name in ORGANISATIONS if name != "org7"]

    def quiet(at: Millis) -> Call:
        weights = [_LARGE_WEIGHTS.get(name, 1.0) for name in others]
        return builder.draw_call(at, builder.rng.choices(others, weights)[0])

    builder.add_poisson_calls(lambda at: 0.5 * FULL_LOAD_RATE, _DURATION, quiet)
    builder.add_poisson_calls(
        lambda at: 2.0 * FULL_LOAD_RATE if at >= 5_000 else 2.0,
        _DURATION,
        lambda at: builder.draw_call(at, "org7"),
    )
    return builder.finish("hot caller")


def make_hot_prefix(seed: int) -> Trace:
    """Half of the calls share one long prefix; the others use 200 prefixes."""
    builder = _TraceBuilder(seed)
    rng = builder.rng

    def make(at: Millis) -> Call:
        call = builder.draw_call(at)
        prefix = "hot" if rng.random() < 0.5 else f"p{rng.randint(0, 199)}"
        call.prefixes = tuple(f"{prefix}/{index}" for index in range(8))
        call.prompt = 8 * 256 + rng.randint(50, 200)
        return call

    builder.add_poisson_calls(lambda at: 0.85 * FULL_LOAD_RATE, _DURATION, make)
    return builder.finish("hot prefix", parameters=EngineParameters(blocks=160))


def make_slow_target(seed: int) -> Trace:
    """One engine of ten becomes ten times slower."""
    events = [Event(5_000.0, "slow", "e1", 10.0)]
    return _steady(
        "slow target", seed, 0.7, events=events, disturbance=(5_000.0, 5_000.0)
    )


def make_failing_target(seed: int) -> Trace:
    """One engine of ten fails every request immediately."""
    events = [Event(5_000.0, "failing", "e1", 1.0)]
    return _steady(
        "failing target", seed, 0.7, events=events, disturbance=(5_000.0, 5_000.0)
    )


def make_long_among_short(seed: int) -> Trace:
    """One call in twenty runs twenty times as long as the others."""
    builder = _TraceBuilder(seed)
    rng = builder.rng

    def make(at: Millis) -> Call:
        call = builder.draw_call(at)
        is_long = rng.random() < 0.05
        call.bound = 600 if is_long else 30
        call.tokens = round(call.bound * rng.uniform(0.8, 1.0))
        call.timeout = 40 * SECOND if is_long else rng.uniform(1.5, 2.5) * SECOND
        call.request_class = "long" if is_long else "short"
        call.priority = 0
        return call

    builder.add_poisson_calls(lambda at: 85.0, _DURATION, make)
    return builder.finish("long among short")


def make_overload_one_and_a_half(seed: int) -> Trace:
    """Offered load of 1.5 times the capacity of all engines."""
    return _steady("overload 1.5", seed, 1.5, _OVERLOAD_DURATION)


def make_overload_triple(seed: int) -> Trace:
    """Offered load of three times the capacity of all engines."""
    return _steady("overload 3", seed, 3.0, _OVERLOAD_DURATION)


def make_router_loss(seed: int) -> Trace:
    """One of four routers fails during a burst of 1.5 times full load."""
    builder = _TraceBuilder(seed)
    builder.add_poisson_calls(
        lambda at: FULL_LOAD_RATE * (1.5 if 5_000 <= at < 8_000 else 0.6),
        _DURATION,
        builder.draw_call,
    )
    events = [Event(6_500.0, "router lost", "0")]
    return builder.finish("router loss", events=events, disturbance=(5_000.0, 8_000.0))


def make_engine_loss(seed: int) -> Trace:
    """Three of ten engines crash during a burst and return after 10 s."""
    builder = _TraceBuilder(seed)
    builder.add_poisson_calls(
        lambda at: FULL_LOAD_RATE * (1.5 if 5_000 <= at < 8_000 else 0.55),
        _DURATION,
        builder.draw_call,
    )
    names = ("e0", "e1", "e2")
    events = [Event(6_500.0, "down", name, 1.0) for name in names]
    events += [Event(16_500.0, "down", name, 0.0) for name in names]
    return builder.finish("engine loss", events=events, disturbance=(5_000.0, 8_000.0))


def make_stale_reports(seed: int) -> Trace:
    """Load reports arrive three seconds late."""
    return _steady("stale reports", seed, 0.9, report_delay=3_000.0)


def make_forty_routers(seed: int) -> Trace:
    """Forty routers share ten engines, with load reports 200 ms late."""
    return _steady("forty routers", seed, 0.9, routers=40)


def make_poison(seed: int) -> Trace:
    """Resend a request that crashes the engine running it, once a second."""
    builder = _TraceBuilder(seed)
    builder.add_poisson_calls(
        lambda at: 0.5 * FULL_LOAD_RATE, _DURATION, builder.draw_call
    )
    for index in range(20):
        call = builder.draw_call(5_000.0 + index * 1_000.0, "org5")
        call.poison, call.content = True, "poison"
        call.identity = f"poison{index}"
        builder.calls.append(call)
    return builder.finish("poison", disturbance=(5_000.0, 5_000.0))


TRACES: dict[str, Callable[[int], Trace]] = {
    "burst": make_burst,
    "hot caller": make_hot_caller,
    "hot prefix": make_hot_prefix,
    "slow target": make_slow_target,
    "failing target": make_failing_target,
    "long among short": make_long_among_short,
    "overload 1.5": make_overload_one_and_a_half,
    "overload 3": make_overload_triple,
    "router loss": make_router_loss,
    "engine loss": make_engine_loss,
    "stale reports": make_stale_reports,
    "forty routers": make_forty_routers,
    "poison": make_poison,
}
