"""Labels, and the selectors that match them.

A selector is a conjunction: every equality and every set-based requirement
must hold.  The empty selector matches everything.

References
----------
The semantics are those of label selectors in published object APIs.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

Labels = Mapping[str, str]


class Operator(Enum):
    """The test that a requirement applies to a label."""

    IN = "In"
    NOT_IN = "NotIn"
    EXISTS = "Exists"
    DOES_NOT_EXIST = "DoesNotExist"


@dataclass(frozen=True)
class Requirement:
    """One set-based requirement on a label.

    Examples
    --------
    >>> Requirement("tier", Operator.IN, ("gold", "silver")).matches({"tier": "gold"})
    True
    >>> Requirement("tier", Operator.NOT_IN, ("gold",)).matches({})
    True
    """

    key: str
    operator: Operator
    values: tuple[str, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Tell whether the labels meet the requirement."""
        if self.operator is Operator.EXISTS:
            return self.key in labels
        if self.operator is Operator.DOES_NOT_EXIST:
            return self.key not in labels
        is_in = self.key in labels and labels[self.key] in self.values
        return is_in if self.operator is Operator.IN else not is_in

    def __str__(self) -> str:
        values = f" ({', '.join(self.values)})" if self.values else ""
        return f"{self.key} {self.operator.value}{values}"


@dataclass(frozen=True)
class Selector:
    """A conjunction of equalities and set-based requirements.

    Examples
    --------
    >>> selector = Selector({"region": "kosice"})
    >>> selector.matches({"region": "kosice", "tier": "gold"})
    True
    >>> selector.matches({"region": "zilina"})
    False
    """

    equal: Labels = field(default_factory=dict)
    requirements: tuple[Requirement, ...] = ()

    def matches(self, labels: Labels) -> bool:
        """Tell whether the labels meet every requirement."""
        return self.find_unmet(labels) is None

    def find_unmet(self, labels: Labels) -> str | None:
        """Return the first requirement that the labels don't meet, if any.

        Examples
        --------
        >>> Selector({"tier": "gold"}).find_unmet({"tier": "silver"})
        'tier=gold'
        """
        for key, value in self.equal.items():
            if labels.get(key) != value:
                return f"{key}={value}"
        for requirement in self.requirements:
            if not requirement.matches(labels):
                return str(requirement)
        return None

    def __str__(self) -> str:
        equal = [f"{key}={value}" for key, value in sorted(self.equal.items())]
        rest = [str(requirement) for requirement in self.requirements]
        return ", ".join([*equal, *rest]) or "everything"
