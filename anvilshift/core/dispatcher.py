"""Decide which requests are served, by which target and when.

`Dispatcher` is the only interface to the load policies: the daemon and the load
benchmark call no other class.  Each event is a method call that carries the
current time and returns the actions to perform.  Each policy has its own module,
which documents it: admission, queue, concurrency, placement, prefixes, ejection,
retries, quarantine, durations, pools.
"""

import random
from collections.abc import Callable, Collection, Iterable

from anvilshift.core.backlog import Backlog
from anvilshift.core.clock import Millis
from anvilshift.core.failures import NOT_EXECUTED, Failure
from anvilshift.core.healthmonitor import HealthMonitor
from anvilshift.core.pools import TargetView
from anvilshift.core.queue import Entry
from anvilshift.core.relocation import Relocation
from anvilshift.core.restriction import TargetRestriction
from anvilshift.core.retrier import CRASH_REPORT_DELAY, Retrier
from anvilshift.core.sending import Sender
from anvilshift.core.state import DispatchState
from anvilshift.core.targetlimits import PermitNeed, TargetLimits
from anvilshift.core.targetviews import TargetViews
from anvilshift.core.work import (
    Actions,
    Ask,
    CacheEvent,
    CrashAnnouncement,
    DispatchSettings,
    LoadReport,
    Target,
    Work,
)

__all__ = ("CRASH_REPORT_DELAY", "Dispatcher")

_SWEEP_INTERVAL: Millis = 250.0
"""Interval between attempts to send work that was skipped; targets report their
load about as often."""


class Dispatcher:
    """Queue work and place it on targets.

    Parameters
    ----------
    settings
        Parameters of the policies.
    rng
        Random generator for every random choice.

    Attributes
    ----------
    renew
        Returns the work with its candidates recomputed; called for queued and
        running work when the targets change.
    list_silent
        Returns the targets that answer nothing at present.

    Examples
    --------
    >>> dispatcher = Dispatcher(DispatchSettings(), random.Random(0))
    >>> dispatcher.configure([Target("e1", "north", slots=1)], now=0.0)
    []
    >>> work = Work("r1", "pounds", "advice", {"e1": 0}, 10, 20, deadline=1_000.0)
    >>> dispatcher.add_request(work, now=0.0)
    [Send(identity='r1', target='e1', attempt=1, priority=0)]
    """

    def __init__(self, settings: DispatchSettings, rng: random.Random) -> None:
        self._state = DispatchState(settings, rng)
        self._restriction = TargetRestriction(self._state)
        self._backlog = Backlog(self._state, self._restriction)
        self._sender = Sender(self._state, self._backlog, self._restriction)
        self._relocation = Relocation(
            self._state, self._backlog, self._restriction, self._enqueue
        )
        self._retrier = Retrier(
            self._state,
            self._backlog,
            self._sender,
            self._restriction,
            self._relocation,
        )
        self._health_monitor = HealthMonitor(
            self._state,
            self._backlog,
            self._sender,
            self._restriction,
            self._relocation,
            lambda: self.list_silent(),
        )
        self._target_limits = TargetLimits(self._state, self._sender)
        self._last_sweep: Millis = 0.0
        self._target_views = TargetViews(
            self._state,
            self._backlog,
            self._sender,
            self._relocation,
            self._target_limits,
            self._enqueue,
            lambda work: self.renew(work),
        )
        self.renew: Callable[[Work], Work] = lambda work: work
        self.list_silent: Callable[[], Collection[str]] = tuple

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return len(self._backlog.entries)

    # Targets

    def configure(
        self, targets: Iterable[Target], now: Millis, revision: int = 0
    ) -> Actions:
        """Replace the declared targets and rebuild the pools.

        Parameters
        ----------
        revision
            Revision of the declarations; see `confirm_revision`.
        """
        return self._target_views.configure(targets, now, revision)

    def confirm_revision(self, revision: int, now: Millis) -> Actions:
        """Record the revision that every router has in force.

        Until all routers have a new revision in force, work is sent only to targets
        that its content maps to both before and after the change.
        """
        return self._target_views.confirm_revision(revision, now)

    def set_routers(self, routers: int) -> None:
        """Set the number of routers that share the targets."""
        self._target_views.set_routers(routers)

    def set_partitioned(self, partitioned: bool) -> None:
        """Set whether another router is unreachable."""
        self._state.partitioned = partitioned

    def set_has_others(self, known: bool) -> None:
        """Set whether any other router is known.

        A router that is alone may send a content to any target.  When another
        router starts, it must learn where contents were sent before it serves, so
        this one keeps a record of what is running.
        """
        if known and self._state.is_single_router:
            self._state.quarantine.retain_running_charges()
        self._state.has_others = known

    def leaving(self, target: str, now: Millis) -> Actions:
        """Stop sending new work to a target that is shutting down."""
        return self._target_views.leave(target, now)

    def staying(self, target: str, now: Millis) -> Actions:
        """Send work again to a target that cancelled its shutdown."""
        return self._target_views.stay(target, now)

    def update_rate_limit(self, report: LoadReport) -> None:
        """Record only the rate limit in a target's load report; send nothing."""
        self._target_views.update_rate_limit(report)

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Update a target's load from its report, which describes an earlier time."""
        return self._target_views.apply_load_report(report, now)

    def find_view(self, target: str) -> TargetView | None:
        """Return this router's view of a target, or None if it is not declared."""
        return self._state.views.get(target)

    def list_permit_needs(self) -> list[PermitNeed]:
        """Return the targets whose waiting work lacks only a permit."""
        return self._target_limits.list_permit_needs()

    def use_permit(self, target: str, run: str, now: Millis) -> Actions:
        """Use a permit to send one request to a rate-limited target."""
        return self._target_limits.use_permit(target, run, now)

    def cache_event(self, event: CacheEvent, now: Millis) -> Actions:
        """Update the record of a target's prefix cache."""
        if event.target in self._state.views:
            self._state.prefixes.apply_event(event)
        return []

    def crashed(
        self,
        content: str,
        target: str,
        now: Millis,
        age: Millis = 0.0,
        times: int = 1,
    ) -> None:
        """Record a crash that another router reported.

        Parameters
        ----------
        age
            Time since the crash.
        times
            Crashes of the target that are attributed to the content; 0 if it was only
            running there.
        """
        self._state.quarantine.record_crash_report(content, target, now, age, times)

    def record_lost_router(self, now: Millis) -> None:
        """Record that a router became unreachable without announcing a shutdown."""
        self._state.last_router_loss = now

    def prepare(self, ask: Ask, now: Millis) -> bool:
        """Hold back a content that another router asks to relocate.

        Returns
        -------
        bool
            Whether this router agrees.
        """
        return self._relocation.prepare(ask, now)

    def finish_relocation(self, ask: Ask, agreed: bool, now: Millis) -> Actions:
        """Finish a relocation, once it is known whether all routers agreed."""
        return self._relocation.apply_outcome(ask, agreed, now)

    def list_only_targets(self, content: str) -> list[str]:
        """Return the only targets that may run a content; empty if any target may."""
        return self._state.quarantine.list_only_targets(content)

    def list_crashes(self, now: Millis) -> list[CrashAnnouncement]:
        """Return the crashes that a router that has just started must learn of."""
        return self._state.quarantine.list_crashes(now)

    # Requests

    def add_request(self, work: Work, now: Millis) -> Actions:
        """Queue or send a new request, or refuse it."""
        if self._state.quarantine.is_quarantined(work.content, now):
            return [self._state.refuse_quarantined(work)]
        entry = Entry(work, 0.0, 0.0)
        pool = self._state.pools.find(work.candidates)
        if pool is not None:
            pool.kind.retries.add_request(now)
        if pool is not None and self._restriction.has_no_usable_target(work, pool, now):
            return self._relocation.begin(entry, pool, now)
        return self._enqueue(entry, now)

    def _enqueue(self, entry: Entry, now: Millis) -> Actions:
        """Admit work to the queue and send it if a target has room.

        Work that was already attempted is sent again under the retry policy.
        """
        if entry.attempts:
            return self._retrier.requeue(entry, now)
        actions = self._backlog.admit(entry, now)
        if not entry.waits:
            return actions
        pool = self._backlog.entries[entry.work.identity][1]
        return [*actions, *self._sender.offer(entry, pool, now)]

    def first_token(self, identity: str, now: Millis) -> Actions:
        """Record that the first token of an answer arrived."""
        attempt = self._sender.running.get(identity)
        if attempt is None or attempt.first is not None:
            return []
        attempt.first = now
        work, span = attempt.entry.work, now - attempt.sent
        durations = attempt.pool.kind.durations
        self._health_monitor.compare(attempt, span)
        durations.add_first_token(work, span, now, attempt.warm)
        return self._health_monitor.check_health(attempt.view, now)

    def done(self, identity: str, tokens: int, now: Millis) -> Actions:
        """Record that an answer is complete and free its slot."""
        attempt = self._sender.stop(identity, now)
        if attempt is None:
            return []
        work, view = attempt.entry.work, attempt.view
        durations = attempt.pool.kind.durations
        if attempt.first is None:
            span = now - attempt.sent
            self._health_monitor.compare(attempt, span)
            durations.add_first_token(work, span, now)
        else:
            durations.add_answer_time(work, tokens, now - attempt.first, now)
        if attempt.counts:
            view.health.add_answer()
        self._state.quarantine.clear(work.content)
        self._state.refresh(view)
        return [
            *self._health_monitor.check_health(view, now),
            *self._sender.fill(view, now),
        ]

    def recorded(self, span: Millis) -> None:
        """Record how long the end of an answer was delayed until its bill was stored.

        The deadline by which work must be answered allows for this delay.
        """
        self._state.recording.add(max(span, 1.0))

    def failed(
        self, identity: str, failure: Failure, now: Millis, received: int = 0
    ) -> Actions:
        """Record a failed attempt; retry the work or refuse it.

        Parameters
        ----------
        received
            Tokens of the answer that have arrived.
        """
        attempt = self._sender.running.get(identity)
        if attempt is None:
            return []
        attempt.entry.received = received
        entry, view, content = attempt.entry, attempt.view, attempt.entry.work.content
        name = view.target.name
        actions: Actions = []
        answer_begun = attempt.first is not None
        announcement = self._state.quarantine.record_failure(
            content, name, failure, attempt.sent, now, answer_begun
        )
        if announcement is not None:
            actions.append(announcement)
        if failure is Failure.NOT_SENT:
            # The target accepts no connections: it is restarting and will come
            # back with an empty cache.
            self._state.prefixes.forget(name)
        self._sender.stop(identity, now, ran=failure not in NOT_EXECUTED)
        if attempt.counts:
            view.health.add_failure(content or identity)
        self._state.refresh(view)
        actions += self._health_monitor.check_health(view, now)
        actions += self._retrier.retry(entry, failure, now)
        return [*actions, *self._sender.fill(view, now)]

    def leave(
        self, identity: str, silent: Collection[str], now: Millis, received: int = 0
    ) -> Actions:
        """Move work from a silent target; do nothing if no other takes it at once.

        The target isn't blamed: it may only pause.

        Parameters
        ----------
        silent
            All targets that answer nothing at present, the work's own among them.
        received
            Tokens of the answer that have arrived.
        """
        attempt = self._sender.running.get(identity)
        if attempt is None:
            return []
        attempt.entry.received = received
        content = attempt.entry.work.content
        if self._state.quarantine.is_quarantined(content, now):
            return []
        return self._health_monitor.move_to_other_target(attempt, now, silent)

    def cancel(self, identity: str, now: Millis) -> Actions:
        """Drop a request whose caller disconnected or that was abandoned."""
        found = self._backlog.entries.pop(identity, None)
        if found is not None:
            entry, pool = found
            pool.find_queues(entry).remove(entry)
        attempt = self._sender.stop(identity, now)
        if attempt is None:
            return []
        self._state.refresh(attempt.view)
        return self._sender.fill(attempt.view, now)

    # Time

    def tick(self, now: Millis) -> Actions:
        """Run the timers that are due and, at intervals, retry skipped work."""
        actions = [
            *self._state.timers.run(now),
            *self._target_limits.remove_expired(now),
            *self._target_views.follow_fleet(now),
        ]
        if now >= self._last_sweep + _SWEEP_INTERVAL:
            self._last_sweep = now
            actions += self._sender.retry_skipped(now)
        return actions

    def next_tick(self, now: Millis) -> Millis | None:
        """Return the time of the next call of `tick`, or None if none is needed."""
        due = self._state.timers.first()
        if not self._backlog.entries:
            return due
        sweep = max(now, self._last_sweep + _SWEEP_INTERVAL)
        return sweep if due is None else min(due, sweep)
