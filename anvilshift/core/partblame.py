"""Find the part of prompts that ends engines.

Load pattern: one part that prompts share ends each engine that begins to answer them.
No two of these requests are alike, so nothing that is known of one request tells
anything of the next, while sound requests share their callers and their other parts.

An engine that ends takes down all requests that run there, but ends only when it
begins an answer.  So the parts of the requests without an answer are suspect, and an
answer that has begun clears all parts of its prompt.  Hot parts are cleared within
milliseconds, a bad one never.  Requests with a suspect part are tried one at a time
(see `tries`), and refused once tries have ended further engines.

All state merges: routers may learn of crashes and answers in any order and repeatedly.
"""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.partrecord import (
    CRASHES_TO_REFUSE,
    PartCrash,
    PartKey,
    PartRecord,
)

_CRASHES_BESIDE = 3
_BESIDE_WINDOW: Millis = 30 * SECOND
"""Engines that ended without a part, and since when, after which one crash more is
needed to refuse it: they end for other reasons, and may do so during tries."""
_CRASHES_TO_DOUBT = 2
"""Ended engines after which a part is suspect that has been answered before."""
_TRUST_LIFETIME: Millis = 600 * SECOND
_MAX_RECORDS = 1_000
_MAX_ANSWERED = 10_000


@dataclass(frozen=True)
class PartReport:
    """What one router knows of a part, for another one.

    Parameters
    ----------
    companions
        See `PartRecord`; empty if they aren't known.
    """

    key: PartKey
    crashes: tuple[PartCrash, ...]
    companions: frozenset[str] = frozenset()


class PartBlame:
    """The parts that were on engines when these ended, and those answered since.

    Examples
    --------
    >>> blame = PartBlame()
    >>> for n in range(4):
    ...     crash = PartCrash(f"e{n}", at=1_000.0 * n, tried=n > 1)
    ...     blame.record_crash("llm/m", ["shared", "bad"], crash)
    ...     _ = blame.record_answer("llm/m", ["shared"], now=1_000.0 * n + 10.0)
    >>> blame.is_refused("llm/m", ["shared", "bad"], now=5_000.0)
    True
    >>> blame.is_refused("llm/m", ["shared"], now=5_000.0)
    False
    """

    def __init__(self) -> None:
        self._records: OrderedDict[PartKey, PartRecord] = OrderedDict()
        self._answered: OrderedDict[PartKey, Millis] = OrderedDict()
        self._explained: dict[str, PartKey] = {}
        self._ends: OrderedDict[str, PartCrash] = OrderedDict()

    # What is observed

    def record_crash(self, scope: str, parts: Iterable[str], crash: PartCrash) -> None:
        """Record that an engine ended before it had begun an answer to a prompt.

        Parameters
        ----------
        parts
            The parts that the prompt shares with others.
        """
        shared = list(dict.fromkeys(parts))
        for part in self._list_blamed(scope, shared, crash.at):
            key = PartKey(scope, part)
            tried = crash.tried and self._is_suspect(key, crash.at)
            self._note_companions(key, shared)
            self._add(key, PartCrash(crash.start, crash.at, tried))

    def _list_blamed(self, scope: str, parts: list[str], now: Millis) -> list[str]:
        """Return the parts of a prompt that a crash is held against.

        One that was never answered and had a crash before explains this one, so that it
        isn't held against those that were answered.  Otherwise two bad parts would have
        each part refused that comes with both.
        """
        unknown = [p for p in parts if not self._is_trusted(PartKey(scope, p), now)]
        is_explained = any(PartKey(scope, part) in self._records for part in unknown)
        return unknown if is_explained else parts

    def _note_companions(self, key: PartKey, parts: Iterable[str]) -> None:
        """Note with which parts one came; before a crash is added that may prove it."""
        self._records.setdefault(key, PartRecord()).narrow(parts)

    def record_answer(self, scope: str, parts: Iterable[str], now: Millis) -> list[str]:
        """Record that an answer to a prompt has begun; return the parts it cleared."""
        cleared = []
        for part in dict.fromkeys(parts):
            key = PartKey(scope, part)
            self._answered[key] = now
            self._answered.move_to_end(key)
            if self._records.pop(key, None) is not None:
                cleared.append(part)
        while len(self._answered) > _MAX_ANSWERED:
            self._answered.popitem(last=False)
        return cleared

    def retract(self, start: str) -> None:
        """Forget a crash of an engine that lives.

        A router that is cut off may take an engine for ended.
        """
        affected = [
            key for key, record in self._records.items() if start in record.crashes
        ]
        for key in affected:
            record = self._records[key]
            del record.crashes[start]
            if not record.crashes:
                del self._records[key]

    # What other routers know

    def merge(self, report: PartReport) -> bool:
        """Add what another router knows; return whether anything of it was new."""
        answered = self._answered.get(report.key)
        fresh = [c for c in report.crashes if answered is None or c.at > answered]
        if not fresh:
            return False
        known = self._records.get(report.key)
        before = known.companions if known is not None else None
        if report.companions:
            self._note_companions(report.key, report.companions)
        changed = [self._add(report.key, crash) for crash in fresh]
        merged = self._records.get(report.key)
        return any(changed) or (merged is not None and merged.companions != before)

    def describe(self, key: PartKey) -> PartReport | None:
        """Return what is known of a part; None if nothing is held against it."""
        record = self._records.get(key)
        if record is None:
            return None
        companions = record.companions or frozenset()
        return PartReport(key, tuple(record.crashes.values()), companions)

    def list_keys(self, now: Millis, most: int = _MAX_RECORDS) -> list[PartKey]:
        """Return the parts that something is held against.

        Proven ones come first, then those of the newest crashes.
        """
        self.expire(now)
        ranked = sorted(
            self._records,
            key=lambda key: (self._records[key].is_proven, self._records[key].last),
            reverse=True,
        )
        return ranked[:most]

    def list_proven(self, now: Millis, most: int) -> list[PartReport]:
        """Return what is known of the parts that are proven to end engines."""
        keys = [key for key in self.list_keys(now) if self._records[key].is_proven]
        reports = [self.describe(key) for key in keys[:most]]
        return [report for report in reports if report is not None]

    def list_starts(self) -> dict[str, Millis]:
        """Return the engines' starts that are held to have ended, and when."""
        return {
            crash.start: crash.at
            for record in self._records.values()
            for crash in record.crashes.values()
        }

    # Decisions

    def list_suspects(self, scope: str, parts: Sequence[str], now: Millis) -> list[str]:
        """Return those of a prompt's shared parts that may end an engine."""
        if not self._records:
            return []
        keys = (PartKey(scope, part) for part in dict.fromkeys(parts))
        return [key.part for key in keys if self._is_suspect(key, now)]

    def is_refused(self, scope: str, parts: Sequence[str], now: Millis) -> bool:
        """Tell whether a prompt has a part that is proven to end engines.

        Where several parts always came together, only a prompt with all of them is
        refused, and one with some of them is tried.
        """
        return bool(self.list_refused(scope, parts, now))

    def list_refused(self, scope: str, parts: Sequence[str], now: Millis) -> list[str]:
        """Return the parts for which a prompt is refused; empty if it isn't."""
        if not self._records:
            return []
        present = set(parts)
        return [
            part
            for part in dict.fromkeys(parts)
            if self._list_companions(PartKey(scope, part), now) <= present
        ]

    def list_proven_starts(self, key: PartKey) -> list[str]:
        """Return the engines' starts that a part has ended, if it is proven."""
        record = self._records.get(key)
        return list(record.crashes) if record and record.is_proven else []

    def expire(self, now: Millis) -> None:
        """Forget what is too old."""
        for key in [k for k, r in self._records.items() if r.find_expiry() < now]:
            del self._records[key]
        self._explained = {
            start: key for start, key in self._explained.items() if key in self._records
        }

    def _list_companions(self, key: PartKey, now: Millis) -> set[str]:
        """Return the parts that must all be present for a part to be refused.

        A set that no prompt has, if the part isn't refused now.
        """
        record = self._records.get(key)
        if record is None or not record.is_proven or now >= record.refused_until:
            return {""}
        companions = record.companions or frozenset()
        left = {p for p in companions if PartKey(key.scope, p) in self._records}
        return left | {key.part}

    def _is_suspect(self, key: PartKey, now: Millis) -> bool:
        record = self._records.get(key)
        if record is None or record.find_expiry() < now:
            return False
        needed = _CRASHES_TO_DOUBT if self._is_trusted(key, now) else 1
        return len(record.crashes) >= needed

    def _is_trusted(self, key: PartKey, now: Millis) -> bool:
        """Tell whether a prompt with a part was answered before."""
        answered = self._answered.get(key)
        return answered is not None and now - answered < _TRUST_LIFETIME

    def _add(self, key: PartKey, crash: PartCrash) -> bool:
        answered = self._answered.get(key)
        is_outdated = answered is not None and crash.at <= answered
        record = self._records.setdefault(key, PartRecord())
        if is_outdated or self._stood_beside(key, crash.start):
            if not record.crashes:
                del self._records[key]
            return False
        was_proven = record.is_proven
        changed = record.add(crash)
        self._ends.setdefault(crash.start, crash)
        if not was_proven:
            record.needed = self._find_needed(record, crash.at)
        self._records.move_to_end(key)
        if record.is_proven:
            self._explain(key, record)
        if len(self._records) > _MAX_RECORDS:
            self._evict()
        return changed

    def _find_needed(self, record: PartRecord, now: Millis) -> int:
        """Return how many crashes are needed to refuse a part."""
        while self._ends and now - next(iter(self._ends.values())).at > _BESIDE_WINDOW:
            self._ends.popitem(last=False)
        beside = self._ends.keys() - record.crashes.keys() - self._explained.keys()
        return CRASHES_TO_REFUSE + (len(beside) >= _CRASHES_BESIDE)

    def _explain(self, key: PartKey, record: PartRecord) -> None:
        """Hold the crashes of a proven part against no other one."""
        for start in record.crashes:
            self._explained.setdefault(start, key)
        for other in list(self._records):
            beside = [
                start
                for start in self._records[other].crashes
                if self._stood_beside(other, start)
            ]
            for start in beside:
                del self._records[other].crashes[start]
            if not self._records[other].crashes:
                del self._records[other]

    def _stood_beside(self, key: PartKey, start: str) -> bool:
        """Return whether another part is proven to have ended an engine.

        Parts that always came with that one may be the cause as well as it.
        """
        cause = self._explained.get(start)
        record = self._records.get(cause) if cause is not None else None
        if cause is None or record is None or key == cause:
            return False
        return key.part not in (record.companions or ())

    def _evict(self) -> None:
        """Forget the oldest part, a proven one only if all are."""
        unproven = (k for k, r in self._records.items() if not r.is_proven)
        del self._records[next(unproven, next(iter(self._records)))]
