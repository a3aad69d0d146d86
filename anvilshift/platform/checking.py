"""Where the fields of the gateway's configuration stand in the platform's format."""

from collections.abc import Mapping
from typing import Any

from pydantic import ValidationError

from anvilshift.platform.records import ConfigurationRecord

_SECTIONS = {
    "rules": "routes",
    "services": "services",
    "organisations": "tenants",
    "limits": "limits",
}
_FIELDS = {
    "host": "hostname",
    "prefix": "pathPrefix",
    "timeout": "timeoutMs",
    "objective": "latencyGoalMs",
    "pause_objective": "itlTargetMs",
    "max_targets_per_request": "maxAttempts",
    "services": "split",
    "keys": "apiKeys",
    "reserved": "reserved",
    "head_bytes": "maxHeaderBytes",
    "body_bytes": "maxBodyBytes",
    "head_timeout": "headerTimeoutMs",
    "idle_timeout": "idleTimeoutMs",
}


def find_invalid(body: Any) -> list[tuple[tuple[str | int, ...], str]]:
    """Return the path of each field for which the gateways refuse it, and why.

    Values are left out, since some are credentials.
    """
    try:
        ConfigurationRecord.model_validate(body)
    except ValidationError as error:
        return [(tuple(one["loc"]), _shorten(one["msg"])) for one in error.errors()]
    return []


def _shorten(message: str) -> str:
    """Leave out the name of a class of ours."""
    return message.partition(" or instance of ")[0]


def find_path(
    body: Mapping[str, Any], section: str, name: str | int, field: str
) -> tuple[str | int, ...]:
    """Return the path of a field, by the names that the gateway has for it.

    Parameters
    ----------
    name
        The index of a rule, or the name of a service or an organisation.
    """
    found = _SECTIONS[section]
    entries = body.get(found)
    if section == "limits" or not isinstance(entries, list):
        return (found, _FIELDS.get(field, field))
    index = name
    if isinstance(name, str):
        named = [i for i, one in enumerate(entries) if one.get("name") == name]
        if not named:
            return (found,)
        index = named[-1]
    key = _FIELDS.get(field, field)
    if key == "split" and not entries[int(index)].get("split"):
        key = "service"
    return (found, index, key)
