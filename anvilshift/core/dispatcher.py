"""Decide whom to serve, where and when: the one door to the load policies.

Events come in as method calls that carry the present instant; actions come
out.  The daemon and the load bench call only this class.  Each policy is a
module of its own, which says what it is for: admission, queue, concurrency,
placement, prefixes, ejection, retries, quarantine, durations, pools.
"""

import random
from collections.abc import Iterable

from anvilshift.core.backlog import Backlog
from anvilshift.core.clock import Millis
from anvilshift.core.concurrency import STALE, Limit
from anvilshift.core.errors import ENGINE_FAILED, NO_ENGINE, QUARANTINED
from anvilshift.core.pools import Kind, Pool, Pools, TargetView
from anvilshift.core.quarantine import FORGET_AFTER
from anvilshift.core.queue import Entry
from anvilshift.core.rationing import Rationing, Want
from anvilshift.core.retries import BACKOFF
from anvilshift.core.sending import Sender
from anvilshift.core.state import NO_TARGET_RETRY, DispatchState
from anvilshift.core.upkeep import Upkeep
from anvilshift.core.work import (
    NEVER_RAN,
    Actions,
    Announce,
    CacheEvent,
    DispatchSettings,
    Failure,
    LoadReport,
    Refuse,
    Target,
    Work,
)

NEWS_SPAN: Millis = 50.0
"""Between a crash and the next try of what ran there: other routers that lost a
target to the same content have told of it by then."""
_SWEEP: Millis = 250.0
"""How often work that was passed over is looked at again; targets report about
as often."""


class Dispatcher:
    """Queue work and place it on targets.

    Parameters
    ----------
    settings
        The figures of the policies.
    rng
        Source of every random choice.

    Examples
    --------
    >>> dispatcher = Dispatcher(DispatchSettings(), random.Random(0))
    >>> dispatcher.configure([Target("e1", "north", slots=1)], now=0.0)
    []
    >>> work = Work("r1", "pounds", "advice", {"e1": 0}, 10, 20, deadline=1_000.0)
    >>> dispatcher.arrive(work, now=0.0)
    [Send(identity='r1', target='e1', attempt=1, priority=0)]
    """

    def __init__(self, settings: DispatchSettings, rng: random.Random) -> None:
        self._state = DispatchState(settings, rng)
        self._backlog = Backlog(self._state)
        self._sender = Sender(self._state, self._backlog)
        self._upkeep = Upkeep(self._state, self._backlog, self._sender)
        self._rationing = Rationing(self._state, self._sender)
        self._swept: Millis = 0.0

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._backlog.entries)

    # Targets

    def configure(self, targets: Iterable[Target], now: Millis) -> Actions:
        """Take in the targets that are declared now."""
        declared = {target.name: target for target in targets}
        for name in set(self._state.views) - set(declared):
            # Work that still runs there must not draw more work when it ends.
            removed = self._state.views.pop(name)
            removed.pools, removed.kind = [], Kind()
            self._state.prefixes.forget(name)
        for name, target in declared.items():
            self._declare(name, target)
        waiting = [entry for entry, _ in self._backlog.entries.values()]
        self._backlog.entries.clear()
        self._state.pools = Pools(self._state.views)
        for view in self._state.views.values():
            view.pools = []
            view.kind.pools = []
            view.kind.views = {view.target.name: view}
        actions: Actions = []
        for entry in waiting:
            entry.lane = None
            actions += self._enter(entry, now)
        return actions

    def _declare(self, name: str, target: Target) -> None:
        view = self._state.views.get(name)
        if view is None:
            view = TargetView(target, Limit(target.slots, self._state.routers))
            self._state.views[name] = view
        view.target = target
        view.limit.set_slots(target.slots)
        self._state.refresh(view, draw=True)

    def set_routers(self, routers: int) -> None:
        """Take in how many routers share the targets."""
        self._state.routers = routers
        for view in self._state.views.values():
            view.limit.set_routers(routers)
            self._state.refresh(view, draw=True)

    def set_partitioned(self, partitioned: bool) -> None:
        """Take in whether some other router can't be heard."""
        self._state.partitioned = partitioned

    def leaving(self, target: str, now: Millis) -> Actions:
        """Take in that a target is leaving: it gets no new work."""
        view = self._state.views.get(target)
        if view is None or view.leaving:
            return []
        view.note_outage(now)
        view.leaving = True
        self._state.refresh(view)
        actions: Actions = []
        for pool in view.pools:
            pool.usable -= 1
            if not pool.usable:
                actions += self._backlog.give_up_all(pool)
        return actions

    def staying(self, target: str, now: Millis) -> Actions:
        """Take in that a target is not leaving after all."""
        view = self._state.views.get(target)
        if view is None or not view.leaving:
            return []
        view.leaving = False
        for pool in view.pools:
            pool.usable += 1
        self._state.refresh(view)
        return self._sender.fill(view, now)

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Take in a target's late report of its load."""
        view = self._state.views.get(report.target)
        if view is None:
            return []
        if not view.limit.reported:
            self._state.timers.at(now + STALE, lambda at: self._check_reports(view, at))
        view.limit.report(report, now)
        self._rationing.learn(view, report.limit, report.as_of)
        self._state.refresh(view, draw=True)
        return [*self._rationing.end_over(now), *self._sender.fill(view, now)]

    def find_view(self, target: str) -> TargetView | None:
        """Return what this router knows of a target."""
        return self._state.views.get(target)

    def list_wants(self) -> list[Want]:
        """Return the targets for which nothing but a permit is missing."""
        return self._rationing.list_wants()

    def permit(self, target: str, run: str, now: Millis) -> Actions:
        """Take in a permit to send one request to a target that has named a limit."""
        return self._rationing.permit(target, run, now)

    def _check_reports(self, view: TargetView, now: Millis) -> Actions:
        """Stop trusting the figures of a target whose reports have stopped."""
        if not view.limit.expire(now):
            self._state.timers.at(now + STALE, lambda at: self._check_reports(view, at))
            return []
        self._state.refresh(view, draw=True)
        return self._sender.fill(view, now)

    def cache_event(self, event: CacheEvent, now: Millis) -> Actions:
        """Take in a change of a target's prefix cache."""
        if event.target in self._state.views:
            self._state.prefixes.take(event)
        return []

    def crashed(
        self,
        content: str,
        target: str,
        now: Millis,
        age: Millis = 0.0,
        times: int = 1,
    ) -> None:
        """Take in another router's news of a crash that is so old."""
        self._state.quarantine.hear(content, target, now, age, times)

    def list_confined(self, content: str) -> list[str]:
        """Return the targets of a content that used up what it may cost."""
        return self._state.quarantine.list_confined(content)

    def list_crashes(self, now: Millis) -> list[Announce]:
        """Return what a router that has just started must hear."""
        return self._state.quarantine.list_crashes(now)

    # Requests

    def arrive(self, work: Work, now: Millis) -> Actions:
        """Take in a request."""
        if self._state.quarantine.is_quarantined(work.content, now):
            return [self._refuse_quarantined(Entry(work, 0.0, 0.0))]
        entry = Entry(work, 0.0, 0.0)
        pool = self._state.pools.find(work.candidates)
        if pool is not None and self._sender.is_stuck(work, pool, now):
            return [self._refuse_stuck(entry)]
        return self._enter(entry, now)

    def _refuse_quarantined(self, entry: Entry) -> Refuse:
        return Refuse(entry.work.identity, QUARANTINED, "", FORGET_AFTER)

    def _refuse_stuck(self, entry: Entry) -> Refuse:
        detail = "the targets that it may reach are out of use"
        return self._state.refuse(entry, NO_ENGINE, detail, NO_TARGET_RETRY)

    def _enter(self, entry: Entry, now: Millis) -> Actions:
        """Let work in and place it if there is room."""
        actions = self._backlog.admit(entry, now)
        if not entry.waits:
            return actions
        pool = self._backlog.entries[entry.work.identity][1]
        return [*actions, *self._sender.offer(entry, pool, now)]

    def first_token(self, identity: str, now: Millis) -> Actions:
        """Take in that an answer has begun."""
        attempt = self._sender.running.get(identity)
        if attempt is None or attempt.first is not None:
            return []
        attempt.first = now
        work, span = attempt.entry.work, now - attempt.sent
        durations = attempt.pool.kind.durations
        self._upkeep.compare(attempt, span)
        durations.add_first(work, span, now, attempt.warm)
        return self._upkeep.check_health(attempt.view, now)

    def done(self, identity: str, tokens: int, now: Millis) -> Actions:
        """Take in that an answer is whole."""
        attempt = self._sender.stop(identity, now)
        if attempt is None:
            return []
        work, view = attempt.entry.work, attempt.view
        durations = attempt.pool.kind.durations
        if attempt.first is None:
            span = now - attempt.sent
            self._upkeep.compare(attempt, span)
            durations.add_first(work, span, now)
        else:
            durations.add_whole(work, tokens, now - attempt.first, now)
        if attempt.counts:
            view.health.add_answer()
        self._state.retries.earn()
        self._state.quarantine.clear(work.content)
        self._state.refresh(view)
        return [*self._upkeep.check_health(view, now), *self._sender.fill(view, now)]

    def recorded(self, span: Millis) -> None:
        """Take in how long the end of an answer waited for its bill."""
        self._state.recording.add(max(span, 1.0))

    def failed(self, identity: str, failure: Failure, now: Millis) -> Actions:
        """Take in that an attempt failed; the work is sent again or refused."""
        attempt = self._sender.running.get(identity)
        if attempt is None:
            return []
        entry, view, content = attempt.entry, attempt.view, attempt.entry.work.content
        name = view.target.name
        actions: Actions = []
        begun = attempt.first is not None
        news = self._state.quarantine.failed(
            content, name, failure, attempt.sent, now, begun
        )
        if news is not None:
            actions.append(news)
        if failure is Failure.NOT_SENT:
            # Nobody listens there: it restarts, with an empty cache.
            self._state.prefixes.forget(name)
        self._sender.stop(identity, now, ran=failure not in NEVER_RAN)
        if attempt.counts:
            view.health.add_failure(content or identity)
        self._state.refresh(view)
        actions += self._upkeep.check_health(view, now)
        actions += self._retry(entry, failure, now)
        return [*actions, *self._sender.fill(view, now)]

    def cancel(self, identity: str, now: Millis) -> Actions:
        """Take in that the caller left, or that the request is given up."""
        found = self._backlog.entries.pop(identity, None)
        if found is not None:
            entry, pool = found
            pool.queue_of(entry).remove(entry)
        attempt = self._sender.stop(identity, now)
        if attempt is None:
            return []
        self._state.refresh(attempt.view)
        return self._sender.fill(attempt.view, now)

    # Time

    def tick(self, now: Millis) -> Actions:
        """Do what is due."""
        actions = [*self._state.timers.run(now), *self._rationing.end_over(now)]
        if now >= self._swept + _SWEEP:
            self._swept = now
            actions += self._sender.sweep(now)
        return actions

    def next_tick(self, now: Millis) -> Millis | None:
        """Return the instant at which `tick` must be called, if any."""
        due = self._state.timers.first()
        if not self._backlog.entries:
            return due
        sweep = max(now, self._swept + _SWEEP)
        return sweep if due is None else min(due, sweep)

    # Outcomes

    def _retry(self, entry: Entry, failure: Failure, now: Millis) -> Actions:
        """Send failed work elsewhere, later, or not again."""
        work = entry.work
        pool = self._state.pools.find(work.candidates)
        never_ran = failure in NEVER_RAN
        code = NO_ENGINE if never_ran else ENGINE_FAILED
        refusal = self._state.refuse(entry, code, failure.value, NO_TARGET_RETRY)
        if self._state.quarantine.is_quarantined(work.content, now):
            return [self._refuse_quarantined(entry)]
        if not (never_ran or work.idempotent):
            return [refusal]
        if entry.attempts >= self._state.settings.attempts:
            return [refusal]
        if pool is None or not pool.usable or self._sender.is_stuck(work, pool, now):
            return [refusal]
        if self._state.has_no_hope(entry, pool, now):
            return [refusal]
        if not self._state.retries.take(failure):
            return [refusal]
        confined = self._state.quarantine.list_confined(work.content)
        if confined or len(entry.tried) >= pool.usable:
            pause = BACKOFF.draw(entry.attempts, self._state.rng)
            return self._back_off(entry, pool, now, pause)
        reached = self._state.quarantine.list_reached(work.content)
        if reached and not self._state.is_alone:
            return self._back_off(entry, pool, now, NEWS_SPAN)
        return [
            *self._backlog.wait(entry, pool, now),
            *self._sender.offer(entry, pool, now),
        ]

    def _back_off(
        self, entry: Entry, pool: Pool, now: Millis, pause: Millis
    ) -> Actions:
        """Send work again after a while."""
        self._backlog.entries[entry.work.identity] = entry, pool
        due = now + pause

        def again(at: Millis) -> Actions:
            found = self._backlog.entries.get(entry.work.identity)
            if found is None or found[0] is not entry or entry.waits:
                return []
            pool = self._state.pools.find(entry.work.candidates)
            if pool is None or not pool.usable:
                del self._backlog.entries[entry.work.identity]
                return [self._state.refuse(entry, NO_ENGINE, "", NO_TARGET_RETRY)]
            if self._state.quarantine.is_quarantined(entry.work.content, at):
                del self._backlog.entries[entry.work.identity]
                return [self._refuse_quarantined(entry)]
            if self._sender.is_stuck(entry.work, pool, at):
                del self._backlog.entries[entry.work.identity]
                return [self._refuse_stuck(entry)]
            return [
                *self._backlog.wait(entry, pool, at),
                *self._sender.offer(entry, pool, at),
            ]

        self._state.timers.at(due, again)
        return []
