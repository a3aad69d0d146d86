"""Choose the target with the lowest predicted cost of a request.

Load pattern: prompts of a few hundred tokens are mixed with prompts of tens of
thousands, and many prompts share a long prefix.  Least-connections balancing
queues a short prompt behind one whose prefill takes two seconds; hashing by
prefix, which keeps the KV caches warm, overloads the engine of a popular prefix.

The time to first token is predicted for each engine from its queued prefill work
and from the prompt tokens that its KV cache lacks.  Cache entries of another
engine may be transferred where that takes less time than computing them again.

The prefill of about 23,000 tokens or more slows each step so much that every
concurrent stream exceeds its longest allowed pause.  Such prompts are concentrated
on engines that run few streams, and streams avoid these engines for some seconds.

Where targets tell how slow they are at the moment, their learned speeds and what they
tell shift these predictions (`core/placement`).
"""

import math
import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.ejection import HealthState
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.placement.candidates import draw_candidates
from anvilshift.core.placement.learnedspeeds import WorkKind
from anvilshift.core.prefill import FETCH_SETUP, longest_pause, prefill_time
from anvilshift.core.targetload import Prompt, TargetLoad

_RUNNING_MS = 2.0
"""Cost of each concurrent request: it lengthens every step slightly and occupies
cache memory."""
_FETCH_LEAST = 300
"""Tokens below which a transfer takes about as long as computing them again."""
_CACHE_OVERFLOW_MS = 400.0
"""Cost of needing twice the cache's capacity, in proportion for less: the engine
would preempt a running request and repeat its prefill."""
_FAR_MS = 0.7
"""Cost of a target in another failure domain, about its round-trip time."""
_FAR_MS_PER_KB = 0.5
"""Cost of each kilobyte sent to another failure domain: traffic between domains is
paid for, so a prompt of 17 kB waits up to 9 ms more for a target in its own."""
_STREAM_MS = 130.0
"""Cost, to a disturbing prompt, of each stream that it would make late; at 130 ms
eight streams cost as much as the prompt's own latency objective of one second."""
_JITTER: Millis = 15.0
"""Network jitter between two events, in addition to the engine's pause."""
_LATE_MS = 1_000.0
_LATE_WAIT_WEIGHT = 0.05
"""Fixed cost of a disturbing prompt that will miss its objective, and the weight of
its wait then: it goes to an engine with few streams rather than a short queue."""
_DISTURBED_MS = 80.0
"""Cost, to other requests, of an engine that got a disturbing prompt within
_DISTURBED_FOR: further disturbing prompts are likely to be sent there."""
_DISTURBED_FOR: Millis = 3 * SECOND
"""About the duration of a stream."""
_NO_SLOT_MS = 1_000.0
"""Cost of an engine without a free slot: the request would wait for another one to
end, about a second."""
_RATE_LIMITED_MS = 40.0
"""Cost of an engine with a rate limit: its few permitted requests are kept for those
that gain more than this by it, such as by cached tokens."""
_AVOIDED_MS = 200.0
"""Cost of a target that fails more than the others of its service: a request whose
answer is lost there costs its caller more than this wait elsewhere."""
_REJECTED_MS = 50.0
"""Cost of a request that is rejected: the time until it is sent again, and a retry that
other requests lack."""
_Match = tuple[int, TargetLoad]
"""A target, behind the number of prompt tokens that it has cached."""
_DEFAULT_PLAIN_DURATION: Millis = 40.0
"""Assumed duration of a request at a plain service until it has been measured."""


@dataclass(frozen=True)
class Choice:
    """The target chosen for a request, with the predicted wait.

    Parameters
    ----------
    wait
        Predicted time from sending the request to the first byte of its answer.
    cached
        Prompt tokens that the engine need not compute.
    fetch_from
        Target whose cache holds more of the prompt, if a transfer saves time.
    disturbing
        Whether the prefill makes concurrent streams exceed their longest pause.
    unscaled
        The wait at an engine of reference speed.
    turn
        Predicted time until the request may be sent, where the target has a rate
        limit or has asked its callers to pause.
    """

    target: TargetLoad
    wait: Millis
    cached: int = 0
    fetch_from: TargetLoad | None = None
    disturbing: bool = False
    unscaled: Millis = 0.0
    turn: Millis = 0.0

    @property
    def total_wait(self) -> Millis:
        """Return the predicted time from now to the first byte of the answer."""
        return self.turn + self.wait


@dataclass(frozen=True)
class Demand:
    """Resources and latency objective of a model request.

    Parameters
    ----------
    capacity
        Tokens that an engine's KV cache holds.
    domain
        Failure domain of this router.
    on_time
        Latency objective of its first token, in milliseconds.
    steps
        Engine steps between two events of a stream.
    pause
        Longest allowed pause between two events of the concurrent streams.
    kilobytes
        Size of the request's body.
    fetch_per_token
        Time to transfer the cache entries of one token from another engine;
        infinite where engines can't transfer them.
    turns
        Time until each target's rate limit allows this request, for targets whose
        permit issuer has told this router.
    """

    service: str
    prompt: Prompt
    capacity: int
    domain: str
    on_time: Millis
    steps: int = 1
    pause: Millis = math.inf
    kilobytes: float = 0.0
    fetch_per_token: Millis = math.inf
    turns: Mapping[str, Millis] = field(default_factory=dict)


def list_usable(
    targets: Iterable[TargetLoad], excluded: Collection[str]
) -> list[TargetLoad]:
    """Return the targets that are neither leaving, excluded nor ejected.

    If all present targets are ejected, the health measurement itself may be wrong
    and all of them are returned.
    """
    present = [
        target
        for target in targets
        if not target.info.leaving and target.info.name not in excluded
    ]
    healthy = [t for t in present if t.health.state is not HealthState.EJECTED]
    return healthy or present


def choose_engine(
    loads: LoadMap,
    demand: Demand,
    now: Millis,
    rng: random.Random,
    excluded: Collection[str] = (),
) -> Choice | None:
    """Return the engine with the least cost to the request and to concurrent ones.

    Parameters
    ----------
    excluded
        Engines that refused the request or failed while they ran it.
    """
    usable = list_usable(loads.list_service_targets(demand.service), excluded)
    if not usable:
        return None
    matches = [(target.count_cached(demand.prompt), target) for target in usable]
    sources = _find_sources(matches)
    if loads.uses_learned_speeds(demand.service):
        matches = _draw_fitting(matches, loads, demand, now, rng)
    rng.shuffle(matches)
    choices = [
        _predict(target, cached, sources.get(target.version), demand, now)
        for cached, target in matches
    ]
    return min(choices, key=lambda one: _compute_cost(one, demand, now), default=None)


def _draw_fitting(
    matches: list[_Match],
    loads: LoadMap,
    demand: Demand,
    now: Millis,
    rng: random.Random,
) -> list[_Match]:
    """Return some of the targets that have memory for the prompt, if any has.

    All are only looked at if none of those has that are drawn first.
    """
    drawn = _draw_matches(matches, demand, now, rng)
    if not demand.capacity:
        return drawn
    need = loads.find_need(demand.service, demand.prompt, demand.capacity, now)
    fitting = [match for match in drawn if need.fits(match[1], now)]
    if not fitting:
        fitting = [match for match in matches if need.fits(match[1], now)]
        return _draw_matches(fitting, demand, now, rng) if fitting else []
    return fitting


def _draw_matches(
    matches: list[_Match], demand: Demand, now: Millis, rng: random.Random
) -> list[_Match]:
    """Return some of the targets, of those with the longest cached prefix as well.

    Full ones are among them only if all are full: a single one would be compared by
    every request.
    """
    free = [match for match in matches if _has_room(match[1], demand.turns, now)]
    pool = free or matches
    longest = max(cached for cached, _ in pool)

    def group(match: _Match) -> tuple[bool, bool]:
        cached, target = match
        return cached == longest, target.info.failure_domain == demand.domain

    return draw_candidates(pool, group, rng)


def _has_room(target: TargetLoad, turns: Mapping[str, Millis], now: Millis) -> bool:
    """Return whether a target would begin a request now."""
    is_free = target.count_requests(now) < target.info.slots
    return is_free and _find_delay(target, turns, now) <= 0.0


def _find_sources(matches: Iterable[_Match]) -> dict[str | None, _Match]:
    """Return the longest cached prefix at each known version, and the engine's load.

    Cache entries that one version wrote can't be read by another.
    """
    sources: dict[str | None, _Match] = {}
    for cached, target in matches:
        known = sources.get(target.version)
        if target.version is not None and (known is None or cached > known[0]):
            sources[target.version] = cached, target
    return sources


def _predict(
    target: TargetLoad,
    cached: int,
    longest: _Match | None,
    demand: Demand,
    now: Millis,
) -> Choice:
    """Return the choice of one engine with its predicted wait.

    Parameters
    ----------
    longest
        Length of the longest cached prefix in tokens, and the engine that has it; None
        if there is none that the engine could fetch.
    """
    tokens, (most, holder) = demand.prompt.tokens, longest or (cached, target)
    waiting = target.backlog(now)
    prefill = prefill_time(tokens - cached, cached)
    source = None
    if most - cached >= _FETCH_LEAST and not target.is_cold(now):
        fetched = FETCH_SETUP + (most - cached) * demand.fetch_per_token
        fetched += prefill_time(tokens - most, most)
        if fetched < prefill:
            prefill, cached, source = fetched, most, holder
    speed = target.find_speed(now)
    pause = longest_pause(tokens - cached, cached, demand.steps) * speed + _JITTER
    turn = _find_delay(target, demand.turns, now)
    # The engine works off its backlog while the request waits for its permit.
    waiting = max(0.0, waiting - turn)
    wait = waiting + prefill * speed + _find_slot_wait(target, now)
    plain = waiting / speed + prefill
    return Choice(target, wait, cached, source, pause > demand.pause, plain, turn)


def _find_slot_wait(target: TargetLoad, now: Millis) -> Millis:
    """Return the time until a slot is free, where the speed of its streams is known."""
    ahead = target.count_requests(now) + 1 - target.info.slots
    if ahead <= 0 or not target.learned_speeds.service.are_used:
        return 0.0
    between = target.learned_speeds.find(
        WorkKind.DECODE, 0.0, now
    ) * target.find_slowness(now)
    stream = between * target.learned_speeds.service.events.value
    return ahead / max(1, target.info.slots) * stream


def _find_delay(target: TargetLoad, turns: Mapping[str, Millis], now: Millis) -> Millis:
    """Return the time until a target accepts a request.

    It is the longer of what the target itself and its permit issuer have announced.
    """
    return max(target.find_admission_delay(now), turns.get(target.info.name, 0.0))


def _compute_cost(choice: Choice, demand: Demand, now: Millis) -> float:
    """Return the cost of a choice, in milliseconds of time to first token."""
    target, prompt = choice.target, demand.prompt
    running = target.count_requests(now)
    transfer = _FAR_MS + _FAR_MS_PER_KB * demand.kilobytes
    cost = transfer * (target.info.failure_domain != demand.domain)
    cost += choice.turn + _limit_cost(target, now) + _avoidance_cost(target, now)
    if choice.disturbing:
        late = choice.total_wait > demand.on_time
        cost += _LATE_MS + _LATE_WAIT_WEIGHT * choice.wait if late else choice.wait
        cost += _STREAM_MS * running
    else:
        cost += choice.wait + _RUNNING_MS * running * target.compare_speed(
            WorkKind.DECODE, now
        )
        cost += _DISTURBED_MS * (now - target.last_disturbed < _DISTURBED_FOR)
    if demand.capacity:
        need = target.run_tokens + prompt.tokens - choice.cached + prompt.most_answer
        cost += _CACHE_OVERFLOW_MS * max(0.0, need / demand.capacity - 1.0)
    if running >= target.info.slots:
        cost += _NO_SLOT_MS * running / max(1, target.info.slots)
    return cost


def _avoidance_cost(target: TargetLoad, now: Millis) -> float:
    """Return the cost of a target that fails or rejects more than the others."""
    avoided = _AVOIDED_MS if now < target.avoided_until else 0.0
    return avoided + _REJECTED_MS * target.rejections.find(now)


def _limit_cost(target: TargetLoad, now: Millis) -> float:
    """Return the cost of a rate-limited target; zero where nothing was sent recently.

    Only the answer to a request shows that a limit has ended, so a target without
    recent requests must not be avoided.
    """
    limited = target.find_rate(now) is not None and target.meter.count(now)
    return _RATE_LIMITED_MS if limited else 0.0


def choose_plain_target(
    loads: LoadMap,
    service: str,
    domain: str,
    work: Millis,
    rng: random.Random,
    now: Millis,
    excluded: Collection[str] = (),
    turns: Mapping[str, Millis] | None = None,
    hears_all: bool = True,
) -> Choice | None:
    """Return the plain target with the lowest occupancy, or the soonest end.

    The end is predicted where targets tell how slow they are.  Failure domains, rate
    limits and announced pauses are counted as well.

    Parameters
    ----------
    work
        Mean duration of a request at the service.
    turns
        Time until each target's rate limit allows this request, for targets whose
        permit issuer has told this router.
    hears_all
        Whether the other routers tell this one what they send to plain targets.
    """
    usable = list_usable(loads.list_service_targets(service), excluded)
    if not usable:
        return None
    if not hears_all and loads.uses_learned_speeds(service):
        free = [one for one in usable if _has_room(one, turns or {}, now)]
        usable = draw_candidates(free or usable, lambda target: None, rng)

    def cost(target: TargetLoad) -> float:
        queue = target.count_requests(now) / max(1, target.info.slots)
        ratio = target.compare_speed(WorkKind.PLAIN, now)
        remote = target.info.failure_domain != domain
        turn = _find_delay(target, turns or {}, now)
        announced = turn + _limit_cost(target, now)
        distance = _FAR_MS * remote + rng.random() * 0.1
        end = (queue + 1) * ratio * work - work
        return end + distance + announced + _avoidance_cost(target, now)

    target = min(usable, key=cost)
    ahead = max(0.0, target.count_requests(now) + 1 - target.info.slots)
    duration = (work or _DEFAULT_PLAIN_DURATION) * target.compare_speed(
        WorkKind.PLAIN, now
    )
    wait = ahead / max(1, target.info.slots) * duration
    return Choice(target, wait, turn=_find_delay(target, turns or {}, now))
