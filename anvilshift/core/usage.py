"""The use of prepaid totals that a router records in the store.

Load pattern: all routers lose power at once, seconds after a burst.  Each held
tokens for eight seconds without the store.  If all of them counted as spent, an
organisation that sends much would be refused for the rest of the day, with a tenth
of its total unusable.

A router records what it has spent several times a second.  Beyond the recorded
amount it spends only as fast as the record allows: a part at any time, little of the
rest in the first seconds after the record was made, and all of it after eight.  So a
bound on the time since the record is also a bound on what the router spent.
"""

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

RELEASE_TIME: Millis = 8 * SECOND
"""Time since a record after which all tokens that it allows may be spent.  It is the
longest expected outage of the store."""


_MAX_CLOCK_DRIFT: Millis = 500.0
"""Tolerated difference between the steady clock and the time of day.  They drift apart
by less within the seconds of a restart, while setting the time of day makes it jump by
seconds."""


@dataclass(frozen=True)
class SpendingBounds:
    """Lower and upper bound on what an ended router spent of a total.

    Parameters
    ----------
    settled
        Tokens of its ended requests that are known; reserved ones are in `least` too.
    """

    least: int
    most: int
    settled: int = 0


@dataclass(frozen=True)
class Use:
    """A router's recorded use of one organisation's total.

    Parameters
    ----------
    recorded
        Tokens that it had spent or reserved, or was about to reserve.
    at_once
        Tokens that it may spend beyond `recorded` at any time.
    cushion
        Tokens that it may spend beyond `recorded`, without another record, once
        `RELEASE_TIME` has passed; includes `at_once`.
    settled
        Part of `recorded` that requests that have ended used.
    hold
        Time since the record was made in which only `at_once` may be spent.  A router
        that doesn't know it takes the limit to be higher.
    """

    recorded: int
    at_once: int
    cushion: int
    settled: int = 0
    hold: Millis = 0.0

    def find_limit(self, elapsed: Millis) -> int:
        """Return the upper limit on total spending after a time.

        Parameters
        ----------
        elapsed
            Time since the record was made.

        Examples
        --------
        >>> use = Use(recorded=100, at_once=20, cushion=100)
        >>> use.find_limit(0.0), use.find_limit(4_000.0), use.find_limit(60_000.0)
        (120, 140, 200)
        >>> Use(100, 20, 100, hold=4_000.0).find_limit(6_000.0)
        140
        """
        # In the two seconds that a restart takes, quadratic growth releases a sixteenth
        # of the rest, where linear growth releases a quarter.  In a store outage, the
        # released amount therefore reaches the actual use later.
        released = max(0.0, elapsed - self.hold) / self._find_span()
        fraction = min(1.0, released) ** 2
        return (
            self.recorded + self.at_once + int((self.cushion - self.at_once) * fraction)
        )

    def find_wait(self, spent: int, elapsed: Millis) -> Millis | None:
        """Return the time until total spending may reach an amount; None if never.

        Parameters
        ----------
        spent
            The amount, in tokens.
        elapsed
            Time since the record was made.

        Examples
        --------
        >>> Use(recorded=100, at_once=20, cushion=100).find_wait(140, 1_000.0)
        3000.0
        >>> Use(100, 20, 100, hold=4_000.0).find_wait(140, 1_000.0)
        5000.0
        """
        beyond = spent - self.recorded - self.at_once
        delayed = self.cushion - self.at_once
        if beyond <= 0:
            return 0.0
        if beyond > delayed:
            return None
        wait = self.hold + math.sqrt(beyond / delayed) * self._find_span()
        return max(0.0, wait - elapsed)

    def _find_span(self) -> Millis:
        """Return the time in which tokens are released, once that begins."""
        return max(1.0, RELEASE_TIME - self.hold)


@dataclass(frozen=True)
class RecordLimit:
    """The spending limit that one use record of this router sets over time.

    Parameters
    ----------
    anchor
        When the record was made, by the steady clock.
    use
        What the record states.
    """

    anchor: Millis
    use: Use


@dataclass(frozen=True)
class UseRecord:
    """One router's use of all totals, as stored.

    Parameters
    ----------
    holder, ip
        The incarnation that wrote the record, and its host's address.
    anchor, wall
        When the record was made, by the writer's steady clock and by the time of day.
    boot
        Identifier of the host's boot, empty if unknown.  The steady clock is
        continuous only within one boot.
    spans
        Upper bounds on the time since `anchor`, each with the revision that proves
        it: as long as the store's changes can be followed from the revision, less
        time than the bound has passed.  Shortest first.
    uses
        By organisation.  The spending of one that is missing is not bounded.
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

        A steady clock that restarted may by chance show a plausible time.  Comparing
        it with the time of day detects that, because the two then disagree.

        Returns
        -------
        Millis or None
            None when the host has been booted since, when its boot identifier is
            unknown, or when the clocks disagree.

        Examples
        --------
        >>> record = UseRecord("r1.a", "10.0.0.1", 5_000.0, wall=90_000.0, boot="b1")
        >>> record.read_clock("b1", 6_000.0, 91_000.0)
        1000.0
        >>> record.read_clock("b1", 6_000.0, 95_000.0) is None
        True
        """
        elapsed, wall_elapsed = now - self.anchor, wall - self.wall
        same_boot = boot != "" and boot == self.boot
        if (
            not same_boot
            or elapsed < 0
            or abs(wall_elapsed - elapsed) > _MAX_CLOCK_DRIFT
        ):
            return None
        return elapsed

    def bound(self, elapsed: Millis) -> dict[str, SpendingBounds]:
        """Return bounds on what was spent, by organisation.

        Parameters
        ----------
        elapsed
            Upper bound on the time since the anchor.

        Examples
        --------
        >>> record = UseRecord("r1.a", "10.0.0.1", uses={"pounds": Use(100, 20, 100)})
        >>> record.bound(4_000.0)["pounds"]
        SpendingBounds(least=100, most=140, settled=0)
        """
        return {
            name: SpendingBounds(use.recorded, use.find_limit(elapsed), use.settled)
            for name, use in self.uses.items()
        }
