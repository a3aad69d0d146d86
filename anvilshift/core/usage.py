"""What a router says in the store of its use of prepaid totals.

Load pattern: all routers lose power at once, seconds after a burst.  Each held
tokens for eight seconds without the store; if all of them counted as spent, an
organisation that sends much would be refused for the rest of the day with a tenth
of its total out of reach.

A router writes down what it has spent several times a second, and spends beyond
that only as fast as it has said: a part at once, and of the rest little in the first
seconds after the record was made, all of it after eight.  So a bound on the time
since then bounds what it spent.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

SPREAD_OVER: Millis = 8 * SECOND
"""Time since a record after which all that it names may be spent: cuts from the store
last up to that."""


_CLOCKS_APART: Millis = 500.0
"""Steady clock and time of day drift apart by less within the seconds of a restart;
a time of day that was set jumps by seconds."""


@dataclass(frozen=True)
class Spent:
    """What an ended router spent of a total: no less and no more than this."""

    least: int
    most: int


@dataclass(frozen=True)
class Use:
    """A router's use of one organisation's total.

    Parameters
    ----------
    recorded
        Tokens that it had spent or reserved, or was about to reserve.
    at_once
        Tokens that it may spend beyond that at any time.
    cushion
        Tokens that it may spend beyond `recorded` in the end, without another record.
    """

    recorded: int
    at_once: int
    cushion: int

    def most_after(self, elapsed: Millis) -> int:
        """Return the most that may be spent in all after a time.

        Parameters
        ----------
        elapsed
            Time since this was made for a record.

        Examples
        --------
        >>> use = Use(recorded=100, at_once=20, cushion=100)
        >>> use.most_after(0.0), use.most_after(4_000.0), use.most_after(60_000.0)
        (120, 140, 200)
        """
        # The square unlocks a sixteenth in the two seconds that a restart takes, where
        # a straight line unlocks a quarter; in a cut it catches up with the use later.
        part = min(1.0, max(0.0, elapsed) / SPREAD_OVER) ** 2
        return self.recorded + self.at_once + int((self.cushion - self.at_once) * part)

    def find_wait(self, spent: int, elapsed: Millis) -> Millis | None:
        """Return how long it takes until so much may be spent; None is never.

        Examples
        --------
        >>> Use(recorded=100, at_once=20, cushion=100).find_wait(140, 1_000.0)
        3000.0
        """
        beyond = spent - self.recorded - self.at_once
        later = self.cushion - self.at_once
        if beyond <= 0:
            return 0.0
        if beyond > later:
            return None
        return max(0.0, math.sqrt(beyond / later) * SPREAD_OVER - elapsed)


@dataclass(frozen=True)
class UseRecord:
    """One router's use of all totals, as it stands in the store.

    Parameters
    ----------
    holder, ip
        The incarnation that wrote it, and its host's address.
    anchor, wall
        When it was made, by the writer's steady clock and by the time of day.
    boot
        What names the host's start, empty where that can't be told; the steady clock
        goes on only within one.
    spans
        Bounds on the time since `anchor` with the revisions that prove them: less
        than that has gone by while the revision can be followed.  Shortest first.
    uses
        By organisation; one that is missing is not bounded.
    """

    holder: str
    ip: str
    anchor: Millis = 0.0
    wall: Millis = 0.0
    boot: str = ""
    spans: tuple[tuple[Millis, int], ...] = ()
    uses: Mapping[str, Use] = field(default_factory=dict)

    def read_clock(self, boot: str, now: Millis, wall: Millis) -> Millis | None:
        """Return the time since the anchor by the host's own steady clock.

        A steady clock that began anew may by chance show a plausible time; then the
        time of day has not gone on by as much.

        Returns
        -------
        Millis
            None when the host has been started since or can't tell, or when the
            clocks disagree.

        Examples
        --------
        >>> record = UseRecord("r1.a", "10.0.0.1", 5_000.0, wall=90_000.0, boot="b1")
        >>> record.read_clock("b1", 6_000.0, 91_000.0)
        1000.0
        >>> record.read_clock("b1", 6_000.0, 95_000.0) is None
        True
        """
        elapsed, gone = now - self.anchor, wall - self.wall
        same = boot != "" and boot == self.boot
        if not same or elapsed < 0 or abs(gone - elapsed) > _CLOCKS_APART:
            return None
        return elapsed

    def bound(self, elapsed: Millis) -> dict[str, Spent]:
        """Return what was spent, if less than a time has gone by since the anchor.

        Examples
        --------
        >>> record = UseRecord("r1.a", "10.0.0.1", uses={"pounds": Use(100, 20, 100)})
        >>> record.bound(4_000.0)["pounds"]
        Spent(least=100, most=140)
        """
        return {
            name: Spent(use.recorded, use.most_after(elapsed))
            for name, use in self.uses.items()
        }
