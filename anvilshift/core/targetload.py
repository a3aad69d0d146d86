"""The registration, the load and the cache contents of one target."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

from anvilshift.core.clock import Millis
from anvilshift.core.decayingmean import DecayingMean
from anvilshift.core.ejection import Health
from anvilshift.core.health.coldtargets import ColdTerm
from anvilshift.core.placement.learnedspeeds import TargetSpeeds, WorkKind
from anvilshift.core.placement.toldload import LoadReport, ToldLoad
from anvilshift.core.places import Places
from anvilshift.core.ratelimits import RateLimit, RequestLog
from anvilshift.core.rejections import RejectionRate

_TELLING: Millis = 40.0
"""Predicted waits below this are not used to measure an engine's speed."""
_FIXED_OVERHEAD: Millis = 7.0
"""Part of the time to first token that is not prefill: the network round trip and
one decoding step."""
_FASTEST, _SLOWEST = 0.5, 3.0
"""Bounds of one speed sample; values outside have other causes, such as a
preemption."""
SLOT_WAIT: Millis = 15.0
"""Assumed time until a slot of a brittle target is free: about what a plain service
works on a request, and what an engine takes to finish one of dozens."""


@dataclass(frozen=True)
class Prompt:
    """The prompt of a model request and the bound of its answer.

    Parameters
    ----------
    parts
        Identifier and token count of each part of the prompt, in order.  Requests
        may have parts in common.
    tokens
        Tokens of the whole prompt.
    most_answer
        Maximum number of answer tokens.
    model
        Name of the model that reads it; empty if the request names none.
    """

    parts: tuple[tuple[str, int], ...] = ()
    tokens: int = 0
    most_answer: int = 0
    model: str = ""

    @property
    def shared_parts(self) -> list[str]:
        """Return the identifiers of the parts that other prompts may have as well.

        The last part belongs to the request or to its session.
        """
        return [identity for identity, _ in self.parts[:-1]]


@dataclass(frozen=True)
class TargetInfo:
    """The registration of a target.

    Parameters
    ----------
    born
        Number that distinguishes successive starts under the same name.
    cold_until
        End of the warm-up after its start, during which it is slower.
    version
        Version of its software; None if unknown.  Versions have no order, and what
        targets of two versions write doesn't fit together.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool = False
    born: int = 0
    cold_until: Millis = -math.inf
    version: str | None = None

    def is_other_start(self, known: "TargetInfo") -> bool:
        """Return whether this registration belongs to another start than the known.

        The software can't change while it runs, whatever the other fields say.
        """
        start, before = ((one.born, one.address, one.version) for one in (self, known))
        return start != before


@dataclass(slots=True)
class RunLoad:
    """The load that one run adds to its target.

    Parameters
    ----------
    work
        Predicted prefill time.
    tokens
        Cache tokens that it needs beyond those cached already.
    since
        When it was sent.
    begun
        Whether its first event has arrived.
    held
        Tokens of its whole prompt and its longest answer.
    """

    work: Millis
    tokens: int
    since: Millis
    begun: bool = False
    held: int = 0


@dataclass(eq=False)
class TargetLoad:
    """The known load and cache contents of a target.

    Attributes
    ----------
    parts
        Prompt parts in its cache, least recently used first.
    part_tokens
        Tokens of these parts.
    pending
        Predicted prefill time of the runs that haven't begun to answer.
    run_tokens
        Cache tokens that its runs need beyond those cached already.
    held_tokens, news_tokens
        Tokens of its runs' whole prompts and longest answers, and of those that were
        sent since it last told its load.
    last_begun
        When a run last began to answer: the pending prefills have run since then.
    lived_at
        When the youngest run was sent that has begun to answer.  It proves that the
        target lived then; an answer that began may have been heard of only later.
    speed
        Measured prefill time relative to the users' reference engine.
    last_disturbed
        When a prompt was last sent here whose prefill makes concurrent streams late.
    limit
        Rate limit that it has announced, if any.
    meter
        Counts the requests sent to it recently.
    cold
        The time for which it accepts few requests after its start, if any.
    paused_until
        When it accepts requests again, as it announced when it refused one.
    brittle
        Requests that it may refuse in a second before it crashes, as it has announced;
        None if it hasn't.
    farewell
        Whether it has said in an answer that it is leaving.
    places
        Estimate of how many requests it holds, used while it is brittle.
    avoided_until
        Until when other targets are preferred, because it fails more than they do.
    rejections
        How often it rejected requests lately.
    is_start_doubted
        Whether it may have started anew since its entry was written, so that its
        version isn't known.
    ended_at
        When it was found to have ended; None while it runs for all that is known.
    report
        The load that it told last; None if it has told none.
    learned_speeds
        How fast it does each kind of work.
    """

    info: TargetInfo
    runs: dict[str, RunLoad] = field(default_factory=dict)
    parts: OrderedDict[str, int] = field(default_factory=OrderedDict)
    part_tokens: int = 0
    pending: Millis = 0.0
    run_tokens: int = 0
    held_tokens: int = 0
    news_tokens: int = 0
    last_begun: Millis = -math.inf
    lived_at: Millis = -math.inf
    last_disturbed: Millis = -math.inf
    health: Health = field(default_factory=Health)
    speed: DecayingMean = field(default_factory=lambda: DecayingMean(1.0))
    limit: RateLimit | None = None
    cold: ColdTerm | None = None
    meter: RequestLog = field(default_factory=RequestLog)
    paused_until: Millis = -math.inf
    avoided_until: Millis = -math.inf
    brittle: float | None = None
    farewell: bool = False
    places: Places = field(default_factory=Places)
    rejections: RejectionRate = field(default_factory=RejectionRate)
    is_start_doubted: bool = False
    ended_at: Millis | None = None
    report: LoadReport | None = None
    learned_speeds: TargetSpeeds = field(default_factory=TargetSpeeds)

    @property
    def version(self) -> str | None:
        """Return the version of its software; None while it isn't known for certain."""
        return None if self.is_start_doubted else self.info.version

    def find_rate(self, now: Millis) -> float | None:
        """Return its limit in requests a second; None where it has none."""
        rate = self.limit.find_rate(now) if self.limit else None
        if self.cold is None or self.cold.is_over(now):
            return rate
        return self.cold.rate if rate is None else min(rate, self.cold.rate)

    def is_cold(self, now: Millis) -> bool:
        """Return whether it accepts few requests, as after its start."""
        return self.cold is not None and not self.cold.is_over(now)

    def set_cold(self, term: ColdTerm | None) -> None:
        """Set the time for which it accepts few requests."""
        self.cold = term
        self.meter.cold_until = -math.inf if term is None else term.until

    def count_room(self, now: Millis) -> float:
        """Return how many requests more a brittle target takes; infinite for others.

        It gets only what its slots hold, since its queue may have shrunk, and less
        after each refusal: it may have lost places without a word.
        """
        if self.brittle is None:
            return math.inf
        return self.places.estimate(self.info.slots, now) - len(self.runs)

    def record_refusal(self, now: Millis) -> None:
        """Record that it refused a request for want of room."""
        self.places.record_refusal(self.info.slots, now)

    def find_admission_delay(self, now: Millis) -> Millis:
        """Return the time until its limit, its pause and its slots allow a request."""
        rate = self.find_rate(now)
        allowed = now if rate is None else self.meter.find_next(rate, now)
        if self.count_room(now) <= 0:
            allowed = max(allowed, now + SLOT_WAIT)
        return max(allowed, self.paused_until) - now

    def mark_leaving(self) -> None:
        """Record that it has said that it is leaving, whatever its entry says."""
        self.farewell = True
        self.info = replace(self.info, leaving=True)

    def find_speed(self, now: Millis) -> float:
        """Return the prefill time now, relative to the users' reference engine."""
        if not self.learned_speeds.service.are_used:
            return self.speed.value
        usual = self.learned_speeds.find(WorkKind.PREFILL, self.speed.value, now)
        return usual * self.find_slowness(now)

    def find_slowness(self, now: Millis) -> float:
        """Return how long work takes now, as it has told; 1 at the reference."""
        usual = self.learned_speeds.find(WorkKind.ANY, 1.0, now)
        return usual if self.report is None else self.report.find_slowness(usual, now)

    def is_notable(self, now: Millis) -> bool:
        """Return whether it has told of itself what all routers should know."""
        if self.report is None or not self.learned_speeds.service.are_used:
            return False
        return self.report.is_notable(self.learned_speeds.find(WorkKind.ANY, 1.0, now))

    def compare_speed(self, kind: WorkKind, now: Millis) -> float:
        """Return how long work takes now, relative to the usual at its service.

        It is 1 where the targets of the service don't tell how slow they are.
        """
        service = self.learned_speeds.service
        if not service.are_used:
            return 1.0
        slowness = self.find_slowness(now) / (service.find(WorkKind.ANY) or 1.0)
        return self.learned_speeds.compare(kind, now) * slowness

    def count_requests(self, now: Millis) -> float:
        """Return its known runs, and those that only it has told of.

        The told ones count where its service tells how slow its targets are.
        """
        if self.report is None or not self.learned_speeds.service.are_used:
            return len(self.runs)
        return len(self.runs) + self.report.count_unknown(now)

    def record_told(self, load: ToldLoad, at: Millis) -> None:
        """Record the load that it told, unless a later one is known."""
        if self.report is not None and at < self.report.at:
            return
        self.report = LoadReport(load, at, len(self.runs))
        self.news_tokens = 0
        if load.slowness is not None:
            self.learned_speeds.service.are_used = True
            self.learned_speeds.add(WorkKind.ANY, load.slowness, at)

    def measure(self, span: Millis, predicted: Millis) -> None:
        """Update the engine's speed from a measured time to first token.

        Engines of one service differ by a third; in a short wait this difference
        can't be told from fixed overhead, so short waits are ignored.

        Parameters
        ----------
        span
            Measured time to first token.
        predicted
            Predicted time at reference speed.
        """
        if predicted >= _TELLING:
            ratio = max(span - _FIXED_OVERHEAD, 1.0) / predicted
            self.speed.add(min(max(ratio, _FASTEST), _SLOWEST))

    def normalise(
        self, kind: WorkKind, span: Millis, predicted: Millis, now: Millis
    ) -> float | None:
        """Return the sample of a speed that a time to first byte gives; None for none.

        A slowness that the target has just told is taken out of it.

        Parameters
        ----------
        predicted
            Predicted prefill time at reference speed.
        """
        slowness = self.find_slowness(now)
        if kind is WorkKind.PLAIN:
            return span / slowness
        if predicted < _TELLING:
            return None
        return max(span - _FIXED_OVERHEAD, 1.0) / predicted / slowness

    def backlog(self, now: Millis) -> Millis:
        """Return the time until the prefill of a new prompt would start."""
        if self.pending <= 0.0:
            return 0.0
        oldest = min(run.since for run in self.runs.values() if not run.begun)
        elapsed = now - max(oldest, self.last_begun)
        return max(0.0, self.pending * self.find_speed(now) - elapsed)

    def count_cached(self, prompt: Prompt) -> int:
        """Return the number of leading prompt tokens that are cached."""
        cached = 0
        for identity, tokens in prompt.parts:
            if identity not in self.parts:
                break
            cached += tokens
        return cached

    def remember(self, parts: Iterable[tuple[str, int]], capacity: int) -> None:
        """Record parts as cached; evict the least recently used ones over capacity."""
        for identity, tokens in parts:
            self.part_tokens += tokens - self.parts.pop(identity, 0)
            self.parts[identity] = tokens
        while self.parts and self.part_tokens + self.run_tokens > capacity:
            self.part_tokens -= self.parts.popitem(last=False)[1]

    def forget_parts(self) -> None:
        """Clear the cached parts, as after a restart of the engine."""
        self.parts.clear()
        self.part_tokens = 0
