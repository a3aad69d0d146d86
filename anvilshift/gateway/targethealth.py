"""Eject the targets that fail, by the failures at this router and at the others."""

import math
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.ejection import HealthState, may_eject
from anvilshift.core.failurereports import FailureReport, FailureReports
from anvilshift.core.failures import Failure
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.pauses import SilenceSign
from anvilshift.core.targetload import TargetLoad
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import Failed
from anvilshift.gateway.peers import Peers

_AVOIDED_FOR: Millis = 2 * SECOND
"""How long a suspect target is avoided that may not be ejected, because half of its
service is out of use already: as long as a first ejection."""
_AVOIDED_SILENT: Millis = 1 * SECOND
"""How long a target is avoided that was silent: about as long as it may pause."""


@dataclass
class TargetHealth:
    """Record failed attempts, tell the other routers of them, and eject targets.

    Parameters
    ----------
    router, domain
        This router and its failure domain.
    on_unreachable
        Called with a target that accepted no connection.
    on_return
        Called with a target whose ejection has ended.
    on_failure
        Called with the name of a target at which an attempt of any router failed.
    """

    router: str
    domain: str
    loads: LoadMap
    peers: Peers
    clock: Clock
    journal: Journal
    rng: random.Random
    reports: FailureReports = field(default_factory=FailureReports)
    on_unreachable: Callable[[TargetLoad], None] = lambda target: None
    on_return: Callable[[TargetLoad], None] = lambda target: None
    on_failure: Callable[[str], None] = lambda name: None

    def record_failure(
        self,
        target: TargetLoad,
        failure: Failure,
        content: str,
        answered: bool,
        hung: bool = False,
        heard: Millis = -math.inf,
    ) -> None:
        """Record a failed attempt of this router, unless the target rejected it.

        Parameters
        ----------
        hung
            Whether a connection was neither opened nor refused: a sound target may be
            silent for a second.
        heard
            When the target last sent anything to this router.
        """
        if failure is Failure.REJECTED:
            return
        if failure is Failure.NOT_SENT:
            self.on_unreachable(target)
        health, now = target.health, self.clock.now()
        if hung and self.add_silence(target, SilenceSign(now, heard)):
            return
        self.on_failure(target.info.name)
        health.add_failure(content)
        if hung and not health.should_eject(0.0):
            self.avoid(target, _AVOIDED_SILENT)
            return
        # A target that accepts no connection is ejected at once; otherwise the next
        # request would fail there as well.
        unreachable = failure is Failure.NOT_SENT
        if unreachable or health.should_eject(0.0):
            self._eject(target, lasting=unreachable or not self.peers.list_domains())
        if unreachable:
            # The other routers may reach it, and lose nothing by trying.
            return
        info = target.info
        report = FailureReport(self.router, self.domain, content, answered)
        self._judge(target, report)
        self.peers.broadcast(
            Failed(self.router, self.domain, info.name, info.born, content, answered)
        )

    def apply_report(self, message: Failed) -> None:
        """Record a failed attempt of another router."""
        target = self.loads.targets.get(message.target)
        if target is not None and target.info.born == message.born:
            self.on_failure(message.target)
            report = FailureReport(
                message.router, message.domain, message.content, message.answered
            )
            self._judge(target, report)

    def end_ejection(self, target: TargetLoad) -> None:
        """Try a target again whose ejection has ended at another router."""
        if target.health.state is HealthState.EJECTED:
            target.health.probe(self.clock.now())

    def probe_ejected(self, now: Millis) -> None:
        """Try each target again whose ejection is over, unless it still fails."""
        self.reports.retain(self.loads.targets)
        for target in self.loads.targets.values():
            health = target.health
            if health.state is not HealthState.EJECTED or now < health.until:
                continue
            health.probe(now)
            if self._is_suspect(target) and self._may_eject(target):
                self._eject(target, lasting=False)
            else:
                self.on_return(target)

    def _judge(self, target: TargetLoad, report: FailureReport) -> None:
        name, now = target.info.name, self.clock.now()
        self.reports.domains = len(self.peers.list_domains() | {self.domain})
        self.reports.add(name, report, now)
        if not self._is_suspect(target):
            return
        if self._may_eject(target):
            self._eject(target, lasting=False)
        else:
            self.avoid(target)

    def avoid(self, target: TargetLoad, span: Millis = _AVOIDED_FOR) -> None:
        """Prefer other targets for a while, without blame."""
        target.avoided_until = max(target.avoided_until, self.clock.now() + span)

    def add_silence(self, target: TargetLoad, sign: SilenceSign) -> bool:
        """Record that a target is silent; return whether it may only pause."""
        now = self.clock.now()
        target.health.silence.add(sign, now)
        if not target.health.silence.is_pause(now):
            return False
        self.avoid(target, _AVOIDED_SILENT)
        return True

    def _is_suspect(self, target: TargetLoad) -> bool:
        probed = target.health.state is HealthState.PROBING
        name, now = target.info.name, self.clock.now()
        if not self.reports.may_be_suspect(name, now, probed):
            return False
        others = [
            other.info.name
            for other in self._list_in_use(target)
            if other is not target and other.health.state is not HealthState.EJECTED
        ]
        return self.reports.is_suspect(name, others, now, probed)

    def _may_eject(self, target: TargetLoad) -> bool:
        present = self._list_in_use(target)
        ejected = sum(t.health.state is HealthState.EJECTED for t in present)
        return may_eject(ejected, len(present))

    def _list_in_use(self, target: TargetLoad) -> list[TargetLoad]:
        """Return the targets of the same service to which requests are sent.

        Those of drained failure domains have no failures because they have no requests,
        and can't replace one that is ejected.
        """
        drained = self.loads.list_drained(target.info.service)
        return [
            other
            for other in self.loads.list_service_targets(target.info.service)
            if not other.info.leaving and other.info.name not in drained
        ]

    def _eject(self, target: TargetLoad, lasting: bool = True) -> None:
        health, name = target.health, target.info.name
        if health.state is HealthState.EJECTED:
            return
        health.eject(self.clock.now(), self.rng, lasting)
        self.reports.forget(name)
        self.journal.write(
            "target_ejected", target=name, until=health.until, lasting=lasting
        )
