"""Share one prepaid total among routers that may lose touch at any moment.

Each holder, one incarnation of a router, has a ceiling for each organisation:
the tokens that it may ever spend.  The ceilings and what ended holders have
left behind never exceed the total, and they change only by conditional update
of one object in the platform's store.  A holder spends below its ceiling
without asking anybody, so neither a cut nor a restart can overspend; no clock
and no lease is needed for that.

A holder that dies leaves its whole ceiling counted as spent.  What is uncertain
of that, the part above what it had recorded, is its doubt: it can't be handed
out again, and a request that would fit into it isn't told that the budget is
exhausted.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from anvilshift.core.usage import Spent


@dataclass(frozen=True)
class Share:
    """What one holder has of one organisation's total.

    Parameters
    ----------
    ceiling
        Tokens that the holder may spend in all.
    recorded
        Tokens that it had spent or reserved when it last wrote.
    """

    ceiling: int = 0
    recorded: int = 0


@dataclass(frozen=True)
class Allotment:
    """One organisation's total and where its tokens are.

    Parameters
    ----------
    total
        Prepaid tokens, as of the newest configuration that any router wrote.
    version
        That configuration's version: a router with an older one must not
        hand out tokens that the newer one has taken back.
    closed
        Ceilings of the holders that have ended.
    doubt
        Part of `closed` that may not have been spent.
    """

    total: int = 0
    version: int = 0
    closed: int = 0
    doubt: int = 0
    shares: Mapping[str, Share] = field(default_factory=dict)

    @property
    def free(self) -> int:
        """Return the tokens that no holder has; negative after a cut."""
        held = sum(share.ceiling for share in self.shares.values())
        return self.total - self.closed - held

    def spent_at_least(self) -> int:
        """Return the tokens that are certainly spent or reserved."""
        recorded = sum(share.recorded for share in self.shares.values())
        return self.closed - self.doubt + recorded

    def end(self, holder: str, spent: Spent | None = None) -> "Allotment":
        """Return the allotment without a holder that has ended.

        Parameters
        ----------
        spent
            What it spent in all, when it said so itself or a bound is proved;
            otherwise its whole ceiling counts.

        Examples
        --------
        >>> left = Allotment(100, shares={"r1": Share(40, 10)}).end("r1")
        >>> left.free, left.doubt, left.spent_at_least()
        (60, 30, 10)
        """
        share = self.shares.get(holder)
        if share is None:
            return self
        shares = {name: one for name, one in self.shares.items() if name != holder}
        known = spent or Spent(share.recorded, share.ceiling)
        counted = min(known.most, share.ceiling)
        return replace(
            self,
            closed=self.closed + counted,
            doubt=self.doubt + max(0, counted - known.least),
            shares=shares,
        )


@dataclass(frozen=True)
class Wish:
    """What a holder asks for one organisation.

    Parameters
    ----------
    ceiling
        The ceiling that it would like; a lower one gives tokens back.
    least
        The ceiling that its waiting requests need; what is wanted beyond that
        may take at most a part of what is free.
    spent
        Tokens that it has spent or reserved.
    """

    ceiling: int
    least: int
    spent: int


_SPARE_PART = 0.5
"""Most of the free tokens that one holder takes for its cushion: with five
holders asking in turn, the last still finds a thirtieth of what was free."""


@dataclass(frozen=True)
class Totals:
    """The organisations' totals as one router knows them."""

    version: int
    reserved: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Allotments:
    """Every organisation's allotment, as one object of the store holds them.

    Examples
    --------
    >>> totals = Totals(1, {"pounds": 100})
    >>> wish = Wish(ceiling=80, least=10, spent=0)
    >>> grown = Allotments().grant("r1", {"pounds": wish}, totals)
    >>> grown.of("pounds").shares["r1"].ceiling, grown.of("pounds").free
    (55, 45)
    """

    organisations: Mapping[str, Allotment] = field(default_factory=dict)

    def of(self, organisation: str) -> Allotment:
        """Return an organisation's allotment; one nobody wrote yet is empty."""
        return self.organisations.get(organisation, Allotment())

    def ceiling(self, organisation: str, holder: str) -> int:
        """Return what a holder may spend in all."""
        return self.of(organisation).shares.get(holder, Share()).ceiling

    def grant(
        self, holder: str, wishes: Mapping[str, Wish], totals: Totals
    ) -> "Allotments":
        """Return the allotments with a holder's wishes met as far as they can be.

        Applied twice it changes nothing the second time, as long as the holder
        has spent no more: an answer of the store may be lost after the write.
        """
        changed = {
            name: _meet(_renew(self.of(name), name, totals), holder, wish)
            for name, wish in wishes.items()
        }
        return Allotments({**self.organisations, **changed})

    def end(
        self, holder: str, spent: Mapping[str, Spent] | None = None
    ) -> "Allotments":
        """Return the allotments without a holder that has ended.

        Parameters
        ----------
        spent
            By organisation; of one that is missing the whole ceiling counts.
        """
        known = spent or {}
        return Allotments(
            {
                name: one.end(holder, known.get(name))
                for name, one in self.organisations.items()
            }
        )

    def list_holders(self) -> set[str]:
        """Return every holder that has a share."""
        return {name for one in self.organisations.values() for name in one.shares}


def _renew(allotment: Allotment, name: str, totals: Totals) -> Allotment:
    if totals.version <= allotment.version:
        return allotment
    total = totals.reserved.get(name, 0)
    return replace(allotment, total=total, version=totals.version)


def _meet(allotment: Allotment, holder: str, wish: Wish) -> Allotment:
    old = allotment.shares.get(holder, Share())
    free = max(0, allotment.free)
    if allotment.free < 0:
        # The total was cut below what holders have: each gives up what it has
        # not spent, or a cut total would go on being spent for seconds.
        ceiling = max(wish.spent, min(wish.ceiling, old.ceiling + allotment.free))
    elif wish.ceiling <= old.ceiling:
        ceiling = max(wish.ceiling, wish.spent)
    else:
        needed = min(free, max(0, wish.least - old.ceiling))
        cushion = max(0, wish.ceiling - old.ceiling - needed)
        spare = int((free - needed) * _SPARE_PART)
        ceiling = old.ceiling + needed + min(cushion, spare)
    shares = {**allotment.shares, holder: Share(ceiling, wish.spent)}
    return replace(allotment, shares=shares)
