"""Measure what this router uses of its host, and take callers by it.

Without limits in the settings nothing is measured, told or turned away.
"""

import math
import pathlib
import resource
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.admission.callershare import CallerShare, HostLimits, ResourceUse
from anvilshift.core.admission.linkuse import LinkUse, Traffic
from anvilshift.core.admission.listening import Listening
from anvilshift.core.admission.newsbatching import find_news_batching
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.loadmessages import RouterLoad
from anvilshift.gateway.peers import Peers

_INTERVAL: Millis = 100.0
_TOLD_INTERVAL: Millis = 1 * SECOND
_IDLE_INTERVAL: Millis = 5 * SECOND
"""Intervals at which a full router, and any other one, say so again."""
_NEAR_INTERVAL: Millis = 200.0
"""The same of a full router to those of its failure domain, who name routers to its
callers.  A full link may lose every datagram of two seconds."""
_NEWS_LIFE: Millis = 3 * SECOND
"""Age from which on what a router told says nothing of it."""
_MAX_LATE: Millis = 1 * SECOND
_LATE_WEIGHT = 0.2
_LOGGED_INTERVAL: Millis = 1 * SECOND
_STATUS = pathlib.Path("/proc/self/statm")
_MB = 1024 * 1024


@dataclass
class HostLoad:
    """What this router uses of its host, and what the others say of theirs.

    Parameters
    ----------
    find_traffic
        Returns what was sent and what was received so far.
    count_sockets
        Returns how many sockets are open.
    set_listening
        Lets callers open connections, or refuses them.
    """

    router: str
    limits: HostLimits
    peers: Peers
    clock: Clock
    journal: Journal
    find_traffic: Callable[[], tuple[Traffic, Traffic]]
    count_sockets: Callable[[], int] = lambda: 0
    set_listening: Callable[[bool], None] = lambda wanted: None
    callers: CallerShare = field(default_factory=CallerShare)
    listening: Listening = field(default_factory=Listening)
    use: ResourceUse = field(default_factory=ResourceUse)
    link: LinkUse | None = field(init=False)
    _heard: dict[str, tuple[RouterLoad, Millis]] = field(default_factory=dict)
    _told: tuple[RouterLoad | None, Millis] = (None, 0.0)
    _near_due: Millis = 0.0
    _due: Millis = math.inf
    _log_due: Millis = 0.0

    def __post_init__(self) -> None:
        self.link = LinkUse(self.limits.link) if self.limits.link else None

    @property
    def is_active(self) -> bool:
        """Return whether the settings say what this router may use."""
        return self.limits != HostLimits()

    def takes_connection(self) -> bool:
        """Return whether to take a connection that a caller has just opened."""
        return not self.is_active or self.callers.take(self.clock.now())

    def keeps_connection(self) -> bool:
        """Return whether a caller's connection stays open after its answer."""
        return self.callers.keep()

    def run_checks(self, now: Millis) -> None:
        """Measure, decide and tell, if that is due."""
        if not self.is_active or (now < self._due < math.inf):
            return
        self.use = self._measure(now)
        self._due = now + _INTERVAL
        was_full = self.callers.is_full
        self.callers.update(self.use, now)
        if self.link is not None:
            self.peers.batching = find_news_batching(self.link.sent)
        self._tell(now)
        self._listen(now)
        if self.callers.is_full != was_full or (
            self.callers.is_full and now >= self._log_due
        ):
            self._log(now)

    def _listen(self, now: Millis) -> None:
        """Refuse new connections while the link is full and other routers aren't."""
        link = 0.0 if self.link is None else self.link.most
        beats = [peer.beat for peer in self.peers.list_present()]
        names = {one.router for one in beats if one.serving and not one.leaving}
        full, others = len(self.list_full() & names), len(names)
        full_part = full / others if others else 1.0
        was_refusing = self.listening.is_refusing
        self.set_listening(self.listening.update(link, full_part, now))
        if self.listening.is_refusing != was_refusing:
            event = "callers_taken" if was_refusing else "callers_refused"
            self.journal.write(event, link=round(link, 2), full=full, others=others)

    def _measure(self, now: Millis) -> ResourceUse:
        link, limits = 0.0, self.limits
        if self.link is not None:
            self.link.update(*self.find_traffic(), now)
            link = self.link.most
        return ResourceUse(
            link,
            _read_memory() / limits.memory if limits.memory else 0.0,
            self.count_sockets() / limits.descriptors if limits.descriptors else 0.0,
            self._find_late(now),
        )

    def _find_late(self, now: Millis) -> Millis:
        """Return by how much these checks are late, turn after turn.

        One long turn of the loop, or a suspension, is over when it is seen.
        """
        late = min(_MAX_LATE, max(0.0, now - self._due))
        return self.use.late + (late - self.use.late) * _LATE_WEIGHT

    def _tell(self, now: Millis) -> None:
        """Tell the others of a change, and again and again while this one is full."""
        load = RouterLoad(self.router, round(self.use.most, 2), self.callers.is_full)
        told, at = self._told
        is_changed = told is None or told.is_full != load.is_full
        interval = _TOLD_INTERVAL if load.is_full else _IDLE_INTERVAL
        present = [one.beat for one in self.peers.list_present()]
        if is_changed or now - at >= interval:
            self._told, self._near_due = (load, now), now + _NEAR_INTERVAL
            self.peers.send_each(load, [beat.ip for beat in present])
        elif load.is_full and now >= self._near_due:
            self._near_due = now + _NEAR_INTERVAL
            near = [
                beat for beat in present if beat.failure_domain == self.peers.domain
            ]
            self.peers.send_each(load, [beat.ip for beat in near])

    def apply(self, message: RouterLoad) -> None:
        """Take note of how full another router is."""
        self._heard[message.router] = message, self.clock.now()
        self.peers.compact.add(message.router)

    def list_full(self) -> frozenset[str]:
        """Return the names of the routers that are full."""
        since = self.clock.now() - _NEWS_LIFE
        full = {
            name
            for name, (load, heard) in self._heard.items()
            if load.is_full and heard >= since
        }
        return frozenset(full | ({self.router} if self.callers.is_full else set()))

    def _log(self, now: Millis) -> None:
        self._log_due = now + _LOGGED_INTERVAL
        link = self.link
        self.journal.write(
            "router_full" if self.callers.is_full else "router_has_room",
            sent=round(link.sent, 2) if link else None,
            received=round(link.received, 2) if link else None,
            memory=round(self.use.memory, 2),
            descriptors=round(self.use.descriptors, 2),
            late=round(self.use.late),
            share=round(self.callers.share, 2),
            turned_away=self.callers.turned_away,
        )

    def list_gauges(self) -> dict[str, float]:
        """Return present values for monitoring, by metric."""
        if not self.is_active:
            return {}
        link = self.link or LinkUse(1.0)
        return {
            "anvilshift_link_sent_percent": link.sent * 100,
            "anvilshift_link_received_percent": link.received * 100,
            "anvilshift_memory_percent": self.use.memory * 100,
            "anvilshift_descriptors_percent": self.use.descriptors * 100,
            "anvilshift_callers_taken_percent": self.callers.share * 100,
            "anvilshift_callers_turned_away": self.callers.turned_away,
        }


def _read_memory() -> float:
    """Return the megabytes that this process holds; 0 if the system doesn't tell."""
    try:
        # Without the layers of a text file: it is read ten times a second.
        with open(_STATUS, "rb", buffering=0) as status:
            pages = int(status.read().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return pages * resource.getpagesize() / _MB
