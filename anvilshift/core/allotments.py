"""Divide each prepaid total among routers that may be disconnected at any time.

A holder is one incarnation of a router.  It has a ceiling for each organisation:
the number of tokens that it may spend over its lifetime.  The sum of all ceilings
and of the tokens counted for ended holders never exceeds the total.  Ceilings
change only by conditional update of one object in the platform's store.  A holder
spends up to its ceiling without coordination, so neither a network partition nor
a restart can overspend the total, and no clock or lease is needed for that.

When a holder dies, its whole ceiling counts as spent.  The part of that ceiling
above its last recorded spending is its doubt: it may or may not have been spent.
These tokens can't be granted again, and a request that would fit into them isn't
told that the budget is exhausted.  Only tokens that are known to be settled, because
the requests that used them have ended, are reason for that.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from anvilshift.core.usage import SpendingBounds


@dataclass(frozen=True)
class Share:
    """One holder's share of one organisation's total.

    Parameters
    ----------
    ceiling
        Tokens that the holder may spend over its lifetime.
    recorded
        Tokens that it had spent or reserved at its last write to the store.
    settled
        Tokens that requests which had ended then used, as far as it knew: its own and
        those of routers that reported to it.  An entry without the field has 0.
    """

    ceiling: int = 0
    recorded: int = 0
    settled: int = 0


@dataclass(frozen=True)
class Allotment:
    """One organisation's total and how it is divided among holders.

    Parameters
    ----------
    total
        Prepaid tokens, as of the newest configuration that any router wrote.
    version
        Version of that configuration.  A router with an older configuration must
        not grant tokens that the newer one has withdrawn.
    closed
        Tokens counted as spent for the holders that have ended.
    doubt
        Part of `closed` that may not have been spent.
    shares
        By holder, its share.
    settled
        Tokens that the ended holders are known to have settled.
    """

    total: int = 0
    version: int = 0
    closed: int = 0
    doubt: int = 0
    shares: Mapping[str, Share] = field(default_factory=dict)
    settled: int = 0

    @property
    def free(self) -> int:
        """Return the unallocated tokens; negative after the total was reduced."""
        held = sum(share.ceiling for share in self.shares.values())
        return self.total - self.closed - held

    def spent_at_least(self) -> int:
        """Return a lower bound on the tokens that are spent or reserved."""
        recorded = sum(share.recorded for share in self.shares.values())
        return self.closed - self.doubt + recorded

    def count_settled(self, without: str) -> int:
        """Return the tokens known to be settled, without those of one holder."""
        shares = [one for name, one in self.shares.items() if name != without]
        return self.settled + sum(share.settled for share in shares)

    def end(self, holder: str, spent: SpendingBounds | None = None) -> "Allotment":
        """Return the allotment without a holder that has ended.

        Parameters
        ----------
        spent
            Bounds on what it spent over its lifetime, if it reported them itself or
            they are proved; otherwise its whole ceiling counts as spent.

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
        known = spent or SpendingBounds(share.recorded, share.ceiling)
        counted = min(known.most, share.ceiling)
        return replace(
            self,
            closed=self.closed + counted,
            doubt=self.doubt + max(0, counted - known.least),
            shares=shares,
            settled=self.settled + max(share.settled, known.settled),
        )


@dataclass(frozen=True)
class ShareRequest:
    """The ceiling that a holder requests for one organisation.

    Parameters
    ----------
    ceiling
        The requested ceiling.  One below the current ceiling returns tokens.
    least
        The ceiling that its waiting requests need.  The request beyond that is
        granted from at most a fraction of the tokens that stay free.
    spent
        Tokens that it has spent or reserved.
    settled
        Tokens of ended requests that it counts.
    """

    ceiling: int
    least: int
    spent: int
    settled: int = 0


_MAX_CUSHION_FRACTION = 0.5
"""Largest fraction of the free tokens that one grant adds for a holder's cushion.
When five holders ask in turn, a thirtieth of what was free is still left."""


@dataclass(frozen=True)
class Totals:
    """The organisations' totals in the configuration that one router has.

    Parameters
    ----------
    version
        Version of the configuration.
    reserved
        By organisation, its prepaid tokens.
    """

    version: int
    reserved: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class Allotments:
    """The allotments of all organisations, stored as one object.

    Examples
    --------
    >>> totals = Totals(1, {"pounds": 100})
    >>> request = ShareRequest(ceiling=80, least=10, spent=0)
    >>> grown = Allotments().grant("r1", {"pounds": request}, totals)
    >>> grown.of("pounds").shares["r1"].ceiling, grown.of("pounds").free
    (55, 45)
    """

    organisations: Mapping[str, Allotment] = field(default_factory=dict)

    def of(self, organisation: str) -> Allotment:
        """Return an organisation's allotment; empty if none was written yet."""
        return self.organisations.get(organisation, Allotment())

    def ceiling(self, organisation: str, holder: str) -> int:
        """Return the tokens that a holder may spend over its lifetime."""
        return self.of(organisation).shares.get(holder, Share()).ceiling

    def grant(
        self, holder: str, requests: Mapping[str, ShareRequest], totals: Totals
    ) -> "Allotments":
        """Return the allotments after granting a holder's requests where possible.

        The operation is idempotent while the holder's spending is unchanged,
        because the store's answer may be lost after the write took effect and the
        write is then repeated.
        """
        changed = {
            name: _apply_request(
                _update_total(self.of(name), name, totals), holder, request
            )
            for name, request in requests.items()
        }
        return Allotments({**self.organisations, **changed})

    def end(
        self, holder: str, spent: Mapping[str, SpendingBounds] | None = None
    ) -> "Allotments":
        """Return the allotments without a holder that has ended.

        Parameters
        ----------
        spent
            By organisation, bounds on what the holder spent.  For an organisation
            that is missing, the whole ceiling counts as spent.
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


def _update_total(allotment: Allotment, name: str, totals: Totals) -> Allotment:
    if totals.version <= allotment.version:
        return allotment
    total = totals.reserved.get(name, 0)
    return replace(allotment, total=total, version=totals.version)


def _apply_request(
    allotment: Allotment, holder: str, request: ShareRequest
) -> Allotment:
    old = allotment.shares.get(holder, Share())
    free = max(0, allotment.free)
    if allotment.free < 0:
        # The total was reduced below the sum of the ceilings.  Each holder returns
        # what it has not spent, up to the deficit; otherwise holders would go on
        # spending the withdrawn tokens for seconds.
        ceiling = max(request.spent, min(request.ceiling, old.ceiling + allotment.free))
    elif request.ceiling <= old.ceiling:
        ceiling = max(request.ceiling, request.spent)
    else:
        needed = min(free, max(0, request.least - old.ceiling))
        cushion = max(0, request.ceiling - old.ceiling - needed)
        spare = int((free - needed) * _MAX_CUSHION_FRACTION)
        ceiling = old.ceiling + needed + min(cushion, spare)
    shares = {
        **allotment.shares,
        holder: Share(ceiling, request.spent, request.settled),
    }
    return replace(allotment, shares=shares)
