"""Decide after a failed attempt whether, when and where work is sent again."""

from anvilshift.core.backlog import Backlog
from anvilshift.core.clock import Millis
from anvilshift.core.errors import ENGINE_FAILED, NO_ENGINE
from anvilshift.core.failures import NOT_EXECUTED, Failure
from anvilshift.core.pools import Pool
from anvilshift.core.queue import Entry
from anvilshift.core.relocation import Relocation
from anvilshift.core.restriction import TargetRestriction
from anvilshift.core.retries import BACKOFF
from anvilshift.core.sending import Sender
from anvilshift.core.state import NO_TARGET_RETRY, DispatchState
from anvilshift.core.work import Actions

CRASH_REPORT_DELAY: Millis = 50.0
"""Delay between a crash of a target and the next attempt of work that ran there.  By
then other routers that lost a target to the same content have reported it."""


class Retrier:
    """Retries, delays or refuses work whose attempt failed."""

    def __init__(
        self,
        state: DispatchState,
        backlog: Backlog,
        sender: Sender,
        restriction: TargetRestriction,
        relocation: Relocation,
    ) -> None:
        self._state = state
        self._backlog = backlog
        self._sender = sender
        self._restriction = restriction
        self._relocation = relocation

    def retry(self, entry: Entry, failure: Failure, now: Millis) -> Actions:
        """Return the actions for work whose attempt has just failed."""
        work = entry.work
        pool = self._state.pools.find(work.candidates)
        never_ran = failure in NOT_EXECUTED
        code = NO_ENGINE if never_ran else ENGINE_FAILED
        refusal = self._state.refuse(entry, code, failure.value, NO_TARGET_RETRY)
        if self._state.quarantine.is_quarantined(work.content, now):
            return [self._state.refuse_quarantined(work)]
        if not (never_ran or work.idempotent):
            return [refusal]
        if entry.attempts >= self._state.settings.attempts:
            return [refusal]
        if pool is None or not pool.usable:
            return [refusal]
        if self._restriction.has_no_usable_target(work, pool, now):
            return self._relocation.begin(entry, pool, now) if never_ran else [refusal]
        if self._state.would_miss_deadline(entry, pool, now):
            return [refusal]
        if not self._state.take_retry(pool, failure, now):
            return [refusal]
        confined = self._state.quarantine.list_only_targets(work.content)
        if confined or not self._sender.has_untried_target(entry, pool, now):
            pause = BACKOFF.draw(entry.attempts, self._state.rng)
            return self._back_off(entry, pool, now, pause)
        reached = self._state.quarantine.list_charged_targets(work.content)
        if reached and not self._state.is_single_router:
            return self._back_off(entry, pool, now, CRASH_REPORT_DELAY)
        return self.requeue(entry, now)

    def requeue(self, entry: Entry, now: Millis) -> Actions:
        """Queue and offer work again, or refuse it if no target is usable."""
        pool = self._state.pools.find(entry.work.candidates)
        if pool is None or not pool.usable:
            return [self._state.refuse(entry, NO_ENGINE, "", NO_TARGET_RETRY)]
        return [
            *self._backlog.wait(entry, pool, now),
            *self._sender.offer(entry, pool, now),
        ]

    def _back_off(
        self, entry: Entry, pool: Pool, now: Millis, pause: Millis
    ) -> Actions:
        """Schedule work to be sent again after a pause."""
        self._backlog.entries[entry.work.identity] = entry, pool
        self._state.timers.schedule(now + pause, lambda at: self._end_pause(entry, at))
        return []

    def _end_pause(self, entry: Entry, now: Millis) -> Actions:
        identity, work = entry.work.identity, entry.work
        found = self._backlog.entries.get(identity)
        if found is None or found[0] is not entry or entry.waits:
            return []
        del self._backlog.entries[identity]
        pool = self._state.pools.find(work.candidates)
        if pool is not None and self._state.quarantine.is_quarantined(
            work.content, now
        ):
            return [self._state.refuse_quarantined(work)]
        if pool is not None and self._restriction.has_no_usable_target(work, pool, now):
            return [self._backlog.refuse_stuck(entry)]
        return self.requeue(entry, now)
