"""Record several times a second what this router has spent.

Each host has one object, which only that host writes.  A router that starts there
after a crash or a power failure reads the record, uses the store's history to bound
its age, and from that bounds how many tokens the former process may have spent.
"""

import asyncio
import contextlib
import pathlib
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from anvilshift.core.balances import Balances
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.money.recordschedule import RecordSchedule
from anvilshift.core.retention import RETENTION_MARGIN, Mark, MarkLog, thin
from anvilshift.core.usage import RELEASE_TIME, SpendingBounds, UseRecord
from anvilshift.gateway.history import HistorySearch
from anvilshift.gateway.journal import Journal
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import ConflictError, ObjectStore

KIND = "anvilshift-uses"
_PERIOD: Millis = 400.0
"""Time between two records.  A shorter period gives a closer bound on what a killed
router spent, but each record is a priced write: four routers use ten of the store's
400 writes a second."""
_MAX_RECORDS = 4
"""Maximum number of records in a period while requests wait to spend.  The requests
of a burst share a record."""
_PERIOD_PER_ROUTER: Millis = 8.0
"""Minimum period for each router of the fleet.  Together the routers write at most 125
times a second, a third of the smallest store's 400."""
_RETRY_PAUSE: Millis = 250.0
"""Pause after a failed write."""
_ANSWER_TIMEOUT: Millis = 150.0
"""Requests don't wait for a write that takes longer than this: the store answers
within a few milliseconds or is unreachable."""
_MAX_BOUND_FRACTION = 0.75
"""Longest useful bound on a record's age, as a fraction of the time after which a
router may spend everything.  At that age nearly half of what a router may spend beyond
its record is still locked."""
_MIN_STEP, _MIN_STEP_FRACTION = 100.0, 0.08
"""Minimum distance of the bounds in a record: in milliseconds, and as a fraction of the
shorter bound.  The tokens that may be spent grow with the square of the bound."""
_MAX_HOSTS = 8
"""Recorded hosts through which a router finds the others: twice as many as keep tokens
at one time, since some may be gone."""
_BOOT_ID_PATH = pathlib.Path("/proc/sys/kernel/random/boot_id")


def read_boot() -> str:
    """Return the boot id of the host; empty where the kernel offers none."""
    try:
        return _BOOT_ID_PATH.read_text().strip()
    except OSError:
        return ""


@dataclass
class Recorder:
    """Record this router's use and settle that of the former process on its host.

    Parameters
    ----------
    node, ip
        Name and address of the host, which a restart doesn't change.
    holder
        Name of this incarnation.
    routers
        Number of routers that write such records.
    boot
        Boot id of the host; empty where the kernel offers none.
    on_new_mark
        Sends a mark to the other routers, for the next allocator of the tokens.
    records
        Number of completed writes, successful or failed; `end_record` is called
        after each.
    is_sparing
        Whether records are as rare as is safe.
    born
        Instant at which this process was already running, by the clock.  The
        former process had ended by then, however late its record is read.
    """

    store: ObjectStore
    node: str
    ip: str
    holder: str
    clock: Clock
    journal: Journal
    balances: Balances
    marks: MarkLog
    routers: int = 1
    boot: str = field(default_factory=read_boot)
    read_wall: Callable[[], Millis] = lambda: time.time() * SECOND
    on_new_mark: Callable[[Mark], None] = lambda mark: None
    born: Millis | None = None
    records: int = 0
    end_record: Callable[[], None] = lambda: None
    is_sparing: bool = False
    _version: int = 0
    _recorded_at: Millis = -1e12
    _write_begun_at: Millis | None = None
    _unanswered: UseRecord | None = None
    failing: bool = False
    _wake: asyncio.Event = field(default_factory=asyncio.Event)

    def record_soon(self) -> None:
        """Trigger a record, because a request waits to spend."""
        self._wake.set()

    def is_store_answering(self) -> bool:
        """Tell whether the last write succeeded and the pending one isn't overdue."""
        waited = (
            0.0
            if self._write_begun_at is None
            else self.clock.now() - self._write_begun_at
        )
        return not self.failing and waited < _ANSWER_TIMEOUT

    def find_schedule(self) -> RecordSchedule:
        """Return how often this router records its use."""
        period = max(_PERIOD, self.routers * _PERIOD_PER_ROUTER)
        return RecordSchedule.for_fleet(period, self.is_sparing)

    def _is_due(self) -> bool:
        """Tell whether to write a record now."""
        if not self.balances.must_record_use() and self._unanswered is None:
            return False
        since = self.clock.now() - self._recorded_at
        is_calm = self.is_sparing and self.balances.are_calmly_recorded()
        return self._wake.is_set() or self.find_schedule().is_due(since, is_calm)

    def can_prove_age(self) -> bool:
        """Tell whether a successor could prove a useful bound on the record's age."""
        return bool(
            self.marks.list_bounds(self.clock.now(), RELEASE_TIME * _MAX_BOUND_FRACTION)
        )

    async def run(self) -> None:
        """Write records until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.find_schedule().shortest / SECOND):
                    await self._wake.wait()
            is_due = self._is_due()
            self._wake.clear()
            if not is_due:
                continue
            pause = self.find_schedule().shortest / _MAX_RECORDS
            self._write_begun_at = self.clock.now()
            try:
                if await self._write():
                    pause = 0.0
            except AnvilshiftError as error:
                self._note_failure(error)
                self.record_soon()
                pause = _RETRY_PAUSE
            self._write_begun_at = None
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
        listed = self.marks.list_bounds(now, self.marks.history + RETENTION_MARGIN)
        spans = thin(listed, _MIN_STEP, _MIN_STEP_FRACTION)
        return UseRecord(
            self.holder,
            self.ip,
            now,
            self.read_wall(),
            self.boot,
            tuple((round(span), mark.revision) for span, mark in spans),
            self.balances.make_uses(now),
        )

    async def _write(self) -> bool:
        """Write a record.

        Returns
        -------
        bool
            Whether it dates from before an outage.  Until the next one is written, a
            restart would count all that could have been spent since then.
        """
        # An unanswered write may take effect later.  Sending the same record again
        # means that this router has to respect at most one additional record.
        resent = self._unanswered
        record = resent or self._make_record()
        if resent is None:
            self.balances.limit_by_record(record)
        self._unanswered = record
        try:
            stored = await self.store.put(
                KIND, self.node, encode(record), self._version
            )
        except ConflictError:
            found = await self.store.get(KIND, self.node)
            self._version = found.version if found else 0
            self.record_soon()
            return False
        self._note_success()
        self._unanswered = None
        self._version = stored.version
        self._recorded_at = record.anchor
        self.balances.confirm_record(record)
        if resent is not None:
            # The record dates from before an outage; no bound on its age can be
            # proved any more.
            self.record_soon()
        # This write is the change that follows the revision before its own.  After
        # the revision of the previous write, the next change may be another
        # router's and up to a period older, which would make the bound longer.
        mark = Mark(self.clock.now(), stored.version - 1)
        self.marks.add(mark)
        self.on_new_mark(mark)
        return resent is not None

    async def list_hosts(self) -> set[str]:
        """Return the addresses of the hosts that recorded their use most recently.

        Raises
        ------
        AnvilshiftError
            When the store is unreachable.
        """
        listing = await self.store.list([KIND])
        records = []
        for item in listing.items:
            try:
                records.append(decode(UseRecord, item.body))
            except AnvilshiftError as error:
                self.journal.write("use_unreadable", why=error.detail)
        records.sort(key=lambda record: record.wall, reverse=True)
        return {record.ip for record in records[:_MAX_HOSTS]} - {self.ip}

    # The former process on this host

    async def bound_former_use(self) -> tuple[str, dict[str, SpendingBounds]] | None:
        """Return proved bounds on what the former process on this host spent.

        That process has ended, because this one runs in its place.  A process of
        the same name on another host has another address.

        Returns
        -------
        tuple
            The former incarnation, and bounds on its spending by organisation;
            None when nothing can be proved.

        Raises
        ------
        AnvilshiftError
            When the store is unreachable.
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
        self.marks.recover(record.spans, self._find_start())
        self.journal.write(
            "use_settled",
            holder=record.holder,
            elapsed=elapsed,
            bounds=len(record.spans),
            organisations=len(record.uses),
            uses={
                name: [use.recorded, use.settled, use.at_once, use.cushion]
                for name, use in record.uses.items()
            },
        )
        return None if elapsed is None else (record.holder, record.bound(elapsed))

    def _find_start(self) -> Millis:
        """Return an instant at which the former process had already ended."""
        return self.clock.now() if self.born is None else self.born

    async def _bound_elapsed(self, record: UseRecord) -> Millis | None:
        """Return an upper bound on the time from a record to its process' end.

        None when no bound can be proved.  The clock gives one within the same boot;
        otherwise it is the shortest bound whose revision is still in the store's
        history.
        """
        now, born = self.clock.now(), self._find_start()
        elapsed = record.read_clock(self.boot, now, self.read_wall())
        if elapsed is not None:
            return max(0.0, elapsed - (now - born))
        history = HistorySearch(self.store, KIND, self.clock)
        oldest = await history.find_oldest([revision for _, revision in record.spans])
        if oldest is None:
            return None
        span, _ = record.spans[oldest.index]
        return max(0.0, span - (oldest.asked_at - born))
