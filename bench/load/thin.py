"""The first version of the dispatcher, kept to compare with: a plain queue."""

import random
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field

from anvilshift.core.clock import Millis
from anvilshift.core.errors import ENGINE_FAILED, NO_ENGINE, OVERLOADED, PAST_DEADLINE
from anvilshift.core.work import (
    Actions,
    CacheEvent,
    DispatchSettings,
    Failure,
    LoadReport,
    Refuse,
    Send,
    Target,
    Work,
)

_RETRY_AFTER: Millis = 1_000.0


@dataclass
class _Waiting:
    work: Work
    attempts: int = 0
    tried: set[str] = field(default_factory=set)


class ThinDispatcher:
    """Queue work and place it on targets.

    Parameters
    ----------
    settings
        The figures of the policies.
    rng
        Source of every random choice.

    Examples
    --------
    >>> dispatcher = ThinDispatcher(DispatchSettings(), random.Random(0))
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
        self._running: dict[str, tuple[_Waiting, str]] = {}
        self._load: dict[str, int] = {}
        self._queue: OrderedDict[str, _Waiting] = OrderedDict()

    def configure(self, targets: Iterable[Target], now: Millis) -> Actions:
        """Take in the targets that are declared now."""
        self._targets = {target.name: target for target in targets}
        self._leaving &= set(self._targets)
        return self._place(now)

    def set_routers(self, routers: int) -> None:
        """Take in how many routers share the targets."""

    def add_request(self, work: Work, now: Millis) -> Actions:
        """Take in a request."""
        if len(self._queue) >= self._settings.queue_length:
            return [Refuse(work.identity, OVERLOADED, "queue is full", _RETRY_AFTER)]
        self._queue[work.identity] = _Waiting(work)
        return self._place(now)

    def first_token(self, identity: str, now: Millis) -> Actions:
        """Take in that an answer has begun."""
        return []

    def done(self, identity: str, tokens: int, now: Millis) -> Actions:
        """Take in that an answer is whole."""
        self._stop(identity)
        return self._place(now)

    def failed(self, identity: str, failure: Failure, now: Millis) -> Actions:
        """Take in that an attempt failed; the work is sent again or refused."""
        waiting = self._stop(identity)
        if waiting is None:
            return []
        never_ran = failure in (Failure.NOT_SENT, Failure.REJECTED)
        again = never_ran or waiting.work.idempotent
        if not again or waiting.attempts >= self._settings.attempts:
            code = NO_ENGINE if never_ran else ENGINE_FAILED
            refusal = Refuse(identity, code, failure.value, _RETRY_AFTER)
            return [refusal, *self._place(now)]
        self._queue[identity] = waiting
        self._queue.move_to_end(identity, last=False)
        return self._place(now)

    def cancel(self, identity: str, now: Millis) -> Actions:
        """Take in that the caller left, or that the request is given up."""
        self._queue.pop(identity, None)
        self._stop(identity)
        return self._place(now)

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Take in a target's late report of its load."""
        return []

    def cache_event(self, event: CacheEvent, now: Millis) -> Actions:
        """Take in a change of a target's prefix cache."""
        return []

    def leaving(self, target: str, now: Millis) -> Actions:
        """Take in that a target is leaving: it gets no new work."""
        self._leaving.add(target)
        return self._place(now)

    def staying(self, target: str, now: Millis) -> Actions:
        """Take in that a target is not leaving after all."""
        self._leaving.discard(target)
        return self._place(now)

    def tick(self, now: Millis) -> Actions:
        """Do what is due: refuse work whose deadline has passed."""
        return self._place(now)

    def next_tick(self, now: Millis) -> Millis | None:
        """Return the instant at which `tick` must be called, if any."""
        return min((w.work.deadline for w in self._queue.values()), default=None)

    def _stop(self, identity: str) -> _Waiting | None:
        running = self._running.pop(identity, None)
        if running is None:
            return None
        waiting, target = running
        self._load[target] -= 1
        return waiting

    def _place(self, now: Millis) -> Actions:
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
            open_ones = [n for n in fresh if self._load.get(n, 0) < self._slots(n)]
            if not open_ones:
                continue
            target = min(
                open_ones, key=lambda n: (self._load.get(n, 0), self._rng.random())
            )
            actions.append(self._send(identity, waiting, target))
        return actions

    def _usable(self, name: str) -> bool:
        return name in self._targets and name not in self._leaving

    def _slots(self, name: str) -> int:
        return self._targets[name].slots

    def _send(self, identity: str, waiting: _Waiting, target: str) -> Send:
        del self._queue[identity]
        waiting.attempts += 1
        waiting.tried.add(target)
        self._running[identity] = (waiting, target)
        self._load[target] = self._load.get(target, 0) + 1
        priority = waiting.work.candidates[target]
        return Send(identity, target, waiting.attempts, priority)
