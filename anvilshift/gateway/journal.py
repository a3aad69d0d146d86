"""Structured log lines on standard output, bounded and never waited for.

One JSON object a line.  Under load each kind of line is bounded a second, and
the next line of that kind says how many were left out.  When nobody reads the
output, lines are dropped and counted; serving goes on.
"""

import json
import os
import time
from typing import Any

from anvilshift.core.clock import SECOND, Clock, Millis

LINES_A_SECOND = 60
"""Most lines of one kind a second: a router handles about as many requests, and a
line costs it about 20 us."""


class Journal:
    """Write log lines of one process.

    Parameters
    ----------
    node
        Name of the process in each line.
    output
        File descriptor; it is made non-blocking.
    """

    def __init__(self, node: str, clock: Clock, output: int = 1) -> None:
        self._node = node
        self._clock = clock
        self._output = output
        self._second: Millis = 0.0
        self._counts: dict[str, int] = {}
        self._left_out: dict[str, int] = {}
        self.dropped = 0
        os.set_blocking(output, False)

    def write(self, event: str, /, **fields: Any) -> None:
        """Write a line of one kind, unless too many came in this second."""
        now = self._clock.now()
        if now - self._second >= SECOND:
            self._second, self._counts = now, {}
        count = self._counts.get(event, 0)
        self._counts[event] = count + 1
        if count >= LINES_A_SECOND:
            self._left_out[event] = self._left_out.get(event, 0) + 1
            return
        left_out = self._left_out.pop(event, 0)
        if left_out:
            fields["left_out"] = left_out
        line = {"at": round(now), "wall": round(time.time(), 3), "node": self._node}
        self._put(json.dumps({**line, "event": event, **fields}) + "\n")

    def _put(self, line: str) -> None:
        try:
            os.write(self._output, line.encode())
        except OSError:
            # A reader that stalls fills the pipe: the line is given up, for the
            # loop must go on; the count shows in the metrics.
            self.dropped += 1
