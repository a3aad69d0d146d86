"""Read YAML files into checked models, with errors that name file and key."""

import difflib
import ipaddress
import pathlib
from typing import Annotated, Any, TypeVar, get_args

import yaml
from pydantic import AfterValidator, BaseModel, ValidationError

from anvilshift.core.errors import BAD_SETTINGS, AnvilshiftError, Code

Model = TypeVar("Model", bound=BaseModel)
_MAX_PORT = 65_535


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
    """Return every document of a YAML file.

    Raises
    ------
    AnvilshiftError
        With the file, and the line where the file is no YAML.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        return list(yaml.safe_load_all(text))
    except (OSError, UnicodeDecodeError) as error:
        raise AnvilshiftError(code, f"{path}: {error}") from error
    except yaml.YAMLError as error:
        raise AnvilshiftError(code, f"{path}: not YAML: {error}") from error


def check(
    value: Any, model: type[Model], where: str, code: Code = BAD_SETTINGS
) -> Model:
    """Return a value as a checked model.

    Raises
    ------
    AnvilshiftError
        One line a fault: where, key path, what was expected.
    """
    try:
        return model.model_validate(value)
    except ValidationError as error:
        lines = [
            f"{where}: {_write_path(fault['loc'])}: {_write_fault(fault, model)}"
            for fault in error.errors()
        ]
        raise AnvilshiftError(code, "\n".join(lines)) from error


def _write_path(path: tuple[str | int, ...]) -> str:
    return ".".join(str(part) for part in path) or "(top)"


def _write_fault(fault: Any, model: type[BaseModel]) -> str:
    """Return what was found and what was expected; never a credential."""
    key = str(fault["loc"][-1]) if fault["loc"] else ""
    if fault["type"] == "extra_forbidden":
        known = _list_keys(model, fault["loc"][:-1])
        close = difflib.get_close_matches(key, known, n=1, cutoff=0.4)
        hint = f"expected {close[0]}" if close else f"expected {', '.join(known)}"
        return f"unknown key, {hint}"
    message = str(fault["msg"]).removeprefix("Value error, ")
    if key.endswith("_ms") and fault["type"].startswith("float"):
        message = f"expected milliseconds as a number; {message}"
    if "credential" in key or not isinstance(fault["input"], str | int | float):
        return message
    return f"{message}, found {fault['input']!r}"


def _list_keys(model: type[BaseModel], path: tuple[str | int, ...]) -> list[str]:
    """Return the keys of the model that stands at a path."""
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
    found = (_find_model(item) for item in get_args(annotation))
    return next((item for item in found if item is not None), None)


def load_settings(path: str, model: type[Model]) -> Model:
    """Read a YAML file of one document into a checked model."""
    documents = read_yaml(path)
    if len(documents) != 1:
        raise AnvilshiftError(BAD_SETTINGS, f"{path}: expected one YAML document")
    return check(documents[0], model, path)
