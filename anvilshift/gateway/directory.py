"""The addresses of routers that callers may connect to."""

from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.endpoints import Endpoint, choose_endpoints
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.routerloads import RouterLoads
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
    loads
        How full the routers are.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        peers: Peers,
        is_ready: Callable[[], bool],
        loads: RouterLoads,
    ) -> None:
        self._loads = loads
        self._settings = settings
        self._peers = peers
        self._is_ready = is_ready

    def list_endpoints(self, domain: str = "", asker: str = "") -> Endpoints:
        """Return the addresses to which callers of a failure domain may connect.

        Parameters
        ----------
        asker
            Identifies the caller that asks.
        """
        found = [
            Endpoint(peer.beat.entrance, peer.beat.failure_domain)
            for peer in self._peers.list_present()
            if peer.beat.serving and not peer.beat.leaving
        ]
        if self._is_ready():
            own = Endpoint(str(self._settings.front), self._settings.failure_domain)
            found.append(own)
        usual = choose_endpoints(found, domain)
        present = {one.address for one in found}
        listed = self._loads.balance.list_addresses(domain, asker)
        listed = tuple(one for one in listed if one in present)
        if not listed or self._loads.balance.is_usual(domain):
            listed = usual
        return Endpoints(listed, self.get_ttl())

    def get_ttl(self) -> Millis:
        """Return the time for which callers may cache the addresses."""
        return _ADDRESS_TTL if self._peers.small else _ADDRESS_TTL_LARGE_FLEET
