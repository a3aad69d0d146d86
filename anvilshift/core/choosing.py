"""Choose the target at which a request is answered soonest.

Load pattern: prompts of a few hundred tokens arrive among prompts of tens of
thousands, and a large part of many prompts is the same.  Counting requests
sends a short question behind a prompt that takes two seconds to read; hashing
to keep memory warm overloads the engine of a popular prompt.

The time to a first token is predicted for each engine from what waits there and
from what of the prompt its memory lacks.  What another engine's memory holds may
be fetched from there, which takes a few milliseconds.
"""

import random
from collections.abc import Collection, Iterable
from dataclasses import dataclass

from anvilshift.core.clock import Millis
from anvilshift.core.ejection import State
from anvilshift.core.loadmap import (
    FETCH_MS_PER_TOKEN,
    FETCH_SETUP,
    LoadMap,
    Prompt,
    TargetLoad,
    prefill_time,
)

_RUNNING_MS = 2.0
"""Weight of a request that runs beside: it lengthens each step a little and keeps
memory.  In trials 2 ms a request gave 0.561 of the worth against 0.491 of two
hashed choices by own counts."""
_FETCH_LEAST = 300
"""Tokens below which fetching costs about what reading them again does."""
_MEMORY_MS = 400.0
"""Charged for each part of the memory that would be over its size: the engine
would preempt a running request and read it in again."""
_FAR_MS = 0.7
"""Charged for a target in another failure domain, about its round trip."""
_PLAIN_WORK: Millis = 40.0
"""Time of a request at a plain service until it is measured."""


@dataclass(frozen=True)
class Choice:
    """Where a request goes.

    Parameters
    ----------
    wait
        Predicted time to its first byte.
    cached
        Prompt tokens that need not be read.
    fetch_from
        Target whose memory holds more of the prompt, if it is worth fetching.
    """

    target: TargetLoad
    wait: Millis
    cached: int = 0
    fetch_from: TargetLoad | None = None


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
    service: str,
    prompt: Prompt,
    capacity: int,
    domain: str,
    now: Millis,
    rng: random.Random,
    excluded: Collection[str] = (),
) -> Choice | None:
    """Return the engine that is predicted to answer soonest.

    Parameters
    ----------
    capacity
        Tokens that an engine's memory holds.
    domain
        Failure domain of this router.
    excluded
        Engines that have refused or failed the request.
    """
    usable = list_usable(loads.of_service(service), excluded)
    if not usable:
        return None
    held = [(target.count_cached(prompt), target) for target in usable]
    most, holder = max(held, key=lambda pair: pair[0])
    best: tuple[float, Choice] | None = None
    rng.shuffle(held)
    for cached, target in held:
        choice = _predict(target, cached, most, holder, prompt, now)
        cost = choice.wait + _RUNNING_MS * len(target.runs)
        cost += _FAR_MS * (target.info.failure_domain != domain)
        if capacity:
            need = target.run_tokens + prompt.tokens - cached + prompt.most_answer
            cost += _MEMORY_MS * max(0.0, need / capacity - 1.0)
        if len(target.runs) >= target.info.slots:
            cost += 1_000.0 * (len(target.runs) / max(1, target.info.slots))
        if best is None or cost < best[0]:
            best = cost, choice
    assert best is not None
    return best[1]


def _predict(
    target: TargetLoad,
    cached: int,
    most: int,
    holder: TargetLoad,
    prompt: Prompt,
    now: Millis,
) -> Choice:
    """Return the choice of one engine with its predicted wait."""
    slow = target.health.slowness(0.0)
    waiting = target.backlog(now)
    reading = prefill_time(prompt.tokens - cached, cached)
    choice = Choice(target, (waiting + reading) * slow, cached)
    more = most - cached
    if more < _FETCH_LEAST or holder is target:
        return choice
    fetching = FETCH_SETUP + more * FETCH_MS_PER_TOKEN
    rest = fetching + prefill_time(prompt.tokens - most, most)
    if rest >= reading:
        return choice
    return Choice(target, (waiting + rest) * slow, most, holder)


def choose_plain(
    loads: LoadMap,
    service: str,
    domain: str,
    work: Millis,
    rng: random.Random,
    excluded: Collection[str] = (),
) -> Choice | None:
    """Return the plain target with the least running for its slots.

    Parameters
    ----------
    work
        Mean time of a request there.
    """
    usable = list_usable(loads.of_service(service), excluded)
    if not usable:
        return None

    def cost(target: TargetLoad) -> float:
        queue = len(target.runs) / max(1, target.info.slots)
        far = target.info.failure_domain != domain
        slow = target.health.slowness(0.0)
        return (queue * work + _FAR_MS * far) * slow + rng.random() * 0.1

    target = min(usable, key=cost)
    ahead = max(0, len(target.runs) + 1 - target.info.slots)
    wait = ahead / max(1, target.info.slots) * (work or _PLAIN_WORK)
    return Choice(target, wait)
