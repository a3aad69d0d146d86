"""What one gateway process is told at its start."""

from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.messages import Address

_CONTROLLERS = 4
"""Routers among which the fleet's retries are divided: the smallest fleets have
four, and a retry budget that is used up early refuses work that could be saved."""


@dataclass(frozen=True)
class GatewaySettings:
    """Addresses, bounds and names of one gateway process.

    Parameters
    ----------
    peer_port, operator_port
        Ports for traffic between routers: datagrams, and HTTP.
    seeds
        IP numbers of routers that may be there.
    grace
        Time from the signal to stop until the process is killed.
    retry_allowance
        Retries that all routers together may make in a few seconds, beside
        those that are earned by answers.
    history
        After this time at the latest the store discards a change; None when that
        is not known.
    """

    name: str
    ip: str
    failure_domain: str
    front: Address
    ready: Address | None
    directory: Address | None
    peer_port: int
    operator_port: int
    store: Address
    seeds: tuple[str, ...] = ()
    grace: Millis = 8 * SECOND
    retry_allowance: float = 40.0
    history: Millis | None = None

    def find_retry_reserve(self, routers: int) -> float:
        """Return this router's part of the fleet's retry allowance.

        Examples
        --------
        >>> where = Address.parse("10.0.0.1:80")
        >>> settings = GatewaySettings("r1", "10.0.0.1", "a", where, None, None, 1, 2,
        ...     where, retry_allowance=48.0)
        >>> settings.find_retry_reserve(1), settings.find_retry_reserve(24)
        (6.0, 1.0)
        """
        return max(1.0, self.retry_allowance / 2 / max(_CONTROLLERS, routers))
