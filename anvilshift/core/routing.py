"""Which service a request goes to, and what may be done with it.

A configuration is immutable and replaced as a whole.  A request keeps the one
that it was routed by until it ends.
"""

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from anvilshift.core.clock import SECOND, Millis


class RequestKind(Enum):
    """What may be repeated of a request, and how its answer comes."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class Rule:
    """How requests under one host name and path prefix are handled.

    Parameters
    ----------
    services
        Services with the weights by which requests are split among them.
    timeout
        Longest time that a caller is kept waiting.
    objective
        Time to the first byte of an answer within which it is on time.
    pause_objective
        Longest pause between two events of a stream that is on time.
    priority
        Rank among routes; 0 is the most urgent.
    most_targets
        Most targets on which one request may run.
    """

    name: str
    host: str
    prefix: str
    kind: RequestKind
    services: tuple[tuple[str, float], ...]
    timeout: Millis
    objective: Millis
    pause_objective: Millis | None = None
    priority: int = 0
    most_targets: int = 1
    anonymous: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Tell whether the request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    def draw_service(self, rng: random.Random) -> str:
        """Return one of the services, drawn by weight."""
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        weights = [weight for _, weight in self.services]
        return rng.choices(names, weights)[0]


@dataclass(frozen=True)
class ModelFigures:
    """What is declared of the engines of a model service.

    Parameters
    ----------
    slots
        Requests that one engine runs at once.
    cache_tokens
        Tokens that one engine's memory holds, running and cached.
    tokens_an_event
        Most tokens that one event of a stream carries.
    fetch_per_token
        Time to fetch a token's memory from another engine; infinite where nothing
        is declared of it.
    """

    slots: int = 0
    cache_tokens: int = 0
    tokens_an_event: int = 1
    fetch_per_token: Millis = math.inf


@dataclass(frozen=True)
class Service:
    """A group of equal targets.

    Parameters
    ----------
    most_connections
        Connections that one target accepts from all routers together.
    model
        Figures of model engines; None for a plain service.
    """

    name: str
    most_connections: int
    model: ModelFigures | None = None


@dataclass(frozen=True)
class Tenancy:
    """An organisation, its credentials and what it has prepaid.

    Parameters
    ----------
    priority
        Goes before a route's own priority; None leaves that in force.
    reserved
        Tokens that the organisation may consume in all; None is no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    reserved: int | None = None


@dataclass(frozen=True)
class ClientLimits:
    """What a caller may send, and how long it may take or stay idle."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout: Millis = 3 * SECOND
    idle_timeout: Millis = 15 * SECOND


@dataclass(frozen=True)
class Configuration:
    """Everything that operators declare, as of one version."""

    version: int
    rules: tuple[Rule, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    organisations: Mapping[str, Tenancy] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()


class RouteTable:
    """Find the rule of a request and the organisation behind a credential.

    Examples
    --------
    >>> kind = RequestKind.IDEMPOTENT
    >>> short = Rule("a", "shop", "/", kind, (("s", 1.0),), 1e3, 1e2)
    >>> long = Rule("b", "shop", "/fish/", kind, (("s", 1.0),), 1e3, 1e2)
    >>> table = RouteTable(Configuration(1, (short, long)))
    >>> table.find("Shop:80", "/fish/7").name, table.find("shop", "/fish").name
    ('b', 'a')
    """

    def __init__(self, configuration: Configuration) -> None:
        self.configuration = configuration
        self._by_host = _group_by_host(configuration.rules)
        self._pauses = _find_pauses(configuration.rules)
        self._by_key = {
            key: organisation
            for organisation in configuration.organisations.values()
            for key in organisation.keys
        }

    def find(self, host: str, path: str) -> Rule | None:
        """Return the rule with the longest prefix of a path, if any."""
        name = host.rpartition(":")[0] if ":" in host else host
        for rule in self._by_host.get(name.lower(), ()):
            if path.startswith(rule.prefix):
                return rule
        return None

    def find_pause(self, service: str) -> Millis:
        """Return the longest pause that no stream of a service may exceed."""
        return self._pauses.get(service, math.inf)

    def find_organisation(self, key: str) -> Tenancy | None:
        """Return the organisation that holds a credential, if any."""
        return self._by_key.get(key)


def _find_pauses(rules: Iterable[Rule]) -> dict[str, Millis]:
    """Return the shortest pause objective of each service's routes."""
    pauses: dict[str, Millis] = {}
    for rule in rules:
        if rule.pause_objective is not None:
            for service, _ in rule.services:
                known = pauses.get(service, math.inf)
                pauses[service] = min(known, rule.pause_objective)
    return pauses


def _group_by_host(rules: Iterable[Rule]) -> dict[str, list[Rule]]:
    """Return the rules by host name, longest prefix first."""
    grouped: dict[str, list[Rule]] = {}
    for rule in sorted(rules, key=lambda rule: -len(rule.prefix)):
        grouped.setdefault(rule.host.lower(), []).append(rule)
    return grouped
