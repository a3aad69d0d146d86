"""Read YAML files into checked models, with errors that name file and key."""

import ipaddress
import pathlib
from typing import Annotated, Any, TypeVar

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
            f"{where}: {'.'.join(str(p) for p in fault['loc']) or '(top)'}: "
            f"{fault['msg']}"
            for fault in error.errors()
        ]
        raise AnvilshiftError(code, "\n".join(lines)) from error


def load_settings(path: str, model: type[Model]) -> Model:
    """Read a YAML file of one document into a checked model."""
    documents = read_yaml(path)
    if len(documents) != 1:
        raise AnvilshiftError(BAD_SETTINGS, f"{path}: expected one YAML document")
    return check(documents[0], model, path)
