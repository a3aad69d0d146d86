"""Declarations that nothing meets, beside those whose references are wrong."""

from collections.abc import Iterator, Sequence

from anvilshift.core.declarations import Catalogue, Declaration, Policy
from anvilshift.operator import validation


def find_warnings(declarations: Sequence[Declaration]) -> list[validation.Finding]:
    """Return what is probably a mistake in declarations that are valid together."""
    catalogue = Catalogue.from_declarations(list(declarations))
    return [*_check_policies(catalogue), *_check_callers(catalogue)]


def _check_policies(catalogue: Catalogue) -> Iterator[validation.Finding]:
    deciding = {
        policy.name
        for organisation in catalogue.organisations.values()
        for group in catalogue.groups.values()
        if (policy := catalogue.decide(organisation, group)) is not None
    }
    for policy in catalogue.policies.values():
        if policy.name not in deciding:
            message = _explain(policy, catalogue)
            yield validation.Finding(validation.WARNING, "Policy", policy.name, message)


def _explain(policy: Policy, catalogue: Catalogue) -> str:
    """Return why a policy decides nothing."""
    organisations, groups = catalogue.organisations.values(), catalogue.groups.values()
    if not any(policy.organisations.matches(one.labels) for one in organisations):
        return "organisations: no organisation has these labels"
    if not any(policy.engines.matches(one.labels) for one in groups):
        return "engines: no engine group has these labels"
    return "priority: another policy goes first wherever this one matches"


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
