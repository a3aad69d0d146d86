"""Declarations that nothing meets, beside those whose references are wrong."""

from collections.abc import Iterator, Sequence

from anvilshift.core.declarations import Catalogue, Declaration
from anvilshift.operator import validation
from anvilshift.operator.checks.selections import Decisions

_REASONS = {
    "organisations": "organisations: no organisation has these labels",
    "engines": "engines: no engine group has these labels",
    "priority": "priority: another policy goes first wherever this one matches",
}


def find_warnings(declarations: Sequence[Declaration]) -> list[validation.Finding]:
    """Return what is probably a mistake in declarations that are valid together."""
    catalogue = Catalogue.from_declarations(list(declarations))
    return [*_check_policies(catalogue), *_check_callers(catalogue)]


def _check_policies(catalogue: Catalogue) -> Iterator[validation.Finding]:
    decisions = Decisions.from_catalogue(catalogue)
    for policy in catalogue.policies.values():
        if policy.name not in decisions.deciding:
            message = _REASONS[decisions.unmet.get(policy.name, "priority")]
            yield validation.Finding(validation.WARNING, "Policy", policy.name, message)


def _check_callers(catalogue: Catalogue) -> Iterator[validation.Finding]:
    for one in catalogue.organisations.values():
        if not one.credentials:
            message = "credentials: it has none: nobody can call for it"
            yield validation.Finding(
                validation.WARNING, "Organisation", one.name, message
            )
    used = {one.budget for one in catalogue.organisations.values()}
    for budget in catalogue.budgets.values():
        if budget.name not in used:
            message = "name: no organisation spends from it"
            yield validation.Finding(validation.WARNING, "Budget", budget.name, message)
