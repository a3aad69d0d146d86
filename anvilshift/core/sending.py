"""Dispatch waiting work to targets with free slots."""

from collections.abc import Callable, Collection

from anvilshift.core.backlog import Backlog
from anvilshift.core.clock import Millis
from anvilshift.core.ejection import HealthState
from anvilshift.core.errors import OVERLOADED
from anvilshift.core.exposure import TARGETS
from anvilshift.core.placement.candidates import DRAWN, HOLDERS, Option, choose
from anvilshift.core.pools import Pool, TargetView
from anvilshift.core.queue import CLOSE, Entry, FairQueue
from anvilshift.core.restriction import TargetRestriction
from anvilshift.core.state import Attempt, DispatchState
from anvilshift.core.work import Actions, CrashAnnouncement, Refuse, Send

_MAX_SKIPPED = 4
"""Maximum number of requests skipped for one slot, which bounds an event's cost."""
_PROBE_SLACK_FACTOR = 3.0
"""Expected run times that must remain until the deadline of a request that probes a
returning target, so that it can still run elsewhere if the probe fails."""


class Sender:
    """Match waiting work with targets and keep the running attempts.

    Attributes
    ----------
    running
        Attempts by the identity of their work.
    on_sent
        Callback for each attempt that begins.
    """

    def __init__(
        self, state: DispatchState, backlog: Backlog, restriction: TargetRestriction
    ) -> None:
        self.running: dict[str, Attempt] = {}
        self.on_sent: Callable[[Attempt, Millis], None] = lambda attempt, now: None
        self._state = state
        self._backlog = backlog
        self._restriction = restriction

    def offer(self, entry: Entry, pool: Pool, now: Millis) -> Actions:
        """Send work immediately if an eligible target has a free slot."""
        if not entry.waits or not len(pool.open):
            return []
        if entry.is_long and not pool.may_run_long():
            return []
        if self._state.quarantine.is_quarantined(entry.work.content, now):
            return [self._refuse_quarantined(entry, pool)]
        view = self.find_target(entry, pool, now)
        return [] if view is None else self.send(entry, pool, view, now)

    def find_target(
        self,
        entry: Entry,
        pool: Pool,
        now: Millis,
        excluded: Collection[str] = frozenset(),
    ) -> TargetView | None:
        """Return the best eligible target with a free slot; None if there is none."""
        allowed = self._restriction.list_allowed(entry.work, pool, now)
        names = self._list_candidates(entry, pool) if allowed is None else allowed
        names = [
            name
            for name in dict.fromkeys(names)
            if name in pool.open and name not in excluded
        ]
        views = [self._state.views[name] for name in names]
        options = [
            self._make_option(entry, view)
            for view in views
            if self._is_eligible(entry, pool, view, now, excluded)
        ]
        durations = pool.kind.durations
        saving = durations.saving(entry.work.request_class)
        option = choose(options, entry.service, saving, self._state.rng)
        return None if option is None else self._state.views[option.name]

    def _list_candidates(self, entry: Entry, pool: Pool) -> list[str]:
        """Return a sample of candidates for work that may go to any target.

        They are those of the content's two first-ranked targets that have room, or
        the next two in its ranking if neither has.  If none is found, as for work
        without content, they are random targets.  Some with the prompt's prefix in
        their caches are added.
        """
        rng, names = self._state.rng, []
        if entry.work.content:
            ordered = pool.order(entry.work.content)
            fresh = [n for n in ordered if n in pool.open and n not in entry.tried]
            homes = [name for name in fresh if name in ordered[:TARGETS]]
            # A content that may have crashed a target also gets candidates after its
            # homes, or it would wait while its second home runs another suspect.
            reached = self._state.quarantine.list_charged_targets(entry.work.content)
            names = fresh[:TARGETS] if reached or not homes else homes
        if not names:
            names = pool.open.draw(rng, DRAWN)
        return names + self._state.prefixes.holders(entry.work.prefixes, rng, HOLDERS)

    def _refuse_quarantined(self, entry: Entry, pool: Pool) -> Refuse:
        """Refuse work whose content was quarantined while it waited."""
        del self._backlog.entries[entry.work.identity]
        pool.find_queues(entry).remove(entry)
        return self._state.refuse_quarantined(entry.work)

    def _make_option(self, entry: Entry, view: TargetView) -> Option:
        name, prefixes = view.target.name, entry.work.prefixes
        matched = self._state.prefixes.matched(name, prefixes)
        return Option(
            name,
            view.limit.occupancy(),
            view.get_slowdown(),
            matched / len(prefixes) if prefixes else 0.0,
            view.target.failure_domain != self._state.settings.failure_domain,
        )

    def _is_eligible(
        self,
        entry: Entry,
        pool: Pool,
        view: TargetView,
        now: Millis,
        excluded: Collection[str] = frozenset(),
    ) -> bool:
        """Return whether work may be sent to a target that has room.

        The target must be allowed for its content, untried while others are, able
        to be probed by it, and not running another suspect if the content is one.
        """
        work, name = entry.work, view.target.name
        allowed = self._restriction.list_allowed(work, pool, now)
        if allowed is not None and name not in allowed:
            return False
        if name in entry.tried and self.has_untried_target(entry, pool, now, excluded):
            return False
        if view.health.state is HealthState.PROBING:
            slack = work.deadline - now
            if not work.idempotent or slack < _PROBE_SLACK_FACTOR * entry.service:
                return False
        content = work.content
        if not self._state.quarantine.is_suspect(content):
            return True
        return self._state.quarantine.is_free(name, content)

    def has_untried_target(
        self,
        entry: Entry,
        pool: Pool,
        now: Millis,
        excluded: Collection[str] = frozenset(),
    ) -> bool:
        """Return whether some usable target hasn't been tried for work yet."""
        unfit = entry.tried.union(name for name in excluded if name in pool.priorities)
        usable = self._restriction.list_usable(entry.work, pool, now)
        if usable is None:
            return len(unfit) < pool.usable
        return any(name not in unfit for name in usable)

    def fill(self, view: TargetView, now: Millis) -> Actions:
        """Send waiting work to a target while it has room.

        Work that may not be sent to this target is skipped and queued again.
        """
        actions: Actions = []
        skipped: list[tuple[Entry, Pool]] = []
        while view.has_room() and len(skipped) < _MAX_SKIPPED:
            found = self.find_next_queue(view)
            if found is None:
                break
            queue, pool = found
            entry = queue.peek()
            if self._state.quarantine.is_quarantined(entry.work.content, now):
                actions.append(self._refuse_quarantined(entry, pool))
            elif self._state.would_miss_deadline(entry, pool, now):
                detail = "no slot came free in time"
                actions.append(self._backlog.refuse_waiting(entry, OVERLOADED, detail))
            elif self._is_eligible(entry, pool, view, now):
                actions += self.send(entry, pool, view, now)
            else:
                pool.find_queues(entry).remove(entry)
                skipped.append((entry, pool))
        for entry, pool in skipped:
            pool.find_queues(entry).push(entry)
        return actions

    def find_next_queue(self, view: TargetView) -> tuple[FairQueue, Pool] | None:
        """Return the queue from which a target is sent work next, and its pool.

        The queues of the highest priority are ordered by the organisations' tags
        of fair queueing; among those with close tags the earliest deadline decides.
        """
        name = view.target.name
        queues = [
            (pool.priorities[name], queue.next_tag(), queue, pool)
            for pool in view.pools
            for queue in pool.list_queues(name)
        ]
        if not queues:
            return None
        top = max(priority for priority, *_ in queues)
        bound = min(tag for priority, tag, *_ in queues if priority == top) + CLOSE
        close = [item for item in queues if item[0] == top and item[1] <= bound]
        _, _, queue, pool = min(close, key=lambda i: (i[2].peek().work.deadline, i[1]))
        return queue, pool

    def send(self, entry: Entry, pool: Pool, view: TargetView, now: Millis) -> Actions:
        """Send waiting work to a target that has room."""
        work, name = entry.work, view.target.name
        actions: Actions = []
        reached = self._state.quarantine.list_charged_targets(work.content)
        if reached and name not in reached:
            # Announced before the target can crash: a router with a copy of the
            # request must not use the content's credit for another target.
            actions.append(CrashAnnouncement(work.content, name, times=0))
        pool.find_queues(entry).take(entry)
        del self._backlog.entries[work.identity]
        entry.attempts += 1
        entry.tried.add(name)
        self._state.quarantine.charge(work.content, name, now)
        if self._state.quarantine.is_suspect(work.content):
            self._state.quarantine.sent(work.content, name)
        warm = bool(work.prefixes) and (
            self._state.prefixes.matched(name, work.prefixes) == len(work.prefixes)
        )
        self._state.prefixes.add(name, work.prefixes)
        attempt = Attempt(entry, pool, view, now, warm)
        self.running[work.identity] = attempt
        pool.long_running += entry.is_long
        view.limit.change(+1, now)
        if view.named is None:
            view.meter.add(f"{work.identity}/{entry.attempts}", now)
        view.permits = max(0, view.permits - 1)
        view.refresh()
        self.on_sent(attempt, now)
        priority = pool.priorities[name]
        return [*actions, Send(work.identity, name, entry.attempts, priority)]

    def stop(self, identity: str, now: Millis, ran: bool = True) -> Attempt | None:
        """Remove the running attempt of work and free its slot.

        Parameters
        ----------
        ran
            Whether the target may have run it.

        Returns
        -------
        Attempt or None
            None if no attempt was running.
        """
        attempt = self.running.pop(identity, None)
        if attempt is None:
            return None
        attempt.pool.long_running -= attempt.entry.is_long
        attempt.view.limit.change(-1, now)
        name = attempt.view.target.name
        self._state.quarantine.record_end(attempt.entry.work.content, name, ran)
        return attempt

    def retry_skipped(self, now: Millis) -> Actions:
        """Offer free slots again to work that was skipped before."""
        actions: Actions = []
        for pool in self._state.pools:
            if not pool.waiting:
                continue
            for name in pool.open.draw(self._state.rng, DRAWN):
                actions += self.fill(self._state.views[name], now)
        return actions
