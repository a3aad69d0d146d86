"""Quarantine requests that crash the targets that run them (poison requests).

Load pattern: one request crashes each target that runs it, and its caller retries it
under new ids.  Without quarantine, every retry crashes another target until none is
left.

Work is identified by a digest of its content.  The number of targets that a content
may reach is bounded independently of blame (see `exposure`); blame decides when the
work is refused without running again.  When a target crashes, all work that ran there
becomes suspect.  A suspect runs only on a target without another suspect, so that a
second crash doesn't make suspects of the work beside it.  After the second crash the
suspect is quarantined and refused at once.  A complete answer clears it.

A stream that breaks off midway looks like a crash, but the network is as often the
cause.  After two such breaks the work may run once more, on one of the targets where
it broke off.

A target that crashes repeatedly under different work is itself at fault.  Work that
crashed there gets one extra attempt, and only one: otherwise a poison request among
that work would crash the target for ever.  Quarantine also ends when the work has not
been requested for some time, and in any case after a day.
"""

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.exposure import CHARGE_LIFETIME, TARGETS, Exposure
from anvilshift.core.failures import Failure
from anvilshift.core.work import CrashAnnouncement

_WINDOW: Millis = 60 * SECOND
_FAULTY_INCIDENTS = 3
"""Crashes of one target within `_WINDOW`, with no work in common, after which the
target counts as faulty.  Two such crashes can come from two poison requests; with a
third, a fault of the target is far more likely."""
_MAX_REPORT_DELAY: Millis = 2 * SECOND
"""Greatest delay of a crash report from another router.  Work that this router lost at
the target within that time failed in the same crash."""
_MAX_QUARANTINE: Millis = 24 * 3600 * SECOND
"""Longest quarantine, however often the work is requested."""
_MAX_RECORDS = 10_000
_MAX_REPORTED = 1_000
"""Newest records that are sent to a router that joins: about 50 kB in a heartbeat."""
_CRASH_LIKE = (Failure.CRASHED, Failure.BROKE_OFF)


@dataclass
class _Record:
    """The crashes that one content is blamed for.

    Attributes
    ----------
    first_crash
        Instant of the first crash.
    last_request
        Instant of the last request or crash.
    crashes
        The crashed targets, one entry per crash.
    crashed_before_output
        Whether some crash came before the answer had begun.
    has_extra_attempt
        Whether a target that it crashed is faulty, so that it gets an extra attempt.
    """

    first_crash: Millis
    last_request: Millis
    crashes: list[str] = field(default_factory=list)
    crashed_before_output: bool = False
    has_extra_attempt: bool = False


@dataclass
class _Incident:
    """A crash of one target, gathered from the attempts that fail one by one.

    Attributes
    ----------
    affected
        Contents whose attempts failed in the crash.
    blamed
        Contents that are blamed for the crash.
    suspect
        The suspect that ran at the target, if this router sent one there.
    """

    at: Millis
    affected: set[str] = field(default_factory=set)
    blamed: set[str] = field(default_factory=set)
    suspect: str | None = None


class Quarantine:
    """Record which work crashed targets, and decide what may still run.

    Examples
    --------
    >>> quarantine = Quarantine()
    >>> quarantine.crashed("poison", "e1", sent=0.0, now=10.0)
    True
    >>> quarantine.is_suspect("poison"), quarantine.is_quarantined("poison", now=11.0)
    (True, False)
    >>> quarantine.crashed("poison", "e2", sent=11.0, now=20.0)
    True
    >>> quarantine.is_quarantined("poison", now=21.0)
    True
    """

    def __init__(self) -> None:
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._incidents: dict[str, deque[_Incident]] = {}
        self._suspects: dict[str, str] = {}
        self._exposure = Exposure()

    def is_suspect(self, content: str) -> bool:
        """Tell whether work was running where a target crashed."""
        record = self._records.get(content)
        if record is None:
            return False
        return not record.has_extra_attempt or len(record.crashes) >= TARGETS

    def is_quarantined(self, content: str, now: Millis) -> bool:
        """Tell whether work must be refused without running it."""
        self._exposure.expire(content, now)
        record = self._records.get(content)
        if record is None:
            return False
        if (
            now - record.last_request > CHARGE_LIFETIME
            or now - record.first_crash > _MAX_QUARANTINE
        ):
            del self._records[content]
            return False
        record.last_request = now
        extra_attempts = int(not record.crashed_before_output) + int(
            record.has_extra_attempt
        )
        return len(record.crashes) >= TARGETS + extra_attempts

    def list_only_targets(self, content: str) -> list[str]:
        """Return the only targets that may run the work; empty if any target may."""
        return self._exposure.list_only_targets(content)

    def list_charged_targets(self, content: str) -> list[str]:
        """Return the targets charged to work that isn't known to be harmless."""
        return self._exposure.list_charged_targets(content)

    def keep(self, content: str, target: str, now: Millis) -> None:
        """Charge a target to work that another router may send there."""
        self._exposure.crashed(content, target, now)

    def retain_running_charges(self) -> None:
        """Include the work that runs now in the reports to routers that join."""
        self._exposure.retain_running_charges()

    def is_harmless(self, content: str) -> bool:
        """Tell whether work had a complete answer and crashed nothing since."""
        return self._exposure.is_harmless(content)

    def may_reach(self, content: str, target: str) -> bool:
        """Tell whether the bound on reached targets lets work run at a target."""
        return self._exposure.may_reach(content, target)

    def is_free(self, target: str, content: str) -> bool:
        """Tell whether a suspect may run at a target: no other suspect runs there."""
        if not self.may_reach(content, target):
            return False
        return self._suspects.get(target, content) == content

    def charge(self, content: str, target: str, now: Millis) -> None:
        """Charge a target to work that is about to be sent there."""
        self._exposure.charge(content, target, now)

    def sent(self, content: str, target: str) -> None:
        """Record that a suspect runs at a target."""
        self._suspects[target] = content

    def record_end(self, content: str, target: str, ran: bool = True) -> None:
        """Record that an attempt ended at a target without a complete answer.

        Parameters
        ----------
        ran
            Whether the work may have run there.
        """
        self._exposure.end(content, target, ran)
        if self._suspects.get(target) == content:
            del self._suspects[target]

    def clear(self, content: str) -> None:
        """Clear work of all blame after a complete answer."""
        self._exposure.clear(content)
        self._records.pop(content, None)

    def record_failure(
        self,
        content: str,
        target: str,
        failure: Failure,
        sent: Millis,
        now: Millis,
        begun: bool = False,
    ) -> CrashAnnouncement | None:
        """Record a failed attempt; return the crash report for the other routers.

        Parameters
        ----------
        begun
            Whether the answer had begun.

        Returns
        -------
        CrashAnnouncement or None
            None if the failure doesn't look like a crash.
        """
        if failure not in _CRASH_LIKE or not content:
            return None
        blamed = self.crashed(content, target, sent, now, begun)
        times = self._records[content].crashes.count(target) if blamed else 0
        return CrashAnnouncement(content, target, times)

    def crashed(
        self,
        content: str,
        target: str,
        sent: Millis,
        now: Millis,
        begun: bool = False,
    ) -> bool:
        """Record that a target crashed while it ran work.

        Returns
        -------
        bool
            Whether the work is blamed for the crash.
        """
        self._exposure.crashed(content, target, now)
        incident = self._find_incident(target, sent, now)
        incident.affected.add(content)
        if incident.suspect is None:
            incident.suspect = self._suspects.get(target)
        # The suspect is the likely cause.  The work beside it fails in separate
        # events, which must not make that work suspect too.  A second suspect is
        # blamed nevertheless: either of the two may be the cause.
        ran_beside_suspect = incident.suspect not in (None, content)
        if ran_beside_suspect and content not in self._records:
            return False
        if not self._blame(content, target, incident, now):
            return False
        self._records[content].crashed_before_output |= not begun
        faulty = self._grant_extra_attempts(target)
        # Work that has used up its bound of targets is reported even if the target
        # is at fault; otherwise each router would let the work run once more.
        return not faulty or bool(self.list_only_targets(content))

    def _blame(
        self, content: str, target: str, incident: _Incident, now: Millis
    ) -> bool:
        if content in incident.blamed:
            return False
        incident.affected.add(content)
        incident.blamed.add(content)
        self._add_crash(content, target, now)
        return True

    def record_crash_report(
        self,
        content: str,
        target: str,
        now: Millis,
        age: Millis = 0.0,
        times: int = 1,
    ) -> None:
        """Record another router's crash report; a repeated report counts once.

        Two routers may each have had a suspect at the target.  The cause can't be
        determined then, and both suspects are blamed: if this router blamed only
        its own, it could send the other, a poison request, to a third target.

        Parameters
        ----------
        age
            Milliseconds since the crash.
        times
            Crashes of the target that the content is blamed for, including those
            that this router knows already; 0 if the content only ran there.
        """
        self._exposure.crashed(content, target, now)
        record = self._records.get(content)
        known = record.crashes.count(target) if record is not None else 0
        if known >= times:
            return
        at = now - age
        incident = self._find_incident(target, at - _MAX_REPORT_DELAY, at)
        incident.affected.add(content)
        if known == 0 and content in incident.blamed:
            return
        incident.blamed.add(content)
        for _ in range(times - known):
            self._add_crash(content, target, now)
        self._records[content].crashed_before_output = True
        self._grant_extra_attempts(target)

    def list_crashes(self, now: Millis) -> list[CrashAnnouncement]:
        """Return each content with the targets that it crashed or may have crashed.

        A router that joins must learn them from the others, including contents
        with a single crash.  Otherwise the same work could crash further targets
        through that router.
        """
        blamed = [
            CrashAnnouncement(content, target, times)
            for content, record in list(self._records.items())[-_MAX_REPORTED:]
            if now - record.last_request <= CHARGE_LIFETIME
            and now - record.first_crash <= _MAX_QUARANTINE
            for target, times in Counter(record.crashes).items()
        ]
        known = {(report.content, report.target) for report in blamed}
        reached = [
            CrashAnnouncement(content, target, times=0)
            for content, target in self._exposure.list_charges(_MAX_REPORTED)
            if (content, target) not in known
        ]
        return [*blamed, *reached]

    def _find_incident(self, target: str, sent: Millis, now: Millis) -> _Incident:
        incidents = self._incidents.setdefault(target, deque())
        while incidents and now - incidents[0].at > _WINDOW:
            incidents.popleft()
        # Work that was sent before the last crash failed in that crash, however
        # late its failure is noticed.
        if not incidents or sent > incidents[-1].at:
            incidents.append(_Incident(now))
        return incidents[-1]

    def _is_faulty(self, target: str) -> bool:
        incidents = self._incidents[target]
        if len(incidents) < _FAULTY_INCIDENTS:
            return False
        return not set.intersection(*(incident.affected for incident in incidents))

    def _grant_extra_attempts(self, target: str) -> bool:
        """Grant an extra attempt to work that failed at a faulty target.

        Returns
        -------
        bool
            Whether the target is faulty.
        """
        if not self._is_faulty(target):
            return False
        for incident in self._incidents[target]:
            for content in incident.affected & self._records.keys():
                self._records[content].has_extra_attempt = True
        return True

    def _add_crash(self, content: str, target: str, now: Millis) -> None:
        record = self._records.setdefault(content, _Record(now, now))
        record.crashes.append(target)
        record.last_request = now
        self._records.move_to_end(content)
        if len(self._records) > _MAX_RECORDS:
            self._records.popitem(last=False)
