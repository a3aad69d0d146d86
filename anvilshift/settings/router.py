"""Settings of a router process."""

from dataclasses import dataclass

from pydantic import BaseModel, ConfigDict, Field, model_validator

from anvilshift.core.clock import SECOND, Millis
from anvilshift.settings.files import IpPort, load_settings
from anvilshift.wire.messages import DEFAULT_LIMITS, Address, Limits

_HEARTBEATS_PER_LEASE = 4
"""With fewer, one lost heartbeat and a slow one make a router look lost."""


@dataclass(frozen=True)
class RouterSettings:
    """What one router process is told at its start.

    Parameters
    ----------
    name
        The router's name, unique in the fleet.
    host
        The host's name on the platform's list.
    failure_domain
        Where the host stands.
    listen, peer_listen, operator_listen
        Addresses for callers, other routers and operators.
    platform
        Address of the object API.
    platform_rate, platform_burst
        Calls of the object API a second, and how many may be saved up.  Five
        routers at 200 leave half of 2,000 reads a second to others.
    operator_credential
        SHA-256 of the token that operators present, in hexadecimal.
    commit_spacing
        Least milliseconds between two group commits to one ledger.
    lease
        Milliseconds without a sign of life after which a router counts as lost.
    heartbeat
        Milliseconds between two heartbeats to the other routers.
    keep_addresses
        Milliseconds that callers may keep an answer of the address lookup.
    grace
        Most milliseconds that a planned stop may take.
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
        """Read and check a YAML file.

        Raises
        ------
        AnvilshiftError
            Code 6001 with file, key path and what was expected.
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
        found = {"platform.address": self.platform.address}
        for key in ("listen", "peer_listen", "operator_listen"):
            address = getattr(self, key)
            for other, taken in found.items():
                if taken == address:
                    detail = f"{key}: expected another address than {other}, {taken}"
                    raise ValueError(detail)
            found[key] = address
        return self

    @model_validator(mode="after")
    def _check_spans(self) -> "_RouterModel":
        least = _HEARTBEATS_PER_LEASE * self.heartbeat_ms
        if self.lease_ms < least:
            raise ValueError(
                f"lease_ms: expected at least {_HEARTBEATS_PER_LEASE} times "
                f"heartbeat_ms, {least:g}; found {self.lease_ms:g}"
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
