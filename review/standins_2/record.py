"""The record of what was sent, answered and run."""

import pathlib
import time


class Record:
    """Lines with the time since the start, for `record.txt`."""

    def __init__(self, path: pathlib.Path) -> None:
        self._began = time.monotonic()
        self._file = path.open("w")

    def now(self) -> float:
        """Return the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Add a line."""
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()
