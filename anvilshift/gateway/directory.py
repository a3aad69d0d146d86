"""The addresses of routers that callers may connect to."""

from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.core.admission.farcallers import FarCallers
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.endpoints import Endpoint, choose_endpoints
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.settings import GatewaySettings

_ADDRESS_TTL: Millis = 1 * SECOND
"""Time for which callers may cache the list of addresses.  Some keep it three times
as long, so a stopping router must serve for three of these periods within its grace
period of 8 s."""
_ADDRESS_TTL_LARGE_FLEET: Millis = 2 * SECOND
"""The same in a larger fleet, where the loss of a router affects few callers and
hundreds of callers request the list."""


@dataclass(frozen=True)
class Endpoints:
    """The addresses that callers may connect to, and how long they may cache them."""

    addresses: tuple[str, ...]
    keep: Millis


class RouterDirectory:
    """The routers that are present, and how long callers may rely on that.

    Parameters
    ----------
    is_ready
        Returns whether this router accepts new callers.
    list_full
        Returns the names of the routers that are full.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        peers: Peers,
        is_ready: Callable[[], bool],
        list_full: Callable[[], frozenset[str]] = frozenset,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._is_ready = is_ready
        self._list_full = list_full
        self._far = FarCallers()

    def list_endpoints(self, domain: str = "") -> Endpoints:
        """Return the addresses to which callers of a failure domain may connect."""
        full = self._list_full()
        found = [
            Endpoint(
                peer.beat.entrance,
                peer.beat.failure_domain,
                peer.beat.router in full,
            )
            for peer in self._peers.list_present()
            if peer.beat.serving and not peer.beat.leaving
        ]
        if self._is_ready():
            own = Endpoint(
                str(self._settings.front),
                self._settings.failure_domain,
                self._settings.name in full,
            )
            found.append(own)
        near = [one.is_full for one in found if one.failure_domain == domain]
        if near:
            part = sum(near) / len(near)
            self._far.update(domain, part, self._peers.clock.now())
        chosen = choose_endpoints(found, domain, self._far.take(domain))
        return Endpoints(chosen, self.get_ttl())

    def get_ttl(self) -> Millis:
        """Return the time for which callers may cache the addresses."""
        return _ADDRESS_TTL if self._peers.small else _ADDRESS_TTL_LARGE_FLEET
