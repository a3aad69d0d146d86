"""A journal for tests that keeps its lines in memory."""

from typing import Any


class SilentJournal:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []
        self.dropped = 0

    def write(self, event: str, /, **fields: Any) -> None:
        self.lines.append((event, fields))

    def list_events(self) -> list[str]:
        return [event for event, _ in self.lines]
