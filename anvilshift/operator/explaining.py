"""Explain which policy lets an organisation use which engines."""

from typing import Any

from anvilshift.core.declarations import Catalogue, Declaration
from anvilshift.core.errors import BAD_DECLARATION, AnvilshiftError


def explain(
    declarations: list[Declaration], organisation: str, engine: str = ""
) -> list[dict[str, Any]]:
    """Return a row an engine: may it be used, at what priority, and why.

    Raises
    ------
    AnvilshiftError
        Code 6002 when no such organisation is declared.
    """
    catalogue = Catalogue.from_declarations(declarations)
    found = catalogue.organisations.get(organisation)
    if found is None:
        detail = f"no organisation {organisation} is declared"
        raise AnvilshiftError(BAD_DECLARATION, detail)
    rows = []
    for group in catalogue.groups.values():
        policy = catalogue.decide(found, group)
        for item in group.engines:
            if engine not in ("", item.name):
                continue
            row: dict[str, Any] = {
                "engine": item.name,
                "group": group.name,
                "allowed": policy is not None,
            }
            if policy is None:
                row["why"] = "no policy selects this organisation and this group"
            else:
                row["priority"] = policy.priority
                row["policy"] = policy.name
                row["why"] = (
                    f"organisations [{policy.organisations}], "
                    f"engines [{policy.engines}]"
                )
            rows.append(row)
    return rows
