"""Explain which policy allows an organisation to use which engines."""

from dataclasses import dataclass

from anvilshift.core.declarations import (
    Catalogue,
    Declaration,
    EngineGroup,
    Organisation,
    Policy,
)
from anvilshift.core.errors import BAD_DECLARATION, AnvilshiftError


@dataclass(frozen=True)
class PolicyOutcome:
    """Result of evaluating one policy for one organisation and engine group.

    Parameters
    ----------
    outcome
        ``decides``, or why the policy doesn't: which label requirement isn't met,
        or to which policy it lost by priority or by name.
    """

    policy: str
    priority: int
    outcome: str


@dataclass(frozen=True)
class Explanation:
    """Whether an organisation may use an engine, and why.

    Parameters
    ----------
    priority, policy
        Priority and name of the deciding policy; None if no policy matches.
    why
        Selectors of the deciding policy, or that no policy matches.
    policies
        Outcome of every policy: first the deciding one, then those that match
        but lost to it, then those that don't match.
    """

    engine: str
    group: str
    allowed: bool
    priority: int | None
    policy: str | None
    why: str
    policies: tuple[PolicyOutcome, ...]


def explain(
    declarations: list[Declaration], organisation: str, engine: str = ""
) -> list[Explanation]:
    """Explain for each engine why an organisation may or may not use it.

    Parameters
    ----------
    engine
        Name of the only engine to explain; all engines if empty.

    Raises
    ------
    AnvilshiftError
        Code 6002 if the organisation or the engine is not declared.
    """
    catalogue = Catalogue.from_declarations(declarations)
    declared = catalogue.organisations.get(organisation)
    if declared is None:
        detail = f"no organisation {organisation} is declared"
        raise AnvilshiftError(BAD_DECLARATION, detail)
    rows = [
        _explain_engine(catalogue, declared, group, item.name)
        for group in catalogue.groups.values()
        for item in group.engines
        if engine in ("", item.name)
    ]
    if engine and not rows:
        raise AnvilshiftError(BAD_DECLARATION, f"no engine {engine} is declared")
    return rows


def _explain_engine(
    catalogue: Catalogue, organisation: Organisation, group: EngineGroup, engine: str
) -> Explanation:
    chosen = catalogue.decide(organisation, group)
    ranked = sorted(
        catalogue.policies.values(), key=lambda p: (p.priority, p.name), reverse=True
    )
    outcomes = [_evaluate_policy(p, organisation, group, chosen) for p in ranked]
    outcomes.sort(key=lambda item: not item.outcome.startswith(("decides", "lost")))
    why = "no policy selects this organisation and this group"
    if chosen is not None:
        why = f"organisations [{chosen.organisations}], engines [{chosen.engines}]"
    return Explanation(
        engine,
        group.name,
        chosen is not None,
        chosen.priority if chosen else None,
        chosen.name if chosen else None,
        why,
        tuple(outcomes),
    )


def _evaluate_policy(
    policy: Policy,
    organisation: Organisation,
    group: EngineGroup,
    chosen: Policy | None,
) -> PolicyOutcome:
    unmet_by_organisation = policy.organisations.find_unmet(organisation.labels)
    unmet_by_group = policy.engines.find_unmet(group.labels)
    if unmet_by_organisation is not None:
        outcome = f"organisation lacks {unmet_by_organisation}"
    elif unmet_by_group is not None:
        outcome = f"engine group lacks {unmet_by_group}"
    elif policy is chosen:
        outcome = "decides"
    else:
        assert chosen is not None
        reason = "priority" if chosen.priority > policy.priority else "name"
        outcome = f"lost to {chosen.name} by {reason}"
    return PolicyOutcome(policy.name, policy.priority, outcome)
