"""A selector that measures how long its event loop waits for work."""

import selectors
import time

from anvilshift.core.clock import SECOND, Millis


class MeteredSelector(selectors.DefaultSelector):
    """A selector that measures how long its event loop waits for work.

    The time that the loop doesn't wait is what it works or waits for a processor, so it
    needs no knowledge of the processor's share or speed.

    Attributes
    ----------
    waited
        Milliseconds waited so far.
    """

    waited: Millis = 0.0

    def select(
        self, timeout: float | None = None
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Wait until some file is ready, and return those that are."""
        began = time.monotonic()
        try:
            return super().select(timeout)
        finally:
            self.waited += (time.monotonic() - began) * SECOND
