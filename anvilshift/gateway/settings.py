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

    @property
    def retry_reserve(self) -> float:
        """Return this router's part of the fleet's retry allowance."""
        return max(2.0, self.retry_allowance / 2 / _CONTROLLERS)
