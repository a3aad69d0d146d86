"""Explain which policy lets an organisation use which engines."""

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
class Consideration:
    """What became of one policy for one organisation and engine group."""

    policy: str
    priority: int
    outcome: str


@dataclass(frozen=True)
class Explanation:
    """Whether an organisation may use an engine, and why.

    Parameters
    ----------
    policies
        Every policy, the deciding one first, then those that match and lost.
    """

    engine: str
    group: str
    allowed: bool
    priority: int | None
    policy: str | None
    why: str
    policies: tuple[Consideration, ...]


def explain(
    declarations: list[Declaration], organisation: str, engine: str = ""
) -> list[Explanation]:
    """Return why an organisation may, or may not, use each engine.

    Raises
    ------
    AnvilshiftError
        Code 6002 when no such organisation or engine is declared.
    """
    catalogue = Catalogue.from_declarations(declarations)
    found = catalogue.organisations.get(organisation)
    if found is None:
        detail = f"no organisation {organisation} is declared"
        raise AnvilshiftError(BAD_DECLARATION, detail)
    rows = [
        _explain_engine(catalogue, found, group, item.name)
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
    considered = [_consider(p, organisation, group, chosen) for p in ranked]
    considered.sort(key=lambda item: not item.outcome.startswith(("decides", "lost")))
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
        tuple(considered),
    )


def _consider(
    policy: Policy,
    organisation: Organisation,
    group: EngineGroup,
    chosen: Policy | None,
) -> Consideration:
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
    return Consideration(policy.name, policy.priority, outcome)
