"""Check declarations against each other, without the platform."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from anvilshift.core.declarations import Catalogue, Declaration

ERROR = "error"
WARNING = "warning"


@dataclass(frozen=True)
class Finding:
    """Something wrong with a declaration.

    Parameters
    ----------
    severity
        ``error`` for what can't work, ``warning`` for what is likely a slip.
    """

    severity: str
    kind: str
    name: str
    message: str


def cross_check(declarations: list[Declaration]) -> list[Finding]:
    """Return what is wrong between declarations that are each well formed."""
    catalogue = Catalogue.from_declarations(declarations)
    return [
        *_check_organisations(catalogue),
        *_check_routes(catalogue),
        *_check_engines(catalogue),
    ]


def _check_organisations(catalogue: Catalogue) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for item in catalogue.organisations.values():
        where = ("Organisation", item.name)
        if item.budget not in catalogue.budgets:
            message = f"budget: no Budget {item.budget} is declared"
            yield Finding(ERROR, *where, message)
        if not any(catalogue.decide(item, g) for g in catalogue.groups.values()):
            message = "labels: no policy lets it use any engine group"
            yield Finding(WARNING, *where, message)
        for credential in item.credentials:
            if credential in owners:
                message = f"credentials: one is {owners[credential]}'s too"
                yield Finding(ERROR, *where, message)
            owners[credential] = item.name


def _check_routes(catalogue: Catalogue) -> Iterator[Finding]:
    for route in catalogue.routes.values():
        if not any(group.serves(route) for group in catalogue.groups.values()):
            message = f"engines: no EngineGroup serves it: {route.engines}"
            yield Finding(ERROR, "Route", route.name, message)


def _check_engines(catalogue: Catalogue) -> Iterator[Finding]:
    engines = [(e, g) for g in catalogue.groups.values() for e in g.engines]
    names = Counter(engine.name for engine, _ in engines)
    addresses = Counter(engine.address for engine, _ in engines)
    for engine, group in engines:
        where = ("EngineGroup", group.name)
        if names[engine.name] > 1:
            message = f"engines: the name {engine.name} is declared more than once"
            yield Finding(ERROR, *where, message)
        if addresses[engine.address] > 1:
            message = f"engines: {engine.address} is another engine's address too"
            yield Finding(WARNING, *where, message)
