"""Read the log lines of many routers, follow one request, and count who isn't served.

A line is one JSON object; a collector may have put a time in seconds and a host's name
before it.
"""

import json
import re
from collections import Counter
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

_PREFIX = re.compile(r"^\s*(-?\d+(?:\.\d+)?)\s")
_SERVED = re.compile(r"whole|status [1-4]\d\d")
"""Outcomes of requests that were answered; a service's own refusal is an answer."""
_MOST_NAMED = 3
"""Organisations and targets named for each cause."""


@dataclass(frozen=True)
class LogLine:
    """One line of a router's log.

    Parameters
    ----------
    time
        In seconds: as the collector wrote it, otherwise the router's time of day.
    fields
        All other fields of the line.
    """

    time: float
    node: str
    event: str
    fields: dict[str, Any]


@dataclass
class Cause:
    """The requests that ended with one outcome.

    Parameters
    ----------
    first, last
        Times of the first and of the last of them, in seconds.
    by_period
        Their number by the beginning of each period.
    """

    outcome: str
    requests: int = 0
    first: float = 0.0
    last: float = 0.0
    by_period: Counter[float] = field(default_factory=Counter)
    organisations: Counter[str] = field(default_factory=Counter)
    targets: Counter[str] = field(default_factory=Counter)


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the log lines in a text; other lines are passed over.

    Examples
    --------
    >>> text = '12.5 r1 {"wall": 7.0, "node": "r1", "event": "started", "version": 2}'
    >>> [line] = read_lines([text, "no line of a router"])
    >>> line.time, line.node, line.event, line.fields
    (12.5, 'r1', 'started', {'version': 2})
    """
    for text in lines:
        begin = text.find("{")
        if begin < 0:
            continue
        try:
            fields = json.loads(text[begin:])
        except ValueError:
            continue
        line = _convert(fields, _PREFIX.match(text[:begin]))
        if line is not None:
            yield line


def _convert(fields: Any, prefix: re.Match[str] | None) -> LogLine | None:
    if not isinstance(fields, dict) or not isinstance(fields.get("event"), str):
        return None
    wall = fields.pop("wall", 0.0)
    fields.pop("at", None)
    time = float(prefix[1]) if prefix else float(wall)
    return LogLine(time, str(fields.pop("node", "")), fields.pop("event"), fields)


def trace_request(lines: Iterable[LogLine], identity: str) -> list[LogLine]:
    """Return the lines about one request from all routers, in order of time.

    Examples
    --------
    >>> lines = [LogLine(2.0, "r1", "request", {"id": "a"}), LogLine(1, "r2", "x", {})]
    >>> [line.event for line in trace_request(lines, "a")]
    ['request']
    """
    found = [line for line in lines if identity in line.fields.values()]
    return sorted(found, key=lambda line: line.time)


def count_unserved(lines: Iterable[LogLine], period: float = 5.0) -> list[Cause]:
    """Count the requests that weren't answered by their outcome, most frequent first.

    A caller that tried again counts once for each try.

    Parameters
    ----------
    period
        Length in seconds of the periods in which they are counted.
    """
    causes: dict[str, Cause] = {}
    for line in lines:
        outcome = str(line.fields.get("outcome", ""))
        if line.event != "request" or _SERVED.match(outcome):
            continue
        cause = causes.setdefault(outcome, Cause(outcome, first=line.time))
        cause.requests += 1
        cause.first, cause.last = (
            min(cause.first, line.time),
            max(cause.last, line.time),
        )
        cause.by_period[line.time // period * period] += 1
        if line.fields.get("organisation"):
            cause.organisations[str(line.fields["organisation"])] += 1
        if line.fields.get("target"):
            cause.targets[str(line.fields["target"])] += 1
    return sorted(causes.values(), key=lambda cause: -cause.requests)


def format_line(line: LogLine) -> str:
    """Return a line as text: its time, router and event, then its other fields.

    Examples
    --------
    >>> format_line(LogLine(1.5, "r1", "request", {"id": "a", "tries": 2}))
    '1.500 r1 request id=a tries=2'
    """
    fields = " ".join(f"{name}={value}" for name, value in line.fields.items())
    return f"{line.time:.3f} {line.node} {line.event} {fields}".rstrip()


def format_cause(cause: Cause) -> str:
    """Return a cause as text: how often, when, and whom it concerned."""
    periods = " ".join(
        f"{begin:.0f}:{count}" for begin, count in sorted(cause.by_period.items())
    )
    named = [
        f"{title} " + ", ".join(f"{n} {c}" for n, c in counter.most_common(_MOST_NAMED))
        for title, counter in (
            ("organisations", cause.organisations),
            ("targets", cause.targets),
        )
        if counter
    ]
    return f"{cause.requests:6} {cause.outcome}; by time {periods}; " + "; ".join(named)
