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
from anvilshift.core.retention import Mark, MarkLog, thin
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
_STEP: Millis = 200.0
"""Between the bounds that a record offers: finer than its period tells no more."""
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
    _version: int = 0
    _anchor: Millis | None = None
    _wall: Millis = 0.0
    _last: int | None = None
    _unanswered: UseRecord | None = None
    _failing: bool = False
    _wake: asyncio.Event = field(default_factory=asyncio.Event)

    def hurry(self) -> None:
        """Record soon: a request waits to spend."""
        self._wake.set()

    def _find_period(self) -> Millis:
        return max(_PERIOD, self.routers * _A_ROUTER)

    def is_provable(self) -> bool:
        """Tell whether a successor could prove how old the newest record is."""
        if self._anchor is None:
            return False
        return bool(self.marks.list_spans(self._anchor, SPREAD_OVER / 2))

    async def run(self) -> None:
        """Record for ever."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._find_period() / SECOND):
                    await self._wake.wait()
            self._wake.clear()
            try:
                await self._write()
                await asyncio.sleep(self._find_period() / _HURRY / SECOND)
            except AnvilshiftError as error:
                self._note_failure(error)
                await asyncio.sleep(_PAUSE / SECOND)
                self.hurry()

    def _note_failure(self, error: AnvilshiftError) -> None:
        if not self._failing:
            self._failing = True
            self.journal.write(
                "use_unrecorded", code=error.code.number, why=error.detail
            )

    def _note_success(self) -> None:
        if self._failing:
            self._failing = False
            self.journal.write("use_recorded_again")

    def _make_record(self) -> UseRecord:
        self.marks.expire(self.clock.now())
        if self._anchor is None:
            return UseRecord(self.holder, self.ip)
        spans = thin(self.marks.list_spans(self._anchor, SPREAD_OVER), _STEP)
        return UseRecord(
            self.holder,
            self.ip,
            self._anchor,
            self._wall,
            self.boot,
            tuple((round(span), mark.revision) for span, mark in spans),
            self.wallet.make_uses(),
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
        self._anchor, self._wall = self.clock.now(), self.read_wall()
        self.wallet.settle_pace(record)
        if again is not None:
            # It tells of the time before an outage, which nothing bounds any more.
            self.hurry()
        if self._last is not None and stored.version > self._last:
            # A write that changed nothing is no change that followed on the last.
            self.marks.add(Mark(self._anchor, self._last))
        self._last = stored.version

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
        self.journal.write(
            "use_settled",
            holder=record.holder,
            elapsed=elapsed,
            bounds=len(record.spans),
            organisations=len(record.uses),
        )
        return None if elapsed is None else (record.holder, record.bound(elapsed))

    async def _bound_elapsed(self, record: UseRecord) -> Millis | None:
        """Return a bound on the time since a record's anchor; None when none holds."""
        elapsed = record.read_clock(self.boot, self.clock.now(), self.read_wall())
        if elapsed is not None:
            return elapsed
        low, high = 0, len(record.spans)
        while low < high:
            middle = (low + high) // 2
            found = await self.store.watch([KIND], record.spans[middle][1], _LOOK)
            if found.too_old:
                low = middle + 1
            else:
                high = middle
        return record.spans[low][0] if low < len(record.spans) else None
