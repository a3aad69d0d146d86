"""The settings with which one gateway process is started."""

from dataclasses import dataclass, field

from anvilshift.core.admission.callershare import HostLimits
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.health.coldtargets import ColdBounds
from anvilshift.core.retries import RetryLimits
from anvilshift.wire.messages import Address


@dataclass(frozen=True)
class GatewaySettings:
    """Addresses, limits and names of one gateway process.

    Parameters
    ----------
    peer_port, forward_port, configuration_port, watch_port
        Ports for traffic between routers: for datagrams, for connections to targets
        through another router, for the configuration in force, and for changes in the
        platform's store.
    readers_per_domain
        Routers of each failure domain that watch the platform's store for the others
        there, in a larger fleet; 0 if each router watches it.
    spare_writes
        Whether the routers of a larger fleet write what organisations hold and spend as
        rarely as is safe.
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
    drain_bound
        Time from the acknowledgement of a failure domain's drain until nothing is sent
        there any more; None if operators can't drain failure domains.
    cold
        How far the rate of a cold target may be exceeded in any one second.
    limits
        What the process may use of its host; by default it isn't known, and nothing
        is decided by it.
    paces_returns
        Whether targets that start or come back are opened at the pace of their answers.
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
    watch_port: int = 0
    readers_per_domain: int = 1
    spare_writes: bool = True
    drain_bound: Millis | None = None
    cold: ColdBounds = field(default_factory=ColdBounds)
    limits: HostLimits = field(default_factory=HostLimits)
    paces_returns: bool = False
