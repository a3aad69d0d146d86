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
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    AnvilshiftError,
)
from anvilshift.core.usage import Spent
from anvilshift.core.wallet import Wallet
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
_ROUND: Millis = 40.0
"""How long gifts and a write of the store are waited for before a look at both."""
_LEAST_ROUND: Millis = 1.0
"""A timer's resolution: the last bit of a wait would be spent in a busy loop."""
_ASK_AGAIN: Millis = 15.0
"""Between two asks of the others; their answers take 3 ms."""
_ASKS = 4
"""Each halves what the others have to spare; after four it is nearly all asked."""
_WRITES = 2
"""Ends of writes after which a request was surely counted into one."""
_WAIT: Millis = 700.0
"""How long a request waits for tokens at the most."""
_GREETING: Millis = 120.0
"""From a start to the first write: other routers answer a first heartbeat within
milliseconds, and the store is read before traffic comes."""
_RECENT: Millis = 1 * SECOND
"""What the store said of a total holds for so long."""
_RETRY: Millis = 4 * SECOND
"""A store that is out of reach comes back, or a total is topped up, after some
seconds; a caller that comes back sooner is refused again."""
_REMEMBER: Millis = 500.0
"""How long a refusal of an organisation's request holds for others as large:
without it each of a burst of them would cost writes and wait in vain."""


async def _settle_nothing() -> None:
    return None


@dataclass
class _Refusal:
    tokens: int
    until: Millis
    certain: bool


@dataclass
class _Hopes:
    """What a request that waits for tokens may still hope for.

    Parameters
    ----------
    since
        Writes of the store that had ended when it began to wait.
    """

    since: int
    asks: int = _ASKS


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
    """

    store: ObjectStore
    node: str
    holder: str
    clock: Clock
    journal: Journal
    ask_peers: Callable[[str, int], None] = lambda organisation, tokens: None
    hurry_record: Callable[[], None] = lambda: None
    settle_former: Callable[[], Awaitable[tuple[str, dict[str, Spent]] | None]] = (
        _settle_nothing
    )
    totals: Totals = field(default_factory=lambda: Totals(0))
    _wake: asyncio.Event = field(default_factory=asyncio.Event)
    _round: asyncio.Event = field(default_factory=asyncio.Event)
    _refusals: dict[str, _Refusal] = field(default_factory=dict)
    _failing: bool = False
    ended: dict[str, dict[str, Spent]] = field(default_factory=dict)
    _rounds: int = 0
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
        self._refusals.clear()
        self._wake.set()

    def give(self, organisation: str, tokens: int) -> int:
        """Give tokens to another router that lacks them; return how many."""
        given = self.wallet.give(organisation, tokens, self.clock.now())
        if given:
            self.journal.write("tokens_given", organisation=organisation, tokens=given)
        return given

    def receive(self, organisation: str, tokens: int) -> None:
        """Take in tokens that another router gave."""
        self.wallet.receive(organisation, tokens)
        self._end_round()

    async def reserve(self, name: str, key: str, tokens: int, until: Millis) -> None:
        """Set tokens aside for a request.

        Raises
        ------
        AnvilshiftError
            Code 2001 when the total certainly can't cover them, code 2002 when
            more may be there but can't be drawn now.
        """
        now = self.clock.now()
        if self.wallet.reserve(name, key, tokens, now):
            return
        try:
            refusal = self._refusals.get(name)
            if refusal and now < refusal.until and tokens >= refusal.tokens:
                raise self._make_refusal(name, tokens, refusal.certain)
            await self._wait_for_tokens(name, key, tokens, min(until, now + _WAIT))
        finally:
            self.wallet.give_up(name, key)

    async def _wait_for_tokens(
        self, name: str, key: str, tokens: int, until: Millis
    ) -> None:
        purse = self.wallet.purses[name]
        while not self._begun and self.clock.now() < until:
            await self._wait_round(until)
        asked = -_ASK_AGAIN
        hopes = _Hopes(self._rounds)
        while (now := self.clock.now()) < until:
            self._wake.set()
            if tokens <= purse.ready:
                self.hurry_record()
            if now - asked >= _ASK_AGAIN and hopes.asks:
                asked, hopes.asks = now, hopes.asks - 1
                self.ask_peers(name, tokens - purse.available(now))
            await self._wait_round(until)
            if self.wallet.reserve(name, key, tokens, self.clock.now()):
                return
            # A write that was under way may not have counted this request in.
            stale = self._failing or self.wallet.is_dry(name, self.clock.now())
            drawn = stale or self._rounds >= hopes.since + _WRITES
            if self._is_soon(name, tokens, until):
                continue
            if self._is_certain(name, tokens) or (drawn and not hopes.asks):
                break
        certain = self._is_certain(name, tokens)
        until = self.clock.now() + _REMEMBER
        self._refusals[name] = _Refusal(tokens, until, certain)
        raise self._make_refusal(name, tokens, certain)

    def _is_soon(self, name: str, tokens: int, until: Millis) -> bool:
        """Tell whether what lies ready may be spent in time."""
        now = self.clock.now()
        wait = self.wallet.purses[name].find_wait(tokens, now)
        return wait is not None and now + wait < until

    async def _wait_round(self, until: Millis) -> None:
        """Wait for a write of the store or a gift, for a moment."""
        left = max(_LEAST_ROUND, min(until - self.clock.now(), _ROUND))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(left / SECOND):
                await self._round.wait()

    def _is_certain(self, name: str, tokens: int) -> bool:
        recent = self.clock.now() - self._written < _RECENT
        return recent and self.wallet.is_exhausted(name, tokens)

    def _make_refusal(self, name: str, tokens: int, certain: bool) -> AnvilshiftError:
        purse = self.wallet.purses[name]
        known = self.wallet.seen.of(name)
        self.journal.write(
            "budget_refused",
            organisation=name,
            tokens=tokens,
            available=purse.available(self.clock.now()),
            ready=purse.ready,
            total=purse.total,
            free=known.free,
            closed=known.closed,
            doubt=known.doubt,
            spent=purse.spent,
            certain=certain,
            share_age=round(self.clock.now() - self._written),
        )
        if certain:
            return AnvilshiftError(BUDGET_EXHAUSTED)
        wait = purse.find_wait(tokens, self.clock.now())
        return AnvilshiftError(BUDGET_UNREACHABLE, retry_after=wait or _RETRY)

    def settle(self, name: str, key: str, tokens: int) -> None:
        """Count what a request used; 0 when it did not run."""
        self.wallet.settle(name, key, tokens, self.clock.now())

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
                self._rounds += 1
                self._end_round()
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
            return now - self._made >= _GREETING
        if self.wallet.is_waited_for(now):
            return True
        if self.ended.keys() & self.wallet.seen.list_holders():
            return True
        # The first write only tells what is left; the second draws by it.
        rested = self._rounds < _WRITES or now - self._written >= _LEISURE
        return rested and self.wallet.wants_change(now)

    def _end_round(self) -> None:
        """Wake who waits for a round, each of them once."""
        done, self._round = self._round, asyncio.Event()
        done.set()

    def _note_failure(self, error: AnvilshiftError) -> None:
        if not self._failing:
            self._failing = True
            self.journal.write(
                "shares_unwritten", code=error.code.number, why=error.detail
            )

    async def _write(self) -> None:
        """Write the wishes, and take in what was granted."""
        if not self._looked:
            await self._settle_former()
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
        self.wallet.take(read_allotments(stored.body), self._written)
        self._log_shares(stored.version, list(wishes))
        if self._failing:
            self._failing = False
            self.journal.write("shares_regained")

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
            if spent is not None or holder.rpartition(".")[0] == self.node:
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
