"""A baseline dispatcher to compare with: one bounded queue in order of arrival."""

import random
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis
from anvilshift.core.errors import ENGINE_FAILED, NO_ENGINE, OVERLOADED, PAST_DEADLINE
from anvilshift.core.failures import Failure
from anvilshift.core.work import (
    Actions,
    CacheEvent,
    DispatchSettings,
    LoadReport,
    Refuse,
    Send,
    Target,
    Work,
)

_RETRY_AFTER: Millis = 1_000.0


@dataclass
class _QueuedWork:
    work: Work
    attempts: int = 0
    tried: set[str] = field(default_factory=set)


class FifoDispatcher:
    """Queue requests in order of arrival and send them to targets with free slots.

    Parameters
    ----------
    settings
        Limits such as the queue length and the number of attempts.
    rng
        Random generator that breaks ties between equally loaded targets.

    Examples
    --------
    >>> dispatcher = FifoDispatcher(DispatchSettings(), random.Random(0))
    >>> dispatcher.configure([Target("e1", "north", slots=1)], now=0.0)
    []
    >>> work = Work("r1", "pounds", "advice", {"e1": 0}, 10, 20, deadline=1_000.0)
    >>> dispatcher.add_request(work, now=0.0)
    [Send(identity='r1', target='e1', attempt=1, priority=0)]
    """

    def __init__(self, settings: DispatchSettings, rng: random.Random) -> None:
        self._settings = settings
        self._rng = rng
        self._targets: dict[str, Target] = {}
        self._leaving: set[str] = set()
        self._running: dict[str, tuple[_QueuedWork, str]] = {}
        self._load: dict[str, int] = {}
        self._queue: OrderedDict[str, _QueuedWork] = OrderedDict()

    def configure(self, targets: Iterable[Target], now: Millis) -> Actions:
        """Replace the set of declared targets."""
        self._targets = {target.name: target for target in targets}
        self._leaving &= set(self._targets)
        return self._dispatch_queue(now)

    def set_routers(self, routers: int) -> None:
        """Ignore the number of routers: this policy doesn't divide the slots."""

    def add_request(self, work: Work, now: Millis) -> Actions:
        """Queue a request, or refuse it if the queue is full."""
        if len(self._queue) >= self._settings.queue_length:
            return [Refuse(work.identity, OVERLOADED, "queue is full", _RETRY_AFTER)]
        self._queue[work.identity] = _QueuedWork(work)
        return self._dispatch_queue(now)

    def first_token(self, identity: str, now: Millis) -> Actions:
        """Ignore the first token of an answer."""
        return []

    def done(self, identity: str, tokens: int, now: Millis) -> Actions:
        """Free the slot of a completed answer."""
        self._remove_running(identity)
        return self._dispatch_queue(now)

    def failed(self, identity: str, failure: Failure, now: Millis) -> Actions:
        """Retry or refuse a request whose attempt failed."""
        waiting = self._remove_running(identity)
        if waiting is None:
            return []
        never_ran = failure in (Failure.NOT_SENT, Failure.REJECTED)
        again = never_ran or waiting.work.idempotent
        if not again or waiting.attempts >= self._settings.attempts:
            code = NO_ENGINE if never_ran else ENGINE_FAILED
            refusal = Refuse(identity, code, failure.value, _RETRY_AFTER)
            return [refusal, *self._dispatch_queue(now)]
        self._queue[identity] = waiting
        self._queue.move_to_end(identity, last=False)
        return self._dispatch_queue(now)

    def cancel(self, identity: str, now: Millis) -> Actions:
        """Drop a request that its caller or the router has abandoned."""
        self._queue.pop(identity, None)
        self._remove_running(identity)
        return self._dispatch_queue(now)

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Ignore the load report of a target."""
        return []

    def cache_event(self, event: CacheEvent, now: Millis) -> Actions:
        """Ignore a change of a target's prefix cache."""
        return []

    def leaving(self, target: str, now: Millis) -> Actions:
        """Stop sending requests to a target that is being removed."""
        self._leaving.add(target)
        return self._dispatch_queue(now)

    def staying(self, target: str, now: Millis) -> Actions:
        """Send requests again to a target whose removal was cancelled."""
        self._leaving.discard(target)
        return self._dispatch_queue(now)

    def tick(self, now: Millis) -> Actions:
        """Refuse requests whose deadline has passed and send what fits."""
        return self._dispatch_queue(now)

    def next_tick(self, now: Millis) -> Millis | None:
        """Return the earliest deadline in the queue, when `tick` must be called."""
        return min((w.work.deadline for w in self._queue.values()), default=None)

    def _remove_running(self, identity: str) -> _QueuedWork | None:
        running = self._running.pop(identity, None)
        if running is None:
            return None
        waiting, target = running
        self._load[target] -= 1
        return waiting

    def _dispatch_queue(self, now: Millis) -> Actions:
        actions: Actions = []
        for identity, waiting in list(self._queue.items()):
            if waiting.work.deadline <= now:
                del self._queue[identity]
                actions.append(Refuse(identity, PAST_DEADLINE))
                continue
            usable = [n for n in waiting.work.candidates if self._usable(n)]
            if not usable:
                del self._queue[identity]
                actions.append(Refuse(identity, NO_ENGINE, "", _RETRY_AFTER))
                continue
            fresh = [n for n in usable if n not in waiting.tried] or usable
            free_targets = [n for n in fresh if self._load.get(n, 0) < self._slots(n)]
            if not free_targets:
                continue
            target = min(
                free_targets, key=lambda n: (self._load.get(n, 0), self._rng.random())
            )
            actions.append(self._send(identity, waiting, target))
        return actions

    def _usable(self, name: str) -> bool:
        return name in self._targets and name not in self._leaving

    def _slots(self, name: str) -> int:
        return self._targets[name].slots

    def _send(self, identity: str, waiting: _QueuedWork, target: str) -> Send:
        del self._queue[identity]
        waiting.attempts += 1
        waiting.tried.add(target)
        self._running[identity] = (waiting, target)
        self._load[target] = self._load.get(target, 0) + 1
        priority = waiting.work.candidates[target]
        return Send(identity, target, waiting.attempts, priority)
