"""Decide whom to serve, where and when: the one door to the load policies.

Events come in as method calls that carry the present instant; actions come
out.  The daemon and the load bench call only this class.  Each policy is a
module of its own, which says what it is for: admission, queue, concurrency,
placement, prefixes, ejection, retries, quarantine, durations, pools.
"""

import random
from collections.abc import Callable, Iterable

from anvilshift.core.backlog import Backlog
from anvilshift.core.clock import Millis
from anvilshift.core.concurrency import STALE, Limit
from anvilshift.core.pools import Kind, Pools, TargetView
from anvilshift.core.queue import Entry
from anvilshift.core.rationing import Rationing, Want
from anvilshift.core.reach import Reach
from anvilshift.core.relocation import Relocation
from anvilshift.core.resending import NEWS_SPAN, Resending
from anvilshift.core.sending import Sender
from anvilshift.core.state import DispatchState
from anvilshift.core.upkeep import Upkeep
from anvilshift.core.work import (
    NEVER_RAN,
    Actions,
    Announce,
    Ask,
    CacheEvent,
    DispatchSettings,
    Failure,
    LoadReport,
    Target,
    Work,
)

__all__ = ("NEWS_SPAN", "Dispatcher")

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
        self._reach = Reach(self._state)
        self._backlog = Backlog(self._state, self._reach)
        self._sender = Sender(self._state, self._backlog, self._reach)
        self._relocation = Relocation(
            self._state, self._backlog, self._reach, self._enter
        )
        self._resending = Resending(
            self._state, self._backlog, self._sender, self._reach, self._relocation
        )
        self._upkeep = Upkeep(
            self._state, self._backlog, self._sender, self._reach, self._relocation
        )
        self._rationing = Rationing(self._state, self._sender)
        self._swept: Millis = 0.0
        self._was_alone = self._state.is_alone
        self.renew: Callable[[Work], Work] = lambda work: work

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._backlog.entries)

    # Targets

    def configure(
        self, targets: Iterable[Target], now: Millis, revision: int = 0
    ) -> Actions:
        """Take in the targets that are declared now.

        Parameters
        ----------
        revision
            Revision of the declarations; see `agree`.
        """
        declared = {target.name: target for target in targets}
        self._state.began = min(self._state.began, now)
        old = {name: view.target for name, view in self._state.views.items()}
        self._state.former.supersede(old, declared, revision, now)
        for name in set(self._state.views) - set(declared):
            # Work that still runs there must not draw more work when it ends.
            removed = self._state.views.pop(name)
            removed.pools, removed.kind = [], Kind()
            self._state.prefixes.forget(name)
        for name, target in declared.items():
            self._declare(name, target)
        for attempt in self._sender.running.values():
            attempt.entry.work = self.renew(attempt.entry.work)
        return self._make_pools(now)

    def agree(self, revision: int, now: Millis) -> Actions:
        """Take in the revision that every router has in force.

        Until then work goes only to targets that its content has before and after
        a change.
        """
        ended = self._state.former.agree(revision, now)
        return self._make_pools(now) if ended else []

    def _make_pools(self, now: Millis) -> Actions:
        """Make the pools anew and let all that waits enter them."""
        waiting = [entry for entry, _ in self._backlog.entries.values()]
        self._backlog.entries.clear()
        self._was_alone = self._state.is_alone
        self._state.pools = Pools(self._state.views)
        for view in self._state.views.values():
            view.pools = []
            view.kind.pools = []
            view.kind.views = {view.target.name: view}
        for attempt in self._sender.running.values():
            pool = self._state.pools.find(attempt.entry.work.candidates)
            if pool is not None:
                attempt.pool = pool
                pool.long_running += attempt.entry.is_long
        actions: Actions = []
        for entry in waiting:
            entry.lane = None
            entry.work = self.renew(entry.work)
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

    def set_others(self, known: bool) -> None:
        """Take in whether any other router is known.

        An only router may send a content anywhere; one that begins beside it must
        hear of that before it serves.
        """
        if known and self._state.is_alone:
            self._state.quarantine.keep_running()
        self._state.has_others = known

    def leaving(self, target: str, now: Millis) -> Actions:
        """Take in that a target is leaving: it gets no new work."""
        view = self._state.views.get(target)
        if view is None or view.leaving:
            return []
        view.note_outage(now)
        view.leaving = True
        self._state.refresh(view)
        actions = self._relocation.move_stuck(view, now)
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

    def learn_limit(self, report: LoadReport) -> None:
        """Take in only what a target names of its limit, and send nothing."""
        view = self._state.views.get(report.target)
        if view is not None:
            self._rationing.learn(view, report.limit, report.as_of)

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

    def note_lost_router(self, now: Millis) -> None:
        """Take in that a router is missed that had not said that it leaves."""
        self._state.router_lost = now

    def prepare(self, ask: Ask, now: Millis) -> bool:
        """Hold a content back that another router would send elsewhere."""
        return self._relocation.prepare(ask, now)

    def settle(self, ask: Ask, agreed: bool, now: Millis) -> Actions:
        """Take in whether a content goes to the target that was asked for."""
        return self._relocation.settle(ask, agreed, now)

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
            return [self._state.refuse_quarantined(work)]
        entry = Entry(work, 0.0, 0.0)
        pool = self._state.pools.find(work.candidates)
        if pool is not None and self._reach.is_stuck(work, pool, now):
            return self._relocation.begin(entry, pool, now)
        return self._enter(entry, now)

    def _enter(self, entry: Entry, now: Millis) -> Actions:
        """Let work in and place it if there is room."""
        if entry.attempts:
            return self._resending.send_again(entry, now)
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
        actions += self._resending.retry(entry, failure, now)
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
        if self._state.is_alone != self._was_alone:
            # What waits for any target may go to its content's two only, or the
            # other way round.
            actions += self._make_pools(now)
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
