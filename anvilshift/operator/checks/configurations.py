"""Entries of a gateway's configuration that never match, or contradict each other.

All of it is accepted by the gateways, so all of it is a warning.
"""

import math
from collections import Counter
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from anvilshift.core.retries import RetryLimits
from anvilshift.core.routing import (
    Configuration,
    OrganisationBudget,
    RequestKind,
    Rule,
)
from anvilshift.operator.checks.findings import Kind


@dataclass(frozen=True)
class ConfigurationWarning:
    """A warning, and the field of the configuration that it concerns.

    Parameters
    ----------
    section
        Field of `Configuration` that holds the entry.
    name
        Index of a rule, name of another entry, empty for the limits.
    """

    section: str
    name: str | int
    field: str
    kind: Kind
    subject: str
    message: str


@dataclass(frozen=True)
class Surroundings:
    """What else is known of the fleet that the configuration is for.

    Parameters
    ----------
    retries
        Limits on retries in the routers' settings; None if unknown.
    targets
        Number of targets of each service; None if unknown.
    """

    retries: RetryLimits | None = None
    targets: Mapping[str, int] | None = None


NOTHING_KNOWN = Surroundings()


def find_warnings(
    configuration: Configuration, surroundings: Surroundings = NOTHING_KNOWN
) -> list[ConfigurationWarning]:
    """Return what is probably a mistake in a configuration that can be read.

    Examples
    --------
    >>> services = (("s", 1.0),)
    >>> rule = Rule("a", "shop", "/", RequestKind.STREAMING, services, 1e3, 2e3)
    >>> for one in find_warnings(Configuration(1, (rule,))):
    ...     print(one.kind.value, one.message)
    reference the service s isn't declared
    contradiction the latency objective of 2000 ms is over the timeout of 1000 ms
    """
    return [
        *_check_matches(configuration),
        *_check_services(configuration),
        *_check_rules(configuration),
        *_check_retries(configuration, surroundings),
        *_check_organisations(configuration),
        *_check_limits(configuration),
    ]


def describe_rule(rule: Rule) -> str:
    """Return how a person names a rule."""
    name = f" ({rule.name})" if rule.name else ""
    return f"route {rule.host}{rule.prefix}{name}"


def _warn_of_rule(
    index: int, rule: Rule, field: str, kind: Kind, message: str
) -> ConfigurationWarning:
    return ConfigurationWarning(
        "rules", index, field, kind, describe_rule(rule), message
    )


def _check_matches(configuration: Configuration) -> Iterator[ConfigurationWarning]:
    first: dict[tuple[str, str], Rule] = {}
    numbered = sorted(
        enumerate(configuration.rules), key=lambda one: -len(one[1].prefix)
    )
    for index, rule in numbered:
        # Each path begins with a slash, so it begins with no prefix as well.
        known = first.setdefault((rule.host.lower(), rule.prefix or "/"), rule)
        never = Kind.NEVER_MATCHES
        if known is not rule:
            message = f"never reached: {describe_rule(known)} has the same prefix"
            yield _warn_of_rule(index, rule, "prefix", never, message)
        if not rule.prefix.startswith("/") and rule.prefix:
            message = "never reached: a path begins with a slash"
            yield _warn_of_rule(index, rule, "prefix", never, message)
        if ":" in rule.host or not rule.host:
            message = "never reached: hosts are compared without their ports"
            yield _warn_of_rule(index, rule, "host", never, message)


def _check_services(configuration: Configuration) -> Iterator[ConfigurationWarning]:
    used: set[str] = set()
    for index, rule in enumerate(configuration.rules):
        weights = {name: weight for name, weight in rule.services if weight > 0.0}
        used.update(weights)
        if math.isinf(sum(weights.values())):
            message = "the weights have no sum that is a number: each request fails"
            kind = Kind.CONTRADICTION
            yield _warn_of_rule(index, rule, "services", kind, message)
        if not weights:
            message = "no service has a weight over 0: each request fails"
            kind = Kind.CONTRADICTION
            yield _warn_of_rule(index, rule, "services", kind, message)
        for name, weight in rule.services:
            if name not in configuration.services:
                message = f"the service {name or '(none)'} isn't declared"
                kind = Kind.REFERENCE
                yield _warn_of_rule(index, rule, "services", kind, message)
            elif weight <= 0.0 and weights:
                message = f"the service {name} has a weight of {weight:g}: gets nothing"
                kind = Kind.NEVER_MATCHES
                yield _warn_of_rule(index, rule, "services", kind, message)
    for name in configuration.services:
        if name not in used:
            message = "no route leads to it"
            subject = f"service {name}"
            yield ConfigurationWarning(
                "services", name, "name", Kind.UNUSED, subject, message
            )


def _check_rules(configuration: Configuration) -> Iterator[ConfigurationWarning]:
    for index, rule in enumerate(configuration.rules):
        for field, message in _find_contradictions(rule):
            kind = Kind.CONTRADICTION
            yield _warn_of_rule(index, rule, field, kind, message)


def _find_contradictions(rule: Rule) -> Iterator[tuple[str, str]]:
    timeout, pause = rule.timeout, rule.pause_objective
    if not timeout > 0.0:
        yield "timeout", f"no request fits into a timeout of {timeout:g} ms"
    elif not rule.objective <= timeout:
        message = f"objective of {rule.objective:g} ms is over the timeout of"
        yield "objective", f"the latency {message} {timeout:g} ms"
    if pause is not None and timeout > 0.0 and not pause <= timeout:
        message = f"the pause objective of {pause:g} ms is over the timeout"
        yield "pause_objective", f"{message} of {timeout:g} ms"
    most = rule.max_targets_per_request
    if most < 1:
        yield "max_targets_per_request", f"a request may run at {most} targets: at none"
    if rule.repeatable and most == 1:
        message = "requests may be repeated, but run at one target only: no retries"
        yield "max_targets_per_request", message
    if not rule.repeatable and most > 1:
        message = f"{most} targets are allowed, but a request may run only once"
        yield "max_targets_per_request", message
    if rule.resumable and rule.kind is not RequestKind.STREAMING:
        yield "resumable", "only streams can be resumed"
    if pause is not None and rule.kind is not RequestKind.STREAMING:
        yield "pause_objective", "only streams have pauses"


def _check_retries(
    configuration: Configuration, surroundings: Surroundings
) -> Iterator[ConfigurationWarning]:
    retries, targets = surroundings.retries, surroundings.targets
    kind, field = Kind.CONTRADICTION, "max_targets_per_request"
    for index, rule in enumerate(configuration.rules):
        most = rule.max_targets_per_request
        if not rule.repeatable or most < 2:
            continue
        if retries is not None and retries.ratio <= 0.0 and retries.allowance < 1.0:
            message = "requests may be retried, but the routers' settings allow none"
            yield _warn_of_rule(index, rule, field, kind, message)
        for name, _ in rule.services if targets is not None else ():
            found = (targets or {}).get(name, 0)
            if found < most:
                message = f"{most} targets for a request, but {name} has {found}"
                yield _warn_of_rule(index, rule, field, kind, message)


def _check_organisations(
    configuration: Configuration,
) -> Iterator[ConfigurationWarning]:
    organisations = configuration.organisations.values()
    holders = Counter(key for one in organisations for key in set(one.keys))
    least = _find_least_cost(configuration)
    for one in organisations:
        for field, kind, message in _find_faults(one, holders, least):
            subject = f"organisation {one.name}"
            yield ConfigurationWarning(
                "organisations", one.name, field, kind, subject, message
            )


def _find_least_cost(configuration: Configuration) -> int | None:
    """Return the tokens that each model request reserves; None without models."""
    models = [one.model for one in configuration.services.values() if one.model]
    return min((one.tokens_per_event for one in models), default=None)


def _find_faults(
    one: OrganisationBudget, holders: Counter[str], least: int | None
) -> Iterator[tuple[str, Kind, str]]:
    if not one.keys:
        yield "keys", Kind.NEVER_MATCHES, "it has no credential: nobody can call for it"
    shared = sum(holders[key] > 1 for key in set(one.keys))
    if shared:
        message = f"credentials that other organisations have too: {shared}"
        yield "keys", Kind.CONTRADICTION, message
    if one.reserved is not None and least is not None and one.reserved < least:
        message = f"no model request fits into its total of {one.reserved} tokens"
        yield "reserved", Kind.CONTRADICTION, message


def _check_limits(configuration: Configuration) -> Iterator[ConfigurationWarning]:
    limits = configuration.limits
    needs = {
        "head_bytes": (limits.head_bytes, "no request fits"),
        "body_bytes": (limits.body_bytes, "no request with a body fits"),
        "head_timeout": (limits.head_timeout, "no request is read in time"),
        "idle_timeout": (limits.idle_timeout, "no connection is kept open"),
    }
    for field, (bound, message) in needs.items():
        if not bound > 0:
            yield ConfigurationWarning(
                "limits",
                "",
                field,
                Kind.CONTRADICTION,
                "limits",
                f"{message}: {field} is {bound:g}",
            )
