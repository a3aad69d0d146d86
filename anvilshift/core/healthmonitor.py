"""Monitor targets by the work that they run: eject, probe, and move work away."""

from collections.abc import Callable, Collection

from anvilshift.core.backlog import Backlog
from anvilshift.core.clock import Millis
from anvilshift.core.ejection import HealthState, may_eject
from anvilshift.core.failures import Failure
from anvilshift.core.pools import TargetView
from anvilshift.core.relocation import Relocation
from anvilshift.core.restriction import TargetRestriction
from anvilshift.core.sending import Sender
from anvilshift.core.state import Attempt, DispatchState
from anvilshift.core.work import Actions, Cancel

_OVERDUE_FACTOR = 4.0
_OVERDUE_MARGIN: Millis = 250.0
"""A first token is overdue after `_OVERDUE_FACTOR` times its expected latency plus
`_OVERDUE_MARGIN`.  It then counts as slow before it arrives, because a hung target
never sends one."""


class HealthMonitor:
    """Eject slow and failing targets, probe them, and move work off hung ones.

    Parameters
    ----------
    list_silent
        Returns the targets that answer nothing at present.
    """

    def __init__(
        self,
        state: DispatchState,
        backlog: Backlog,
        sender: Sender,
        restriction: TargetRestriction,
        relocation: Relocation,
        list_silent: Callable[[], Collection[str]],
    ) -> None:
        self._state = state
        self._backlog = backlog
        self._sender = sender
        self._restriction = restriction
        self._relocation = relocation
        self._list_silent = list_silent
        sender.on_sent = self._schedule_overdue_check

    def _schedule_overdue_check(self, attempt: Attempt, now: Millis) -> None:
        expected = attempt.pool.kind.durations.first(attempt.entry.work.request_class)
        due = now + _OVERDUE_FACTOR * expected + _OVERDUE_MARGIN
        self._state.timers.schedule(due, lambda at: self._check_overdue(attempt, at))

    def compare(self, attempt: Attempt, span: Millis) -> None:
        """Add the latency of a first token to the health of its target.

        Parameters
        ----------
        span
            Milliseconds from sending to the first token, or to now if it is overdue.
        """
        durations = attempt.pool.kind.durations
        request_class = attempt.entry.work.request_class
        if attempt.counts and durations.knows(request_class):
            attempt.view.add_latency(span, durations.first(request_class))

    def _check_overdue(self, attempt: Attempt, now: Millis) -> Actions:
        """Count an overdue first token against its target, and move the work."""
        running = self._sender.running.get(attempt.entry.work.identity)
        if running is not attempt or attempt.first is not None:
            return []
        self.compare(attempt, now - attempt.sent)
        actions = self.check_health(attempt.view, now)
        moved = self.move_to_other_target(attempt, now, self._list_silent())
        if not moved:
            again = now + _OVERDUE_MARGIN
            self._state.timers.schedule(
                again, lambda at: self._check_overdue(attempt, at)
            )
        return [*actions, *moved]

    def move_to_other_target(
        self, attempt: Attempt, now: Millis, silent: Collection[str] = frozenset()
    ) -> Actions:
        """Cancel work that its target doesn't go on with, and send it elsewhere.

        A hung or very slow target would keep the work until its deadline, and the
        caller would wait although other targets have room.  Work that may not run
        twice stays where it is, and so does work that no other target takes.

        Parameters
        ----------
        silent
            Targets that answer nothing at present; none of them is given the work.
        """
        entry, work = attempt.entry, attempt.entry.work
        pool = self._state.pools.find(work.candidates)
        # Plain services return no tokens, and calls to them can't be cancelled.
        if pool is None or not (work.idempotent and work.answer_tokens):
            return []
        allowed = self._restriction.list_allowed(work, pool, now)
        names = pool.open.draw(self._state.rng, 2) if allowed is None else allowed
        unfit = {*silent, attempt.view.target.name}
        # A target that was tried before is better than one that answers nothing.
        if attempt.view.target.name not in silent:
            unfit |= entry.tried
        has_other = any(name in pool.open and name not in unfit for name in names)
        may_retry = entry.attempts < self._state.settings.attempts
        if not (has_other and may_retry) or self._state.would_miss_deadline(
            entry, pool, now
        ):
            return []
        quarantined = self._state.quarantine.is_quarantined(work.content, now)
        view = self._sender.find_target(entry, pool, now, unfit)
        if view is None and not quarantined:
            return []
        if not self._state.take_retry(pool, Failure.TIMED_OUT, now):
            return []
        name = attempt.view.target.name
        self._sender.stop(work.identity, now)
        self._state.refresh(attempt.view)
        cancel = Cancel(work.identity, name, entry.attempts)
        waiting = self._backlog.wait(entry, pool, now)
        if quarantined or view is None:
            # The offer refuses it.
            return [cancel, *waiting, *self._sender.offer(entry, pool, now)]
        return [cancel, *waiting, *self._sender.send(entry, pool, view, now)]

    def check_health(self, view: TargetView, now: Millis) -> Actions:
        """Eject a slow or failing target if enough others of its kind are in use.

        A target that fails while it is being probed is ejected in any case.
        """
        health = view.health
        if health.state is HealthState.EJECTED or not view.should_eject():
            return []
        kind = view.kind
        returning = health.state is HealthState.PROBING
        if not returning and not may_eject(kind.count_unhealthy(), len(kind.views)):
            return []
        view.note_outage(now)
        health.eject(now, self._state.rng)
        self._state.refresh(view)
        self._state.timers.schedule(
            health.until, lambda at: self._start_probe(view, at)
        )
        return self._relocation.relocate_waiting(view, now)

    def _start_probe(self, view: TargetView, now: Millis) -> Actions:
        """Start probing an ejected target with a single request."""
        if self._state.views.get(view.target.name) is not view:
            return []
        view.probe(now)
        self._state.refresh(view, draw=True)
        return self._sender.fill(view, now)
