"""Counts of the calls to the platform's store, by what they were for."""

from collections import Counter
from dataclasses import dataclass, field

_METRIC = "anvilshift_store_calls"


@dataclass(frozen=True, order=True)
class CallLabel:
    """What a call was for, and how it ended.

    Parameters
    ----------
    kind
        Kind of the objects that it read or wrote.
    operation
        Name of the store's method.
    status
        Status of the answer; 0 if none came.
    """

    kind: str
    operation: str
    status: int


@dataclass
class CallCounts:
    """Counts the calls of one router since its start.

    Examples
    --------
    >>> counts = CallCounts()
    >>> counts.add("uses", "put", 200)
    >>> counts.list_gauges()
    {'anvilshift_store_calls{kind="uses",operation="put",status="200"}': 1}
    """

    by_label: Counter[CallLabel] = field(default_factory=Counter)

    def add(self, kind: str, operation: str, status: int) -> None:
        """Count a call that has ended."""
        self.by_label[CallLabel(kind, operation, status)] += 1

    def describe(self) -> dict[str, int]:
        """Return the counts by kind and operation, for the log."""
        summed: Counter[str] = Counter()
        for label, count in sorted(self.by_label.items()):
            summed[f"{label.kind} {label.operation} {label.status}"] += count
        return dict(summed)

    def list_gauges(self) -> dict[str, float]:
        """Return the counts for monitoring, by metric with its labels."""
        return {
            f'{_METRIC}{{kind="{label.kind}",operation="{label.operation}",'
            f'status="{label.status}"}}': count
            for label, count in sorted(self.by_label.items())
        }
