"""The queue of waiting work: admission, expiry and dropping."""

from anvilshift.core.admission.deadlines import QueueLoad, misses_deadline
from anvilshift.core.clock import Millis
from anvilshift.core.errors import NO_ENGINE, OVERLOADED, PAST_DEADLINE, Code
from anvilshift.core.pools import Pool
from anvilshift.core.queue import Entry
from anvilshift.core.restriction import TargetRestriction
from anvilshift.core.state import NO_TARGET_RETRY, DispatchState
from anvilshift.core.work import Actions, Refuse


class Backlog:
    """The work that waits for a target.

    Attributes
    ----------
    entries
        Waiting work with its pool, by the identity of the request.  It includes
        work that is in no queue while the other routers are asked about it.
    """

    def __init__(self, state: DispatchState, restriction: TargetRestriction) -> None:
        self._restriction = restriction
        self.entries: dict[str, tuple[Entry, Pool]] = {}
        self._state = state

    def admit(self, entry: Entry, now: Millis) -> Actions:
        """Queue work or refuse it; if the queue is full, drop the least valuable."""
        work = entry.work
        pool = self._state.pools.find(work.candidates)
        if pool is None or not pool.usable:
            return [self._state.refuse(entry, NO_ENGINE, "", NO_TARGET_RETRY)]
        durations = pool.kind.durations
        entry.service = durations.service(work)
        entry.cost = work.prompt_tokens + durations.tokens(work)
        pool.classify(entry)
        refusal = self._check_deadline(entry, pool, now)
        if refusal is not None:
            return [refusal]
        self.wait(entry, pool, now)
        if len(self.entries) > self._state.settings.queue_length:
            return [self._drop_least_valuable()]
        return []

    def _check_deadline(self, entry: Entry, pool: Pool, now: Millis) -> Refuse | None:
        """Return a refusal if the answer can't be in time; None to admit the work.

        While no recent run times are known, only work that is already past its
        deadline is refused.
        """
        if entry.work.deadline <= now:
            return self._state.refuse(entry, PAST_DEADLINE, "", 0.0)
        if not pool.kind.durations.is_fresh(now):
            return None
        wait = 0.0 if len(pool.open) else self._predict_wait(entry, pool)
        service = pool.kind.durations.service_upper_bound(entry.work)
        due = self._state.due(entry.work)
        if not misses_deadline(due, now, wait, service):
            return None
        excess = wait + service - (due - now)
        detail = f"expected to wait {wait:.0f} ms and run {service:.0f} ms"
        return self._state.refuse(entry, OVERLOADED, detail, excess)

    def _predict_wait(self, entry: Entry, pool: Pool) -> Millis:
        ahead = [p for p in pool.kind.pools if p.top >= pool.top]
        organisation = entry.work.organisation
        return QueueLoad(
            backlog=sum(p.backlog for p in ahead),
            own_backlog=sum(
                queues.find_backlog(organisation)
                for p in ahead
                for queues in (p.short, p.long)
            ),
            weight=entry.work.weight,
            total_weight=sum(p.short.weight + p.long.weight for p in ahead),
            slots=pool.slots,
        ).wait()

    def wait(self, entry: Entry, pool: Pool, now: Millis) -> Actions:
        """Queue work until a target has room or it can't be answered in time."""
        identity = entry.work.identity
        self.entries[identity] = entry, pool
        entry.allowed = self._restriction.list_allowed(entry.work, pool, now)
        pool.find_queues(entry).push(entry)
        safe = pool.kind.durations.service_upper_bound(entry.work)
        latest = self._state.due(entry.work) - safe
        if not pool.kind.durations.is_fresh(now):
            latest = entry.work.deadline
        self._state.timers.schedule(
            max(now, latest), lambda at: self._expire(entry, at)
        )
        return []

    def _expire(self, entry: Entry, now: Millis) -> Actions:
        """Refuse work that has waited too long to be answered in time."""
        found = self.entries.get(entry.work.identity)
        if found is None or found[0] is not entry or not entry.waits:
            return []
        if entry.work.deadline <= now:
            return [self.refuse_waiting(entry, PAST_DEADLINE)]
        return [self.refuse_waiting(entry, OVERLOADED, "no slot came free in time")]

    def _drop_least_valuable(self) -> Refuse:
        """Drop the least valuable work of the lowest priority from a full queue."""
        queues = [
            (pool.top, -queue.backlog, index, queue)
            for index, pool in enumerate(self._state.pools)
            for queue in (pool.short, pool.long)
            if queue.count
        ]
        dropped = min(queues, key=lambda item: item[:3])[3].find_least_valuable()
        return self.refuse_waiting(dropped, OVERLOADED, "queue is full")

    def refuse_waiting(self, entry: Entry, code: Code, detail: str = "") -> Refuse:
        """Remove waiting work from its queue and refuse it."""
        _, pool = self.entries.pop(entry.work.identity)
        pool.find_queues(entry).remove(entry)
        wait = self._predict_wait(entry, pool)
        return self._state.refuse(entry, code, detail, wait)

    def refuse_stuck(self, entry: Entry) -> Refuse:
        """Refuse work whose allowed targets are all out of use."""
        detail = "the targets that it may reach are out of use"
        return self._state.refuse(entry, NO_ENGINE, detail, NO_TARGET_RETRY)

    def refuse_all(self, pool: Pool) -> Actions:
        """Refuse all waiting work of a pool that has no usable target left."""
        entries = [*pool.short.drain(), *pool.long.drain()]
        for entry in entries:
            del self.entries[entry.work.identity]
        return [self._state.refuse(e, NO_ENGINE, "", NO_TARGET_RETRY) for e in entries]
