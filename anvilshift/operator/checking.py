"""The command that checks what an operator is about to send."""

import asyncio
import gc
import json as jsons
import pathlib
import sys
from collections import Counter
from collections.abc import Mapping
from typing import Any

from anvilshift.core.errors import BAD_DECLARATION, AnvilshiftError
from anvilshift.objects.store import HttpObjectStore, StoredObject
from anvilshift.operator.administration import read_stored
from anvilshift.operator.checks.configurations import Surroundings
from anvilshift.operator.checks.findings import EXIT_ERRORS, find_exit_code
from anvilshift.operator.checks.reports import (
    Report,
    check_configuration,
    check_declarations,
    is_configuration,
    read_configuration,
    read_sources,
)
from anvilshift.operator.checks.sources import Source
from anvilshift.operator.secrets import read_secret
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.platform.names import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    TARGETS_KIND,
)
from anvilshift.platform.settings import read_settings
from anvilshift.platform.store import PlatformStore
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError


class CheckCommand:
    """The `check` verb of the command line."""

    def check(
        self,
        path: str,
        against: str | int = "",
        platform: str = "",
        credential: str = "",
        settings: str = "",
        json: bool = False,
        output: str = "text",
    ) -> None:
        """Check a configuration or declarations, and say what they would change.

        PATH is a gateway's configuration (JSON, or YAML without kinds), a YAML file of
        declarations, or a directory of these.  --against FILE compares with a file;
        --platform IP:PORT compares with what is in force, and --against VERSION says
        which version that has to be.  --settings FILE, a gateway's settings, names the
        limits on retries.  Nothing is written.

        The exit code is 0 if nothing was found, 1 for warnings only, 2 if the fleet
        would refuse it or it can't be read.

        Example: anvilshift check new.json --against old.json
        """
        # The values read live until the end; to look for cycles takes half the time.
        gc.disable()
        given = (path, against, platform, credential, settings)
        is_json = json or output == "json"
        try:
            report = check_path(*map(str, given))
        except (AnvilshiftError, ExchangeError, ValueError) as error:
            # Exit code 1 would say that there are warnings only.
            if is_json:
                print(jsons.dumps({"error": str(error)}, indent=2))
            print(escape(str(error)), file=sys.stderr)
            sys.exit(EXIT_ERRORS)
        finally:
            gc.enable()
        if is_json:
            print(jsons.dumps(_describe(report), indent=2))
        else:
            _print(report)
        sys.exit(find_exit_code(report.findings))


def check_path(
    path: str, against: str, platform: str, credential: str = "", settings: str = ""
) -> Report:
    """Check what a path leads to, and compare it if another version is named.

    Raises
    ------
    AnvilshiftError
        If one of them can't be read.
    """
    sources = read_sources(path)
    if is_configuration(sources):
        retries = read_settings(settings).retries if settings else None
        body, targets = _read_other_configuration(against, platform)
        return check_configuration(sources[0], body, Surroundings(retries, targets))
    return check_declarations(sources, _read_others(against, platform, credential))


def _read_other_configuration(
    against: str, platform: str
) -> tuple[Any, Mapping[str, int] | None]:
    """Return the body to compare with, and the targets of each service, if known."""
    if platform:
        return asyncio.run(_read_in_force(against, Address.parse(platform)))
    if not against:
        return None, None
    if against.isdecimal() and not pathlib.Path(against).exists():
        detail = f"version {against}: --platform says where it is in force"
        raise AnvilshiftError(BAD_DECLARATION, detail)
    (source, *_) = read_sources(against)
    if not is_configuration([source]):
        raise AnvilshiftError(BAD_DECLARATION, f"{against}: not a configuration")
    return read_configuration(source)[0], None


def _read_others(
    against: str, platform: str, credential: str
) -> Mapping[tuple[str, str], StoredObject] | None:
    """Return the declarations to compare with; None for none."""
    if platform:
        secret = read_secret(credential)
        return asyncio.run(_read_stored(Address.parse(platform), secret))
    if not against:
        return None
    return _index_declarations(read_sources(against))


async def _read_in_force(
    version: str, address: Address
) -> tuple[Any, Mapping[str, int]]:
    client = HttpClient()
    try:
        store = PlatformStore(client, address)
        found = await store.get(CONFIGURATION_KIND, CONFIGURATION_NAME)
        entries = await store.list([TARGETS_KIND])
    finally:
        client.close()
    if found is None:
        raise AnvilshiftError(BAD_DECLARATION, f"{address}: no configuration yet")
    if version and str(found.body.get("version")) != version:
        detail = f"{address}: version {found.body.get('version')} is in force"
        raise AnvilshiftError(BAD_DECLARATION, f"{detail}, not {version}")
    dialect = PlatformDialect()
    targets = [dialect.read_target(one.name, one.body, 0.0) for one in entries.items]
    return found.body, Counter(one.service for one in targets if one is not None)


async def _read_stored(
    address: Address, credential: str
) -> Mapping[tuple[str, str], StoredObject]:
    client = HttpClient()
    try:
        return await read_stored(HttpObjectStore(client, address, credential))
    finally:
        client.close()


def _index_declarations(
    sources: list[Source],
) -> dict[tuple[str, str], StoredObject]:
    """Return valid declarations from files as if they were stored."""
    report = check_declarations(sources)
    if any(one.kind.value == "invalid" for one in report.findings):
        raise AnvilshiftError(BAD_DECLARATION, str(report.findings[0]))
    bodies = [b for one in sources for b in one.documents if b is not None]
    return {
        (body["kind"], body["name"]): StoredObject(body["kind"], body["name"], 0, body)
        for body in bodies
    }


def _describe(report: Report) -> dict[str, Any]:
    return {
        "checked": report.checked,
        "findings": [one.describe() for one in report.findings],
        "differences": [one.describe() for one in report.differences],
    }


def escape(text: str) -> str:
    r"""Return a line that a terminal shows as it is, with the rest as escapes.

    Examples
    --------
    >>> escape("a\nb")
    'a\\nb'
    """
    if text.isprintable() and text.isascii():
        return text
    return "".join(
        one if one.isprintable() else one.encode("unicode_escape").decode()
        for one in text
    )


def _print(report: Report) -> None:
    for finding in report.findings:
        print(escape(str(finding)))
    for difference in report.differences:
        print(escape(str(difference)))
    print(f"{report.checked} entries, {len(report.findings)} findings")
