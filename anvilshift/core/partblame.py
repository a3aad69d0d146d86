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
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis

CRASHES_TO_REFUSE = 4
"""Ended engines after which a part is refused.  The users' limit is five; one end may
go unseen when the router that sent the request is killed."""
TRIES_TO_REFUSE = 2
"""How many of these ended during a try.  Engines that end at one instant, as with their
failure domain, may all have had a sound part by chance."""
_CRASHES_TO_DOUBT = 2
"""Ended engines after which a part is suspect that has been answered before."""
_TRUST_LIFETIME: Millis = 600 * SECOND
_SUSPICION_LIFETIME: Millis = 600 * SECOND
_REFUSAL: Millis = 120 * SECOND
"""How long a part is refused before one more request with it is tried; each further try
that ends an engine doubles it."""
_MAX_REFUSAL: Millis = 3_600 * SECOND
_REFUSAL_LIFETIME: Millis = 24 * 3_600 * SECOND
_MAX_RECORDS = 1_000
_MAX_CRASHES = 16
"""Newest crashes kept of one part."""
_MAX_COMPANIONS = 32
_MAX_ANSWERED = 10_000


@dataclass(frozen=True)
class PartKey:
    """A part of prompts as one model of one service reads it.

    Parameters
    ----------
    scope
        The service and its model, see `make_scope`.
    """

    scope: str
    part: str


def make_scope(service: str, model: str) -> str:
    """Return the scope within which a part means the same to engines."""
    return f"{service}/{model}"


@dataclass(frozen=True)
class PartCrash:
    """An engine's end while it read a part of a prompt.

    Parameters
    ----------
    start
        Identifies the start of the engine.
    tried
        Whether the request was the only one with the part that was sent then.
    """

    start: str
    at: Millis
    tried: bool = False


@dataclass
class _Record:
    """The crashes of one part since it was last answered.

    Attributes
    ----------
    companions
        Parts that were suspect in all tries that ended an engine; None without such
        a try.  If these are several, it isn't known which of them is bad.
    """

    crashes: dict[str, PartCrash] = field(default_factory=dict)
    companions: frozenset[str] | None = None

    @property
    def last(self) -> Millis:
        return max((one.at for one in self.crashes.values()), default=-1e12)

    @property
    def tries(self) -> int:
        return sum(one.tried for one in self.crashes.values())

    @property
    def is_proven(self) -> bool:
        return len(self.crashes) >= CRASHES_TO_REFUSE and self.tries >= TRIES_TO_REFUSE

    @property
    def refused_until(self) -> Millis:
        """Return until when requests with the part are refused, if it is proven."""
        doublings = min(self.tries - TRIES_TO_REFUSE, 16)
        return self.last + min(_REFUSAL * 2**doublings, _MAX_REFUSAL)

    def find_expiry(self) -> Millis:
        lifetime = _REFUSAL_LIFETIME if self.is_proven else _SUSPICION_LIFETIME
        return self.last + lifetime

    def add(self, crash: PartCrash) -> bool:
        """Add a crash; return whether it changes anything."""
        known = self.crashes.get(crash.start)
        if known is not None and (known.tried or not crash.tried):
            return False
        self.crashes[crash.start] = crash
        if len(self.crashes) > _MAX_CRASHES:
            del self.crashes[min(self.crashes.values(), key=lambda c: c.at).start]
        return True

    def narrow(self, companions: Iterable[str]) -> None:
        """Keep the companions that are among some other ones."""
        found = frozenset(list(companions)[:_MAX_COMPANIONS])
        self.companions = found if self.companions is None else self.companions & found


@dataclass(frozen=True)
class PartReport:
    """What one router knows of a part, for another one.

    Parameters
    ----------
    companions
        See `_Record`; empty without a try that ended an engine.
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
    ...     crash = PartCrash(f"e{n}", at=float(n), tried=n > 1)
    ...     blame.record_crash("llm/m", ["shared", "bad"], crash)
    ...     _ = blame.record_answer("llm/m", ["shared"], now=n + 0.5)
    >>> blame.is_refused("llm/m", ["shared", "bad"], now=5.0)
    True
    >>> blame.is_refused("llm/m", ["shared"], now=5.0)
    False
    """

    def __init__(self) -> None:
        self._records: OrderedDict[PartKey, _Record] = OrderedDict()
        self._answered: OrderedDict[PartKey, Millis] = OrderedDict()
        self._explained: dict[str, PartKey] = {}

    # What is observed

    def record_crash(self, scope: str, parts: Iterable[str], crash: PartCrash) -> None:
        """Record that an engine ended before it had begun an answer to a prompt.

        Parameters
        ----------
        parts
            The parts that the prompt shares with others.
        """
        keys = [PartKey(scope, part) for part in dict.fromkeys(parts)]
        suspects = (
            [key.part for key in keys if self._is_suspect(key, crash.at)]
            if crash.tried
            else []
        )
        for key in keys:
            tried = crash.tried and key.part in suspects
            if tried and key in self._records:
                # Before the crash is added, which may prove the part.
                self._records[key].narrow(suspects)
            self._add(key, PartCrash(crash.start, crash.at, tried))

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

    def retract(self, start: str) -> list[PartKey]:
        """Forget a crash of an engine that lives; return the parts it was held against.

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
        return affected

    # What other routers know

    def merge(self, report: PartReport) -> bool:
        """Add what another router knows; return whether anything of it was new."""
        answered = self._answered.get(report.key)
        fresh = [c for c in report.crashes if answered is None or c.at > answered]
        changed = []
        if fresh and report.companions:
            record = self._records.setdefault(report.key, _Record())
            before = record.companions
            record.narrow(report.companions)
            changed.append(record.companions != before)
        changed += [self._add(report.key, crash) for crash in fresh]
        merged = self._records.get(report.key)
        if merged is not None and not merged.crashes:
            del self._records[report.key]
        return any(changed)

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

    def find_answered(self, key: PartKey) -> Millis | None:
        """Return when an answer to a prompt with a part last began, if it is known."""
        return self._answered.get(key)

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
        answered = self._answered.get(key)
        is_trusted = answered is not None and now - answered < _TRUST_LIFETIME
        return len(record.crashes) >= (_CRASHES_TO_DOUBT if is_trusted else 1)

    def _add(self, key: PartKey, crash: PartCrash) -> bool:
        answered = self._answered.get(key)
        if answered is not None and crash.at <= answered:
            return False
        if self._stood_beside(key, crash.start):
            return False
        record = self._records.setdefault(key, _Record())
        changed = record.add(crash)
        self._records.move_to_end(key)
        if record.is_proven:
            self._explain(key, record)
        if len(self._records) > _MAX_RECORDS:
            self._evict()
        return changed

    def _explain(self, key: PartKey, record: _Record) -> None:
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
