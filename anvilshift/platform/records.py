"""Models of what the operators and the engines write into the platform's store."""

import math
from collections.abc import Mapping

from pydantic import BaseModel, ConfigDict, Field
from pydantic.alias_generators import to_camel

from anvilshift.core.clock import Millis
from anvilshift.core.loadmap import TargetInfo
from anvilshift.core.routing import (
    ClientLimits,
    Configuration,
    ModelLimits,
    OrganisationBudget,
    RequestKind,
    Rule,
    Service,
)

_BITS = 8
"""Bits of a byte."""
_BITS_A_MS_PER_MBPS = 1_000.0
"""Bits that a rate of one megabit a second carries in a millisecond."""
_KINDS = {
    "idempotent": RequestKind.IDEMPOTENT,
    "non_idempotent": RequestKind.NON_IDEMPOTENT,
    "streaming": RequestKind.STREAMING,
}


class _Record(BaseModel):
    """A record of the platform: camel case, with fields that are not known yet."""

    model_config = ConfigDict(
        alias_generator=to_camel, extra="ignore", populate_by_name=True
    )


class _Split(_Record):
    service: str
    weight: float


class RouteRecord(_Record):
    """A route of the operators' configuration."""

    name: str = ""
    hostname: str
    path_prefix: str
    route_kind: str
    timeout_ms: float
    latency_goal_ms: float = 1_000.0
    itl_target_ms: float | None = None
    """Longest pause between two events, not between two tokens."""
    priority: int = 0
    service: str | None = None
    split: list[_Split] = Field(default_factory=list)
    max_attempts: int = 1
    """Targets on which one attempt of a caller may run."""
    anonymous: bool = False
    resumable: bool = False

    def convert(self) -> Rule:
        """Return the product's rule."""
        services = tuple((one.service, one.weight) for one in self.split)
        return Rule(
            name=self.name,
            host=self.hostname,
            prefix=self.path_prefix,
            kind=_KINDS.get(self.route_kind, RequestKind.NON_IDEMPOTENT),
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
    """Most tokens of one event."""
    kv_token_bytes: float = 0.0
    """Size of a token's memory, as it is sent to another engine."""
    link_mbps: float = 0.0
    """Rate at which engines send memory to one another."""

    def convert(self) -> ModelLimits:
        """Return the product's figures."""
        bits, rate = self.kv_token_bytes * _BITS, self.link_mbps * _BITS_A_MS_PER_MBPS
        per_token = bits / rate if bits > 0.0 and rate > 0.0 else math.inf
        return ModelLimits(self.slots, self.kv_capacity, self.stride, per_token)


class ServiceRecord(_Record):
    """A service of the operators' configuration."""

    name: str
    max_conns: int = 64
    engine_id: _Engine | None = None
    """Despite its name the figures of the service's model engines."""

    def convert(self) -> Service:
        """Return the product's service."""
        engine = self.engine_id
        if engine is None:
            return Service(self.name, self.max_conns)
        return Service(self.name, self.max_conns, engine.convert())


class _Tenant(_Record):
    name: str
    api_keys: list[str] = Field(default_factory=list)
    priority: int | None = None
    reserved: int | None = None
    """Tokens that may be consumed in all; it grows when more is prepaid."""

    def convert(self) -> OrganisationBudget:
        """Return the product's organisation."""
        return OrganisationBudget(
            self.name, tuple(self.api_keys), self.priority, self.reserved
        )


class _Limits(_Record):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0

    def convert(self) -> ClientLimits:
        """Return the product's limits."""
        return ClientLimits(
            self.max_header_bytes,
            self.max_body_bytes,
            self.header_timeout_ms,
            self.idle_timeout_ms,
        )


class ConfigurationRecord(_Record):
    """The operators' configuration in full."""

    version: int
    routes: list[RouteRecord] = Field(default_factory=list)
    services: list[ServiceRecord] = Field(default_factory=list)
    tenants: list[_Tenant] = Field(default_factory=list)
    limits: _Limits = Field(default_factory=_Limits)

    def convert(self) -> Configuration:
        """Return the product's configuration."""
        services: Mapping[str, Service] = {s.name: s.convert() for s in self.services}
        return Configuration(
            version=self.version,
            rules=tuple(route.convert() for route in self.routes),
            services=services,
            organisations={one.name: one.convert() for one in self.tenants},
            limits=self.limits.convert(),
        )


class TargetRecord(_Record):
    """An engine's own entry."""

    model_config = ConfigDict(strict=True)
    service: str
    address: str = Field(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")
    zone: str
    slots: int
    state: str = Field(pattern="^(ready|draining)$")
    cold_left_ms: float = 0.0
    born: int = 0

    def convert(self, name: str, now: Millis) -> TargetInfo:
        """Return the product's target."""
        return TargetInfo(
            name=name,
            service=self.service,
            address=self.address,
            failure_domain=self.zone,
            slots=self.slots,
            leaving=self.state == "draining",
            born=self.born,
        )
