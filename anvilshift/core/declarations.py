"""What operators declare: budgets, organisations, routes, engine groups, policies."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.labels import Labels, Selector


class TargetKind(Enum):
    """What stands behind a route."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True)
class Budget:
    """A prepaid budget; its tokens come by top-up.

    Parameters
    ----------
    allowance
        Tokens that one router may bill before the platform has recorded the
        bills.  More of it lives longer through an outage and leaves more in
        doubt after a crash.
    grant
        Most tokens that one router draws at once.
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
        Share of a full engine relative to other organisations.
    """

    name: str
    budget: str
    labels: Labels = field(default_factory=dict)
    credentials: tuple[str, ...] = ()
    weight: float = 1.0


@dataclass(frozen=True)
class Route:
    """A model or a plain service that callers may name.

    Parameters
    ----------
    engines
        Selects the engine groups that serve the route.
    request_class
        The class by which histograms are kept.
    cost
        Tokens that a call of a plain service costs; engines report their own.
    timeout
        Milliseconds that a call has when its caller states no deadline.
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
    """A target as its group declares it.

    Parameters
    ----------
    slots
        Requests that the target runs at once before it queues them itself.
    checks_fencing
        Whether it refuses an order that carries an old fencing number.
    host
        Its host's name on the platform's list; empty when it is the target's.
    """

    name: str
    address: str
    failure_domain: str
    slots: int = 8
    checks_fencing: bool = False
    host: str = ""

    @property
    def host_name(self) -> str:
        """Return the name under which the platform lists its host."""
        return self.host or self.name


@dataclass(frozen=True)
class EngineGroup:
    """Targets of one kind that share labels.

    Parameters
    ----------
    desired
        What every engine of the group shall have loaded, such as its model,
        adapter, version and role; orders are given until it has.
    """

    name: str
    kind: TargetKind
    engines: tuple[Engine, ...]
    labels: Labels = field(default_factory=dict)
    models: tuple[str, ...] = ()
    desired: Mapping[str, str] = field(default_factory=dict)

    @property
    def offers(self) -> frozenset[str]:
        """Return names of what its targets serve; groups that share none differ."""
        return frozenset(self.models or [self.kind.value])

    def serves(self, route: "Route") -> bool:
        """Tell whether the group's targets can serve a route."""
        if self.kind is not route.kind or not route.engines.matches(self.labels):
            return False
        return route.kind is TargetKind.SERVICE or route.name in self.models


@dataclass(frozen=True)
class Policy:
    """Which organisations may use which engine groups, at what priority.

    A higher priority is served first.  Where several policies match, the one
    with the highest priority decides; the name breaks a tie.
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
    """An engine that an organisation may use, and why."""

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
        """Gather declarations by kind and name."""

        def named(kind: type) -> dict[str, Declaration]:
            return {d.name: d for d in declarations if isinstance(d, kind)}

        return cls(
            revision,
            named(Budget),  # type: ignore[arg-type]
            named(Organisation),  # type: ignore[arg-type]
            named(Route),  # type: ignore[arg-type]
            named(EngineGroup),  # type: ignore[arg-type]
            named(Policy),  # type: ignore[arg-type]
        )

    def decide(self, organisation: Organisation, group: EngineGroup) -> Policy | None:
        """Return the policy that lets an organisation use a group, if one does."""
        matching = [
            policy
            for policy in self.policies.values()
            if policy.organisations.matches(organisation.labels)
            and policy.engines.matches(group.labels)
        ]
        return max(matching, key=lambda p: (p.priority, p.name), default=None)

    def candidates(self, organisation: Organisation, route: Route) -> list[Candidate]:
        """Return the engines that may serve an organisation's call of a route."""
        found = []
        for group in self.groups.values():
            if not group.serves(route):
                continue
            policy = self.decide(organisation, group)
            if policy is None:
                continue
            for engine in group.engines:
                chosen = Candidate(engine, group.name, policy.priority, policy.name)
                found.append(chosen)
        return found
