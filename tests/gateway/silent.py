"""A journal for tests that keeps its lines in memory."""

from typing import Any


class SilentJournal:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.dropped = 0

    def write(self, event: str, /, **fields: Any) -> None:
        self.lines.append((event, fields))

    def print_tail(self, count: int) -> None:
        """Print the last lines, for a failure whose cause they may show."""
        for event, fields in self.lines[-count:]:
            print(event, *(f"{name}={value}" for name, value in fields.items()))

    def list_events(self) -> list[str]:
        return [event for event, _ in self.lines]
