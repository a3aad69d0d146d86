"""Write structured log lines to standard output, rate-limited and without blocking.

Each line is one JSON object.  The number of lines of one kind is limited each second;
the next line of that kind says how many were left out.  When the reader of the output
stalls, lines are dropped and counted, and the process continues.
"""

import json
import os
import time
from typing import Any

from anvilshift.core.clock import SECOND, Clock, Millis

LINES_A_SECOND = 60
"""Lines of one kind that are written each second: a router handles about as many
requests, and a line takes it about 20 us."""


class Journal:
    """Write the log lines of one process.

    Parameters
    ----------
    node
        Name of the process, written into each line.
    output
        File descriptor to write to; it is made non-blocking.

    Attributes
    ----------
    dropped
        Number of lines that could not be written.
    """

    def __init__(self, node: str, clock: Clock, output: int = 1) -> None:
        self._node = node
        self._clock = clock
        self._output = output
        self._second_start: Millis = 0.0
        self._counts: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        self.dropped = 0
        os.set_blocking(output, False)

    def write(self, event: str, /, **fields: Any) -> None:
        """Write a line of one kind, unless this second's limit is reached."""
        now = self._clock.now()
        if now - self._second_start >= SECOND:
            self._second_start, self._counts = now, {}
        count = self._counts.get(event, 0)
        self._counts[event] = count + 1
        if count >= LINES_A_SECOND:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return
        left_out = self._left_out.pop(event, 0)
        if left_out:
            fields["left_out"] = left_out
        line = {"at": round(now), "wall": round(time.time(), 3), "node": self._node}
        self._write_output(json.dumps({**line, "event": event, **fields}) + "\n")

    def _write_output(self, line: str) -> None:
        try:
            os.write(self._output, line.encode())
        except OSError:
            # A reader that stalls fills the pipe.  The line is dropped and counted,
            # since waiting would block the event loop.
            self.dropped += 1
