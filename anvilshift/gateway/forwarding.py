"""Forward the requests of routers that have lost their path to a target."""

from anvilshift.core.clock import Clock
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.paths import TargetPaths
from anvilshift.core.targetload import TargetLoad
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.reach import CONNECT_TIMEOUT
from anvilshift.wire.client import Network
from anvilshift.wire.messages import Address
from anvilshift.wire.tunnel import TunnelServer

_MAX_TUNNELS = 256
"""Connections that are forwarded at a time; each holds two sockets and at most 128 KB
that its reader hasn't taken yet."""


class Forwarding:
    """Forward connections of present routers to registered targets.

    A connection is never forwarded by a second router: the target is connected to
    directly or not at all.
    """

    def __init__(
        self,
        peers: Peers,
        loads: LoadMap,
        paths: TargetPaths,
        clock: Clock,
        network: Network | None = None,
    ) -> None:
        self._peers = peers
        self._loads = loads
        self._paths = paths
        self._clock = clock
        self.server = TunnelServer(
            self._is_router,
            self._is_reachable,
            _MAX_TUNNELS,
            CONNECT_TIMEOUT,
            network,
        )

    def _is_router(self, ip: str) -> bool:
        return any(peer.beat.ip == ip for peer in self._peers.routers.values())

    def _find_target(self, address: Address) -> TargetLoad | None:
        text = str(address)
        targets = self._loads.targets.values()
        return next((one for one in targets if one.info.address == text), None)

    def _is_reachable(self, address: Address) -> bool:
        target = self._find_target(address)
        if target is None or target.paused_until > self._clock.now():
            return False
        return self._paths.is_direct(target.info.name)
