"""Let another router witness how little of its tokens this one may have spent.

Load pattern: one router of several loses power for four seconds in the midst of a
day, with a part of many totals.  Its record in the store bounds what it spent by the
time since, and the time without power counts: by then a third of what it kept would
be taken for spent, and its organisations be refused at the end of their totals.

So a keeper of tokens also tells one other router several times a second what it has
spent, and promises to spend little more than that for some seconds.  While both live,
each promise is replaced by the next before it binds.  When its router ends, the
witness lives on and tells the successor the last one.  The store's records still hold
when both end at once.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.usage import Spent, Use

HELD_FOR: Millis = 5 * SECOND
"""Time for which a promise binds to its part at once: a host that has lost power is
mostly back by then.  A keeper cut off from both the store and its witness waits no
longer than that to spend what its record allows."""
_APART: Millis = 100.0
"""By so much later than the witness a router counts a promise as run out: steady
clocks run apart by less in seconds."""
_FORGOTTEN_AFTER: Millis = 60 * SECOND
"""A promise that old proves no more than the ceiling does."""
UNKNOWN: Millis = -1.0
"""Stands for the witness' instant while the router has heard nothing of it."""


def _find_most(use: Use, elapsed: Millis) -> int:
    return use.recorded + (use.at_once if elapsed < HELD_FOR else use.cushion)


@dataclass(frozen=True)
class Promise:
    """What a router told its witness of one organisation's tokens.

    Parameters
    ----------
    witness
        The incarnation that was told.
    number
        Grows with each promise of its router.
    made
        When it was made, by its router's clock.

    Examples
    --------
    >>> promise = Promise("r2.a", 1, 0.0, Use(recorded=100, at_once=20, cushion=90))
    >>> promise.most_at(1_000.0), promise.most_at(5_050.0), promise.most_at(5_100.0)
    (120, 120, 190)
    """

    witness: str
    number: int
    made: Millis
    use: Use

    def most_at(self, now: Millis) -> int:
        """Return what its router may spend in all by an instant."""
        return _find_most(self.use, now - self.made - _APART)

    def find_wait(self, spent: int, now: Millis) -> Millis | None:
        """Return how long until so much may be spent; None is never."""
        if spent <= self.most_at(now):
            return 0.0
        if spent > self.use.recorded + self.use.cushion:
            return None
        return self.made + HELD_FOR + _APART - now


@dataclass(frozen=True)
class Testimony:
    """What a witness proves of one organisation's tokens at an ended router."""

    organisation: str
    number: int
    spent: Spent


@dataclass(frozen=True)
class _Kept:
    number: int
    since: Millis
    use: Use


@dataclass
class WitnessBook:
    """The newest promises of other routers.

    Examples
    --------
    >>> book = WitnessBook()
    >>> uses = {"pounds": Use(recorded=100, at_once=20, cushion=90)}
    >>> book.take("r1.a", "10.0.0.1", 7, since=1_000.0, uses=uses)
    >>> for testimony in book.testify("r1.a", "10.0.0.1", now=5_500.0):
    ...     print(testimony.number, testimony.spent)
    7 Spent(least=100, most=120)
    """

    _kept: dict[tuple[str, str], dict[str, _Kept]] = field(default_factory=dict)

    def take(
        self,
        holder: str,
        ip: str,
        number: int,
        since: Millis,
        uses: Mapping[str, Use],
    ) -> None:
        """Take in promises that one message held.

        Parameters
        ----------
        holder, ip
            The router that promises, and its host's address.
        since
            An instant of the witness' own clock that the router had heard of when
            it made them: they are no older than that.
        """
        kept = self._kept.setdefault((holder, ip), {})
        for name, use in uses.items():
            known = kept.get(name)
            # A datagram that was held up must not replace a newer promise.
            if known is None or known.number < number:
                kept[name] = _Kept(number, since, use)

    def list_holders(self, router: str, ip: str, incarnation: str) -> list[str]:
        """Return the former incarnations of a router on the same host."""
        return [
            holder
            for holder, address in self._kept
            if holder.rpartition(".")[0] == router
            and address == ip
            and holder != incarnation
        ]

    def testify(self, holder: str, ip: str, now: Millis) -> list[Testimony]:
        """Return what a router that has ended by now spent at the most."""
        found = []
        for name, kept in self._kept.get((holder, ip), {}).items():
            age = math.inf if kept.since == UNKNOWN else now - kept.since
            most = _find_most(kept.use, age)
            spent = Spent(kept.use.recorded, most)
            found.append(Testimony(name, kept.number, spent))
        return found

    def expire(self, now: Millis) -> None:
        """Forget routers that have promised nothing for long."""
        for key, kept in list(self._kept.items()):
            if all(now - one.since > _FORGOTTEN_AFTER for one in kept.values()):
                del self._kept[key]


def choose_witness(
    own: str, domain: str, routers: Iterable[tuple[str, str]]
) -> str | None:
    """Return the router that witnesses for this one; None if there is no other.

    One in another failure domain goes first: what ends this router's host may end
    its neighbours.  The next name round a circle of all is taken, so that no router
    witnesses for everybody.

    Parameters
    ----------
    routers
        Names and failure domains of the other routers.

    Examples
    --------
    >>> choose_witness("b", "north", [("a", "south"), ("c", "north"), ("d", "south")])
    'd'
    >>> choose_witness("b", "north", [("c", "north")])
    'c'
    """
    others = sorted((place == domain, name <= own, name) for name, place in routers)
    return others[0][2] if others else None
