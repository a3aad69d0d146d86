"""Keep to the paces of targets that have just started or come back, with the others.

What this router learns of such a target it tells all others, beside the run's begin or
end.  Others hear so few of these that a larger fleet can do so as well.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.health.slowstart import FLAPPING, Outcome, SlowStart, find_rank
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import TargetInfo, TargetLoad
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.runmessages import Begun, Ended

_SETTLING: Millis = 3 * SECOND
"""Time after the first entry in which a new one isn't a start: this router has started
itself, and reads of targets that have run for long."""
_RANKS_VALID: Millis = 250.0
"""Time for which ranks are kept: heartbeats bring news of routers no sooner."""
_MAX_STARTS = 10_000
"""Starts that are remembered, so that an entry which comes back isn't a new one."""


@dataclass
class SlowStarts:
    """The paces of targets as one router knows them.

    Parameters
    ----------
    router, domain
        The prefix of this router's runs, and its failure domain.
    is_used
        Whether the settings ask for it.
    """

    router: str
    domain: str
    loads: LoadMap
    peers: Peers
    clock: Clock
    journal: Journal
    is_used: bool = False
    opened: int = 0
    closed: int = 0
    _paces: dict[str, SlowStart] = field(default_factory=dict)
    _former: dict[str, SlowStart] = field(default_factory=dict)
    _starts: dict[str, tuple[int, str]] = field(default_factory=dict)
    _places: dict[str, tuple[Millis, int, int]] = field(default_factory=dict)
    _first_entry: Millis = math.inf

    # Starts and returns

    def apply_entry(self, info: TargetInfo) -> None:
        """Begin the pace of a target whose entry is that of a new start."""
        now, start = self.clock.now(), (info.born, info.address)
        self._first_entry = min(self._first_entry, now)
        known = self._starts.get(info.name)
        self._starts[info.name] = start
        if len(self._starts) > _MAX_STARTS:
            del self._starts[next(iter(self._starts))]
        if known != start and now - self._first_entry >= _SETTLING:
            self._begin(info, "started")

    def record_return(self, target: TargetLoad) -> None:
        """Begin the pace of a target whose ejection has ended."""
        self._begin(target.info, "returned")

    def _begin(self, info: TargetInfo, why: str) -> None:
        if not self.is_used or info.leaving:
            return
        name, now = info.name, self.clock.now()
        self._forget_old(now)
        former = self._paces.get(name) or self._former.get(name)
        self._paces[name] = SlowStart.begin(info.slots, now, former)
        self._write(name, why, self.router)

    # What answers tell

    def record(
        self, name: str, run: str, outcome: Outcome, sent: Millis, has_ended: bool
    ) -> None:
        """Record the outcome of this router's request, and tell the others.

        Parameters
        ----------
        has_ended
            Whether the run is over with it.
        """
        if self._find(name) is None:
            return
        now = self.clock.now()
        took = round(max(0.0, now - sent), 1)
        kind = Ended if has_ended else Begun
        self.peers.broadcast(kind(run, name, outcome=outcome.value, took=took))
        self._apply(name, outcome, sent, self.router)

    def hear(self, message: Begun | Ended) -> None:
        """Record the outcome of another router's request, if the message tells one."""
        if not message.outcome or self._find(message.target) is None:
            return
        try:
            outcome = Outcome(message.outcome)
        except ValueError:
            self.journal.write("pace_unreadable", outcome=message.outcome)
            return
        sent = self.clock.now() - message.took
        self._apply(message.target, outcome, sent, message.run.partition("/")[0])

    def _apply(self, name: str, outcome: Outcome, sent: Millis, by: str) -> None:
        pace, now = self._paces[name], self.clock.now()
        before = pace.window
        pace.record(outcome, sent, now)
        if pace.window == before:
            return
        self.opened += pace.window > before
        self.closed += pace.window < before
        self._write(name, outcome.value, by)

    def _write(self, name: str, why: str, by: str) -> None:
        pace = round(self._paces[name].window, 2)
        self.journal.write("target_pace", target=name, pace=pace, why=why, by=by)

    def _find(self, name: str) -> SlowStart | None:
        """Return the pace of a target; None for one that is open."""
        pace = self._paces.get(name)
        if pace is not None and pace.is_open(self.clock.now()):
            self._write(name, "open", self.router)
            self._former[name] = self._paces.pop(name)
            self._places.pop(name, None)
            return None
        return pace

    # What may be sent

    def list_closed(self, service: str) -> set[str]:
        """Return the targets to which this router may send no more for now."""
        if not self._paces:
            return set()
        targets = self.loads.list_service_targets(service)
        return {one.info.name for one in targets if self._is_closed(one)}

    def _is_closed(self, target: TargetLoad) -> bool:
        pace = self._find(target.info.name)
        if pace is None:
            return False
        rank, routers = self._find_place(target.info)
        prefix = f"{self.router}/"
        own = sum(run.startswith(prefix) for run in target.runs)
        return own >= pace.count_share(rank, routers)

    def _find_place(self, info: TargetInfo) -> tuple[int, int]:
        """Return this router's rank at a target, and how many routers there are."""
        now = self.clock.now()
        until, rank, count = self._places.get(info.name, (-math.inf, 0, 0))
        if now >= until:
            routers = list(self._list_routers(info.failure_domain))
            rank, count = find_rank(self.router, routers, info.name), len(routers)
            self._places[info.name] = now + _RANKS_VALID, rank, count
        return rank, count

    def _list_routers(self, domain: str) -> Iterable[tuple[str, bool]]:
        yield self.router, self.domain == domain
        for peer in self.peers.list_present():
            beat = peer.beat
            if beat.serving and not beat.leaving and beat.incarnation != self.router:
                yield beat.incarnation, beat.failure_domain == domain

    def _forget_old(self, now: Millis) -> None:
        """Forget what no target needs that may come back again."""
        for paces in (self._paces, self._former):
            for name, pace in list(paces.items()):
                if name not in self.loads.targets and now - pace.since > FLAPPING:
                    del paces[name]
                    self._places.pop(name, None)

    def list_gauges(self) -> dict[str, float]:
        """Return present values for monitoring, by metric; none where it isn't used."""
        if not self.is_used:
            return {}
        return {
            "anvilshift_paced_targets": sum(
                n in self.loads.targets for n in self._paces
            ),
            "anvilshift_paces_opened": self.opened,
            "anvilshift_paces_closed": self.closed,
        }
