"""Settings file that the platform writes for each process."""

import os
import pathlib
import tomllib

from pydantic import BaseModel, Field, ValidationError

from anvilshift.core.admission.callershare import HostLimits
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import BAD_SETTINGS, AnvilshiftError
from anvilshift.core.health.coldtargets import ColdBounds
from anvilshift.core.retries import RetryLimits
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.platform import names
from anvilshift.wire.messages import Address

_MAX_RETRY_RATIO = 10.0
_MIN_RETRY_WINDOW_S, _MAX_RETRY_WINDOW_S = 0.1, 3_600.0
_MAX_RETRY_ALLOWANCE = 1e6
"""A value beyond these is taken for a mistake: no service stands so many retries."""
_MAX_READERS = 16
_MAX_COLD_OVERAGE, _MAX_COLD_ALLOWANCE = 100.0, 1e6
_DEFAULT_PATH = "/etc/anvilshift/local.toml"


class _Listen(BaseModel):
    front: str
    ready: str | None = None
    control: str | None = None
    directory: str | None = None


class _Bounds(BaseModel):
    grace_s: float = Field(default=8.0, alias="graceS")
    retry_ratio: float = Field(
        default=RetryLimits.ratio, alias="retryRatio", ge=0, le=_MAX_RETRY_RATIO
    )
    retry_window_s: float = Field(
        default=RetryLimits.window / SECOND,
        alias="retryWindowS",
        ge=_MIN_RETRY_WINDOW_S,
        le=_MAX_RETRY_WINDOW_S,
    )
    retry_allowance: float = Field(
        default=RetryLimits.allowance,
        alias="retryAllowance",
        ge=0,
        le=_MAX_RETRY_ALLOWANCE,
    )

    stable_ms: Millis = Field(
        default=GatewaySettings.recovery,
        alias="stableMs",
        ge=0,
        allow_inf_nan=False,
    )

    evacuate_ms: Millis | None = Field(
        default=None, alias="evacuateMs", ge=0, allow_inf_nan=False
    )

    cold_overage: float = Field(
        default=ColdBounds.overage, alias="coldOverage", ge=0, le=_MAX_COLD_OVERAGE
    )
    cold_allowance: float = Field(
        default=ColdBounds.allowance,
        alias="coldAllowance",
        ge=0,
        le=_MAX_COLD_ALLOWANCE,
    )

    def convert_cold(self) -> ColdBounds:
        """Return how far the rate of a cold target may be exceeded."""
        return ColdBounds(self.cold_overage, self.cold_allowance)

    def convert_retries(self) -> RetryLimits:
        """Return the limits on requests that are sent again."""
        window = self.retry_window_s * SECOND
        return RetryLimits(self.retry_ratio, window, self.retry_allowance)


class _Store(BaseModel):
    address: str
    history_s: float | None = Field(default=None, alias="historyS")


class _Limits(BaseModel):
    link_mbps: float | None = Field(
        default=None, alias="linkMbps", gt=0, allow_inf_nan=False
    )
    memory_mb: float | None = Field(
        default=None, alias="memoryMb", gt=0, allow_inf_nan=False
    )
    max_fds: int | None = Field(default=None, alias="maxFds", gt=0)

    def convert(self) -> HostLimits:
        """Return what the router may use of its host."""
        return HostLimits(self.link_mbps, self.memory_mb, self.max_fds)


class SettingsRecord(BaseModel):
    """Fields of the settings file that are used; unknown fields are ignored."""

    name: str = Field(alias="nodeName")
    ip: str
    zone: str
    ports: tuple[int, int] = Field(alias="internalPorts")
    seeds: list[str] = Field(default_factory=list)
    listen: _Listen
    bounds: _Bounds = Field(default_factory=_Bounds)
    platform: _Store
    limits: _Limits = Field(default_factory=_Limits)
    paces_returns: bool = Field(
        default=GatewaySettings.paces_returns, alias="pacesReturns"
    )
    readers_per_domain: int = Field(
        default=GatewaySettings.readers_per_domain,
        alias="storeReadersPerZone",
        ge=0,
        le=_MAX_READERS,
    )

    spare_writes: bool = Field(
        default=GatewaySettings.spare_writes, alias="spareStoreWrites"
    )

    def convert(self) -> GatewaySettings:
        """Return the gateway's settings."""
        listen = self.listen
        return GatewaySettings(
            name=self.name,
            ip=self.ip,
            failure_domain=self.zone,
            front=Address.parse(listen.front),
            ready=Address.parse(listen.ready) if listen.ready else None,
            directory=Address.parse(listen.directory) if listen.directory else None,
            peer_port=self.ports[0],
            forward_port=self.ports[0] + 1,
            store=Address.parse(self.platform.address),
            seeds=tuple(Address.parse(seed).ip for seed in self.seeds),
            grace=self.bounds.grace_s * SECOND,
            retries=self.bounds.convert_retries(),
            history=_convert_to_ms(self.platform.history_s),
            recovery=self.bounds.stable_ms,
            cold=self.bounds.convert_cold(),
            configuration_port=self.ports[0] + 2,
            watch_port=self.ports[0] + 3,
            readers_per_domain=self.readers_per_domain,
            spare_writes=self.spare_writes,
            drain_bound=self.bounds.evacuate_ms,
            limits=self.limits.convert(),
            paces_returns=self.paces_returns,
        )


def _convert_to_ms(seconds: float | None) -> Millis | None:
    return None if seconds is None else seconds * SECOND


def find_settings_path() -> str:
    """Return the path of the settings file; an environment variable overrides it."""
    return os.environ.get(names.SETTINGS_VARIABLE, _DEFAULT_PATH)


def read_settings(path: str) -> GatewaySettings:
    """Read and validate a settings file.

    Raises
    ------
    AnvilshiftError
        Code 6001 with the path, and the field that is missing or invalid.
    """
    try:
        values = tomllib.loads(pathlib.Path(path).read_text())
        return SettingsRecord.model_validate(values).convert()
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        raise AnvilshiftError(BAD_SETTINGS, f"{path}: {error}") from error
    except ValidationError as error:
        first = error.errors()[0]
        field = ".".join(str(part) for part in first["loc"])
        detail = f"{path}: {field}: {first['msg']}"
        raise AnvilshiftError(BAD_SETTINGS, detail) from error
    except ValueError as error:
        raise AnvilshiftError(BAD_SETTINGS, f"{path}: {error}") from error
