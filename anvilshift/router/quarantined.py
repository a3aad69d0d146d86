"""Store in the platform which contents are quarantined, and the targets they crashed.

Routers keep this knowledge in memory only.  If all of them are replaced within
seconds, by a power failure or a fast rollout, the same request would crash further
targets.  The records in the platform survive that.
"""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.exposure import CHARGE_LIFETIME
from anvilshift.core.work import CrashAnnouncement
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import ObjectStore, StoredObject, update

QUARANTINE_KIND = "Quarantine"
_RETRY_PAUSE: Millis = 1 * SECOND


@dataclass(frozen=True)
class QuarantineRecord:
    """A quarantined content and the targets that it crashed.

    Parameters
    ----------
    at
        Wall-clock second of the last of these crashes.
    """

    content: str
    targets: tuple[str, ...]
    at: int

    def is_expired(self, now: int) -> bool:
        """Tell whether the record has expired at a wall-clock second."""
        return now - self.at > CHARGE_LIFETIME / SECOND


class QuarantineRecords:
    """Reads and writes the records of quarantined contents."""

    def __init__(self, store: ObjectStore, clock: Clock) -> None:
        self._store = store
        self._clock = clock
        self._tasks: set[asyncio.Task[None]] = set()
        self._written: dict[str, QuarantineRecord] = {}

    def add(self, content: str, targets: Iterable[str]) -> None:
        """Record in the background that a content crashed these targets."""
        now = self._clock.wall()
        self._written = {
            content: record
            for content, record in self._written.items()
            if not record.is_expired(now)
        }
        if content in self._written:
            return
        record = QuarantineRecord(content, tuple(targets), now)
        self._written[content] = record
        logging.warning("quarantined content=%s engines=%s", content, record.targets)
        task = asyncio.get_running_loop().create_task(self._write(record))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _write(self, record: QuarantineRecord) -> None:
        name, body = record.content, encode(record)
        while not record.is_expired(self._clock.wall()):
            try:
                await update(self._store, QUARANTINE_KIND, name, lambda _: body)
                return
            except AnvilshiftError as error:
                logging.warning("quarantine not recorded code=%d", error.code.number)
                await asyncio.sleep(_RETRY_PAUSE / SECOND)

    async def read(self) -> list[CrashAnnouncement]:
        """Return the recorded crashes, and delete the records that have expired.

        Raises
        ------
        AnvilshiftError
            When the platform can't be reached.
        """
        listing = await self._store.list([QUARANTINE_KIND])
        found: list[CrashAnnouncement] = []
        for item in listing.items:
            record = self._decode_record(item)
            if record is None:
                continue
            if record.is_expired(self._clock.wall()):
                await self._delete(item)
                continue
            found += [
                CrashAnnouncement(record.content, target) for target in record.targets
            ]
        return found

    def _decode_record(self, item: StoredObject) -> QuarantineRecord | None:
        try:
            return decode(QuarantineRecord, item.body)
        except AnvilshiftError as error:
            logging.error("quarantine unreadable name=%s %s", item.name, error)
            return None

    async def _delete(self, item: StoredObject) -> None:
        try:
            await self._store.delete(QUARANTINE_KIND, item.name, item.version)
        except AnvilshiftError as error:
            # Another router may have deleted it; otherwise the next router that
            # starts will.
            logging.info("quarantine not deleted code=%d", error.code.number)

    def close(self) -> None:
        """Cancel the writes that are in progress."""
        for task in self._tasks:
            task.cancel()
