"""The load and the cache contents of each target, shared among routers.

Load pattern: many routers send to the same engines concurrently, and the load that
engines report is some hundred milliseconds old.  If each router knew only its own
requests, all of them would pick the engine that was idle in the last report.

Every router notifies the others of each request that it sends and of its first
event and end, so that each has an almost complete view within a millisecond or
two; in a large fleet it notifies those that send most requests to the same engines.
Notifications may be lost; a run without an end is removed after the longest time
that a run can take.
"""

from collections import OrderedDict
from collections.abc import Callable, Iterable

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.placement.domaindrains import DomainDrains
from anvilshift.core.placement.learnedspeeds import ServiceSpeeds, TargetSpeeds
from anvilshift.core.placement.targetmemory import (
    MemoryNeed,
    RouterCounts,
    SentLately,
    count_tokens,
)
from anvilshift.core.prefill import prefill_time
from anvilshift.core.targetload import Prompt, RunLoad, TargetInfo, TargetLoad

LONGEST_RUN: Millis = 20 * SECOND
"""Age at which a run without a notified end is removed; callers wait at most 15 s."""
_MAX_REMOVED = 1_000
"""Removed targets whose announcements are kept in case their entries come back."""
_NEWS_DELAY: Millis = 500.0
"""Time after a target's end by which routers have told each other what ran there."""
_LOST_RETENTION: Millis = 120 * SECOND
"""Time that a lost target is kept: as long as a content stays blamed for a crash."""


class LoadMap:
    """The load of every target, by target name and by service.

    Parameters
    ----------
    drains
        The failure domains to whose targets nothing may be sent.

    Attributes
    ----------
    lately
        What this router has sent within a message's way.
    routers
        The other routers, which send to the same targets.

    Examples
    --------
    >>> loads = LoadMap()
    >>> loads.declare(TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8))
    >>> prompt = Prompt((("a", 640), ("b", 2)), 642, 50)
    >>> loads.send("e1", "run-1", prompt, cached=0, now=0.0, capacity=10_000)
    >>> round(loads.targets["e1"].backlog(now=1.0)), len(loads.targets["e1"].parts)
    (10, 2)
    >>> loads.begin("e1", "run-1", now=12.0)
    >>> loads.targets["e1"].backlog(now=12.0)
    0.0
    >>> loads.end("e1", "run-1")
    """

    def __init__(self, drains: DomainDrains | None = None) -> None:
        self.drains = drains or DomainDrains()
        self.targets: dict[str, TargetLoad] = {}
        self.learned_speeds: dict[str, ServiceSpeeds] = {}
        self.lately = SentLately()
        self.routers = RouterCounts()
        self._by_service: dict[str, list[TargetLoad]] = {}
        self._lost: dict[str, tuple[TargetInfo, Millis]] = {}
        self._removed: OrderedDict[str, TargetLoad] = OrderedDict()

    def declare(self, info: TargetInfo) -> None:
        """Add a target or update its registration.

        A new start under the same name begins without load and cache contents.
        """
        known = self.targets.get(info.name)
        self._lost.pop(info.name, None)
        if known is None or info.is_other_start(known.info):
            speeds = self.learned_speeds.setdefault(info.service, ServiceSpeeds())
            target = TargetLoad(info, learned_speeds=TargetSpeeds(speeds))
            self.targets[info.name] = self._recall_needs(target)
        else:
            known.info = info
            if known.farewell:
                known.mark_leaving()
        self._group_by_service()

    def _recall_needs(self, target: TargetLoad) -> TargetLoad:
        """Return a target with what it announced before its entry was lost."""
        known = self._removed.pop(target.info.name, None)
        if known is not None and not target.info.is_other_start(known.info):
            target.limit, target.meter = known.limit, known.meter
            target.paused_until = known.paused_until
            target.cold = known.cold
            target.brittle = known.brittle
            target.is_start_doubted = known.is_start_doubted
            if known.farewell:
                target.mark_leaving()
        return target

    def remove(self, name: str, now: Millis) -> None:
        """Remove a target.

        One that hasn't announced that it is leaving stays listed as lost for a while.
        """
        target = self.targets.pop(name, None)
        if target is None:
            return
        self._removed[name] = target
        if len(self._removed) > _MAX_REMOVED:
            self._removed.popitem(last=False)
        self._lost = {n: (i, at) for n, (i, at) in self._lost.items() if now < at}
        if not target.info.leaving:
            self._lost[name] = target.info, now + _LOST_RETENTION
        self._group_by_service()

    def list_recent(self, service: str, now: Millis) -> list[TargetInfo]:
        """Return the present and the recently lost targets of a service.

        If a crashed target were left out, the content that crashed it would be
        assigned another target in its place.  Those of drained failure domains are
        left out: no content goes there, and it needs other targets.
        """
        present = [
            t.info for t in self.list_service_targets(service) if not t.info.leaving
        ]
        lost = [
            info
            for info, until in self._lost.values()
            if now < until and info.service == service
        ]
        recent = [*lost, *present]
        if self.drains.is_clear:
            return recent
        return [i for i in recent if self.drains.may_send(i.failure_domain)]

    def list_home_candidates(
        self, service: str, now: Millis, may_hide: Callable[[Millis], bool]
    ) -> list[TargetInfo]:
        """Return the targets among which the homes of a family of prompts are chosen.

        A target that has ended is replaced once all routers know which requests were
        there; otherwise its family would be refused although no request of it did any
        harm.

        Parameters
        ----------
        may_hide
            Tells whether some router may have seen a target end at a time and told
            nobody of it.
        """
        ended = {
            target.info.name: target.ended_at
            for target in self.list_service_targets(service)
            if target.ended_at is not None
        }
        for name, (_, until) in self._lost.items():
            ended.setdefault(name, until - _LOST_RETENTION)
        replaced = {
            name
            for name, at in ended.items()
            if now - at >= _NEWS_DELAY and not may_hide(at)
        }
        recent = self.list_recent(service, now)
        if not replaced:
            return recent
        return [info for info in recent if info.name not in replaced]

    def mark_ended(self, name: str, now: Millis) -> None:
        """Record that a target has ended, whatever its entry says."""
        target = self.targets.get(name)
        if target is not None and target.ended_at is None:
            target.ended_at = now

    def _group_by_service(self) -> None:
        self._by_service = {}
        for target in self.targets.values():
            self._by_service.setdefault(target.info.service, []).append(target)

    def list_service_targets(self, service: str) -> list[TargetLoad]:
        """Return the targets of a service."""
        return self._by_service.get(service, [])

    def uses_learned_speeds(self, service: str) -> bool:
        """Return whether targets of a service tell how slow they are."""
        speeds = self.learned_speeds.get(service)
        return speeds is not None and speeds.are_used

    def find_need(
        self, service: str, prompt: Prompt, capacity: int, now: Millis
    ) -> MemoryNeed:
        """Return what a prompt needs of the memory of a service's targets."""
        sent = self.lately.count(service, now)
        targets = len(self.list_service_targets(service))
        return MemoryNeed.estimate(prompt, capacity, sent, targets, self.routers)

    def list_drained(self, service: str) -> set[str]:
        """Return the targets of a service whose failure domains are drained."""
        if self.drains.is_clear:
            return set()
        return {
            target.info.name
            for target in self.list_service_targets(service)
            if not self.drains.may_send(target.info.failure_domain)
        }

    def is_drained(self, service: str) -> bool:
        """Return whether a service has targets, all of them in drained domains."""
        if self.drains.is_clear:
            return False
        present = {
            target.info.name
            for target in self.list_service_targets(service)
            if not target.info.leaving
        }
        return bool(present) and present <= self.list_drained(service)

    def send(
        self,
        name: str,
        run: str,
        prompt: Prompt,
        cached: int,
        now: Millis,
        capacity: int,
        disturbing: bool = False,
        is_news: bool = False,
    ) -> None:
        """Add a run that was sent to a target.

        Parameters
        ----------
        disturbing
            Whether its prefill makes concurrent streams late.
        is_news
            Whether another router sent it, somewhat earlier.
        """
        target = self.targets.get(name)
        if target is None:
            return
        if run in target.runs:
            self.end(name, run)
        target.meter.add(run, now)
        if is_news and target.report is not None:
            target.report.record_news(now)
        work = prefill_time(prompt.tokens - cached, cached) if prompt.tokens else 0.0
        tokens = prompt.tokens - cached + prompt.most_answer
        held = count_tokens(prompt)
        if held and not is_news:
            self.lately.add(target.info.service, held, now)
        target.runs[run] = RunLoad(work, tokens, now, held=held)
        target.pending += work
        target.run_tokens += tokens
        target.held_tokens += held
        target.news_tokens += held
        target.remember(prompt.parts, capacity)
        if disturbing:
            target.last_disturbed = now

    def hold(self, name: str, parts: Iterable[tuple[str, int]], capacity: int) -> None:
        """Record that a target has parts of prompts in its cache."""
        target = self.targets.get(name)
        if target is not None:
            target.remember(parts, capacity)

    def begin(self, name: str, run: str, now: Millis) -> None:
        """Record the first event of a run: its prefill is no longer pending."""
        target = self.targets.get(name)
        entry = target.runs.get(run) if target else None
        if target is None or entry is None or entry.begun:
            return
        entry.begun = True
        target.ended_at = None
        target.pending -= entry.work
        target.last_begun = now
        target.lived_at = max(target.lived_at, entry.since)
        self._reset_rounding(target)

    def end(self, name: str, run: str) -> None:
        """Remove a run that ended, with or without an answer."""
        target = self.targets.get(name)
        entry = target.runs.pop(run, None) if target else None
        if target is None or entry is None:
            return
        target.run_tokens -= entry.tokens
        target.held_tokens -= entry.held
        if not entry.begun:
            target.pending -= entry.work
            self._reset_rounding(target)

    def _reset_rounding(self, target: TargetLoad) -> None:
        # Rounding errors must not leave pending time where no run waits.
        if all(run.begun for run in target.runs.values()):
            target.pending = 0.0

    def expire(self, now: Millis) -> None:
        """Remove runs that are older than the longest run: their end was lost."""
        for name, target in self.targets.items():
            # The runs are in the order in which they were sent.
            while target.runs:
                run, oldest = next(iter(target.runs.items()))
                if now - oldest.since <= LONGEST_RUN:
                    break
                self.end(name, run)

    def remove_runs(self, prefix: str) -> None:
        """Remove the runs of a router that is gone, by the prefix of their ids."""
        for name, target in self.targets.items():
            for run in [run for run in target.runs if run.startswith(prefix)]:
                self.end(name, run)
