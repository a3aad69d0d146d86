"""Keep to the paces of targets that have just started or come back, with the others.

What this router learns of such a target it tells all others, beside the run's begin or
end.  Others hear so few of these that a larger fleet can do so as well.  The first end
of an ejection is told to all, and begins the pace at each of them.
"""

import json
import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.ejection import HealthState
from anvilshift.core.health.lentshares import list_lenders
from anvilshift.core.health.slowstart import (
    FLAPPING,
    Outcome,
    SlowStart,
    is_in_use,
    list_ranks,
)
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import TargetInfo, TargetLoad
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.peers import Peer, Peers
from anvilshift.gateway.runmessages import Begun, Ended
from anvilshift.gateway.startmessages import TargetReturned
from anvilshift.gateway.startshares import AddHandler, Lenders, StartShares
from anvilshift.gateway.targethealth import TargetHealth

_SETTLING: Millis = 3 * SECOND
"""Time after the first entry in which a new one isn't a start: this router has started
itself, and reads of targets that have run for long."""
_RANKS_VALID: Millis = 250.0
"""Time for which ranks are kept: heartbeats bring news of routers no sooner."""
_WITNESSES = 4
"""Routers of the first ranks, which hear most of a target, that say that it is in use:
from a whole fleet there would be as many messages as pairs of routers."""
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
    end_ejection
        Called with a target whose ejection has ended at another router.

    Attributes
    ----------
    shares
        Which runs of which routers hold this router's shares of the paces.
    """

    router: str
    domain: str
    loads: LoadMap
    peers: Peers
    clock: Clock
    journal: Journal
    is_used: bool = False
    end_ejection: Callable[[TargetLoad], None] = lambda target: None
    shares: StartShares = field(init=False)
    opened: int = 0
    closed: int = 0
    _paces: dict[str, SlowStart] = field(default_factory=dict)
    _former: dict[str, SlowStart] = field(default_factory=dict)
    _starts: dict[str, tuple[int, str]] = field(default_factory=dict)
    _ranks: dict[str, tuple[Millis, list[str], dict[str, str]]] = field(
        default_factory=dict
    )
    _answered: dict[str, Millis] = field(default_factory=dict)
    _reasons: Counter[str] = field(default_factory=Counter)
    _first_entry: Millis = math.inf

    def __post_init__(self) -> None:
        self.shares = StartShares(self.peers, self.clock, self._find_lenders)

    def connect(
        self,
        health: TargetHealth,
        add_handler: AddHandler,
    ) -> None:
        """Hear of ejections and failures, and of what other routers tell."""
        health.on_return, health.on_failure = self.record_return, self.record_failure
        self.end_ejection = health.end_ejection
        add_handler(TargetReturned, self.hear_return)
        self.shares.connect(add_handler)

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
        """Begin the pace of a target whose ejection has ended, and tell the others.

        One that answers all the while, or is paced already, is nothing new.
        """
        info = target.info
        if not self.is_used or info.leaving or info.name in self._paces:
            return
        if not self._is_in_use(info):
            self._begin(info, "returned")
            self.peers.broadcast(TargetReturned(info.name, info.born, in_use=False))

    def hear_return(self, message: TargetReturned) -> None:
        """Begin the pace of a target whose ejection has ended at another router."""
        target = self.loads.targets.get(message.target)
        if not self.is_used or target is None or target.info.born != message.born:
            return
        info = target.info
        if info.leaving:
            return
        if message.in_use:
            self._drop(info.name, "in use")
        elif self._is_in_use(info) and info.name not in self._paces:
            if self._list_ranks(info)[0].index(self.router) < _WITNESSES:
                self.peers.broadcast(TargetReturned(info.name, info.born, in_use=True))
        elif info.name not in self._paces:
            self._begin(info, "returned")
            if not self._is_closed(target):
                self.end_ejection(target)

    def _is_in_use(self, info: TargetInfo) -> bool:
        return is_in_use(self._answered.get(info.name), self.clock.now())

    def _begin(self, info: TargetInfo, why: str) -> None:
        if not self.is_used or info.leaving:
            return
        name, now = info.name, self.clock.now()
        self._forget_old(now)
        former = self._paces.get(name) or self._former.get(name)
        self._paces[name] = SlowStart.begin(info.slots, now, former)
        self.shares.forget(name)
        self._write(name, why, self.router)

    # What answers tell

    def record_answer(self, name: str) -> None:
        """Record that a target has answered this or another router."""
        if self.is_used:
            self._answered[name] = self.clock.now()

    def record_failure(self, name: str) -> None:
        """Record a failed attempt of this or another router."""
        pace = self._find(name)
        if pace is not None:
            before = pace.window
            pace.record_failure(self.clock.now())
            self._note_change(name, before, Outcome.FAILED, self.router)

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
        if isinstance(message, Begun):
            self.record_answer(message.target)
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
        self._note_change(name, before, outcome, by)
        target = self.loads.targets.get(name)
        if outcome is Outcome.IN_TIME and target is not None:
            self.end_ejection(target)

    def _note_change(self, name: str, before: float, why: Outcome, by: str) -> None:
        window = self._paces[name].window
        if window != before:
            self.opened += window > before
            self.closed += window < before
            self._write(name, why.value, by)

    def _write(self, name: str, why: str, by: str) -> None:
        self._reasons[why] += 1
        pace = round(self._paces[name].window, 2)
        self.journal.write("target_pace", target=name, pace=pace, why=why, by=by)

    def _find(self, name: str) -> SlowStart | None:
        """Return the pace of a target; None for one that is open."""
        pace = self._paces.get(name)
        if pace is not None and pace.is_open(self.clock.now()):
            self._drop(name, "open")
            self._former[name] = pace
            return None
        return pace

    def _drop(self, name: str, why: str) -> None:
        if name in self._paces:
            self._write(name, why, self.router)
            del self._paces[name]

    # What may be sent

    def is_shared(self, info: TargetInfo) -> bool:
        """Return whether a request needs a share of the target chosen for it.

        An open one takes part like any other where there are others.
        """
        if self._find_shared(info.name) is None:
            return False
        if info.name in self._paces:
            return True
        others = self.loads.list_service_targets(info.service)
        return all(
            one.info.name == info.name
            or one.info.leaving
            or one.health.state is HealthState.EJECTED
            for one in others
        )

    def _find_shared(self, name: str) -> SlowStart | None:
        if not self._paces and not self._former:
            return None
        pace = self._find(name) or self._former.get(name)
        if pace is None or not pace.is_shared(self.clock.now()):
            return None
        return pace

    def list_closed(self, service: str) -> set[str]:
        """Return the targets to which this router may send no more for now."""
        if not self._paces:
            return set()
        targets = self.loads.list_service_targets(service)
        return {one.info.name for one in targets if self._is_closed(one)}

    def _is_closed(self, target: TargetLoad) -> bool:
        name = target.info.name
        if self._find(name) is None:
            return False
        known = self._find_lenders(name)
        return known is not None and (
            self.shares.count_used(name, known.running) >= known.own
        )

    def _find_lenders(self, name: str) -> Lenders | None:
        """Return what is known of a target's pace; None if nobody needs a share."""
        pace, target = self._find_shared(name), self.loads.targets.get(name)
        if pace is None or target is None:
            return None
        ranks, ips = self._list_ranks(target.info)
        prefix = f"{self.router}/"
        own = pace.count_share(ranks.index(self.router), len(ranks))
        running = [run for run in target.runs if run.startswith(prefix)]
        lenders = list_lenders(ranks, pace.window, self.router)
        addresses = [ips[one] for one in lenders if one in ips]
        return Lenders(own, pace.window, running, addresses)

    def _list_ranks(self, info: TargetInfo) -> tuple[list[str], dict[str, str]]:
        """Return the routers by rank at a target, and the others' addresses."""
        now = self.clock.now()
        until, ranks, ips = self._ranks.get(info.name, (-math.inf, [], {}))
        if now >= until:
            beats = [peer.beat for peer in self._list_peers()]
            domain = info.failure_domain
            routers = [(one.incarnation, one.failure_domain == domain) for one in beats]
            routers.append((self.router, self.domain == domain))
            ranks = list_ranks(routers, info.name)
            ips = {one.incarnation: one.ip for one in beats}
            self._ranks[info.name] = now + _RANKS_VALID, ranks, ips
        return ranks, ips

    def _list_peers(self) -> list[Peer]:
        return [
            peer
            for peer in self.peers.list_present()
            if peer.beat.serving
            and not peer.beat.leaving
            and peer.beat.incarnation != self.router
        ]

    def _forget_old(self, now: Millis) -> None:
        """Forget what no target needs that may come back again."""
        for paces in (self._paces, self._former):
            for name, pace in list(paces.items()):
                if name not in self.loads.targets and now - pace.since > FLAPPING:
                    del paces[name]
                    self.shares.forget(name)
        for name in self._answered.keys() - self.loads.targets.keys():
            del self._answered[name]
        for name in self._ranks.keys() - self.loads.targets.keys():
            del self._ranks[name]

    def list_gauges(self) -> dict[str, float]:
        """Return present values for monitoring, by metric; none where it isn't used."""
        if not self.is_used:
            return {}
        present = {n: p for n, p in self._paces.items() if n in self.loads.targets}
        return {
            "anvilshift_paced_targets": len(present),
            "anvilshift_paces_opened": self.opened,
            "anvilshift_paces_closed": self.closed,
            "anvilshift_start_shares_borrowed": self.shares.borrowed,
            **{_label("pace", "target", n): p.window for n, p in present.items()},
            **{_label("pace_changes", "why", w): n for w, n in self._reasons.items()},
        }


def _label(metric: str, name: str, value: str) -> str:
    return f"anvilshift_{metric}{{{name}={json.dumps(value)}}}"
