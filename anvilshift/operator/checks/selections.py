"""Which declarations a selector meets, for many at once.

Entries are numbered, and a set of them is an integer with a bit for each, so that a
thousand policies over a thousand organisations are compared in milliseconds.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from anvilshift.core.declarations import Catalogue, Route, TargetKind
from anvilshift.core.labels import Labels, Operator, Selector


class LabelIndex:
    """Numbered entries by their labels.

    Examples
    --------
    >>> index = LabelIndex([{"tier": "gold"}, {"tier": "silver"}, {}])
    >>> bin(index.find(Selector({"tier": "silver"}))), bin(index.find(Selector()))
    ('0b10', '0b111')
    """

    def __init__(self, entries: Iterable[Labels]) -> None:
        self._by_key: dict[str, int] = {}
        self._by_label: dict[tuple[str, str], int] = {}
        number = -1
        for number, labels in enumerate(entries):
            for key, value in labels.items():
                bit = 1 << number
                self._by_key[key] = self._by_key.get(key, 0) | bit
                label = (key, value)
                self._by_label[label] = self._by_label.get(label, 0) | bit
        self.everything = (1 << number + 1) - 1

    def find(self, selector: Selector) -> int:
        """Return the set of the entries that meet a selector."""
        found = self.everything
        for label in selector.equal.items():
            found &= self._by_label.get(label, 0)
        for one in selector.requirements:
            if one.operator in (Operator.EXISTS, Operator.DOES_NOT_EXIST):
                met = self._by_key.get(one.key, 0)
            else:
                met = 0
                for value in one.values:
                    met |= self._by_label.get((one.key, value), 0)
            negated = one.operator in (Operator.DOES_NOT_EXIST, Operator.NOT_IN)
            found &= self.everything & ~met if negated else met
        return found


@dataclass(frozen=True)
class Decisions:
    """What the policies of a catalogue decide.

    Parameters
    ----------
    deciding
        Names of the policies that decide for an organisation and an engine group.
    allowed
        Names of the organisations that may use an engine group.
    unmet
        Field of each policy whose selector nothing meets.
    """

    deciding: frozenset[str]
    allowed: frozenset[str]
    unmet: dict[str, str]

    @classmethod
    def from_catalogue(cls, catalogue: Catalogue) -> "Decisions":
        """Decide as `Catalogue.decide` does, for every pair."""
        names = list(catalogue.organisations)
        callers = LabelIndex(one.labels for one in catalogue.organisations.values())
        groups = LabelIndex(one.labels for one in catalogue.groups.values())
        ranked = sorted(
            catalogue.policies.values(),
            key=lambda p: (p.priority, p.name),
            reverse=True,
        )
        undecided = [groups.everything] * len(names)
        still_open = callers.everything
        deciding, unmet = set(), {}
        for policy in ranked:
            matched, over = (
                callers.find(policy.organisations),
                groups.find(policy.engines),
            )
            if not matched or not over:
                unmet[policy.name] = "engines" if matched else "organisations"
            for number in list_members(matched & still_open) if over else ():
                if undecided[number] & over:
                    deciding.add(policy.name)
                    undecided[number] &= ~over
                if not undecided[number]:
                    still_open &= ~(1 << number)
        allowed = (
            name
            for name, left in zip(names, undecided, strict=True)
            if left != groups.everything
        )
        return cls(frozenset(deciding), frozenset(allowed), unmet)


class Servers:
    """Which routes an engine group serves."""

    def __init__(self, catalogue: Catalogue) -> None:
        groups = catalogue.groups.values()
        self._labels = LabelIndex(one.labels for one in groups)
        self._kinds = dict.fromkeys(TargetKind, 0)
        self._models: dict[str, int] = {}
        for number, group in enumerate(groups):
            self._kinds[group.kind] |= 1 << number
            for model in group.models:
                self._models[model] = self._models.get(model, 0) | 1 << number

    def serve(self, route: Route) -> bool:
        """Tell whether a group serves a route, as `EngineGroup.serves` does."""
        found = self._labels.find(route.engines) & self._kinds[route.kind]
        if route.kind is not TargetKind.SERVICE:
            found &= self._models.get(route.name, 0)
        return found != 0


def list_members(found: int) -> Iterator[int]:
    """Return the numbers in a set, from the least.

    Examples
    --------
    >>> list(list_members(0b101))
    [0, 2]
    """
    while found:
        least = found & -found
        yield least.bit_length() - 1
        found ^= least
