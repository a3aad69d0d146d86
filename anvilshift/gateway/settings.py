"""The settings with which one gateway process is started."""

from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.placement.routeruse import RouterLimits
from anvilshift.core.retries import RetryLimits
from anvilshift.wire.messages import Address


@dataclass(frozen=True)
class GatewaySettings:
    """Addresses, limits and names of one gateway process.

    Parameters
    ----------
    peer_port, forward_port, configuration_port
        Ports for traffic between routers: for datagrams, for connections to targets
        through another router, and for the configuration in force.
    seeds
        IP addresses of routers that may be running.
    grace
        Time from the signal to stop until the process is killed.
    retries
        How often all routers together may send the requests for a service again.
    history
        Age by which the store has discarded a change; None if it is not known.
    recovery
        Time after a disruption of connections at which all that was acknowledged has
        to be in force again.
    limits
        What this router may use; None if that isn't known.
    """

    name: str
    ip: str
    failure_domain: str
    front: Address
    ready: Address | None
    directory: Address | None
    peer_port: int
    forward_port: int
    store: Address
    seeds: tuple[str, ...] = ()
    grace: Millis = 8 * SECOND
    retries: RetryLimits = field(default_factory=RetryLimits)
    history: Millis | None = None
    recovery: Millis = 3 * SECOND
    configuration_port: int = 0
    limits: RouterLimits | None = None
