"""What one router may spend of each organisation's prepaid total, and has spent.

Load pattern: callers send large prompts in bursts while the platform's store
is out of reach for many seconds.  Without a cushion the router would refuse
proper work as soon as the store is gone; with too large a cushion a killed
router strands tokens that nobody can spend any more.

A request reserves the most that it can cost and settles what it used.  Two routers
keep an organisation's tokens and hand them to the others, request by request; what
they may spend beyond their record of use follows the rate of use, so that a kill
strands little of what they keep.
"""

from collections.abc import Mapping

from anvilshift.core.allotments import Allotment, Allotments, Wish
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.cushions import Pace, Purse
from anvilshift.core.keepers import KeeperMap
from anvilshift.core.usage import Use, UseRecord

FREE_KNOWN_FOR: Millis = 2 * SECOND
"""How long what a write found free holds: a total grows by seconds, and each look is
a priced write."""
_UNKEPT: Millis = 1 * SECOND
"""After no keeper answered: about as long as one that is lost still counts as there."""


class Wallet:
    """Reserve and settle tokens of all organisations at one router.

    Examples
    --------
    >>> wallet = Wallet("r1")
    >>> wallet.configure({"pounds": 1_600}, now=0.0)
    >>> wallet.reserve("pounds", "a", 60, now=0.0)
    False
    >>> from anvilshift.core.allotments import Allotment, Share
    >>> held = Allotment(1_600, shares={"r1": Share(100, 0)})
    >>> wallet.take(Allotments({"pounds": held}), now=1.0)
    >>> wallet.reserve("pounds", "a", 60, now=1.0)
    True
    >>> wallet.settle("pounds", "a", 25, now=2.0)
    >>> wallet.purses["pounds"].available(now=2.0)
    75
    """

    def __init__(self, holder: str) -> None:
        self.holder = holder
        self.purses: dict[str, Purse] = {}
        self.seen = Allotments()

    def configure(self, totals: Mapping[str, int | None], now: Millis) -> None:
        """Take in the totals of a configuration; None is no limit."""
        for name, total in totals.items():
            purse = self.purses.setdefault(name, Purse())
            purse.limited = total is not None
            if total is not None and total < purse.total:
                # Less is prepaid than before: what lies ready here may be more
                # than is left, so it goes back before anything else is drawn.
                purse.ceiling = min(purse.ceiling, purse.spent)
            if total is not None and total > purse.total:
                purse.free_until = now
            purse.total = total or 0

    def reserve(self, name: str, key: str, tokens: int, now: Millis) -> bool:
        """Set tokens aside for a request; False when too few lie ready."""
        purse = self.purses.setdefault(name, Purse())
        if purse.limited and tokens > purse.available(now):
            purse.waiting[key] = tokens
            return False
        purse.waiting.pop(key, None)
        purse.reserved[key] = tokens
        purse.busy_at = now
        return True

    def is_dry(self, name: str, now: Millis) -> bool:
        """Tell whether the last write found too little free."""
        purse = self.purses.get(name)
        return purse is not None and purse.is_dry(now)

    def give_up(self, name: str, key: str) -> None:
        """Forget a request that waited for tokens."""
        self.purses[name].waiting.pop(key, None)

    def settle(self, name: str, key: str, tokens: int, now: Millis) -> None:
        """Turn a reservation into what was used; 0 gives all of it back."""
        purse = self.purses[name]
        used = min(tokens, purse.reserved.pop(key, 0))
        purse.settled += used
        if used:
            purse.count_use(used, now)

    def wants_change(self, now: Millis) -> bool:
        """Tell whether the shares in the store should change."""
        return any(purse.needs_change(now) for purse in self.purses.values())

    def is_waited_for(self, now: Millis) -> bool:
        """Tell whether a request waits for tokens that may be drawn now."""
        return any(
            purse.lacks() and purse.draws(now) and not purse.is_dry(now)
            for purse in self.purses.values()
        )

    def note_unkept(self, name: str, now: Millis) -> None:
        """Take in that no keeper of an organisation's tokens answers."""
        self.purses[name].unkept_until = now + _UNKEPT

    def make_wishes(self, now: Millis) -> dict[str, Wish]:
        """Return what to ask now, and stop counting on what is given back.

        What a wish lowers is given up before it is sent: were the answer lost
        after the write took effect, this router would spend tokens that
        another has drawn meanwhile.
        """
        wishes = {}
        for name, purse in self.purses.items():
            if purse.needs_change(now):
                wishes[name] = purse.make_wish(now)
                purse.ceiling = min(purse.ceiling, wishes[name].ceiling)
        return wishes

    def take(
        self, allotments: Allotments, now: Millis, known_for: Millis = FREE_KNOWN_FOR
    ) -> None:
        """Take in the object after a write of this router took effect.

        Parameters
        ----------
        known_for
            How long what is free counts as known.
        """
        self.seen = allotments
        for name, purse in self.purses.items():
            purse.ceiling = max(allotments.ceiling(name, self.holder), purse.spent)
            known = allotments.of(name)
            purse.left = (
                known.total
                - known.closed
                - sum(share.recorded for share in known.shares.values())
            )
            purse.free, purse.free_until = known.free, now + known_for

    def set_provable(self, provable: bool) -> None:
        """Take in whether a successor could prove how much was spent here."""
        for purse in self.purses.values():
            purse.provable = provable

    def set_keepers(self, keepers: KeeperMap) -> None:
        """Take in who keeps which organisation's tokens."""
        for name, purse in self.purses.items():
            purse.rank = keepers.find_rank(name)
            purse.keepers = len(keepers.list_keepers(name))

    def keeps_any(self) -> bool:
        """Tell whether this router's use has to be recorded."""
        return any(
            purse.limited and (purse.keeping or purse.is_paced())
            for purse in self.purses.values()
        )

    def make_uses(self, now: Millis) -> dict[str, Use]:
        """Return what to say of every organisation's use."""
        limited = {name: one for name, one in self.purses.items() if one.limited}
        return {name: purse.make_use(now) for name, purse in limited.items()}

    def pace(self, record: UseRecord) -> None:
        """Keep to a record that is about to be written; it may take effect."""
        for name, use in record.uses.items():
            if name in self.purses:
                self.purses[name].paces += (Pace(record.anchor, use),)

    def settle_pace(self, record: UseRecord) -> None:
        """Keep only to a record that the store has confirmed.

        A write before it that was not answered can't take effect any more.
        """
        for name, purse in self.purses.items():
            use = record.uses.get(name)
            purse.paces = (Pace(record.anchor, use),) if use else ()

    def hand_over(self, name: str, key: str, now: Millis) -> int:
        """Turn a reservation into tokens for another router; return how many.

        They count as spent here from before they are sent, and this router's
        share in the store goes on covering them: a gift that is lost on its
        way is out of reach, never there twice.

        Examples
        --------
        >>> wallet = Wallet("r1")
        >>> wallet.purses["pounds"] = Purse(total=100, ceiling=100)
        >>> wallet.reserve("pounds", "r2/7", 80, now=0.0)
        True
        >>> wallet.hand_over("pounds", "r2/7", now=0.0)
        80
        >>> wallet.purses["pounds"].available(0.0)
        20
        """
        given = self.purses[name].reserved.get(key, 0)
        self.settle(name, key, given, now)
        return given

    def find_idle(self, now: Millis) -> dict[str, int]:
        """Return what lies idle at a router that keeps none, by organisation."""
        idle = {name: one.find_idle(now) for name, one in self.purses.items()}
        return {name: tokens for name, tokens in idle.items() if tokens > 0}

    def take_out(self, name: str, tokens: int) -> None:
        """Count tokens as spent that are about to be given away."""
        self.purses[name].settled += tokens

    def find_wait(self, name: str, key: str, now: Millis) -> Millis | None:
        """Return when a waiting request may reserve if nothing is drawn.

        Those that waited before it go first.  None is never.
        """
        purse = self.purses[name]
        tokens = 0
        for waiting, needed in purse.waiting.items():
            tokens += needed
            if waiting == key:
                break
        return purse.find_wait(tokens, now)

    def receive(self, name: str, tokens: int) -> None:
        """Take in tokens that another router gave."""
        if name in self.purses:
            self.purses[name].settled -= tokens

    def is_exhausted(self, name: str, tokens: int) -> bool:
        """Tell whether the total certainly can't cover as many tokens.

        What others hold and have not recorded as spent, and what ended holders
        left in doubt, may still be there: then nobody can say so.
        """
        purse = self.purses[name]
        known: Allotment = self.seen.of(name)
        total = min(purse.total, known.total) if known.version else purse.total
        own = known.shares.get(self.holder)
        others = known.spent_at_least() - (own.recorded if own else 0)
        return total - others - purse.spent < tokens
