"""Conversion of core data classes to and from bodies of the platform's objects."""

from typing import Any, TypeVar

from pydantic import TypeAdapter, ValidationError

from anvilshift.core.errors import PLATFORM_GARBAGE, AnvilshiftError
from anvilshift.objects.store import Body

Record = TypeVar("Record")


_ADAPTERS: dict[type, TypeAdapter[Any]] = {}


def _find_adapter(kind: type) -> TypeAdapter[Any]:
    if kind not in _ADAPTERS:
        _ADAPTERS[kind] = TypeAdapter(kind)
    return _ADAPTERS[kind]


def encode(record: Any) -> Body:
    """Return a data class instance as a JSON object.

    Examples
    --------
    >>> from anvilshift.core.ledger import Grant
    >>> encode(Grant(drawn=5))["drawn"]
    5
    """
    body: Body = _find_adapter(type(record)).dump_python(record, mode="json")
    return body


def decode(kind: type[Record], body: Body) -> Record:
    """Return the instance of a data class that an object's body holds.

    Raises
    ------
    AnvilshiftError
        Code 5003 if the body is not valid for the data class.

    Examples
    --------
    >>> from anvilshift.core.ledger import Grant
    >>> decode(Grant, {"drawn": 5}).held
    5
    """
    try:
        record: Record = _find_adapter(kind).validate_python(body)
    except ValidationError as error:
        detail = f"an object is not a valid {kind.__name__}"
        raise AnvilshiftError(PLATFORM_GARBAGE, detail) from error
    return record
