"""Decide whom to serve, where and when: the one door to the load policies.

Events come in as method calls that carry the present instant; actions come
out.  The daemon and the load bench call only this class.  Each policy is a
module of its own, which says what it is for: admission, queue, concurrency,
placement, prefixes, ejection, retries, quarantine, durations, pools.
"""

import heapq
import itertools
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from anvilshift.core.admission import Ahead, draw_retry, is_hopeless
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.concurrency import STALE, Limit
from anvilshift.core.ejection import State, may_eject
from anvilshift.core.errors import (
    ENGINE_FAILED,
    NO_ENGINE,
    OVERLOADED,
    PAST_DEADLINE,
    QUARANTINED,
    Code,
)
from anvilshift.core.placement import DRAWN, HOLDERS, Option, choose
from anvilshift.core.pools import Bay, Pool, Pools
from anvilshift.core.prefixes import PrefixBelief
from anvilshift.core.quarantine import FORGET_AFTER, Quarantine
from anvilshift.core.queue import Entry, FairQueue
from anvilshift.core.retries import BACKOFF, RetryBudget
from anvilshift.core.work import (
    Actions,
    Announce,
    CacheEvent,
    DispatchSettings,
    Failure,
    LoadReport,
    Refuse,
    Send,
    Target,
    Work,
)

_OVERDUE = 4.0
_OVERDUE_LEAST: Millis = 250.0
"""A first token that takes so many times the expected span, and so long beyond
it, counts against its target before it comes: a hung target sends none."""
_SWEEP: Millis = 250.0
"""How often work that was passed over is looked at again; targets report about
as often."""
_PASSED_OVER = 4
"""Most requests passed over for one slot, so that an event's cost is bounded."""
_NO_TARGET_RETRY: Millis = 1 * SECOND
"""A target that restarts or is replaced takes a second at least."""
_PROBE_SLACK = 3.0
"""A request that probes a returning target has time to run elsewhere after."""


@dataclass(eq=False, slots=True)
class _Attempt:
    entry: Entry
    pool: Pool
    bay: Bay
    sent: Millis
    warm: bool
    first: Millis | None = None

    @property
    def counts(self) -> bool:
        """Tell whether it says something of its target as it is now."""
        return self.sent >= self.bay.health.since


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
        self._settings = settings
        self._rng = rng
        self._routers = settings.routers
        self._bays: dict[str, Bay] = {}
        self._pools = Pools(self._bays)
        self._entries: dict[str, tuple[Entry, Pool]] = {}
        self._running: dict[str, _Attempt] = {}
        self._prefixes = PrefixBelief()
        self._quarantine = Quarantine()
        self._retries = RetryBudget()
        self._timers: list[tuple[Millis, int, Callable[[Millis], Actions]]] = []
        self._numbers = itertools.count()
        self._swept: Millis = 0.0

    @property
    def waiting(self) -> int:
        """Return how many requests wait."""
        return len(self._entries)

    # Targets

    def configure(self, targets: Iterable[Target], now: Millis) -> Actions:
        """Take in the targets that are declared now."""
        declared = {target.name: target for target in targets}
        for name in set(self._bays) - set(declared):
            del self._bays[name]
            self._prefixes.forget(name)
        for name, target in declared.items():
            self._declare(name, target)
        waiting = [entry for entry, _ in self._entries.values()]
        self._entries.clear()
        self._pools = Pools(self._bays)
        for bay in self._bays.values():
            bay.pools = []
            bay.kind.pools = []
            bay.kind.bays = {bay.target.name: bay}
        actions: Actions = []
        for entry in waiting:
            entry.lane = None
            actions += self._enqueue(entry, now)
        return actions

    def _declare(self, name: str, target: Target) -> None:
        bay = self._bays.get(name)
        if bay is None:
            bay = Bay(target, Limit(target.slots, self._routers))
            self._bays[name] = bay
        bay.target = target
        bay.limit.set_slots(target.slots)
        self._refresh(bay, draw=True)

    def set_routers(self, routers: int) -> None:
        """Take in how many routers share the targets."""
        self._routers = routers
        for bay in self._bays.values():
            bay.limit.set_routers(routers)
            self._refresh(bay, draw=True)

    def leaving(self, target: str, now: Millis) -> Actions:
        """Take in that a target is leaving: it gets no new work."""
        bay = self._bays.get(target)
        if bay is None or bay.leaving:
            return []
        bay.leaving = True
        self._refresh(bay)
        actions: Actions = []
        for pool in bay.pools:
            pool.usable -= 1
            if not pool.usable:
                actions += self._give_up_all(pool)
        return actions

    def staying(self, target: str, now: Millis) -> Actions:
        """Take in that a target is not leaving after all."""
        bay = self._bays.get(target)
        if bay is None or not bay.leaving:
            return []
        bay.leaving = False
        for pool in bay.pools:
            pool.usable += 1
        self._refresh(bay)
        return self._fill(bay, now)

    def load_report(self, report: LoadReport, now: Millis) -> Actions:
        """Take in a target's late report of its load."""
        bay = self._bays.get(report.target)
        if bay is None:
            return []
        if not bay.limit.reported:
            self._at(now + STALE, lambda at: self._check_reports(bay, at))
        bay.limit.report(report, now)
        self._refresh(bay, draw=True)
        return self._fill(bay, now)

    def _check_reports(self, bay: Bay, now: Millis) -> Actions:
        """Stop trusting the figures of a target whose reports have stopped."""
        if not bay.limit.expire(now):
            self._at(now + STALE, lambda at: self._check_reports(bay, at))
            return []
        self._refresh(bay, draw=True)
        return self._fill(bay, now)

    def cache_event(self, event: CacheEvent, now: Millis) -> Actions:
        """Take in a change of a target's prefix cache."""
        if event.target in self._bays:
            self._prefixes.take(event)
        return []

    def crashed(self, content: str, target: str, now: Millis) -> None:
        """Take in another router's news of a crash."""
        self._quarantine.hear(content, target, now)

    # Requests

    def arrive(self, work: Work, now: Millis) -> Actions:
        """Take in a request."""
        if self._quarantine.is_quarantined(work.content, now):
            return [Refuse(work.identity, QUARANTINED, "", FORGET_AFTER)]
        return self._enqueue(Entry(work, 0.0, 0.0), now)

    def first_token(self, identity: str, now: Millis) -> Actions:
        """Take in that an answer has begun."""
        attempt = self._running.get(identity)
        if attempt is None or attempt.first is not None:
            return []
        attempt.first = now
        work, span = attempt.entry.work, now - attempt.sent
        durations = attempt.pool.kind.durations
        if attempt.counts:
            attempt.bay.health.add_span(span, durations.first(work.request_class))
        durations.add_first(work, span, now, attempt.warm)
        return self._check_health(attempt.bay, now)

    def done(self, identity: str, tokens: int, now: Millis) -> Actions:
        """Take in that an answer is whole."""
        attempt = self._stop(identity, now)
        if attempt is None:
            return []
        work, bay = attempt.entry.work, attempt.bay
        durations = attempt.pool.kind.durations
        if attempt.first is None:
            span = now - attempt.sent
            if attempt.counts:
                bay.health.add_span(span, durations.first(work.request_class))
            durations.add_first(work, span, now)
        else:
            durations.add_whole(work, tokens, now - attempt.first, now)
        if attempt.counts:
            bay.health.add_answer()
        self._retries.earn()
        self._quarantine.clear(work.content)
        self._refresh(bay)
        return [*self._check_health(bay, now), *self._fill(bay, now)]

    def failed(self, identity: str, failure: Failure, now: Millis) -> Actions:
        """Take in that an attempt failed; the work is sent again or refused."""
        attempt = self._running.get(identity)
        if attempt is None:
            return []
        entry, bay, content = attempt.entry, attempt.bay, attempt.entry.work.content
        name = bay.target.name
        actions: Actions = []
        begun = attempt.first is not None
        if self._quarantine.failed(content, name, failure, attempt.sent, now, begun):
            actions.append(Announce(content, name))
        self._stop(identity, now)
        if attempt.counts:
            bay.health.add_failure(content or identity)
        self._refresh(bay)
        actions += self._check_health(bay, now)
        actions += self._retry(entry, attempt.pool, failure, now)
        return [*actions, *self._fill(bay, now)]

    def cancel(self, identity: str, now: Millis) -> Actions:
        """Take in that the caller left, or that the request is given up."""
        found = self._entries.pop(identity, None)
        if found is not None:
            entry, pool = found
            pool.queue_of(entry).remove(entry)
        attempt = self._stop(identity, now)
        if attempt is None:
            return []
        self._refresh(attempt.bay)
        return self._fill(attempt.bay, now)

    # Time

    def tick(self, now: Millis) -> Actions:
        """Do what is due."""
        actions: Actions = []
        while self._timers and self._timers[0][0] <= now:
            _, _, act = heapq.heappop(self._timers)
            actions += act(now)
        if now >= self._swept + _SWEEP:
            self._swept = now
            actions += self._sweep(now)
        return actions

    def next_tick(self, now: Millis) -> Millis | None:
        """Return the instant at which `tick` must be called, if any."""
        due = self._timers[0][0] if self._timers else None
        if not self._entries:
            return due
        sweep = max(now, self._swept + _SWEEP)
        return sweep if due is None else min(due, sweep)

    def _at(self, due: Millis, act: Callable[[Millis], Actions]) -> None:
        heapq.heappush(self._timers, (due, next(self._numbers), act))

    def _sweep(self, now: Millis) -> Actions:
        """Look again at work that was passed over while targets had room."""
        actions: Actions = []
        for pool in self._pools:
            if not pool.waiting:
                continue
            for name in pool.open.draw(self._rng, DRAWN):
                actions += self._fill(self._bays[name], now)
        return actions

    # Queueing

    def _enqueue(self, entry: Entry, now: Millis) -> Actions:
        """Queue new work and place it if there is room."""
        work = entry.work
        pool = self._pools.find(work.candidates)
        if pool is None or not pool.usable:
            return [self._refuse(entry, NO_ENGINE, "", _NO_TARGET_RETRY)]
        durations = pool.kind.durations
        entry.service = durations.service(work)
        entry.cost = work.prompt_tokens + durations.tokens(work)
        pool.classify(entry)
        refusal = self._judge(entry, pool, now)
        if refusal is not None:
            return [refusal]
        actions: Actions = self._wait(entry, pool, now)
        if len(self._entries) > self._settings.queue_length:
            actions.append(self._drop())
        return [*actions, *self._offer(entry, pool, now)]

    def _judge(self, entry: Entry, pool: Pool, now: Millis) -> Refuse | None:
        """Refuse work that has no hope; None lets it in."""
        if entry.work.deadline <= now:
            return self._refuse(entry, PAST_DEADLINE, "", 0.0)
        if not pool.kind.durations.is_fresh(now):
            return None
        wait = 0.0 if len(pool.open) else self._predict_wait(entry, pool)
        service = pool.kind.durations.safe_service(entry.work)
        if not is_hopeless(entry.work.deadline, now, wait, service):
            return None
        excess = wait + service - (entry.work.deadline - now)
        detail = f"expected to wait {wait:.0f} ms and run {service:.0f} ms"
        return self._refuse(entry, OVERLOADED, detail, excess)

    def _predict_wait(self, entry: Entry, pool: Pool) -> Millis:
        ahead = [p for p in pool.kind.pools if p.top >= pool.top]
        organisation = entry.work.organisation
        return Ahead(
            backlog=sum(p.backlog for p in ahead),
            own=sum(
                queue.backlog_of(organisation)
                for p in ahead
                for queue in (p.short, p.long)
            ),
            weight=entry.work.weight,
            weights=sum(p.short.weight + p.long.weight for p in ahead),
            slots=pool.slots,
        ).wait()

    def _wait(self, entry: Entry, pool: Pool, now: Millis) -> Actions:
        identity = entry.work.identity
        self._entries[identity] = entry, pool
        pool.queue_of(entry).push(entry)
        safe = pool.kind.durations.safe_service(entry.work)
        latest = entry.work.deadline - safe
        if not pool.kind.durations.is_fresh(now):
            latest = entry.work.deadline
        self._at(max(now, latest), lambda at: self._expire(entry, at))
        return []

    def _expire(self, entry: Entry, now: Millis) -> Actions:
        """Refuse work that has waited until it became hopeless."""
        found = self._entries.get(entry.work.identity)
        if found is None or found[0] is not entry or not entry.waits:
            return []
        if entry.work.deadline <= now:
            return [self._give_up(entry, PAST_DEADLINE)]
        return [self._give_up(entry, OVERLOADED, "no slot came free in time")]

    def _drop(self) -> Refuse:
        """Make room in a full queue: the least valuable work goes."""
        queues = [
            (pool.top, -queue.backlog, index, queue)
            for index, pool in enumerate(self._pools)
            for queue in (pool.short, pool.long)
            if queue.count
        ]
        victim = min(queues, key=lambda item: item[:3])[3].least_valuable()
        return self._give_up(victim, OVERLOADED, "queue is full")

    def _give_up(self, entry: Entry, code: Code, detail: str = "") -> Refuse:
        _, pool = self._entries.pop(entry.work.identity)
        pool.queue_of(entry).remove(entry)
        wait = self._predict_wait(entry, pool)
        return self._refuse(entry, code, detail, wait)

    def _give_up_all(self, pool: Pool) -> Actions:
        entries = [*pool.short.drain(), *pool.long.drain()]
        for entry in entries:
            del self._entries[entry.work.identity]
        return [self._refuse(e, NO_ENGINE, "", _NO_TARGET_RETRY) for e in entries]

    def _refuse(self, entry: Entry, code: Code, detail: str, excess: Millis) -> Refuse:
        retry = draw_retry(excess, self._rng)
        return Refuse(entry.work.identity, code, detail, retry)

    # Placing

    def _offer(self, entry: Entry, pool: Pool, now: Millis) -> Actions:
        """Send work at once when a target has room."""
        if not entry.waits or not len(pool.open):
            return []
        if entry.is_long and not pool.may_run_long():
            return []
        names = pool.open.draw(self._rng, DRAWN)
        prefixes = entry.work.prefixes
        holders = self._prefixes.holders(prefixes, self._rng, HOLDERS)
        holders += self._quarantine.list_confined(entry.work.content)
        names += [name for name in holders if name in pool.open]
        bays = [self._bays[name] for name in dict.fromkeys(names)]
        options = [
            self._weigh(entry, bay) for bay in bays if self._suits(entry, bay, now)
        ]
        durations = pool.kind.durations
        saving = durations.saving(entry.work.request_class)
        option = choose(options, entry.service, saving, self._rng)
        if option is None:
            return []
        return [self._send(entry, pool, self._bays[option.name], now)]

    def _weigh(self, entry: Entry, bay: Bay) -> Option:
        name, prefixes = bay.target.name, entry.work.prefixes
        matched = self._prefixes.matched(name, prefixes)
        return Option(
            name,
            bay.limit.occupancy(),
            bay.health.ratio,
            matched / len(prefixes) if prefixes else 0.0,
            bay.target.failure_domain != self._settings.failure_domain,
        )

    def _suits(self, entry: Entry, bay: Bay, now: Millis) -> bool:
        """Tell whether work may go to a target that has room."""
        work, name = entry.work, bay.target.name
        pool = self._entries[work.identity][1]
        confined = self._quarantine.list_confined(work.content)
        if not confined and name in entry.tried and len(entry.tried) < pool.usable:
            return False
        if bay.health.state is State.PROBING:
            slack = work.deadline - now
            if not work.idempotent or slack < _PROBE_SLACK * entry.service:
                return False
        content = work.content
        if not self._quarantine.is_suspect(content):
            return True
        return self._quarantine.is_free(name, content)

    def _fill(self, bay: Bay, now: Millis) -> Actions:
        """Send waiting work to a target while it has room."""
        actions: Actions = []
        aside: list[tuple[Entry, FairQueue]] = []
        while bay.has_room() and len(aside) < _PASSED_OVER:
            found = self._next_for(bay)
            if found is None:
                break
            queue, pool = found
            entry = queue.peek()
            if self._has_no_hope(entry, pool, now):
                detail = "no slot came free in time"
                actions.append(self._give_up(entry, OVERLOADED, detail))
            elif self._suits(entry, bay, now):
                actions.append(self._send(entry, pool, bay, now))
            else:
                queue.remove(entry)
                aside.append((entry, queue))
        for entry, queue in aside:
            queue.push(entry)
        return actions

    def _next_for(self, bay: Bay) -> tuple[FairQueue, Pool] | None:
        """Return the queue that a target serves next: priority, then tag."""
        name = bay.target.name
        found = [
            (-pool.priorities[name], queue.next_tag(), index, queue, pool)
            for index, pool in enumerate(bay.pools)
            for queue in pool.queues()
        ]
        if not found:
            return None
        best = min(found, key=lambda item: item[:3])
        return best[3], best[4]

    def _has_no_hope(self, entry: Entry, pool: Pool, now: Millis) -> bool:
        durations = pool.kind.durations
        if not durations.is_fresh(now):
            return False
        service = durations.safe_service(entry.work)
        return is_hopeless(entry.work.deadline, now, 0.0, service)

    def _send(self, entry: Entry, pool: Pool, bay: Bay, now: Millis) -> Send:
        work, name = entry.work, bay.target.name
        pool.queue_of(entry).take(entry)
        del self._entries[work.identity]
        entry.attempts += 1
        entry.tried.add(name)
        if self._quarantine.is_suspect(work.content):
            self._quarantine.sent(work.content, name)
        warm = bool(work.prefixes) and (
            self._prefixes.matched(name, work.prefixes) == len(work.prefixes)
        )
        self._prefixes.add(name, work.prefixes)
        attempt = _Attempt(entry, pool, bay, now, warm)
        self._running[work.identity] = attempt
        pool.long_running += entry.is_long
        bay.limit.change(+1, now)
        bay.refresh()
        expected = pool.kind.durations.first(work.request_class)
        self._at(
            now + _OVERDUE * expected + _OVERDUE_LEAST,
            lambda at: self._check_overdue(attempt, at),
        )
        return Send(work.identity, name, entry.attempts, pool.priorities[name])

    # Outcomes

    def _stop(self, identity: str, now: Millis) -> _Attempt | None:
        attempt = self._running.pop(identity, None)
        if attempt is None:
            return None
        attempt.pool.long_running -= attempt.entry.is_long
        attempt.bay.limit.change(-1, now)
        name = attempt.bay.target.name
        self._quarantine.ended(attempt.entry.work.content, name)
        return attempt

    def _retry(
        self, entry: Entry, pool: Pool, failure: Failure, now: Millis
    ) -> Actions:
        """Send failed work elsewhere, later, or not again."""
        work = entry.work
        never_ran = failure in (Failure.NOT_SENT, Failure.REJECTED)
        code = NO_ENGINE if never_ran else ENGINE_FAILED
        refusal = self._refuse(entry, code, failure.value, _NO_TARGET_RETRY)
        if self._quarantine.is_quarantined(work.content, now):
            return [Refuse(work.identity, QUARANTINED, "", FORGET_AFTER)]
        if not (never_ran or work.idempotent):
            return [refusal]
        if entry.attempts >= self._settings.attempts:
            return [refusal]
        if not pool.usable or self._has_no_hope(entry, pool, now):
            return [refusal]
        if not self._retries.take(failure):
            return [refusal]
        confined = self._quarantine.list_confined(work.content)
        if not confined and len(entry.tried) < pool.usable:
            return [*self._wait(entry, pool, now), *self._offer(entry, pool, now)]
        return self._back_off(entry, pool, now)

    def _back_off(self, entry: Entry, pool: Pool, now: Millis) -> Actions:
        """Send work again to targets that failed it, after a while."""
        self._entries[entry.work.identity] = entry, pool
        due = now + BACKOFF.draw(entry.attempts, self._rng)

        def again(at: Millis) -> Actions:
            found = self._entries.get(entry.work.identity)
            if found is None or found[0] is not entry or entry.waits:
                return []
            pool = self._pools.find(entry.work.candidates)
            if pool is None or not pool.usable:
                del self._entries[entry.work.identity]
                return [self._refuse(entry, NO_ENGINE, "", _NO_TARGET_RETRY)]
            return [*self._wait(entry, pool, at), *self._offer(entry, pool, at)]

        self._at(due, again)
        return []

    # Health of targets

    def _check_overdue(self, attempt: _Attempt, now: Millis) -> Actions:
        """Count a first token that is long overdue against its target."""
        running = self._running.get(attempt.entry.work.identity)
        if running is not attempt or attempt.first is not None:
            return []
        kind = attempt.entry.work.request_class
        expected = attempt.pool.kind.durations.first(kind)
        if attempt.counts:
            attempt.bay.health.add_span(now - attempt.sent, expected)
        return self._check_health(attempt.bay, now)

    def _check_health(self, bay: Bay, now: Millis) -> Actions:
        """Eject a target that has turned bad, if enough others are left."""
        health = bay.health
        if health.state is State.EJECTED or not health.is_bad():
            return []
        kind = bay.kind
        returning = health.state is State.PROBING
        if not returning and not may_eject(kind.count_out(), len(kind.bays)):
            return []
        health.eject(now, self._rng)
        self._refresh(bay)
        self._at(health.until, lambda at: self._probe(bay, at))
        return []

    def _probe(self, bay: Bay, now: Millis) -> Actions:
        """Let an ejected target have a request again."""
        if self._bays.get(bay.target.name) is not bay:
            return []
        bay.health.probe(now)
        self._refresh(bay, draw=True)
        return self._fill(bay, now)

    def _refresh(self, bay: Bay, draw: bool = False) -> None:
        if draw:
            bay.whole = bay.limit.draw_whole(self._rng)
        bay.refresh()
