"""What runs at each target, and what its memory holds, as all routers know it.

Load pattern: many routers send to the same engines at once, and what engines
report of themselves is some hundred milliseconds old.  Routers that each knew
only their own work would all pick the engine that looked idle a moment ago.

Every router tells the others each send, first event and end, so that each
holds nearly the whole picture within a millisecond or two; in a large fleet it
tells those that send most work to the same engines.  What is told may be lost;
a run that nobody ends is forgotten after the longest time it can take.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.durations import Mean
from anvilshift.core.ejection import Health
from anvilshift.core.ratelimits import Meter, RateLimit

PREFILL_TOKENS_PER_MS = 64.2
"""Prompt tokens that an engine reads in a millisecond, of the users' engines."""
_PAIRS_MS = 0.647e-6
"""Milliseconds for a pair of a prompt token with one before it: attention makes
the time of a long prompt grow with its square."""
_STEP_PART = 1.13
"""A prefill runs in chunks of 2,048 tokens, about 32 ms, and each waits for one
decoding step of 4.2 ms of the requests that run beside it."""
_CHUNK = 2048
"""Prompt tokens that an engine reads in one step, beside the requests that run."""
_STEP: Millis = 4.3
"""Time of a step in which no prompt is read."""
_TELLING: Millis = 40.0
_PASSAGE: Millis = 7.0
"""Of a first token's time, what is not the engine's: both ways and one step."""
_FASTEST, _SLOWEST = 0.5, 3.0
"""A single measure beyond these is of something else, such as a preemption."""
FETCH_SETUP: Millis = 3.0
"""Time until memory that is fetched from another engine begins to arrive."""
LONGEST_RUN: Millis = 20 * SECOND
"""A run whose end nobody told is forgotten then; callers wait 15 s at most."""
_MISSED_FOR: Millis = 120 * SECOND
"""As long as content is remembered that is blamed for a crash."""


@dataclass(frozen=True)
class Prompt:
    """What a request asks of a model engine.

    Parameters
    ----------
    parts
        Ids and tokens of the prompt's parts, in order.  Requests share parts.
    tokens
        Tokens of the whole prompt.
    most_answer
        Most tokens of the answer.
    """

    parts: tuple[tuple[str, int], ...] = ()
    tokens: int = 0
    most_answer: int = 0


@dataclass(frozen=True)
class TargetInfo:
    """One target as it registered itself.

    Parameters
    ----------
    born
        What tells two starts under one name apart.
    cold_until
        Instant until which it works slowly after its start.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False
    born: int = 0
    cold_until: Millis = -math.inf

    def is_another(self, known: "TargetInfo") -> bool:
        """Tell whether this is of another start than the one that is known."""
        return (self.born, self.address) != (known.born, known.address)


@dataclass(slots=True)
class RunLoad:
    """A run's part of its target's load."""

    work: Millis
    tokens: int
    since: Millis
    begun: bool = False


def prefill_time(new: int, cached: int) -> Millis:
    """Return the time that an idle engine takes to read a prompt.

    Parameters
    ----------
    new
        Tokens to be read.
    cached
        Tokens before them that the engine's memory holds.

    Examples
    --------
    >>> round(prefill_time(6_420, 0)), round(prefill_time(642, 5_778))
    (126, 14)
    """
    pairs = new * (cached + new / 2)
    return _STEP_PART * (new / PREFILL_TOKENS_PER_MS) + pairs * _PAIRS_MS


def longest_pause(new: int, cached: int, steps: int) -> Millis:
    """Return how long streams that run beside wait for an event at the most.

    While a prompt is read each step reads a chunk of it; the last chunks of a
    long prompt take longest.

    Parameters
    ----------
    steps
        Steps that make one event.

    Examples
    --------
    >>> round(longest_pause(12_000, 0, 5)), round(longest_pause(40_000, 0, 5))
    (227, 412)
    """
    last = min(new, steps * _CHUNK)
    before = cached + new - last
    reading = last / PREFILL_TOKENS_PER_MS + last * (before + last / 2) * _PAIRS_MS
    return reading + steps * _STEP


@dataclass(eq=False)
class TargetLoad:
    """A target with what is known of its work and its memory.

    Attributes
    ----------
    parts
        Prompt parts in its memory, least recently used first.
    progressed
        When a run last began to answer: what waits has been worked on since.
    speed
        Times that it takes over those of the users' usual engine, as measured.
    disturbed
        When a prompt was last sent here that makes streams beside it late.
    limit
        Requests a second that it has named, if any.
    meter
        The requests that it got lately.
    paused_until
        When it takes requests again, as it said when it refused one.
    """

    info: TargetInfo
    runs: dict[str, RunLoad] = field(default_factory=dict)
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    part_tokens: int = 0
    pending: Millis = 0.0
    run_tokens: int = 0
    progressed: Millis = -math.inf
    disturbed: Millis = -math.inf
    health: Health = field(default_factory=Health)
    speed: Mean = field(default_factory=lambda: Mean(1.0))
    limit: RateLimit | None = None
    meter: Meter = field(default_factory=Meter)
    paused_until: Millis = -math.inf

    def find_rate(self, now: Millis) -> float | None:
        """Return the requests a second that may be sent to it; None for any number."""
        return self.limit.find_rate(now) if self.limit else None

    def wait_for_turn(self, now: Millis) -> Millis:
        """Return the time until it takes a request, as far as it has said."""
        rate = self.find_rate(now)
        allowed = now if rate is None else self.meter.find_next(rate, now)
        return max(allowed, self.paused_until) - now

    def measure(self, span: Millis, predicted: Millis) -> None:
        """Take in how long a first token took that was predicted at usual speed.

        Engines of one service differ by a third; a short wait says little of it.
        """
        if predicted >= _TELLING:
            ratio = max(span - _PASSAGE, 1.0) / predicted
            self.speed.add(min(max(ratio, _FASTEST), _SLOWEST))

    def backlog(self, now: Millis) -> Millis:
        """Return the time until a new prompt would begin to be read."""
        if self.pending <= 0.0:
            return 0.0
        oldest = min(run.since for run in self.runs.values() if not run.begun)
        worked = now - max(oldest, self.progressed)
        return max(0.0, self.pending * self.speed.value - worked)

    def count_cached(self, prompt: Prompt) -> int:
        """Return the prompt tokens that need not be read again."""
        cached = 0
        for identity, tokens in prompt.parts:
            if identity not in self.parts:
                break
            cached += tokens
        return cached

    def remember(self, parts: Iterable[tuple[str, int]], capacity: int) -> None:
        """Count parts as held; the least recently used ones make room."""
        for identity, tokens in parts:
            self.part_tokens += tokens - self.parts.pop(identity, 0)
            self.parts[identity] = tokens
        while self.parts and self.part_tokens + self.run_tokens > capacity:
            self.part_tokens -= self.parts.popitem(last=False)[1]

    def forget_parts(self) -> None:
        """Take in that the memory is empty, as after a restart."""
        self.parts.clear()
        self.part_tokens = 0


class LoadMap:
    """Every target's load.

    Examples
    --------
    >>> loads = LoadMap()
    >>> loads.declare(TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8))
    >>> prompt = Prompt((("a", 640), ("b", 2)), 642, 50)
    >>> loads.send("e1", "run-1", prompt, cached=0, now=0.0, capacity=10_000)
    >>> round(loads.targets["e1"].backlog(now=1.0)), len(loads.targets["e1"].parts)
    (10, 2)
    >>> loads.begin("e1", "run-1", now=12.0)
    >>> loads.targets["e1"].backlog(now=12.0)
    0.0
    >>> loads.end("e1", "run-1")
    """

    def __init__(self) -> None:
        self.targets: dict[str, TargetLoad] = {}
        self._by_service: dict[str, list[TargetLoad]] = {}
        self._lost: dict[str, tuple[TargetInfo, Millis]] = {}

    def declare(self, info: TargetInfo) -> None:
        """Take in a target, or what changed of it."""
        known = self.targets.get(info.name)
        self._lost.pop(info.name, None)
        start = info.born, info.address
        if known is None or (known.info.born, known.info.address) != start:
            self.targets[info.name] = TargetLoad(info)
        else:
            known.info = info
        self._regroup()

    def remove(self, name: str, now: Millis) -> None:
        """Take in that a target is gone."""
        target = self.targets.pop(name, None)
        if target is None:
            return
        self._lost = {n: (i, at) for n, (i, at) in self._lost.items() if now < at}
        if not target.info.leaving:
            self._lost[name] = target.info, now + _MISSED_FOR
        self._regroup()

    def list_domains(self, service: str, now: Millis) -> dict[str, str]:
        """Return the failure domain of each target that serves, or was lost lately.

        Were a target that crashed left out, the content that crashed it would have
        another in its place.
        """
        present = [t.info for t in self.of_service(service) if not t.info.leaving]
        lost = [i for i, until in self._lost.values() if now < until]
        return {
            info.name: info.failure_domain
            for info in [*lost, *present]
            if info.service == service
        }

    def _regroup(self) -> None:
        self._by_service = {}
        for target in self.targets.values():
            self._by_service.setdefault(target.info.service, []).append(target)

    def of_service(self, service: str) -> list[TargetLoad]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def send(
        self,
        name: str,
        run: str,
        prompt: Prompt,
        cached: int,
        now: Millis,
        capacity: int,
        disturbing: bool = False,
    ) -> None:
        """Take in that a run was sent to a target.

        Parameters
        ----------
        disturbing
            Whether reading its prompt makes streams beside it late.
        """
        target = self.targets.get(name)
        if target is None:
            return
        self.end(name, run)
        target.meter.add(run, now)
        work = prefill_time(prompt.tokens - cached, cached) if prompt.tokens else 0.0
        tokens = prompt.tokens - cached + prompt.most_answer
        target.runs[run] = RunLoad(work, tokens, now)
        target.pending += work
        target.run_tokens += tokens
        target.remember(prompt.parts, capacity)
        if disturbing:
            target.disturbed = now

    def hold(self, name: str, parts: Iterable[tuple[str, int]], capacity: int) -> None:
        """Take in that a target's memory holds parts of prompts."""
        target = self.targets.get(name)
        if target is not None:
            target.remember(parts, capacity)

    def begin(self, name: str, run: str, now: Millis) -> None:
        """Take in that a run began to answer."""
        target = self.targets.get(name)
        entry = target.runs.get(run) if target else None
        if target is None or entry is None or entry.begun:
            return
        entry.begun = True
        target.pending -= entry.work
        target.progressed = now
        self._tidy(target)

    def end(self, name: str, run: str) -> None:
        """Take in that a run ended, whatever came of it."""
        target = self.targets.get(name)
        entry = target.runs.pop(run, None) if target else None
        if target is None or entry is None:
            return
        target.run_tokens -= entry.tokens
        if not entry.begun:
            target.pending -= entry.work
            self._tidy(target)

    def _tidy(self, target: TargetLoad) -> None:
        # Rounding must not leave a target without waiting work looking busy.
        if all(run.begun for run in target.runs.values()):
            target.pending = 0.0

    def expire(self, now: Millis) -> None:
        """Forget runs whose end was never told."""
        for name, target in self.targets.items():
            old = [r for r, one in target.runs.items() if now - one.since > LONGEST_RUN]
            for run in old:
                self.end(name, run)

    def forget_runs(self, prefix: str) -> None:
        """Forget the runs of a router that is gone; their ids begin with its name."""
        for name, target in self.targets.items():
            for run in [run for run in target.runs if run.startswith(prefix)]:
                self.end(name, run)
