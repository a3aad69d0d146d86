"""Objects declared by operators.

These are budgets, organisations, routes, engine groups and policies.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.labels import Labels, Selector


class TargetKind(Enum):
    """Whether a route leads to a model or to a plain service."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True)
class Budget:
    """A prepaid budget, filled by top-ups.

    Parameters
    ----------
    allowance
        Tokens that one router may bill before the platform has recorded the
        bills.  A larger allowance lets routers serve longer during an outage, but
        leaves more tokens in doubt after a crash.
    grant
        Most tokens that one router draws from the budget at once.
    """

    name: str
    labels: Labels = field(default_factory=dict)
    allowance: int = 2_000
    grant: int = 50_000


@dataclass(frozen=True)
class Organisation:
    """A customer that spends from one budget.

    Parameters
    ----------
    credentials
        SHA-256 hashes, in hexadecimal, of the tokens that its callers present.
    weight
        Share of a full engine's capacity, relative to other organisations.
    """

    name: str
    budget: str
    labels: Labels = field(default_factory=dict)
    credentials: tuple[str, ...] = ()
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """A model or a plain service that callers address by name.

    Parameters
    ----------
    engines
        Selects the engine groups that serve the route.
    request_class
        Class of requests for which separate histograms are kept.
    cost
        Tokens charged for a call of a plain service; engines report the tokens used.
    timeout
        Milliseconds until the deadline of a call whose caller sets none.
    non_idempotent
        Whether every call of the route runs at most once.
    """

    name: str
    kind: TargetKind
    engines: Selector = field(default_factory=Selector)
    labels: Labels = field(default_factory=dict)
    request_class: str = "default"
    cost: int = 0
    timeout: Millis = 30 * SECOND
    non_idempotent: bool = False


@dataclass(frozen=True)
class Engine:
    """A target, as declared in its group.

    Parameters
    ----------
    slots
        Requests that the target runs concurrently before it queues further ones.
    checks_fencing
        Whether the target refuses an order with an outdated fencing number.
    host
        Name of the target's host in the platform's list; empty if it is the same as
        the target's name.
    """

    name: str
    address: str
    failure_domain: str
    slots: int = 8
    checks_fencing: bool = False
    host: str = ""

    @property
    def host_name(self) -> str:
        """Return the name under which the platform lists the target's host."""
        return self.host or self.name


@dataclass(frozen=True)
class EngineGroup:
    """Targets of one kind that share labels.

    Parameters
    ----------
    desired
        State that every engine of the group must have, such as its model, adapter,
        version and role; routers send orders to an engine until it has that state.
    """

    name: str
    kind: TargetKind
    engines: tuple[Engine, ...]
    labels: Labels = field(default_factory=dict)
    models: tuple[str, ...] = ()
    desired: Mapping[str, str] = field(default_factory=dict)

    @property
    def offers(self) -> frozenset[str]:
        """Return the names of what the targets serve.

        Groups without a common name serve different work.
        """
        return frozenset(self.models or [self.kind.value])

    def serves(self, route: "Route") -> bool:
        """Tell whether the group's targets can serve a route."""
        if self.kind is not route.kind or not route.engines.matches(self.labels):
            return False
        return route.kind is TargetKind.SERVICE or route.name in self.models


@dataclass(frozen=True)
class Policy:
    """A rule that lets organisations use engine groups at a priority.

    Work with a higher priority is served first.  If several policies match, the
    one with the highest priority applies; ties are resolved by name.
    """

    name: str
    organisations: Selector
    engines: Selector
    priority: int = 0


Declaration = Budget | Organisation | Route | EngineGroup | Policy
KINDS: dict[str, type] = {
    kind.__name__: kind for kind in (Budget, Organisation, Route, EngineGroup, Policy)
}


@dataclass(frozen=True)
class Candidate:
    """An engine that an organisation may use, with the policy that allows it."""

    engine: Engine
    group: str
    priority: int
    policy: str


@dataclass(frozen=True)
class Catalogue:
    """Every declaration in force at one revision of the platform."""

    revision: int = 0
    budgets: Mapping[str, Budget] = field(default_factory=dict)
    organisations: Mapping[str, Organisation] = field(default_factory=dict)
    routes: Mapping[str, Route] = field(default_factory=dict)
    groups: Mapping[str, EngineGroup] = field(default_factory=dict)
    policies: Mapping[str, Policy] = field(default_factory=dict)

    @classmethod
    def from_declarations(
        cls, declarations: list[Declaration], revision: int = 0
    ) -> "Catalogue":
        """Build a catalogue that indexes declarations by kind and name."""

        def index_by_name(kind: type) -> dict[str, Declaration]:
            return {d.name: d for d in declarations if isinstance(d, kind)}

        return cls(
            revision,
            index_by_name(Budget),  # type: ignore[arg-type]
            index_by_name(Organisation),  # type: ignore[arg-type]
            index_by_name(Route),  # type: ignore[arg-type]
            index_by_name(EngineGroup),  # type: ignore[arg-type]
            index_by_name(Policy),  # type: ignore[arg-type]
        )

    def decide(self, organisation: Organisation, group: EngineGroup) -> Policy | None:
        """Return the policy that applies to an organisation and a group, if any."""
        matching = [
            policy
            for policy in self.policies.values()
            if policy.organisations.matches(organisation.labels)
            and policy.engines.matches(group.labels)
        ]
        return max(matching, key=lambda p: (p.priority, p.name), default=None)

    def candidates(self, organisation: Organisation, route: Route) -> list[Candidate]:
        """Return the engines that may serve an organisation's calls of a route."""
        found = []
        for group in self.groups.values():
            if not group.serves(route):
                continue
            policy = self.decide(organisation, group)
            if policy is None:
                continue
            for engine in group.engines:
                candidate = Candidate(engine, group.name, policy.priority, policy.name)
                found.append(candidate)
        return found
