"""Keep the parts of prompts that are proven to end engines in the platform's store.

When all routers are killed at once nobody is left who could tell the next ones, and
engines would end again until the part is found.  A fleet that is cut in two learns from
the store what the other side has found.
"""

import asyncio
from dataclasses import dataclass, field
from typing import Any

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.partblame import PartReport
from anvilshift.core.partrecord import PartCrash, PartKey
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.partwatch import PartWatch
from anvilshift.objects.store import Body, ConflictError, ObjectStore, StoredObject

KIND, NAME = "anvilshift-parts", "main"
_PARTS = "parts"
_MIN_INTERVAL: Millis = 500.0
"""Minimum interval between two calls."""
_MAX_STORED = 50
"""Most parts that are stored: about 20 kB."""


@dataclass(eq=False)
class PartStore:
    """Read the stored parts at the start and on each crash, and write proven ones.

    The object is read when something of it may matter, since each call is priced.
    """

    store: ObjectStore
    watch: PartWatch
    clock: Clock
    journal: Journal
    _wanted: asyncio.Event = field(default_factory=asyncio.Event)
    _cleared: set[PartKey] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._wanted.set()
        self.watch.on_crash = self._wanted.set
        self.watch.on_proven_cleared = self._note_cleared

    def _note_cleared(self, key: PartKey) -> None:
        self._cleared.add(key)
        self._wanted.set()

    async def run(self) -> None:
        """Keep the stored parts in step until cancelled."""
        while True:
            await self._wanted.wait()
            self._wanted.clear()
            try:
                await self._synchronise()
            except ConflictError:
                # Another router was faster.
                self._wanted.set()
            except AnvilshiftError as error:
                self._wanted.set()
                self.journal.write(
                    "parts_store_lost", code=error.code.number, why=error.detail
                )
            await asyncio.sleep(_MIN_INTERVAL / SECOND)

    async def _synchronise(self) -> None:
        found = await self.store.get(KIND, NAME)
        stored = self._read(found)
        for report in stored.values():
            if report.key not in self._cleared:
                self.watch.adopt(report)
        self.watch.note_informed()
        proven = self.watch.blame.list_proven(self.clock.now(), _MAX_STORED)
        kept = {key: one for key, one in stored.items() if key not in self._cleared}
        missing = [report for report in proven if report.key not in kept]
        if missing or len(kept) < len(stored):
            reports = [*missing, *kept.values()][:_MAX_STORED]
            body = {_PARTS: [_write_report(report) for report in reports]}
            await self.store.put(KIND, NAME, body, found.version if found else 0)
            self.journal.write("parts_stored", parts=[one.key.part for one in reports])
        self._cleared.clear()

    def _read(self, found: StoredObject | None) -> dict[PartKey, PartReport]:
        """Return the stored parts; what can't be read is left out and logged."""
        entries = found.body.get(_PARTS) if found else []
        reports: dict[PartKey, PartReport] = {}
        for entry in entries if isinstance(entries, list) else []:
            report = _read_report(entry, self.clock.now())
            if report is None:
                self.journal.write("stored_part_unreadable", entry=str(entry)[:80])
            else:
                reports[report.key] = report
        return reports


def _write_report(report: PartReport) -> Body:
    last = max(one.at for one in report.crashes)
    return {
        "scope": report.key.scope,
        "part": report.key.part,
        "crashes": [
            [one.start, round(last - one.at), one.tried] for one in report.crashes
        ],
        "companions": sorted(report.companions),
    }


def _read_report(entry: Any, now: Millis) -> PartReport | None:
    """Return a stored report, with its last crash as if it had been now.

    Routers have no common clock; so a part is refused a little longer.
    """
    try:
        crashes = tuple(
            PartCrash(str(start), now - float(before), tried is True)
            for start, before, tried in entry["crashes"]
        )
        key = PartKey(str(entry["scope"]), str(entry["part"]))
        return PartReport(key, crashes, frozenset(map(str, entry["companions"])))
    except (KeyError, TypeError, ValueError, OverflowError):
        return None
