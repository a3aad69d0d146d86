"""Check declarations or a gateway's configuration, and compare them with others."""

import pathlib
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

from anvilshift.core.errors import (
    BAD_DECLARATION,
    PLATFORM_UNREADABLE,
    AnvilshiftError,
)
from anvilshift.core.routing import Configuration
from anvilshift.objects.store import StoredObject
from anvilshift.operator import validation
from anvilshift.operator.administration import compare
from anvilshift.operator.checks import configurations, declarations
from anvilshift.operator.checks.configurations import NOTHING_KNOWN, Surroundings
from anvilshift.operator.checks.differences import (
    Difference,
    Effect,
    compare_configurations,
)
from anvilshift.operator.checks.findings import Finding, Kind, Severity
from anvilshift.operator.checks.sources import Source
from anvilshift.platform.checking import FieldPaths, find_invalid, find_repeated
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.settings.declarations import find_problems, parse_declaration

MAX_INVALID = 1_000
"""Errors that are told; one that follows from another file format repeats itself."""
_WRAPPER = "spec"
"""Field that holds the body of an object that was read from the platform's store."""


@dataclass
class Report:
    """What a check found, and what would change.

    Parameters
    ----------
    checked
        Number of declarations, or of routes of a configuration.
    """

    checked: int = 0
    findings: list[Finding] = field(default_factory=list)
    differences: list[Difference] = field(default_factory=list)


def read_sources(path: str) -> list[Source]:
    """Return a file, or the YAML files below a directory, in order.

    Raises
    ------
    AnvilshiftError
        Code 6002 if one can't be read, or there is none.
    """
    try:
        if not pathlib.Path(path).is_dir():
            return [Source.from_file(path)]
        names = sorted(str(one) for one in pathlib.Path(path).rglob("*.yaml"))
    except OSError as error:
        raise AnvilshiftError(BAD_DECLARATION, f"{path}: {error.strerror}") from error
    if not names:
        raise AnvilshiftError(BAD_DECLARATION, f"{path}: no YAML files")
    return [Source.from_file(name) for name in names]


def is_configuration(sources: Sequence[Source]) -> bool:
    """Tell whether what was read is a gateway's configuration, not declarations."""
    documents = [one for source in sources for one in source.documents]
    first = documents[0] if len(documents) == 1 else None
    return isinstance(first, dict) and "kind" not in first


# A gateway's configuration


def read_configuration(source: Source) -> tuple[Any, tuple[str, ...]]:
    """Return a configuration's body, and the path at which it stands in the file."""
    (document,) = source.documents
    body = document.get(_WRAPPER)
    return (body, (_WRAPPER,)) if isinstance(body, dict) else (document, ())


def check_configuration(
    source: Source, against: Any = None, surroundings: Surroundings = NOTHING_KNOWN
) -> Report:
    """Check a gateway's configuration.

    Parameters
    ----------
    against
        Body of the configuration in force; None for no comparison.
    """
    body, top = read_configuration(source)
    report = Report()
    for path, message in find_invalid(body, MAX_INVALID):
        report.findings.append(
            Finding(
                Severity.ERROR,
                Kind.INVALID,
                source.path,
                source.find_line((*top, *path)),
                ".".join(str(part) for part in path),
                message,
                PLATFORM_UNREADABLE.number,
            )
        )
    if report.findings:
        return report
    configuration = PlatformDialect().read_configuration(body)
    report.checked = len(configuration.rules)
    for path, subject, message in find_repeated(body):
        line = source.find_line((*top, *path))
        never = Kind.NEVER_MATCHES
        report.findings.append(
            Finding(Severity.WARNING, never, source.path, line, subject, message)
        )
    warnings = configurations.find_warnings(configuration, surroundings)
    report.findings += _place_warnings(warnings, source, body, top)
    if against is not None:
        _compare(report, source, top, configuration, against)
    return report


def _place_warnings(
    warnings: Iterable[configurations.ConfigurationWarning],
    source: Source,
    body: Mapping[str, Any],
    top: tuple[str, ...],
) -> Iterator[Finding]:
    paths = FieldPaths(body)
    for one in warnings:
        path = paths.find(one.section, one.name, one.field)
        line = source.find_line((*top, *path))
        yield Finding(
            Severity.WARNING, one.kind, source.path, line, one.subject, one.message
        )


def _compare(
    report: Report,
    source: Source,
    top: tuple[str, ...],
    configuration: Configuration,
    against: Any,
) -> None:
    if invalid := find_invalid(against):
        path, message = invalid[0]
        detail = f"the configuration to compare with: {'.'.join(map(str, path))}"
        raise AnvilshiftError(BAD_DECLARATION, f"{detail}: {message}")
    old = PlatformDialect().read_configuration(against)
    report.differences = compare_configurations(configuration, old)
    if report.differences and configuration.version <= old.version:
        message = f"version {configuration.version} is not above {old.version}, which"
        report.findings.append(
            Finding(
                Severity.ERROR,
                Kind.OUTDATED,
                source.path,
                source.find_line((*top, "version")),
                "version",
                f"{message} is in force: gateways ignore it",
                PLATFORM_UNREADABLE.number,
            )
        )


# Declarations


def check_declarations(
    sources: Sequence[Source],
    stored: Mapping[tuple[str, str], StoredObject] | None = None,
) -> Report:
    """Check declarations, each by itself and against the others.

    Parameters
    ----------
    stored
        The declarations in force; None for no comparison.
    """
    report = Report()
    places: dict[tuple[str, str], tuple[Source, int]] = {}
    bodies: dict[tuple[str, str], Any] = {}
    for source in sources:
        for index, value in enumerate(source.documents):
            if len(report.findings) >= MAX_INVALID:
                break
            invalid = list(_list_invalid(source, index, value, places))
            report.findings += invalid
            if not invalid:
                key = (value["kind"], value["name"])
                places[key], bodies[key] = (source, index), value
    report.checked = len(bodies)
    if report.findings:
        return report
    if not bodies:
        report.findings.append(_note_empty(sources[0]))
    parsed = [parse_declaration(value, "") for value in bodies.values()]
    for one in validation.cross_check(parsed):
        place = places[one.kind, one.name]
        report.findings.append(_place(one, Kind.REFERENCE, *place))
    for one in declarations.find_warnings(parsed):
        place = places[one.kind, one.name]
        report.findings.append(_place(one, Kind.NEVER_MATCHES, *place))
    if stored is not None:
        report.differences = _compare_declarations(bodies, stored)
    return report


def _note_empty(source: Source) -> Finding:
    message = "there is no declaration in it"
    return Finding(Severity.WARNING, Kind.UNUSED, source.path, 1, "document", message)


def _list_invalid(
    source: Source, index: int, value: Any, known: Mapping[tuple[str, str], Any]
) -> Iterator[Finding]:
    name = value.get("name", "") if isinstance(value, dict) else ""
    kind = value.get("kind", "") if isinstance(value, dict) else ""
    subject = f"{kind} {name}".strip() or "document"
    problems = [(one.path, str(one)) for one in find_problems(value)]
    if not problems and (kind, name) in known:
        problems = [(("name",), "name: it is declared twice")]
    for path, message in problems:
        line = source.find_line(path, index)
        yield Finding(
            Severity.ERROR,
            Kind.INVALID,
            source.path,
            line,
            subject,
            message,
            BAD_DECLARATION.number,
        )


def _place(one: validation.Finding, kind: Kind, source: Source, index: int) -> Finding:
    name = one.message.partition(":")[0]
    return Finding(
        # The fleet takes it, and refuses the requests.
        Severity.WARNING,
        kind,
        source.path,
        source.find_line([name], index),
        f"{one.kind} {one.name}",
        one.message,
    )


def _compare_declarations(
    bodies: Mapping[tuple[str, str], Any],
    stored: Mapping[tuple[str, str], StoredObject],
) -> list[Difference]:
    effects = {
        "delete": (Effect.TAKES_AWAY, "with --prune; it stays without"),
        "create": (Effect.ADDS, "new"),
    }
    found = []
    for one in compare(bodies, stored, prune=True):
        subject = f"{one.kind} {one.name}"
        if one.change in effects:
            found.append(
                Difference(effects[one.change][0], subject, effects[one.change][1])
            )
            continue
        key = (one.kind, one.name)
        found += _compare_bodies(subject, bodies[key], stored[key].body)
    return sorted(found)


def _compare_bodies(
    subject: str, new: Mapping[str, Any], old: Mapping[str, Any]
) -> Iterator[Difference]:
    for name in sorted(new.keys() | old.keys()):
        after, before = new.get(name), old.get(name)
        if after == before:
            continue
        if isinstance(after or [], list) and isinstance(before or [], list):
            lost = [one for one in before or [] if one not in (after or [])]
            gained = [one for one in after or [] if one not in (before or [])]
            if lost:
                yield Difference(Effect.TAKES_AWAY, subject, f"{name}: {len(lost)}")
            if gained:
                yield Difference(Effect.ADDS, subject, f"{name}: {len(gained)}")
            continue
        yield Difference(Effect.CHANGES, subject, f"{name}: {before} -> {after}")
