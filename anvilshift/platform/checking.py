"""Where the fields of the gateway's configuration stand in the platform's format."""

from collections.abc import Iterator, Mapping
from typing import Any

from pydantic import ValidationError

from anvilshift.platform.records import ConfigurationRecord

_SECTIONS = {
    "rules": "routes",
    "services": "services",
    "organisations": "tenants",
    "limits": "limits",
}
_NAMED = {"services": "service", "organisations": "organisation"}
"""Sections whose entries are known by a name, with the word for one."""
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


def find_invalid(body: Any, most: int = 1) -> list[tuple[tuple[str | int, ...], str]]:
    """Return the path of each field for which the gateways refuse it, and why.

    Values are left out, since some are credentials.

    Parameters
    ----------
    most
        Number of fields after which the rest is left out.
    """
    try:
        ConfigurationRecord.model_validate(body)
    except ValidationError as error:
        found = error.errors(
            include_url=False, include_context=False, include_input=False
        )
        return [(tuple(one["loc"]), _shorten(one["msg"])) for one in found[:most]]
    return []


def _shorten(message: str) -> str:
    """Leave out the name of a class of ours."""
    return message.partition(" or instance of ")[0]


def find_repeated(
    body: Mapping[str, Any],
) -> Iterator[tuple[tuple[str | int, ...], str, str]]:
    """Return the path of each entry whose name a later one has, a subject and a reason.

    Of services and organisations with one name, the gateways keep the last.
    """
    for section, word in _NAMED.items():
        key = _SECTIONS[section]
        entries = body.get(key) or []
        last = {one["name"]: index for index, one in enumerate(entries)}
        for index, one in enumerate(entries):
            if last[one["name"]] != index:
                message = "never used: a later entry has the same name"
                yield (key, index, "name"), f"{word} {one['name']}", message


class FieldPaths:
    """Paths of fields in a body that can be read, by the gateway's names for them."""

    def __init__(self, body: Mapping[str, Any]) -> None:
        self._body = body
        self._numbers = {
            section: {
                one["name"]: index
                for index, one in enumerate(body.get(_SECTIONS[section]) or [])
            }
            for section in _NAMED
        }

    def find(self, section: str, name: str | int, field: str) -> tuple[str | int, ...]:
        """Return the path of a field.

        Parameters
        ----------
        name
            The index of a rule, or the name of a service or an organisation.
        """
        found, key = _SECTIONS[section], _FIELDS.get(field, field)
        if section == "limits":
            return (found, key)
        index = self._numbers[section][name] if isinstance(name, str) else name
        if key == "split" and not self._body[found][index].get("split"):
            key = "service"
        return (found, index, key)
