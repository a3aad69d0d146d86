"""Route requests to services, and describe how each route is handled.

A configuration is immutable and replaced as a whole.  A request keeps the
configuration by which it was routed until it ends.
"""

import math
import random
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from operator import itemgetter

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.health.coldtargets import ColdNeeds


class RequestKind(Enum):
    """Whether a request may be repeated, and whether its answer is a stream."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAMING = "streaming"


@dataclass(frozen=True)
class Rule:
    """A route: the handling of requests under one host name and path prefix.

    Parameters
    ----------
    services
        Services with the weights by which requests are split among them.
    timeout
        Longest time that a caller waits for an answer.
    objective
        Latency objective: the time to first byte within which an answer is on time.
    pause_objective
        Longest pause between two events within which a stream is on time.
    priority
        Priority among routes; 0 is the most urgent.
    max_targets_per_request
        Maximum number of targets on which one request may run.
    anonymous
        Whether requests without a credential are accepted.
    resumable
        Whether a broken stream may be resumed by running its request again.
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
    max_targets_per_request: int = 1
    anonymous: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Return whether the request may run more than once."""
        return self.kind is RequestKind.IDEMPOTENT or self.resumable

    def leads_to(self, service: str) -> bool:
        """Return whether requests on the route may go to a service."""
        return any(name == service and weight > 0 for name, weight in self.services)

    def draw_service(self, rng: random.Random) -> str:
        """Return one of the services at random, in proportion to the weights."""
        if len(self.services) == 1:
            return self.services[0][0]
        names = [name for name, _ in self.services]
        weights = [weight for _, weight in self.services]
        return rng.choices(names, weights)[0]


@dataclass(frozen=True)
class ModelLimits:
    """The declared figures of a model service's engines.

    Parameters
    ----------
    slots
        Requests that one engine runs concurrently.
    cache_tokens
        Tokens that one engine's KV cache holds, of running requests and cached ones.
    tokens_per_event
        Maximum number of tokens in one event of a stream.
    fetch_per_token
        Time to transfer the cache entries of one token from another engine;
        infinite where it isn't declared.
    """

    slots: int = 0
    cache_tokens: int = 0
    tokens_per_event: int = 1
    fetch_per_token: Millis = math.inf


@dataclass(frozen=True)
class Service:
    """A group of interchangeable targets.

    Parameters
    ----------
    max_connections
        Connections that one target accepts from all routers together.
    model
        Figures of its engines; None for a plain service.
    cold
        What its targets need after a start; None if they need nothing.
    """

    name: str
    max_connections: int
    model: ModelLimits | None = None
    cold: ColdNeeds | None = None


@dataclass(frozen=True)
class OrganisationBudget:
    """An organisation, its credentials and its prepaid tokens.

    Parameters
    ----------
    priority
        Overrides the priority of the route; None for no override.
    reserved
        Total tokens that the organisation may consume; None for no limit.
    """

    name: str
    keys: tuple[str, ...] = ()
    priority: int | None = None
    reserved: int | None = None


@dataclass(frozen=True)
class ClientLimits:
    """Limits on the size of a caller's requests and on slow or idle connections."""

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout: Millis = 3 * SECOND
    idle_timeout: Millis = 15 * SECOND


@dataclass(frozen=True)
class Configuration:
    """One version of all declarations of the operators."""

    version: int
    rules: tuple[Rule, ...] = ()
    services: Mapping[str, Service] = field(default_factory=dict)
    organisations: Mapping[str, OrganisationBudget] = field(default_factory=dict)
    limits: ClientLimits = ClientLimits()


class RouteTable:
    """Look up the rule of a request and the organisation of a credential.

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
        """Return the rule of a host with the longest prefix of a path, if any."""
        name = host.rpartition(":")[0] if ":" in host else host
        for length, rules in self._by_host.get(name.lower(), ()):
            rule = rules.get(path[:length])
            if rule is not None:
                return rule
        return None

    def find_pause_objective(self, service: str) -> Millis:
        """Return the shortest pause objective of a service's routes.

        It is infinite for a service without one.
        """
        return self._pauses.get(service, math.inf)

    def find_organisation(self, key: str) -> OrganisationBudget | None:
        """Return the organisation to which a credential belongs, if any."""
        return self._by_key.get(key)


def _find_pauses(rules: Iterable[Rule]) -> dict[str, Millis]:
    """Return the shortest pause objective of each service's routes."""
    pauses: dict[str, Millis] = {}
    for rule in rules:
        if rule.pause_objective is not None:
            for service, _ in rule.services:
                shortest = pauses.get(service, math.inf)
                pauses[service] = min(shortest, rule.pause_objective)
    return pauses


_RulesByLength = list[tuple[int, dict[str, Rule]]]


def _group_by_host(rules: Iterable[Rule]) -> dict[str, _RulesByLength]:
    """Return the rules of each host name by prefix, for each length of a prefix.

    The longest prefixes come first; of rules with one prefix, the first one counts.
    """
    grouped: dict[str, dict[int, dict[str, Rule]]] = {}
    for rule in rules:
        by_length = grouped.setdefault(rule.host.lower(), {})
        of_length = by_length.setdefault(len(rule.prefix), {})
        of_length.setdefault(rule.prefix, rule)
    return {
        host: sorted(by_length.items(), key=itemgetter(0), reverse=True)
        for host, by_length in grouped.items()
    }
