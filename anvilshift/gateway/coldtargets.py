"""Which targets are cold, and what this router may send to them.

A target says how long it is cold in its entry.  Each router that reads it first tells
the others; an ask for a permit carries it as well.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.failures import Failure
from anvilshift.core.health.coldtargets import (
    PERMIT_LIFETIME,
    ColdBounds,
    ColdNeeds,
    ColdTerm,
    SteadyView,
    find_end,
    find_permit_rate,
)
from anvilshift.core.routing import Service
from anvilshift.core.targetload import TargetInfo, TargetLoad
from anvilshift.gateway.coldmessages import TargetCold
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.limits import RateLimits
from anvilshift.gateway.outgoing import AttemptError
from anvilshift.gateway.peers import find_beat_interval

_TELLING_CHANGE: Millis = 500.0
"""Least extension of a cold time that the other routers are told of: each of them reads
the entries itself, somewhat later or earlier."""
_ENTRY_DELAY: Millis = 1 * SECOND
"""Time after which the entry of a target shows that it has become cold."""
_PERMIT_MEMORY: Millis = 2 * SECOND
_UNREACHED_FOR: Millis = 10 * SECOND
"""How long a target that accepted no connection is presumed to be cold before another
try: an ejected one is tried again within this time."""


@dataclass
class ColdTargets:
    """The cold targets as one router knows them.

    Parameters
    ----------
    bounds
        How far the rate of a cold target may be exceeded.
    find_confirmed
        Returns the instant until which all changes of entries have been applied.
    needs
        What the targets of each service need after a start that need anything.
    """

    limits: RateLimits
    clock: Clock
    journal: Journal
    bounds: ColdBounds = field(default_factory=ColdBounds)
    find_confirmed: Callable[[], Millis] = lambda: -math.inf
    needs: dict[str, ColdNeeds] = field(default_factory=dict)
    view: SteadyView = field(init=False)
    _told: dict[str, tuple[int, Millis]] = field(default_factory=dict)
    _unreached: dict[str, tuple[int, Millis]] = field(default_factory=dict)
    _permitted: dict[str, Millis] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.view = SteadyView(self.clock.now())

    # Which targets are cold

    def apply_entry(self, info: TargetInfo) -> None:
        """Apply what a target's entry says, and what was told of its start before."""
        now = self.clock.now()
        born, until = self._told.get(info.name, (-1, -math.inf))
        if born >= info.born:
            self._learn(info.name, until, "told")
        if info.cold_until <= now:
            return
        target = self.limits.loads.targets.get(info.name)
        known = target.cold.told if target and target.cold else -math.inf
        known = max(known, now)
        is_learned = self._learn(info.name, info.cold_until, "entry")
        if is_learned and info.cold_until - known > _TELLING_CHANGE:
            left = info.cold_until - now
            self.limits.peers.broadcast(TargetCold(info.name, info.born, left))

    def configure(self, services: Iterable[Service]) -> None:
        """Put a configuration in force, and apply all known entries under it."""
        self.needs = {one.name: one.cold for one in services if one.cold is not None}
        for target in list(self.limits.loads.targets.values()):
            self.apply_entry(target.info)

    def apply_message(self, message: TargetCold) -> None:
        """Apply what another router was told by a target."""
        target = self.limits.loads.targets.get(message.target)
        if target is not None and message.born < target.info.born:
            return
        until = find_end(message.left, self.clock.now())
        self._told[message.target] = message.born, until
        self._learn(message.target, until, "told")

    def apply_ask(self, name: str, left: Millis) -> None:
        """Apply what a router that asks for a permit knows of the target."""
        if left > 0.0:
            self._learn(name, find_end(left, self.clock.now()), "asked")

    def presume_cold(self, domain: str) -> None:
        """Treat the targets of a failure domain as cold that may have become so.

        It lasts for the cold time of their service, or until an entry shows otherwise
        that was read late enough after now.
        """
        for target in list(self.limits.loads.targets.values()):
            if target.info.failure_domain == domain:
                self._presume(target)

    def record_unreachable(self, target: TargetLoad) -> None:
        """Presume a target to be cold that accepted no connection.

        It may have started anew, and its entry can't be read in an outage of the store.
        """
        if target.info.service in self.needs:
            born, now = target.info.born, self.clock.now()
            self._unreached[target.info.name] = born, now
            self._presume(target)

    def record_reached(self, target: TargetLoad) -> None:
        """Record that a target accepted a connection; it may be cold from now on."""
        if self._unreached.pop(target.info.name, None) is not None:
            self._presume(target)

    def _presume(self, target: TargetLoad) -> None:
        needs, now = self.needs.get(target.info.service), self.clock.now()
        if needs is not None:
            name = target.info.name
            self._learn(name, now + needs.lasts, "presumed", presumed=now)

    def _presume_unreached(self, now: Millis) -> None:
        for name, (born, at) in list(self._unreached.items()):
            target = self.limits.loads.targets.get(name)
            is_known = target is not None and target.info.born == born
            if target is None or not is_known or now - at > _UNREACHED_FOR:
                del self._unreached[name]
            else:
                self._presume(target)

    def _learn(
        self, name: str, until: Millis, how: str, presumed: Millis | None = None
    ) -> bool:
        """Record that a target is cold; return whether that is new or takes longer."""
        target, now = self.limits.loads.targets.get(name), self.clock.now()
        needs = self.needs.get(target.info.service) if target else None
        if target is None or needs is None or until <= now:
            return False
        known = target.cold
        told = known.told if known else -math.inf
        if presumed is None:
            if known is not None and until <= told:
                return False
            told = until
        rate = find_permit_rate(needs.rate, self.bounds)
        latest = max(until, known.until) if known else until
        if presumed is None and known is not None:
            presumed = known.presumed
        target.set_cold(ColdTerm(rate, latest, presumed, told))
        if known is None or known.is_over(now):
            self._report(target, how, now)
        self.limits.hooks.change(name)
        return True

    def _report(self, target: TargetLoad, how: str, now: Millis) -> None:
        """Log that a target is cold, and tell its issuer what it was sent before."""
        self.journal.write(
            "target_cold",
            target=target.info.name,
            left=round(target.cold.until - now) if target.cold else 0,
            learned=how,
            rate=round(target.cold.rate, 3) if target.cold else 0.0,
            lately=len(target.meter.list_since(now - SECOND)),
            issuer=self.limits.find_issuer(target.info.name),
        )
        self.limits.report_sends(target)

    def _end_terms(self, now: Millis) -> None:
        confirmed = self.find_confirmed()
        for name, target in self.limits.loads.targets.items():
            term = target.cold
            if term is None:
                continue
            presumed = term.presumed
            if presumed is not None and confirmed - presumed >= _ENTRY_DELAY:
                term = replace(term, until=term.told, presumed=None)
                target.set_cold(term)
            if term.is_over(now):
                target.set_cold(None)
                self.journal.write("target_warm", target=name)
                self.limits.hooks.change(name)

    def list_gauges(self) -> dict[str, float]:
        """Return what monitoring reads of cold targets; nothing where none can be."""
        if not self.needs:
            return {}
        now, targets = self.clock.now(), self.limits.loads.targets.values()
        return {"anvilshift_cold_targets": sum(one.is_cold(now) for one in targets)}

    def tell_new_router(self, ip: str) -> None:
        """Tell a router that just started which targets are cold."""
        now = self.clock.now()
        for name, target in self.limits.loads.targets.items():
            if target.cold is not None and target.cold.told > now:
                left = target.cold.told - now
                self.limits.peers.send(TargetCold(name, target.info.born, left), ip)

    # What may be sent

    def find_left(self, target: TargetLoad) -> Millis:
        """Return the time for which a target is cold; 0 for others."""
        now = self.clock.now()
        return target.cold.until - now if target.cold and target.is_cold(now) else 0.0

    def find_rate(self, target: TargetLoad, rate: float | None) -> float | None:
        """Return the permits per second that this router may issue for a target.

        Parameters
        ----------
        rate
            The same if the target weren't cold; None for no limit.
        """
        now = self.clock.now()
        if target.cold is None or not target.is_cold(now):
            return rate
        # A router that may issue none is held by `find_opening`.
        part = self.view.find_part(now) or 1.0
        return min(math.inf if rate is None else rate, target.cold.rate * part)

    def find_opening(self, target: TargetLoad) -> Millis:
        """Return when this router may issue permits for a target."""
        now = self.clock.now()
        if target.cold is None or not target.is_cold(now):
            return -math.inf
        return self.view.find_opening(now, target.cold.until)

    def record_permit(self, run: str) -> None:
        """Record that an attempt has its permit."""
        self._permitted[run] = self.clock.now()

    def check_permit(self, target: TargetLoad, run: str) -> None:
        """Turn an attempt at a cold target back that has no permit, or had it too long.

        Raises
        ------
        AttemptError
            When the attempt may not be sent; nothing was sent yet.
        """
        now = self.clock.now()
        if not target.is_cold(now):
            return
        if now - self._permitted.get(run, -math.inf) > PERMIT_LIFETIME:
            detail = "the target is cold, and the attempt has no permit for it now"
            raise AttemptError(Failure.REJECTED, detail)

    # Periodic work

    def run_checks(self, now: Millis) -> None:
        """Update the view of the routers, and end what is over."""
        if not self.needs and not self._told:
            return
        peers = self.limits.peers
        beats = [peer.beat for peer in peers.list_present()]
        self.view.update(
            {beat.ip for beat in beats},
            peers.addresses,
            {beat.ip for beat in beats if beat.leaving},
            now,
            find_beat_interval(len(peers.addresses) + 1),
        )
        self._presume_unreached(now)
        self._end_terms(now)
        self._told = {n: one for n, one in self._told.items() if one[1] > now}
        oldest = now - _PERMIT_MEMORY
        self._permitted = {r: at for r, at in self._permitted.items() if at > oldest}
