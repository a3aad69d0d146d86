"""Watch targets by the work that they have: eject, probe, move work away."""

from anvilshift.core.backlog import Backlog
from anvilshift.core.clock import Millis
from anvilshift.core.ejection import State, may_eject
from anvilshift.core.pools import TargetView
from anvilshift.core.reach import Reach
from anvilshift.core.relocation import Relocation
from anvilshift.core.sending import Sender
from anvilshift.core.state import Attempt, DispatchState
from anvilshift.core.work import Actions, Cancel, Failure

_OVERDUE = 4.0
_OVERDUE_LEAST: Millis = 250.0
"""A first token that takes so many times the expected span, and so long beyond
it, counts against its target before it comes: a hung target sends none."""


class Upkeep:
    """Keep slow and failing targets out of use."""

    def __init__(
        self,
        state: DispatchState,
        backlog: Backlog,
        sender: Sender,
        reach: Reach,
        relocation: Relocation,
    ) -> None:
        self._state = state
        self._backlog = backlog
        self._sender = sender
        self._reach = reach
        self._relocation = relocation
        sender.on_sent = self._watch

    def _watch(self, attempt: Attempt, now: Millis) -> None:
        expected = attempt.pool.kind.durations.first(attempt.entry.work.request_class)
        due = now + _OVERDUE * expected + _OVERDUE_LEAST
        self._state.timers.at(due, lambda at: self._check_overdue(attempt, at))

    def compare(self, attempt: Attempt, span: Millis) -> None:
        """Compare the span to a first token with what is expected of it."""
        durations = attempt.pool.kind.durations
        request_class = attempt.entry.work.request_class
        if attempt.counts and durations.knows(request_class):
            attempt.view.add_span(span, durations.first(request_class))

    def _check_overdue(self, attempt: Attempt, now: Millis) -> Actions:
        """Count a first token that is long overdue against its target."""
        running = self._sender.running.get(attempt.entry.work.identity)
        if running is not attempt or attempt.first is not None:
            return []
        self.compare(attempt, now - attempt.sent)
        actions = self.check_health(attempt.view, now)
        moved = self._move(attempt, now)
        if not moved:
            again = now + _OVERDUE_LEAST
            self._state.timers.at(again, lambda at: self._check_overdue(attempt, at))
        return [*actions, *moved]

    def _move(self, attempt: Attempt, now: Millis) -> Actions:
        """Send work elsewhere that its target has not begun to answer.

        A hung or very slow target would keep it until its deadline; what shows
        is a caller that waits for nothing while other targets have room.  Work
        that may not run twice stays where it is.
        """
        entry, work = attempt.entry, attempt.entry.work
        pool = self._state.pools.find(work.candidates)
        # Plain services make no tokens; their calls can't be stopped.
        if pool is None or not (work.idempotent and work.answer_tokens):
            return []
        allowed = self._reach.list_allowed(work, pool, now)
        names = pool.open.draw(self._state.rng, 2) if allowed is None else allowed
        others = any(name in pool.open and name not in entry.tried for name in names)
        left = entry.attempts < self._state.settings.attempts
        if not (others and left) or self._state.has_no_hope(entry, pool, now):
            return []
        if not self._state.retries.take(Failure.TIMED_OUT):
            return []
        name = attempt.view.target.name
        self._sender.stop(work.identity, now)
        self._state.refresh(attempt.view)
        stopped = Cancel(work.identity, name, entry.attempts)
        waiting = self._backlog.wait(entry, pool, now)
        return [stopped, *waiting, *self._sender.offer(entry, pool, now)]

    def check_health(self, view: TargetView, now: Millis) -> Actions:
        """Eject a target that has turned bad, if enough others are left."""
        health = view.health
        if health.state is State.EJECTED or not view.is_bad():
            return []
        kind = view.kind
        returning = health.state is State.PROBING
        if not returning and not may_eject(kind.count_out(), len(kind.views)):
            return []
        view.note_outage(now)
        health.eject(now, self._state.rng)
        self._state.refresh(view)
        self._state.timers.at(health.until, lambda at: self._probe(view, at))
        return self._relocation.move_stuck(view, now)

    def _probe(self, view: TargetView, now: Millis) -> Actions:
        """Let an ejected target have a request again."""
        if self._state.views.get(view.target.name) is not view:
            return []
        view.probe(now)
        self._state.refresh(view, draw=True)
        return self._sender.fill(view, now)
