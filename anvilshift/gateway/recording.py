"""Write down several times a second what this router has spent.

One object a host; only that host writes it.  Whoever starts there after a crash or
a loss of power reads it, proves by the store's history how old it can be, and so
how much of its former process' tokens may have been spent.
"""

import asyncio
import contextlib
import pathlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.retention import SLACK, Mark, MarkLog, thin
from anvilshift.core.usage import SPREAD_OVER, Spent, UseRecord
from anvilshift.core.wallet import Wallet
from anvilshift.gateway.journal import Journal
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import ConflictError, ObjectStore

KIND = "anvilshift-uses"
_PERIOD: Millis = 400.0
"""Between two records.  A shorter one bounds what a killed router spent more closely;
each is a priced write, and four routers write ten of the store's 400 a second."""
_HURRY = 4
"""Records in a period at the most, while requests wait to spend: a burst of them is
recorded together."""
_A_ROUTER: Millis = 8.0
"""The period is at least this for each router of the fleet: together they write at most
125 times a second, a third of the smallest store's 400."""
_PAUSE: Millis = 250.0
"""After a failed write."""
_SLOW: Millis = 150.0
"""A write that takes longer is not waited for by requests: the store answers within
some milliseconds, or is out of reach."""
_PROVABLE = 0.75
"""Of the time after which all may be spent, what a bound may take to be of use: by then
nearly half of what a router may spend beyond its record is still out of reach."""
_STEP, _STEP_PART = 100.0, 0.08
"""Milliseconds between the bounds that a record offers, and the part of a bound that
the next one is longer at least: the pace unlocks by the square of a bound."""
_BOOT = pathlib.Path("/proc/sys/kernel/random/boot_id")
_LOOK: Millis = 1.0
"""How long a look at the history waits for changes: it needs none."""


def read_boot() -> str:
    """Return what names the host's start; one that can't tell names none."""
    try:
        return _BOOT.read_text().strip()
    except OSError:
        return ""


@dataclass
class Recorder:
    """Record this router's use, and settle that of its host's former process.

    Parameters
    ----------
    node, ip
        Name and address of the host, the same after a restart.
    holder
        Name of this incarnation.
    routers
        How many routers write such records.
    boot
        What names the host's start; empty where that can't be told.
    tell_mark
        Tells the other routers a mark, for one that will keep tokens after this.
    records
        Writes that have ended, well or not; after each `end_record` is called.
    born
        When this process had begun to run, by the clock: the former one had ended
        by then, however long this one took to look.
    """

    store: ObjectStore
    node: str
    ip: str
    holder: str
    clock: Clock
    journal: Journal
    wallet: Wallet
    marks: MarkLog
    routers: int = 1
    boot: str = field(default_factory=read_boot)
    read_wall: Callable[[], Millis] = lambda: time.time() * SECOND
    tell_mark: Callable[[Mark], None] = lambda mark: None
    born: Millis | None = None
    records: int = 0
    end_record: Callable[[], None] = lambda: None
    _version: int = 0
    _asked: Millis | None = None
    _unanswered: UseRecord | None = None
    failing: bool = False
    _wake: asyncio.Event = field(default_factory=asyncio.Event)

    def hurry(self) -> None:
        """Record soon: a request waits to spend."""
        self._wake.set()

    def is_answered(self) -> bool:
        """Tell whether the store answers records, as far as is known."""
        waited = 0.0 if self._asked is None else self.clock.now() - self._asked
        return not self.failing and waited < _SLOW

    def _find_period(self) -> Millis:
        return max(_PERIOD, self.routers * _A_ROUTER)

    def is_provable(self) -> bool:
        """Tell whether a successor could prove how old the newest record is."""
        return bool(self.marks.list_spans(self.clock.now(), SPREAD_OVER * _PROVABLE))

    async def run(self) -> None:
        """Record for ever."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._find_period() / SECOND):
                    await self._wake.wait()
            self._wake.clear()
            if not self.wallet.keeps_any() and self._unanswered is None:
                continue
            pause = self._find_period() / _HURRY
            self._asked = self.clock.now()
            try:
                await self._write()
            except AnvilshiftError as error:
                self._note_failure(error)
                self.hurry()
                pause = _PAUSE
            self._asked = None
            self.records += 1
            self.end_record()
            await asyncio.sleep(pause / SECOND)

    def _note_failure(self, error: AnvilshiftError) -> None:
        if not self.failing:
            self.failing = True
            self.journal.write(
                "use_unrecorded", code=error.code.number, why=error.detail
            )

    def _note_success(self) -> None:
        if self.failing:
            self.failing = False
            self.journal.write("use_recorded_again")

    def _make_record(self) -> UseRecord:
        now = self.clock.now()
        self.marks.expire(now)
        listed = self.marks.list_spans(now, self.marks.history + SLACK)
        spans = thin(listed, _STEP, _STEP_PART)
        return UseRecord(
            self.holder,
            self.ip,
            now,
            self.read_wall(),
            self.boot,
            tuple((round(span), mark.revision) for span, mark in spans),
            self.wallet.make_uses(now),
        )

    async def _write(self) -> None:
        # A write without an answer may take effect later.  Sent again as it is, it
        # is one more record at the most that this router has to keep to.
        again = self._unanswered
        record = again or self._make_record()
        if again is None:
            self.wallet.pace(record)
        self._unanswered = record
        try:
            stored = await self.store.put(
                KIND, self.node, encode(record), self._version
            )
        except ConflictError:
            found = await self.store.get(KIND, self.node)
            self._version = found.version if found else 0
            self.hurry()
            return
        self._note_success()
        self._unanswered = None
        self._version = stored.version
        self.wallet.settle_pace(record)
        if again is not None:
            # It tells of the time before an outage, which nothing bounds any more.
            self.hurry()
        # The write's own change is the one that follows on the revision before it.
        # Counted from the write before, the change that follows may be another
        # router's, up to a period older: the bound would be longer by as much.
        mark = Mark(self.clock.now(), stored.version - 1)
        self.marks.add(mark)
        self.tell_mark(mark)

    # The former process of this host

    async def settle_former(self) -> tuple[str, dict[str, Spent]] | None:
        """Return what the host's former process spent, as far as it is proved.

        It has ended, for this one runs in its place; a process elsewhere that goes
        by the same name has another address.

        Returns
        -------
        tuple
            The former incarnation, and what it spent by organisation; None when
            nothing is proved.

        Raises
        ------
        AnvilshiftError
            When the store is out of reach.
        """
        found = await self.store.get(KIND, self.node)
        if found is None:
            return None
        self._version = found.version
        try:
            record = decode(UseRecord, found.body)
        except AnvilshiftError as error:
            self.journal.write("use_unreadable", why=error.detail)
            return None
        if record.ip != self.ip or record.holder == self.holder:
            return None
        elapsed = await self._bound_elapsed(record)
        self.marks.recover(record.spans, self._find_birth())
        self.journal.write(
            "use_settled",
            holder=record.holder,
            elapsed=elapsed,
            bounds=len(record.spans),
            organisations=len(record.uses),
        )
        return None if elapsed is None else (record.holder, record.bound(elapsed))

    def _find_birth(self) -> Millis:
        """Return an instant by which the former process had ended."""
        return self.clock.now() if self.born is None else self.born

    async def _bound_elapsed(self, record: UseRecord) -> Millis | None:
        """Return a bound on the time from a record to its process' end.

        None when nothing bounds it.
        """
        now, born = self.clock.now(), self._find_birth()
        elapsed = record.read_clock(self.boot, now, self.read_wall())
        if elapsed is not None:
            return max(0.0, elapsed - (now - born))
        low, high, looked = 0, len(record.spans), now
        while low < high:
            middle = (low + high) // 2
            asked = self.clock.now()
            found = await self.store.watch([KIND], record.spans[middle][1], _LOOK)
            if found.too_old:
                low = middle + 1
            else:
                high, looked = middle, asked
        if low == len(record.spans):
            return None
        return max(0.0, record.spans[low][0] - (looked - born))
