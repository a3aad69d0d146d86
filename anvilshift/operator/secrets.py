"""Credentials that are given on the command line."""

import pathlib

from anvilshift.core.errors import BAD_SETTINGS, AnvilshiftError


def read_secret(given: str) -> str:
    """Return a credential given literally, or read from a file as ``@file``.

    Every user of the machine can read the command line of a process, whereas a file
    can be protected by its permissions.
    """
    text = str(given)
    if not text.startswith("@"):
        return text
    try:
        return pathlib.Path(text[1:]).read_text(encoding="utf-8").strip()
    except (OSError, UnicodeDecodeError) as error:
        raise AnvilshiftError(BAD_SETTINGS, f"{text[1:]}: {error}") from error
