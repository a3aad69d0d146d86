"""Rate limits that targets announce, shared by all routers.

A limit announced in an answer is sent to the other routers.  Every router determines
the same router as the issuer of the permits for a target.
"""

import math
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.permits import RouterPresence
from anvilshift.core.ratelimits import SPAN, RateLimit, learn
from anvilshift.core.targetload import TargetLoad
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import Limited, Paused, SentBefore
from anvilshift.gateway.peers import Peers

_MAX_LISTED_SENDS = 40
"""Maximum number of requests listed in one datagram."""
_MAX_PAUSE: Millis = 3_600 * SECOND
"""Maximum pause.  A target that asks for more is taken to be mistaken, since it would
be lost to callers for good."""
_SPARED_FOR: Millis = 1 * SECOND
"""How long a brittle target gets nothing after a refusal, so that the requests that
were on their way are all that it refuses in a second."""
_NOT_ENDED: Millis = -1.0


def _do_nothing(target: str) -> None:
    return None


@dataclass
class LimitCallbacks:
    """Callbacks for targets whose limit (`change`) or issuer (`move`) has changed."""

    change: Callable[[str], None] = _do_nothing
    move: Callable[[str], None] = _do_nothing


@dataclass
class RateLimits:
    """The limits and issuers of all targets as one router knows them.

    Parameters
    ----------
    own
        This router's name.
    """

    own: str
    incarnation: str
    loads: LoadMap
    peers: Peers
    clock: Clock
    journal: Journal
    presence: RouterPresence = field(default_factory=RouterPresence)
    hooks: LimitCallbacks = field(default_factory=LimitCallbacks)

    def __post_init__(self) -> None:
        self.presence.update({self.own}, (), self.clock.now())

    # Limits and pauses announced by targets

    def apply_answer(
        self, name: str, named: float | None, sent: Millis, identity: str
    ) -> None:
        """Apply the limit announced in a target's answer.

        Parameters
        ----------
        named
            Requests per second; None for no limit, NaN for an unreadable value.
        sent
            When the request was sent.
        """
        target = self.loads.targets.get(name)
        if target is None or (named is None and target.limit is None):
            return
        if named is not None and math.isnan(named):
            self.journal.write("limit_unreadable", target=name, id=identity)
            return
        known = target.limit
        limit = learn(known, named, sent, self.clock.now())
        if limit is None or limit is known:
            return
        if limit.differs_significantly(known):
            self._apply_limit(target, limit, id=identity)
            self.peers.broadcast(self.describe(target, limit))
            return
        target.limit = limit
        if known is not None and limit.rate != known.rate:
            self._tell_issuer(target, limit)

    def _apply_limit(
        self, target: TargetLoad, limit: RateLimit, **source: object
    ) -> None:
        """Put a limit in force, and log it if it differs enough from the known one."""
        known, now = target.limit, self.clock.now()
        target.limit = limit
        if not limit.differs_significantly(known):
            return
        self.journal.write(
            "limit_named" if limit.ended is None else "limit_ended",
            target=target.info.name,
            rate=limit.rate,
            before=known.rate if known and known.ended is None else None,
            age=round(now - limit.told, 1),
            lately=target.meter.count(now),
            issuer=self.find_issuer(target.info.name),
            **source,
        )
        if known is None or known.find_rate(now) is None:
            self.report_sends(target)
        self.hooks.change(target.info.name)

    def apply_brittleness(self, name: str, named: float | None) -> None:
        """Record how many refusals a second a target says it stands, if any.

        Parameters
        ----------
        named
            Refusals a second; None if an answer names none, NaN if it is unreadable.
        """
        target = self.loads.targets.get(name)
        if target is None or named == target.brittle:
            return
        if named is not None and math.isnan(named):
            # What can't be read is taken for the least that a target can stand.
            named = 0.0
            if target.brittle == named:
                return
        self.journal.write(
            "target_brittle", target=name, stands=named, before=target.brittle
        )
        target.brittle = named

    def find_refusal_pause(self, name: str) -> Millis | None:
        """Return for how long a target that refused for want of room gets nothing.

        Only a brittle target is spared; None for others.
        """
        target = self.loads.targets.get(name)
        return None if target is None or target.brittle is None else _SPARED_FOR

    def record_refusal(self, name: str, pause: Millis, identity: str) -> None:
        """Record that a target refused a request, and pause it for a time."""
        target = self.loads.targets.get(name)
        if target is None:
            return
        wait = min(pause, _MAX_PAUSE)
        self.journal.write("target_paused", target=name, wait=wait, id=identity)
        target.record_refusal(self.clock.now())
        self._pause(target, wait)
        self.peers.broadcast(Paused(name, target.info.born, wait))

    def apply_pause(self, message: Paused) -> None:
        """Apply a pause that a target announced to another router."""
        target = self.loads.targets.get(message.target)
        if target is not None and target.info.born == message.born:
            target.record_refusal(self.clock.now())
            self._pause(target, min(message.wait, _MAX_PAUSE))

    def _pause(self, target: TargetLoad, wait: Millis) -> None:
        target.paused_until = max(target.paused_until, self.clock.now() + wait)

    def apply_limit(self, message: Limited) -> None:
        """Apply a limit that a target announced to another router."""
        target = self.loads.targets.get(message.target)
        if target is None or target.info.born != message.born:
            return
        now = self.clock.now()
        ended = None if message.ended_ago < 0 else now - message.ended_ago
        limit = RateLimit(message.rate, now - message.heard_ago, ended)
        if target.limit is None or limit.told > target.limit.told:
            self._apply_limit(target, limit, told=True)

    def list_limits(self) -> list[Limited]:
        """Return messages with all current limits, for a router that just started."""
        now = self.clock.now()
        return [
            self.describe(target, target.limit)
            for target in self.loads.targets.values()
            if target.limit is not None and target.find_rate(now) is not None
        ]

    def describe(self, target: TargetLoad, limit: RateLimit) -> Limited:
        """Return the message that announces a limit to other routers."""
        now = self.clock.now()
        ended = _NOT_ENDED if limit.ended is None else now - limit.ended
        info = target.info
        return Limited(info.name, info.born, limit.rate, now - limit.heard, ended)

    def _tell_issuer(self, target: TargetLoad, limit: RateLimit) -> None:
        ip = self.find_ip(self.find_issuer(target.info.name))
        if ip is not None:
            self.peers.send(self.describe(target, limit), ip)

    # Issuers

    def find_issuer(self, name: str) -> str:
        """Return the router that issues the permits for a target."""
        return self.presence.find_issuer(name)

    def find_ip(self, router: str) -> str | None:
        """Return a router's address; None if it isn't present."""
        peer = self.peers.routers.get(router)
        return peer.beat.ip if peer else None

    def update_routers(self, names: Collection[str], leaving: Collection[str]) -> None:
        """Update which routers are present and which of them are leaving."""
        before = self.presence.list_issuers()
        if not self.presence.update(names or {self.own}, leaving, self.clock.now()):
            return
        for name in self._list_limited_targets():
            if self.find_issuer(name) != before.get(name):
                self.hooks.move(name)
                self.report_sends(self.loads.targets[name])

    def find_rate(self, target: TargetLoad) -> float | None:
        """Return the rate for all reachable routers, per second; None for no limit."""
        now = self.clock.now()
        rate = target.find_rate(now)
        return None if rate is None else rate * self.presence.find_part(now)

    def remove_expired(self, now: Millis) -> None:
        """Remove limits that have expired."""
        for name, target in self.loads.targets.items():
            if target.limit is not None and target.find_rate(now) is None:
                self.journal.write("limit_over", target=name)
                target.limit = None
                self.hooks.change(name)

    def _list_limited_targets(self) -> list[str]:
        now = self.clock.now()
        targets = self.loads.targets.items()
        return [name for name, one in targets if one.find_rate(now) is not None]

    def report_sends(self, target: TargetLoad) -> None:
        """Send the issuer this router's recent sends.

        Only a larger fleet needs this: in a small one the issuer hears of each send.
        """
        ip = self.find_ip(self.find_issuer(target.info.name))
        if ip is None or self.peers.small:
            return
        now, own = self.clock.now(), f"{self.incarnation}/"
        sends = target.meter.list_since(now - SPAN)
        runs = [(run, now - at) for run, at in sends if run.startswith(own)]
        for first in range(0, len(runs), _MAX_LISTED_SENDS):
            part = tuple(runs[first : first + _MAX_LISTED_SENDS])
            self.peers.send(SentBefore(target.info.name, target.info.born, part), ip)

    def add_sends(self, message: SentBefore) -> None:
        """Count what another router sent before this one issued the permits."""
        target = self.loads.targets.get(message.target)
        if target is not None and target.info.born == message.born:
            for run, age in message.runs:
                target.meter.add(run, self.clock.now() - age)
