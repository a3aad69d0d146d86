"""The settings with which one gateway process is started."""

from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.retries import RetryLimits
from anvilshift.wire.messages import Address

_MIN_ROUTERS = 4
"""Lower bound on the number of routers among which the fleet's retries are divided.
The smallest fleets have four routers, and a retry budget that is used up too early
fails requests that a retry would have saved."""


@dataclass(frozen=True)
class GatewaySettings:
    """Addresses, limits and names of one gateway process.

    Parameters
    ----------
    peer_port, forward_port
        Ports for traffic between routers, for datagrams and for HTTP.
    seeds
        IP addresses of routers that may be running.
    grace
        Time from the signal to stop until the process is killed.
    retries
        How often all routers together may send the requests for a service again.
    history
        Age by which the store has discarded a change; None if it is not known.
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

    def find_retry_share(self, routers: int) -> float:
        """Return this router's share of the fleet's retry allowance.

        Examples
        --------
        >>> address = Address.parse("10.0.0.1:80")
        >>> settings = GatewaySettings("r1", "10.0.0.1", "a", address, None, None, 1, 2,
        ...     address, retries=RetryLimits(allowance=48.0))
        >>> settings.find_retry_share(1), settings.find_retry_share(24)
        (6.0, 1.0)
        """
        return max(1.0, self.retries.allowance / 2 / max(_MIN_ROUTERS, routers))
