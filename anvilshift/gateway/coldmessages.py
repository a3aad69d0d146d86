"""Messages between routers about targets that accept few requests after a start."""

from dataclasses import dataclass

from anvilshift.core.clock import Millis


@dataclass(frozen=True)
class TargetCold:
    """A target has said that it is cold.

    Parameters
    ----------
    born
        Number of its start.  It may be a newer one than its reader knows of.
    left
        Time for which it is cold.
    """

    target: str
    born: int
    left: Millis
