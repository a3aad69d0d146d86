"""What a configuration changes against another one, as a person would say it."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, fields
from enum import IntEnum
from typing import Any

from anvilshift.core.routing import Configuration, OrganisationBudget, Rule
from anvilshift.operator.checks.configurations import describe_rule


class Effect(IntEnum):
    """What a difference does, in the order in which differences are told."""

    TAKES_AWAY = 0
    CHANGES = 1
    ADDS = 2


@dataclass(frozen=True, order=True)
class Difference:
    """One difference, with the entry that it concerns."""

    effect: Effect
    subject: str
    message: str

    def __str__(self) -> str:
        label = self.effect.name.lower().replace("_", " ")
        return f"{label}: {self.subject}: {self.message}"

    def describe(self) -> dict[str, str]:
        """Return it with texts in place of enums, as for JSON."""
        return {**vars(self), "effect": self.effect.name.lower().replace("_", "-")}


def compare_configurations(new: Configuration, old: Configuration) -> list[Difference]:
    """Return what changes, with what is taken away first.

    Credentials are counted, not named.

    Examples
    --------
    >>> old = Configuration(1, organisations={"a": OrganisationBudget("a", ("k",))})
    >>> for one in compare_configurations(Configuration(2), old):
    ...     print(one)
    takes away: organisation a: its credentials: 1
    """
    found = [
        *_compare_entries(_index_rules(new), _index_rules(old), "requests go nowhere"),
        *_compare_entries(
            {f"service {name}": one for name, one in new.services.items()},
            {f"service {name}": one for name, one in old.services.items()},
            "it isn't declared any more",
        ),
        *_compare_organisations(new.organisations, old.organisations),
        *_compare_fields("limits", new.limits, old.limits),
    ]
    return sorted(found)


def _index_rules(configuration: Configuration) -> dict[str, Rule]:
    """Return the rules by host and prefix; of equal ones the first, which is used."""
    found: dict[str, Rule] = {}
    for rule in configuration.rules:
        found.setdefault(f"route {rule.host.lower()}{rule.prefix}", rule)
    return found


def _compare_entries(
    new: Mapping[str, Any], old: Mapping[str, Any], loss: str
) -> Iterator[Difference]:
    for subject in old.keys() - new.keys():
        yield Difference(Effect.TAKES_AWAY, subject, loss)
    for subject in new.keys() - old.keys():
        one = new[subject]
        message = describe_rule(one) if isinstance(one, Rule) else "new"
        yield Difference(Effect.ADDS, subject, message)
    for subject in new.keys() & old.keys():
        yield from _compare_fields(subject, new[subject], old[subject])


def _compare_fields(subject: str, new: Any, old: Any) -> Iterator[Difference]:
    if new == old:
        return
    for field in fields(new):
        after, before = getattr(new, field.name), getattr(old, field.name)
        if after != before:
            name = field.name.replace("_", " ")
            message = f"{name}: {_format(before)} -> {_format(after)}"
            yield Difference(Effect.CHANGES, subject, message)


def _format(value: Any) -> str:
    if isinstance(value, tuple):
        return ", ".join(" ".join(str(part) for part in one) for one in value)
    return str(getattr(value, "value", value))


def _compare_organisations(
    new: Mapping[str, OrganisationBudget], old: Mapping[str, OrganisationBudget]
) -> Iterator[Difference]:
    for name in sorted(new.keys() | old.keys()):
        after = new.get(name, OrganisationBudget(name))
        before = old.get(name, OrganisationBudget(name))
        subject = f"organisation {name}"
        yield from _compare_keys(subject, after.keys, before.keys)
        if name in new and name in old:
            yield from _compare_totals(subject, after.reserved, before.reserved)
            if after.priority != before.priority:
                message = f"priority: {before.priority} -> {after.priority}"
                yield Difference(Effect.CHANGES, subject, message)


def _compare_keys(
    subject: str, new: Iterable[str], old: Iterable[str]
) -> Iterator[Difference]:
    after, before = set(new), set(old)
    if lost := len(before - after):
        yield Difference(Effect.TAKES_AWAY, subject, f"its credentials: {lost}")
    if gained := len(after - before):
        yield Difference(Effect.ADDS, subject, f"credentials: {gained}")


def _compare_totals(
    subject: str, new: int | None, old: int | None
) -> Iterator[Difference]:
    if new == old:
        return
    is_less = new is not None and (old is None or new < old)
    effect = Effect.TAKES_AWAY if is_less else Effect.ADDS
    message = f"tokens in all: {_describe_total(old)} -> {_describe_total(new)}"
    yield Difference(effect, subject, message)


def _describe_total(total: int | None) -> str:
    return "no limit" if total is None else f"{total:,}"
