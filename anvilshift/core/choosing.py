"""Choose the target at which a request is answered soonest.

Load pattern: prompts of a few hundred tokens arrive among prompts of tens of
thousands, and a large part of many prompts is the same.  Counting requests
sends a short question behind a prompt that takes two seconds to read; hashing
to keep memory warm overloads the engine of a popular prompt.

The time to a first token is predicted for each engine from what waits there and
from what of the prompt its memory lacks.  What another engine's memory holds may
be fetched from there, where that takes less time than reading it again.

A prompt of some 23,000 tokens or more slows each step so much that every stream
beside it pauses for too long.  Such prompts are kept together, on engines where
few streams run, and streams keep away from these engines for a while.
"""

import math
import random
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.ejection import State
from anvilshift.core.loadmap import (
    FETCH_SETUP,
    LoadMap,
    Prompt,
    TargetLoad,
    longest_pause,
    prefill_time,
)

_RUNNING_MS = 2.0
"""Weight of a request that runs beside: it lengthens each step a little and keeps
memory."""
_FETCH_LEAST = 300
"""Tokens below which fetching costs about what reading them again does."""
_MEMORY_MS = 400.0
"""Charged for each part of the memory that would be over its size: the engine
would preempt a running request and read it in again."""
_FAR_MS = 0.7
"""Charged for a target in another failure domain, about its round trip."""
_FAR_MS_PER_KB = 0.5
"""Charged for each kilobyte of a request that goes there: bytes between failure domains
are paid for, and a prompt of 17 kB may wait 9 ms more rather than cross."""
_STREAM_MS = 130.0
"""Charged to a disturbing prompt for each stream that it would make late; at 130 ms
eight streams weigh as much as the prompt's own objective of a second."""
_JITTER: Millis = 15.0
"""Time by which two events move apart on their way, beside the engine's pause."""
_LATE_MS = 1_000.0
_LATE_PART = 0.05
"""Weight of more waiting for what is late anyway, so that it disturbs few."""
_DISTURBED_MS = 80.0
"""Charged to streams for an engine that was disturbed lately and will be again."""
_DISTURBED_FOR: Millis = 3 * SECOND
"""About as long as a stream runs."""
_FULL_MS = 1_000.0
"""Charged for an engine all of whose slots are taken: the request would wait there
for an end, about a second."""
_LIMITED_MS = 40.0
"""Charged for an engine that has named a limit: its few requests are kept for work
that gains by them."""
_PLAIN_WORK: Millis = 40.0
"""Time of a request at a plain service until it is measured."""


@dataclass(frozen=True)
class Choice:
    """Where a request goes.

    Parameters
    ----------
    wait
        Predicted time to its first byte, once it may be sent.
    cached
        Prompt tokens that need not be read.
    fetch_from
        Target whose memory holds more of the prompt, if it is worth fetching.
    disturbing
        Whether reading the prompt makes the streams beside it late.
    unscaled
        The wait at an engine of the usual speed.
    turn
        Predicted time until it may be sent, where the target has named a limit or
        said that it takes none for a while.
    """

    target: TargetLoad
    wait: Millis
    cached: int = 0
    fetch_from: TargetLoad | None = None
    disturbing: bool = False
    unscaled: Millis = 0.0
    turn: Millis = 0.0

    @property
    def whole_wait(self) -> Millis:
        """Return the predicted time from now to its first byte."""
        return self.turn + self.wait


@dataclass(frozen=True)
class Demand:
    """What a model request needs, and by when.

    Parameters
    ----------
    capacity
        Tokens that an engine's memory holds.
    domain
        Failure domain of this router.
    on_time
        Milliseconds within which its first token is on time.
    steps
        Steps of an engine that make one event.
    pause
        Longest pause between two events of the streams beside it.
    kilobytes
        Size of the request's body.
    fetch_per_token
        Time to fetch a token's memory from another engine; infinite where that
        can't be done.
    turns
        Time until a target's limit allows this request, where its router was told.
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
    """Return the targets that may get work: not leaving, not failing.

    When all are failing the measure may be wrong, and all of them are tried.
    """
    present = [
        target
        for target in targets
        if not target.info.leaving and target.info.name not in excluded
    ]
    sound = [t for t in present if t.health.state is not State.EJECTED]
    return sound or present


def choose_engine(
    loads: LoadMap,
    demand: Demand,
    now: Millis,
    rng: random.Random,
    excluded: Collection[str] = (),
) -> Choice | None:
    """Return the engine that costs the request, and those beside it, least.

    Parameters
    ----------
    excluded
        Engines that have refused or failed the request.
    """
    usable = list_usable(loads.of_service(demand.service), excluded)
    if not usable:
        return None
    held = [(target.count_cached(demand.prompt), target) for target in usable]
    longest = max(held, key=lambda pair: pair[0])
    rng.shuffle(held)
    choices = [
        _predict(target, cached, longest, demand, now) for cached, target in held
    ]
    return min(choices, key=lambda choice: _weigh(choice, demand, now))


def _predict(
    target: TargetLoad,
    cached: int,
    longest: tuple[int, TargetLoad],
    demand: Demand,
    now: Millis,
) -> Choice:
    """Return the choice of one engine with its predicted wait.

    Parameters
    ----------
    longest
        Most tokens that any engine holds, and that engine.
    """
    tokens, (most, holder) = demand.prompt.tokens, longest
    waiting = target.backlog(now)
    reading = prefill_time(tokens - cached, cached)
    source = None
    if most - cached >= _FETCH_LEAST:
        fetched = FETCH_SETUP + (most - cached) * demand.fetch_per_token
        fetched += prefill_time(tokens - most, most)
        if fetched < reading:
            reading, cached, source = fetched, most, holder
    speed = target.speed.value
    pause = longest_pause(tokens - cached, cached, demand.steps) * speed + _JITTER
    turn = _find_turn(target, demand.turns, now)
    # What runs there goes on while the request waits for its turn.
    waiting = max(0.0, waiting - turn)
    wait = waiting + reading * speed
    plain = waiting / speed + reading
    return Choice(target, wait, cached, source, pause > demand.pause, plain, turn)


def _find_turn(target: TargetLoad, turns: Mapping[str, Millis], now: Millis) -> Millis:
    """Return the time until a target takes a request, as it or its issuer said."""
    return max(target.wait_for_turn(now), turns.get(target.info.name, 0.0))


def _weigh(choice: Choice, demand: Demand, now: Millis) -> float:
    """Return the cost of a choice in milliseconds of a first token's wait."""
    target, prompt = choice.target, demand.prompt
    running = len(target.runs)
    far = _FAR_MS + _FAR_MS_PER_KB * demand.kilobytes
    cost = far * (target.info.failure_domain != demand.domain)
    cost += choice.turn + _charge_limited(target, now)
    if choice.disturbing:
        late = choice.whole_wait > demand.on_time
        cost += _LATE_MS + _LATE_PART * choice.wait if late else choice.wait
        cost += _STREAM_MS * running
    else:
        cost += choice.wait + _RUNNING_MS * running
        cost += _DISTURBED_MS * (now - target.disturbed < _DISTURBED_FOR)
    if demand.capacity:
        need = target.run_tokens + prompt.tokens - choice.cached + prompt.most_answer
        cost += _MEMORY_MS * max(0.0, need / demand.capacity - 1.0)
    if running >= target.info.slots:
        cost += _FULL_MS * running / max(1, target.info.slots)
    return cost


def _charge_limited(target: TargetLoad, now: Millis) -> float:
    """Return the charge for a limited target; none where nothing was sent lately.

    Only an answer tells that a limit has ended.
    """
    limited = target.find_rate(now) is not None and target.meter.count(now)
    return _LIMITED_MS if limited else 0.0


def choose_plain(
    loads: LoadMap,
    service: str,
    domain: str,
    work: Millis,
    rng: random.Random,
    now: Millis,
    excluded: Collection[str] = (),
    turns: Mapping[str, Millis] | None = None,
) -> Choice | None:
    """Return the plain target with the least running for its slots.

    Parameters
    ----------
    work
        Mean time of a request there.
    turns
        Time until a target's limit allows this request, where its router was told.
    """
    usable = list_usable(loads.of_service(service), excluded)
    if not usable:
        return None

    def cost(target: TargetLoad) -> float:
        queue = len(target.runs) / max(1, target.info.slots)
        far = target.info.failure_domain != domain
        turn = _find_turn(target, turns or {}, now)
        limited = _charge_limited(target, now)
        return queue * work + _FAR_MS * far + rng.random() * 0.1 + turn + limited

    target = min(usable, key=cost)
    ahead = max(0, len(target.runs) + 1 - target.info.slots)
    wait = ahead / max(1, target.info.slots) * (work or _PLAIN_WORK)
    return Choice(target, wait, turn=_find_turn(target, turns or {}, now))
