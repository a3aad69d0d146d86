"""Reading and validation of YAML files, with errors that name file and key."""

import difflib
import ipaddress
import pathlib
from dataclasses import dataclass
from typing import Annotated, Any, TypeVar, get_args

import yaml
from pydantic import AfterValidator, BaseModel, ValidationError

from anvilshift.core.errors import BAD_SETTINGS, AnvilshiftError, Code

Model = TypeVar("Model", bound=BaseModel)
_MAX_PORT = 65_535
LOADER: Any = getattr(yaml, "CSafeLoader", yaml.SafeLoader)
"""Loader of YAML; the one in C reads a megabyte in a tenth of the time."""


@dataclass(frozen=True)
class Problem:
    """What is wrong with the value at a path of keys."""

    path: tuple[str | int, ...]
    message: str

    def __str__(self) -> str:
        return f"{_format_path(self.path)}: {self.message}"


def _check_address(text: str) -> str:
    ip, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(ip.strip("[]"))
        if not 0 <= int(port) <= _MAX_PORT:
            raise ValueError
    except ValueError:
        detail = "expected an IP number and a port, such as 127.0.0.1:8080"
        raise ValueError(detail) from None
    return text


IpPort = Annotated[str, AfterValidator(_check_address)]


def read_yaml(path: str, code: Code = BAD_SETTINGS) -> list[Any]:
    """Return the documents in a YAML file.

    Raises
    ------
    AnvilshiftError
        With the path, and the line of a syntax error.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        return list(yaml.load_all(text, Loader=LOADER))
    except (OSError, UnicodeDecodeError) as error:
        raise AnvilshiftError(code, f"{path}: {error}") from error
    except yaml.YAMLError as error:
        raise AnvilshiftError(code, f"{path}: not YAML: {error}") from error


def check(
    value: Any, model: type[Model], where: str, code: Code = BAD_SETTINGS
) -> Model:
    """Validate a value and return it as a model.

    Parameters
    ----------
    where
        Location of the value, which starts each line of the error.

    Raises
    ------
    AnvilshiftError
        With a line for each error: location, key path and what was expected.
    """
    try:
        return model.model_validate(value)
    except ValidationError as error:
        lines = [f"{where}: {problem}" for problem in list_problems(error, model)]
        raise AnvilshiftError(code, "\n".join(lines)) from error


def list_problems(error: ValidationError, model: type[BaseModel]) -> list[Problem]:
    """Return what a validation found, without the values of credentials."""
    return [
        Problem(tuple(entry["loc"]), _describe_error(entry, model))
        for entry in error.errors()
    ]


def _format_path(path: tuple[str | int, ...]) -> str:
    return ".".join(str(part) for part in path) or "(top)"


def _describe_error(entry: Any, model: type[BaseModel]) -> str:
    """Describe a validation error without revealing the value of a credential."""
    key = str(entry["loc"][-1]) if entry["loc"] else ""
    if entry["type"] == "extra_forbidden":
        known = _list_keys(model, entry["loc"][:-1])
        similar = difflib.get_close_matches(key, known, n=1, cutoff=0.4)
        hint = f"expected {similar[0]}" if similar else f"expected {', '.join(known)}"
        return f"unknown key, {hint}"
    message = str(entry["msg"]).removeprefix("Value error, ")
    if key.endswith("_ms") and entry["type"].startswith("float"):
        message = f"expected milliseconds as a number; {message}"
    if "credential" in key or not isinstance(entry["input"], str | int | float):
        return message
    return f"{message}, found {entry['input']!r}"


def _list_keys(model: type[BaseModel], path: tuple[str | int, ...]) -> list[str]:
    """Return the keys of the nested model at a path."""
    for part in path:
        field = model.model_fields.get(str(part))
        if field is None:
            continue
        inner = _find_model(field.annotation)
        if inner is None:
            return []
        model = inner
    return list(model.model_fields)


def _find_model(annotation: Any) -> type[BaseModel] | None:
    if isinstance(annotation, type) and issubclass(annotation, BaseModel):
        return annotation
    nested = (_find_model(item) for item in get_args(annotation))
    return next((item for item in nested if item is not None), None)


def load_settings(path: str, model: type[Model]) -> Model:
    """Read and validate a YAML file that consists of one document."""
    documents = read_yaml(path)
    if len(documents) != 1:
        raise AnvilshiftError(BAD_SETTINGS, f"{path}: expected one YAML document")
    return check(documents[0], model, path)
