"""Settings of a router process, read from a YAML file."""

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field, model_validator

from anvilshift.core.clock import SECOND, Millis
from anvilshift.settings.files import IpPort, load_settings
from anvilshift.wire.messages import DEFAULT_LIMITS, Address, Limits

_MIN_HEARTBEATS_PER_LEASE = 4
"""With fewer, one lost and one late heartbeat make a router count as lost."""


@dataclass(frozen=True)
class RouterSettings:
    """Settings of one router process, fixed at its start.

    Parameters
    ----------
    name
        The router's name, unique in the fleet.
    host
        The host's name in the platform's list of hosts.
    failure_domain
        The failure domain of the host.
    listen, peer_listen, operator_listen
        Addresses for callers, other routers and operators.
    platform
        Address of the object API.
    platform_rate, platform_burst
        Calls to the object API per second, and most calls at once after an idle
        period.  Five routers at 200 leave half of the platform's 2,000 reads per
        second to other users.
    operator_credential
        SHA-256 of the token that operators present, in hexadecimal.
    commit_spacing
        Minimum milliseconds between two group commits to one ledger.
    lease
        Milliseconds after its last renewal or heartbeat until a router counts as
        lost.
    heartbeat
        Milliseconds between two heartbeats to the other routers.
    keep_addresses
        Milliseconds for which callers may cache an answer of the address lookup.
    grace
        Maximum milliseconds that a planned stop may take.
    """

    name: str
    host: str
    failure_domain: str
    listen: Address
    peer_listen: Address
    operator_listen: Address
    platform: Address
    platform_credential: str = ""
    platform_rate: float = 200.0
    platform_burst: float = 100.0
    operator_credential: str = ""
    commit_spacing: Millis = 250.0
    lease: Millis = 5 * SECOND
    heartbeat: Millis = 500.0
    keep_addresses: Millis = 5 * SECOND
    grace: Millis = 30 * SECOND
    queue_length: int = 1_000
    attempts: int = 3
    limits: Limits = DEFAULT_LIMITS

    @classmethod
    def from_file(cls, path: str) -> "RouterSettings":
        """Read and validate a YAML file.

        Raises
        ------
        AnvilshiftError
            Code 6001 with the path, the key path and what was expected.
        """
        return load_settings(path, _RouterModel).convert()


class _Model(BaseModel):
    model_config = ConfigDict(extra="forbid", strict=True)


class _PlatformModel(_Model):
    address: IpPort
    credential: str = ""
    calls_per_second: float = Field(default=RouterSettings.platform_rate, gt=0)
    burst: float = Field(default=RouterSettings.platform_burst, ge=1)


class _LimitsModel(_Model):
    head_bytes: int = Field(default=Limits.head_bytes, ge=1024)
    body_bytes: int = Field(default=Limits.body_bytes, ge=1024)
    head_timeout_ms: float = Field(default=Limits.head_timeout, gt=0)
    body_timeout_ms: float = Field(default=Limits.body_timeout, gt=0)
    idle_timeout_ms: float = Field(default=Limits.idle_timeout, gt=0)
    write_timeout_ms: float = Field(default=Limits.write_timeout, gt=0)

    def convert(self) -> Limits:
        return Limits(
            self.head_bytes,
            self.body_bytes,
            self.head_timeout_ms,
            self.body_timeout_ms,
            self.idle_timeout_ms,
            self.write_timeout_ms,
        )


class _RouterModel(_Model):
    name: str = Field(min_length=1, pattern=r"^[a-z0-9][a-z0-9.-]*$")
    host: str = Field(min_length=1)
    failure_domain: str = Field(min_length=1)
    listen: IpPort
    peer_listen: IpPort
    operator_listen: IpPort
    platform: _PlatformModel
    operator_credential: str = Field(default="", pattern=r"^([0-9a-f]{64})?$")
    commit_spacing_ms: float = Field(default=RouterSettings.commit_spacing, ge=0)
    lease_ms: float = Field(default=RouterSettings.lease, gt=0)
    heartbeat_ms: float = Field(default=RouterSettings.heartbeat, gt=0)
    keep_addresses_ms: float = Field(default=RouterSettings.keep_addresses, gt=0)
    grace_ms: float = Field(default=RouterSettings.grace, gt=0)
    queue_length: int = Field(default=RouterSettings.queue_length, ge=1)
    attempts: int = Field(default=RouterSettings.attempts, ge=1)
    limits: _LimitsModel = _LimitsModel()

    @model_validator(mode="after")
    def _check_addresses(self) -> "_RouterModel":
        addresses = {"platform.address": self.platform.address}
        for key in ("listen", "peer_listen", "operator_listen"):
            address = getattr(self, key)
            for other, used in addresses.items():
                if used == address:
                    detail = f"{key}: expected another address than {other}, {used}"
                    raise ValueError(detail)
            addresses[key] = address
        return self

    @model_validator(mode="after")
    def _check_durations(self) -> "_RouterModel":
        minimum = _MIN_HEARTBEATS_PER_LEASE * self.heartbeat_ms
        if self.lease_ms < minimum:
            raise ValueError(
                f"lease_ms: expected at least {_MIN_HEARTBEATS_PER_LEASE} times "
                f"heartbeat_ms, {minimum:g}; found {self.lease_ms:g}"
            )
        if self.grace_ms <= self.keep_addresses_ms:
            raise ValueError(
                f"grace_ms: expected more than keep_addresses_ms, "
                f"{self.keep_addresses_ms:g}; found {self.grace_ms:g}"
            )
        return self

    def convert(self) -> RouterSettings:
        return RouterSettings(
            name=self.name,
            host=self.host,
            failure_domain=self.failure_domain,
            listen=Address.parse(self.listen),
            peer_listen=Address.parse(self.peer_listen),
            operator_listen=Address.parse(self.operator_listen),
            platform=Address.parse(self.platform.address),
            platform_credential=self.platform.credential,
            platform_rate=self.platform.calls_per_second,
            platform_burst=self.platform.burst,
            operator_credential=self.operator_credential,
            commit_spacing=self.commit_spacing_ms,
            lease=self.lease_ms,
            heartbeat=self.heartbeat_ms,
            keep_addresses=self.keep_addresses_ms,
            grace=self.grace_ms,
            queue_length=self.queue_length,
            attempts=self.attempts,
            limits=self.limits.convert(),
        )
