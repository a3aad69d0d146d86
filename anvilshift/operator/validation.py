"""Validate the references between declarations, without the platform."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from anvilshift.core.declarations import Catalogue, Declaration
from anvilshift.operator.checks.selections import Decisions, Servers

ERROR = "error"
WARNING = "warning"


@dataclass(frozen=True)
class Finding:
    """A problem found in a declaration.

    Parameters
    ----------
    severity
        ``error`` if the declaration can't work, ``warning`` if it is probably a
        mistake.
    kind, name
        The declaration that has the problem.
    message
        The field concerned, a colon, and a description of the problem.
    """

    severity: str
    kind: str
    name: str
    message: str


def cross_check(declarations: list[Declaration]) -> list[Finding]:
    """Return the inconsistencies between individually valid declarations."""
    catalogue = Catalogue.from_declarations(declarations)
    return [
        *_check_organisations(catalogue),
        *_check_routes(catalogue),
        *_check_engines(catalogue),
    ]


def _check_organisations(catalogue: Catalogue) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    allowed = Decisions.from_catalogue(catalogue).allowed
    for item in catalogue.organisations.values():
        subject = ("Organisation", item.name)
        if item.budget not in catalogue.budgets:
            message = f"budget: no Budget {item.budget} is declared"
            yield Finding(ERROR, *subject, message)
        if item.name not in allowed:
            message = "labels: no policy allows it to use any engine group"
            yield Finding(WARNING, *subject, message)
        for credential in item.credentials:
            if credential in owners:
                message = f"credentials: one belongs to {owners[credential]} too"
                yield Finding(ERROR, *subject, message)
            owners[credential] = item.name


def _check_routes(catalogue: Catalogue) -> Iterator[Finding]:
    servers = Servers(catalogue)
    for route in catalogue.routes.values():
        if not servers.serve(route):
            message = f"engines: no EngineGroup serves this route: {route.engines}"
            yield Finding(ERROR, "Route", route.name, message)


def _check_engines(catalogue: Catalogue) -> Iterator[Finding]:
    engines = [(e, g) for g in catalogue.groups.values() for e in g.engines]
    names = Counter(engine.name for engine, _ in engines)
    addresses = Counter(engine.address for engine, _ in engines)
    for engine, group in engines:
        subject = ("EngineGroup", group.name)
        if names[engine.name] > 1:
            message = f"engines: the name {engine.name} is declared more than once"
            yield Finding(ERROR, *subject, message)
        if addresses[engine.address] > 1:
            message = f"engines: {engine.address} is the address of several engines"
            yield Finding(WARNING, *subject, message)
