"""Keep this router's shares of the prepaid totals in the platform's store.

One object holds all organisations' allotments; it changes by conditional
update only.  Requests spend from the wallet without a call; this module draws
and gives back in the background.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

from anvilshift.core.allotments import Allotments, Totals
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    AnvilshiftError,
)
from anvilshift.core.usage import Spent
from anvilshift.core.wallet import FREE_KNOWN_FOR, Wallet
from anvilshift.gateway.journal import Journal
from anvilshift.objects.cached import CachedObject
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import Body, ObjectStore

KIND = "anvilshift-allotments"
NAME = "main"
_LOOK: Millis = 250.0
"""Between two looks at the cushions: a cushion lasts for seconds."""
_SPACING: Millis = 100.0
"""Least time between two writes: requests that wait for tokens are drawn for
together, at a delay that is small against a first token's."""
_LEISURE: Millis = 800.0
"""Least time between two writes that no request waits for; each is priced, and a
cushion lasts for many of these."""
_PAUSE: Millis = 250.0
"""After a failed write."""
_DRAWN_AFTER = 2
"""The first write only tells what is left; the second draws by it."""
_GREETING: Millis = 120.0
"""From a start, and from when the last other router was found, to the first write.
A fleet that starts at once finds its routers one by one: each that wrote before it
knew them would take itself for a keeper of tokens, and meet the writes of all."""
_ALONE: Millis = 600.0
"""From a start to the first write at the most, and while no other router is heard:
who writes first alone takes what the keepers would have to get back."""
_STARTING: Millis = 1.5 * SECOND
"""After a start others may have started too, and end their former shares: what is
free grows by tenths of a second."""
_FREE_KNOWN_AT_START: Millis = 200.0
"""How long what a write found free holds for a router that has just started."""
_RECENT: Millis = 2.5 * SECOND
"""What the store said of a total holds for so long: a draw that found nothing is
made again after two seconds."""


async def _settle_nothing() -> None:
    return None


@dataclass
class Allotter:
    """Draw, spend and give back tokens.

    Parameters
    ----------
    node
        Name of the host, the same after a restart: former incarnations there
        have ended.
    holder
        Name of this incarnation.
    alone, found_at
        Whether no other router is heard, and when one was found last.
    """

    store: ObjectStore
    node: str
    holder: str
    clock: Clock
    journal: Journal
    settle_former: Callable[[], Awaitable[tuple[str, dict[str, Spent]] | None]] = (
        _settle_nothing
    )
    totals: Totals = field(default_factory=lambda: Totals(0))
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _round: asyncio.Event = field(default_factory=asyncio.Event)
    failing: bool = False
    ended: dict[str, dict[str, Spent]] = field(default_factory=dict)
    rounds: int = 0
    alone: bool = True
    found_at: Millis = -1e12
    _writes: int = 0
    _written: Millis = -1e12

    def __post_init__(self) -> None:
        self.wallet = Wallet(self.holder)
        self._object = CachedObject(self.store, KIND, NAME)
        self._begun = False
        self._looked = False
        self._closed = False
        self._made = self.clock.now()

    def configure(self, version: int, totals: Mapping[str, int | None]) -> None:
        """Take in the prepaid totals of a configuration."""
        limited = {name: total for name, total in totals.items() if total is not None}
        self.totals = Totals(version, limited)
        self.wallet.configure(totals, self.clock.now())
        self._wake.set()

    def wake(self) -> None:
        """Look at the shares soon: a request waits."""
        self._wake.set()

    async def wait_round(self) -> None:
        """Wait for the end of a write, or for a gift."""
        await self._round.wait()

    def find_age(self) -> Millis:
        """Return the time since the store last told of the shares."""
        return self.clock.now() - self._written

    def has_just_started(self) -> bool:
        """Tell whether the shares of routers that started with this one may be open."""
        return self.clock.now() - self._made < _STARTING

    def is_exhausted(self, name: str, tokens: int) -> bool:
        """Tell whether a total certainly can't cover as many tokens now."""
        recent = self.find_age() < _RECENT
        return recent and self.wallet.is_exhausted(name, tokens)

    def note_ended(self, holder: str, spent: Mapping[str, int]) -> None:
        """Take in what another router spent, which has ended."""
        self.ended[holder] = {name: Spent(one, one) for name, one in spent.items()}
        self._wake.set()

    @property
    def begun(self) -> bool:
        """Tell whether this router has a share, and its former ones are ended."""
        return self._begun

    def list_spent(self) -> dict[str, int]:
        """Return what this router has spent or reserved."""
        return {name: purse.spent for name, purse in self.wallet.purses.items()}

    async def run(self) -> None:
        """Draw and give back for ever."""
        await self._look_at_former()
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_LOOK / SECOND):
                    await self._wake.wait()
            self._wake.clear()
            if not self.totals.version or not self._needs_write():
                continue
            try:
                await self._write()
            except AnvilshiftError as error:
                self._note_failure(error)
                await asyncio.sleep(_PAUSE / SECOND)
            finally:
                self.rounds += 1
                self.end_round()
            await asyncio.sleep(_SPACING / SECOND)

    async def _look_at_former(self) -> None:
        """Settle the former process' share first: each second makes it dearer."""
        try:
            await self._settle_former()
        except AnvilshiftError as error:
            self._note_failure(error)

    async def _settle_former(self) -> None:
        former = await self.settle_former()
        self._looked = True
        if former is not None:
            # What it said itself at its end is nearer than a bound.
            self.ended.setdefault(*former)

    def _needs_write(self) -> bool:
        now = self.clock.now()
        if self._closed:
            return False
        if not self._begun:
            # Others may know what this host's former incarnation spent.
            settled = now - max(self._made, self.found_at) >= _GREETING
            return now - self._made >= _ALONE or (settled and not self.alone)
        if self.wallet.is_waited_for(now):
            return True
        if self.ended.keys() & self.wallet.seen.list_holders():
            return True
        rested = self.rounds < _DRAWN_AFTER or now - self._written >= _LEISURE
        return rested and self.wallet.wants_change(now)

    def end_round(self) -> None:
        """Wake who waits for a round, each of them once."""
        done, self._round = self._round, asyncio.Event()
        done.set()

    def _note_failure(self, error: AnvilshiftError) -> None:
        if not self.failing:
            self.failing = True
            self.journal.write(
                "shares_unwritten", code=error.code.number, why=error.detail
            )

    async def _write(self) -> None:
        """Write the wishes, and take in what was granted."""
        if not self._looked:
            await self._settle_former()
        if not self._begun and await self._begin_empty():
            return
        now = self.clock.now()
        wishes = self.wallet.make_wishes(now)
        self._writes += 1
        mark = f"{self.holder}:{self._writes}"

        def change(body: Body | None) -> Body:
            # A write without an answer may take effect later, if its condition
            # still holds.  So each write changes the object, by its mark, and
            # only a write that was answered is counted on: then no earlier one
            # of this router can take effect any more.
            if body is not None and body.get("mark") == mark:
                return body
            allotments = self._end_former(read_allotments(body))
            allotments = allotments.grant(self.holder, wishes, self.totals)
            return {**encode(allotments), "mark": mark}

        stored = await self._object.update(change)
        self._begun = True
        self._written = self.clock.now()
        known_for = _FREE_KNOWN_AT_START if self.has_just_started() else FREE_KNOWN_FOR
        self.wallet.take(read_allotments(stored.body), self._written, known_for)
        self._log_shares(stored.version, list(wishes))
        if self.failing:
            self.failing = False
            self.journal.write("shares_regained")

    async def _begin_empty(self) -> bool:
        """Begin without a share, where none is needed and no former one is left.

        In a large fleet all routers start at once; if each wrote the one object, they
        would meet one another's writes for seconds.
        """
        if self.wallet.keeps_any():
            return False
        stored = await self.store.get(KIND, NAME)
        allotments = read_allotments(stored.body if stored else None)
        if any(self._is_former(holder) for holder in allotments.list_holders()):
            return False
        self._begun = True
        self._written = self.clock.now()
        self.wallet.take(allotments, self._written)
        return True

    def _is_former(self, holder: str) -> bool:
        """Tell whether a holder is a former incarnation of this host."""
        return holder != self.holder and holder.rpartition(".")[0] == self.node

    def _log_shares(self, revision: int, asked: list[str]) -> None:
        shares = self.wallet.seen.organisations
        self.journal.write(
            "shares_written",
            revision=revision,
            asked=asked,
            total=sum(one.total for one in shares.values()),
            free=sum(one.free for one in shares.values()),
            closed=sum(one.closed for one in shares.values()),
            doubt=sum(one.doubt for one in shares.values()),
            own_spent=sum(purse.spent for purse in self.wallet.purses.values()),
            own_ready=sum(purse.ready for purse in self.wallet.purses.values()),
        )

    def _end_former(self, allotments: Allotments) -> Allotments:
        """End the shares of routers that have ended.

        Of this host's former incarnations, and of those that said farewell.
        """
        for holder in allotments.list_holders() - {self.holder}:
            spent = self.ended.get(holder)
            if spent is not None or self._is_former(holder):
                self.journal.write(
                    "share_ended",
                    holder=holder,
                    known=spent is not None,
                    most=sum(one.most for one in (spent or {}).values()),
                )
                allotments = allotments.end(holder, spent)
        return allotments

    async def close(self) -> None:
        """Give everything back that was not spent."""
        self._closed = True
        spent = {name: Spent(one, one) for name, one in self.list_spent().items()}
        for purse in self.wallet.purses.values():
            purse.ceiling = purse.spent

        def change(body: Body | None) -> Body:
            allotments = read_allotments(body).end(self.holder, spent)
            return {**encode(allotments), "mark": f"{self.holder}:end"}

        if self._begun:
            await self._object.update(change)


def read_allotments(body: Body | None) -> Allotments:
    """Return the allotments that a stored body holds; none is an empty one."""
    if not body:
        return Allotments()
    return decode(Allotments, {"organisations": body.get("organisations", {})})
