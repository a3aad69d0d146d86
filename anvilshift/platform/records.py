"""Schemas of the objects that operators and targets write to the platform's store."""

import hashlib
import math
from collections.abc import Mapping
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, ConfigDict, Field
from pydantic.alias_generators import to_camel

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.health.coldtargets import ColdNeeds, find_end
from anvilshift.core.routing import (
    ClientLimits,
    Configuration,
    ModelLimits,
    OrganisationBudget,
    RequestKind,
    Rule,
    Service,
)
from anvilshift.core.targetload import TargetInfo
from anvilshift.wire.messages import is_ipv4

_BITS_PER_BYTE = 8
"""Bits per byte."""
_BITS_PER_MS_PER_MBPS = 1_000.0
"""Bits per millisecond at a rate of one megabit per second."""
_MAX_VERSION_CHARACTERS = 64
_REQUEST_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}


_MAX_NAME_CHARACTERS = 256
_Name = Annotated[str, Field(max_length=_MAX_NAME_CHARACTERS, pattern="^[ -~]+$")]
_MAX_SLOTS = 1_000_000
_MAX_MILLIS = 2**53
"""Largest time stamp: Unix milliseconds that a float holds as well."""
_MAX_PORT = 65_535


def _check_address(value: str) -> str:
    """Return an address with a port, as it is written.

    Raises
    ------
    ValueError
        When nothing can be reached at it.
    """
    ip, _, port = value.rpartition(":")
    is_number = port.isascii() and port.isdecimal() and len(port) <= len("65535")
    if not is_ipv4(ip) or not is_number or not 1 <= int(port) <= _MAX_PORT:
        raise ValueError("the address or the port is out of range")
    return value


class _Record(BaseModel):
    """Base of the platform's records: camel-case keys, unknown fields are ignored."""

    model_config = ConfigDict(
        alias_generator=to_camel, extra="ignore", populate_by_name=True
    )


class _Split(_Record):
    service: str
    weight: float


class RouteRecord(_Record):
    """A route in the operators' configuration."""

    name: str = ""
    hostname: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    latency_goal_ms: float = 1_000.0
    itl_target_ms: float | None = None
    """Target for the longest gap between two events, not between two tokens."""
    priority: int = 0
    service: str | None = None
    split: list[_Split] = Field(default_factory=list)
    max_attempts: int = 1
    """Most targets on which one attempt of a caller may run."""
    anonymous: bool = False
    resumable: bool = False

    def convert(self) -> Rule:
        """Return the gateway's routing rule."""
        services = tuple((one.service, one.weight) for one in self.split)
        return Rule(
            name=self.name,
            host=self.hostname,
            prefix=self.path_prefix,
            kind=_REQUEST_KINDS.get(self.route_kind, RequestKind.NON_IDEMPOTENT),
            services=services or ((self.service or "", 1.0),),
            timeout=self.timeout_ms,
            objective=self.latency_goal_ms,
            pause_objective=self.itl_target_ms,
            priority=self.priority,
            max_targets_per_request=self.max_attempts,
            anonymous=self.anonymous,
            resumable=self.resumable,
        )


class _Engine(_Record):
    slots: int = 0
    kv_capacity: int = 0
    stride: int = 1
    """Most tokens in one event."""
    kv_token_bytes: float = 0.0
    """Bytes of key-value cache per token when it is sent to another engine."""
    link_mbps: float = 0.0
    """Megabits per second at which engines send each other key-value cache."""

    def convert(self) -> ModelLimits:
        """Return the model's figures; the fetch time is infinite if one is missing."""
        bits, rate = (
            self.kv_token_bytes * _BITS_PER_BYTE,
            self.link_mbps * _BITS_PER_MS_PER_MBPS,
        )
        per_token = bits / rate if bits > 0.0 and rate > 0.0 else math.inf
        return ModelLimits(self.slots, self.kv_capacity, self.stride, per_token)


class ServiceRecord(_Record):
    """A service in the operators' configuration."""

    name: str
    max_conns: int = 64
    engine_id: _Engine | None = None
    """Figures of the service's model engines; despite the name it is not an id."""
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0
    """Requests a second that a target takes for so long after its start."""

    def convert(self) -> Service:
        """Return the gateway's service."""
        engine = self.engine_id
        model = None if engine is None else engine.convert()
        return Service(self.name, self.max_conns, model, self._convert_cold())

    def _convert_cold(self) -> ColdNeeds | None:
        if not 0.0 < self.cold_per_s < math.inf:
            return None
        lasts = find_end(self.cold_start_s * SECOND, 0.0)
        return ColdNeeds(self.cold_per_s, lasts)


class _Tenant(_Record):
    name: str
    api_keys: list[str] = Field(default_factory=list)
    priority: int | None = None
    reserved: int | None = None
    """Cumulative limit on consumed tokens; each prepayment raises it."""

    def convert(self) -> OrganisationBudget:
        """Return the gateway's organisation."""
        return OrganisationBudget(
            self.name, tuple(self.api_keys), self.priority, self.reserved
        )


class _Limits(_Record):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0

    def convert(self) -> ClientLimits:
        """Return the gateway's limits on callers' connections."""
        return ClientLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms,
            self.idle_timeout_ms,
        )


class ConfigurationRecord(_Record):
    """The operators' complete configuration."""

    version: int
    routes: list[RouteRecord]
    services: list[ServiceRecord]
    tenants: list[_Tenant] = Field(default_factory=list)
    limits: _Limits = Field(default_factory=_Limits)

    def convert(self) -> Configuration:
        """Return the gateway's configuration."""
        services: Mapping[str, Service] = {s.name: s.convert() for s in self.services}
        return Configuration(
            version=self.version,
            rules=tuple(route.convert() for route in self.routes),
            services=services,
            organisations={one.name: one.convert() for one in self.tenants},
            limits=self.limits.convert(),
        )


class TargetRecord(_Record):
    """The entry with which a target registers itself."""

    model_config = ConfigDict(strict=True)
    service: _Name
    address: Annotated[str, AfterValidator(_check_address)]
    zone: _Name
    slots: int = Field(ge=1, le=_MAX_SLOTS)
    state: str = Field(pattern="^(ready|draining)$")
    cold_left_ms: float = Field(default=0.0, allow_inf_nan=False)
    born: int = Field(default=0, ge=0, le=_MAX_MILLIS)
    version: Any = None

    def convert(self, name: str, now: Millis) -> TargetInfo:
        """Return the gateway's target."""
        return TargetInfo(
            name=name,
            service=self.service,
            address=self.address,
            failure_domain=self.zone,
            slots=self.slots,
            leaving=self.state == "draining",
            born=self.born,
            cold_until=_find_cold_end(self.cold_left_ms, now),
            version=_read_version(self.version),
        )


class ReportRecord(_Record):
    """What a target reports of itself."""

    model_config = ConfigDict(strict=True)
    born: int | None = None


def _find_cold_end(left: Millis, now: Millis) -> Millis:
    """Return when a target is cold no more, by what its entry says."""
    return find_end(left, now) if left > 0.0 else -math.inf


def _read_version(value: Any) -> str | None:
    """Return a version of bounded length; None unless it is a non-empty text.

    A digest stands for a long one, so that two of them are equal only if they are the
    same text.
    """
    if not isinstance(value, str) or not value:
        return None
    if len(value) <= _MAX_VERSION_CHARACTERS:
        return value
    return hashlib.sha256(value.encode("utf-8", "surrogatepass")).hexdigest()
