"""Tell the other routers how full this one is, and list routers by what they carry."""

import pathlib
import resource
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.placement.routerbalance import RouterBalance, RouterUse
from anvilshift.core.placement.routeruse import RouterLimits, UseMeter, UseSample
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.loadmessages import RouterLoad
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.settings import GatewaySettings

_INTERVAL: Millis = 500.0
"""Interval of the samples, of the news and of the decision."""
_TOLD_CHANGE, _TOLD_INTERVAL = 0.05, 2_500.0
"""Change of use that is told at once, and milliseconds after which it is told again."""
_NEWS_LIFE: Millis = 8 * SECOND
"""Age from which on what a router told says nothing of it."""
_UNKNOWN_USE = 0.6
"""Assumed use of a router that tells none: neither nearly full nor idle."""
_LOGGED_CHANGE = 0.1
"""Change of a share from which on it is logged."""
_STATUS = pathlib.Path("/proc/self/statm")
_MB = 1024 * 1024


@dataclass(frozen=True)
class UseSources:
    """Where a router reads its use.

    Parameters
    ----------
    find_idle
        Returns how long the event loop has waited so far; None if unknown.
    find_moved
        Returns the bytes moved for callers so far.
    count_sockets
        Returns the sockets that are open.
    """

    find_idle: Callable[[], Millis] | None = None
    find_moved: Callable[[], int] = lambda: 0
    count_sockets: Callable[[], int] = lambda: 0


@dataclass
class RouterLoads:
    """How full this router and the others are, and which of them callers are told of.

    Without limits in the settings it measures, tells and decides nothing.

    Parameters
    ----------
    is_ready
        Returns whether this router accepts new callers.
    """

    settings: GatewaySettings
    peers: Peers
    clock: Clock
    journal: Journal
    is_ready: Callable[[], bool]
    sources: UseSources = field(default_factory=UseSources)
    balance: RouterBalance = field(default_factory=RouterBalance)
    _meter: UseMeter | None = field(init=False)
    _heard: dict[str, tuple[RouterLoad, Millis]] = field(default_factory=dict)
    _due: Millis = 0.0
    _told: tuple[float, bool, Millis] = (0.0, False, -1e12)
    _logged: dict[str, float] = field(default_factory=dict)
    _logged_use: float = 0.0

    def __post_init__(self) -> None:
        limits = self.settings.limits
        self._meter = UseMeter(limits) if limits is not None else None

    @property
    def is_active(self) -> bool:
        """Return whether this router measures its use and lists routers by it."""
        return self._meter is not None and self.sources.find_idle is not None

    def apply(self, message: RouterLoad) -> None:
        """Take note of what another router carries."""
        self._heard[message.router] = message, self.clock.now()

    def run_checks(self, now: Millis) -> None:
        """Measure, tell and decide, if that is due."""
        if self._meter is None or not self.is_active or now < self._due:
            return
        self._due = now + _INTERVAL
        self._meter.add(self._take_sample(now))
        self._tell(self._meter, now)
        self.balance.update(self._list_uses(self._meter, now), now)
        self._log_changes()

    def _take_sample(self, now: Millis) -> UseSample:
        sources = self.sources
        return UseSample(
            now,
            sources.find_idle() if sources.find_idle else 0.0,
            sources.find_moved(),
            _read_memory(),
            sources.count_sockets(),
            self.peers.find_lateness(),
        )

    def _tell(self, meter: UseMeter, now: Millis) -> None:
        used, is_full, at = self._told
        is_changed = abs(meter.used - used) >= _TOLD_CHANGE or meter.is_full != is_full
        if not is_changed and now - at < _TOLD_INTERVAL:
            return
        self._told = meter.used, meter.is_full, now
        capacity = float(meter.limits.cores)
        load = RouterLoad(
            self.settings.name, capacity, round(meter.used, 3), meter.is_full
        )
        present = self.peers.list_present()
        self.peers.send_each(load, [one.beat.ip for one in present])

    def _list_uses(self, meter: UseMeter, now: Millis) -> list[RouterUse]:
        """Return the routers that accept callers, and how full they are."""
        found = []
        for peer in self.peers.list_present():
            beat = peer.beat
            if beat.serving and not beat.leaving:
                load = self._find_load(beat.router, meter.limits, now)
                found.append(
                    RouterUse(
                        beat.entrance,
                        beat.failure_domain,
                        load.capacity,
                        load.used,
                        load.is_full,
                    )
                )
        if self.is_ready():
            settings = self.settings
            found.append(
                RouterUse(
                    str(settings.front),
                    settings.failure_domain,
                    meter.limits.cores,
                    meter.used,
                    meter.is_full,
                )
            )
        return found

    def _find_load(self, router: str, own: RouterLimits, now: Millis) -> RouterLoad:
        load, heard = self._heard.get(router, (None, 0.0))
        if load is None or now - heard > _NEWS_LIFE:
            return RouterLoad(router, own.cores, _UNKNOWN_USE, False)
        return load

    def _log_changes(self) -> None:
        """Write the shares and the use of this router that have changed."""
        for domain in self.peers.list_domains() | {self.settings.failure_domain}:
            share = self.balance.find_far_share(domain)
            if abs(share - self._logged.get(domain, 0.0)) >= _LOGGED_CHANGE:
                self._logged[domain] = share
                self.journal.write(
                    "callers_moved",
                    domain=domain,
                    far=round(share, 2),
                )
        used = self._meter.used if self._meter is not None else 0.0
        if abs(used - self._logged_use) >= _LOGGED_CHANGE:
            self._logged_use = used
            kept = self.balance.find_kept_share(str(self.settings.front))
            self.journal.write("router_use", used=round(used, 2), kept=round(kept, 2))

    def list_gauges(self) -> dict[str, float]:
        """Return what monitoring reads of this router's use, by metric."""
        if self._meter is None or not self.is_active:
            return {}
        domain, own = self.settings.failure_domain, str(self.settings.front)
        kept, far = (
            self.balance.find_kept_share(own),
            self.balance.find_far_share(domain),
        )
        return {
            "anvilshift_router_use_percent": self._meter.used * 100,
            "anvilshift_router_kept_percent": kept * 100,
            "anvilshift_domain_far_percent": far * 100,
        }


def _read_memory() -> float:
    """Return the megabytes that this process holds; 0 if the system doesn't tell."""
    try:
        pages = int(_STATUS.read_text().split()[1])
    except (OSError, ValueError, IndexError):
        return 0.0
    return pages * resource.getpagesize() / _MB
