"""Keep a router's views of its targets, and the pools of these, up to date.

Views follow the declarations, the targets' load reports and departures, and the number
of routers that share them.  Whatever changes which targets work may use rebuilds the
pools and queues the waiting work again.
"""

from collections.abc import Callable, Iterable

from anvilshift.core.backlog import Backlog
from anvilshift.core.clock import Millis
from anvilshift.core.concurrency import STALE_AFTER, ConcurrencyLimit
from anvilshift.core.pools import Kind, Pools, TargetView
from anvilshift.core.queue import Entry
from anvilshift.core.relocation import Relocation
from anvilshift.core.sending import Sender
from anvilshift.core.state import DispatchState
from anvilshift.core.targetlimits import TargetLimits
from anvilshift.core.work import Actions, LoadReport, Target, Work


class TargetViews:
    """Change the views of targets as news of these arrive.

    Parameters
    ----------
    enter
        Admits work to the dispatcher's queues.
    renew
        Returns work with its candidates recomputed.
    """

    def __init__(
        self,
        state: DispatchState,
        backlog: Backlog,
        sender: Sender,
        relocation: Relocation,
        target_limits: TargetLimits,
        enter: Callable[[Entry, Millis], Actions],
        renew: Callable[[Work], Work],
    ) -> None:
        self._state = state
        self._backlog = backlog
        self._sender = sender
        self._relocation = relocation
        self._target_limits = target_limits
        self._enter = enter
        self._renew = renew
        self._was_alone = state.is_single_router

    def configure(
        self, targets: Iterable[Target], now: Millis, revision: int
    ) -> Actions:
        """Replace the declared targets and rebuild the pools."""
        declared = {target.name: target for target in targets}
        self._state.began = min(self._state.began, now)
        old_targets = {name: view.target for name, view in self._state.views.items()}
        self._state.former.record_change(old_targets, declared, revision, now)
        for name in set(self._state.views) - set(declared):
            # When an attempt that still runs there ends, the removed target must
            # not be given more work.
            removed = self._state.views.pop(name)
            removed.pools, removed.kind = [], Kind()
            self._state.prefixes.forget(name)
        for name, target in declared.items():
            self._update_target(name, target)
        for attempt in self._sender.running.values():
            attempt.entry.work = self._renew(attempt.entry.work)
        return self._rebuild_pools(now)

    def confirm_revision(self, revision: int, now: Millis) -> Actions:
        """Record the revision that every router has in force."""
        ended = self._state.former.confirm_revision(revision, now)
        return self._rebuild_pools(now) if ended else []

    def follow_fleet(self, now: Millis) -> Actions:
        """Rebuild the pools if this router is now alone, or no longer so.

        A router that is alone may send a content to any target; one of several only
        to the two home targets of the content.
        """
        if self._state.is_single_router == self._was_alone:
            return []
        return self._rebuild_pools(now)

    def _rebuild_pools(self, now: Millis) -> Actions:
        """Rebuild the pools and enqueue all waiting work again."""
        waiting = [entry for entry, _ in self._backlog.entries.values()]
        self._backlog.entries.clear()
        self._was_alone = self._state.is_single_router
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
            entry.work = self._renew(entry.work)
            actions += self._enter(entry, now)
        return actions

    def _update_target(self, name: str, target: Target) -> None:
        view = self._state.views.get(name)
        if view is None:
            view = TargetView(
                target, ConcurrencyLimit(target.slots, self._state.routers)
            )
            self._state.views[name] = view
        view.target = target
        view.limit.set_slots(target.slots)
        self._state.refresh(view, draw=True)

    def set_routers(self, routers: int) -> None:
        """Set the number of routers that share the targets."""
        self._state.routers = routers
        for view in self._state.views.values():
            view.limit.set_routers(routers)
            self._state.refresh(view, draw=True)

    def leave(self, target: str, now: Millis) -> Actions:
        """Stop sending new work to a target that is shutting down."""
        view = self._state.views.get(target)
        if view is None or view.leaving:
            return []
        view.note_outage(now)
        view.leaving = True
        self._state.refresh(view)
        actions = self._relocation.relocate_waiting(view, now)
        for pool in view.pools:
            pool.usable -= 1
            if not pool.usable:
                actions += self._backlog.refuse_all(pool)
        return actions

    def stay(self, target: str, now: Millis) -> Actions:
        """Send work again to a target that cancelled its shutdown."""
        view = self._state.views.get(target)
        if view is None or not view.leaving:
            return []
        view.leaving = False
        for pool in view.pools:
            pool.usable += 1
        self._state.refresh(view)
        return self._sender.fill(view, now)

    def update_rate_limit(self, report: LoadReport) -> None:
        """Record only the rate limit in a target's load report; send nothing."""
        view = self._state.views.get(report.target)
        if view is not None:
            self._target_limits.learn(view, report.limit, report.as_of)

    def apply_load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Update a target's load from its report, which describes an earlier time."""
        view = self._state.views.get(report.target)
        if view is None:
            return []
        if not view.limit.reported:
            self._state.timers.schedule(
                now + STALE_AFTER, lambda at: self._check_reports(view, at)
            )
        view.limit.report(report, now)
        self._target_limits.learn(view, report.limit, report.as_of)
        self._state.refresh(view, draw=True)
        return [*self._target_limits.remove_expired(now), *self._sender.fill(view, now)]

    def _check_reports(self, view: TargetView, now: Millis) -> Actions:
        """Stop using a target's reported load once its reports have stopped."""
        if not view.limit.expire(now):
            self._state.timers.schedule(
                now + STALE_AFTER, lambda at: self._check_reports(view, at)
            )
            return []
        self._state.refresh(view, draw=True)
        return self._sender.fill(view, now)
