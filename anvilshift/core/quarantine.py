"""Keep a request that crashes what runs it from crashing everything.

Load pattern: one request crashes each target that runs it, and its caller
sends it again under new ids.  Without this, every retry loses another target
until none is left.

Work is known by a digest of its content.  When a target crashes, everything
that ran there becomes suspect.  A suspect runs only where no other suspect
does, so a second crash blames it alone and not its neighbours; after a second
crash it is quarantined and answered at once.  A whole answer clears it.

A stream that breaks in its midst looks like a crash but is as often the
network's doing.  After two such breaks the work may run once more, at a target
that it broke off from already, so that it costs no third one.

A target that crashes again and again under different work is at fault itself:
what was blamed on work there is withdrawn.  Quarantine also ends when nobody
has asked for the work for some time, and in any case after a day.
"""

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.work import Failure

_CRASHES = 2
"""Targets that one content may cost, by the users' law."""
_WINDOW: Millis = 60 * SECOND
_FAULTY_INCIDENTS = 3
"""Crashes of one target in a minute with no work in common.  Two can be two
poisonous requests; a third at the same target is far likelier its own fault."""
_NEWS_AGE: Millis = 2 * SECOND
"""News of a crash from another router is at most so old: what it blames fell
with the work that this router lost there."""
FORGET_AFTER: Millis = 600 * SECOND
"""Longer than callers' retries of one request are apart."""
_LONGEST: Millis = 24 * 3600 * SECOND
_MOST_RECORDS = 10_000
_CRASH_LIKE = (Failure.CRASHED, Failure.BROKE_OFF)


@dataclass
class _Record:
    first: Millis
    asked: Millis
    crashes: list[str] = field(default_factory=list)
    unbegun: bool = False


@dataclass
class _Incident:
    at: Millis
    contents: set[str] = field(default_factory=set)
    suspect: str | None = None


class Quarantine:
    """What is known of work that crashed targets.

    Examples
    --------
    >>> book = Quarantine()
    >>> book.crashed("poison", "e1", sent=0.0, now=10.0)
    True
    >>> book.is_suspect("poison"), book.is_quarantined("poison", now=11.0)
    (True, False)
    >>> book.crashed("poison", "e2", sent=11.0, now=20.0)
    True
    >>> book.is_quarantined("poison", now=21.0)
    True
    """

    def __init__(self) -> None:
        self._records: OrderedDict[str, _Record] = OrderedDict()
        self._incidents: dict[str, deque[_Incident]] = {}
        self._suspects: dict[str, str] = {}

    def is_suspect(self, content: str) -> bool:
        """Tell whether work was running where a target crashed."""
        return content in self._records

    def is_quarantined(self, content: str, now: Millis) -> bool:
        """Tell whether work is to be answered without running it."""
        record = self._records.get(content)
        if record is None:
            return False
        if now - record.asked > FORGET_AFTER or now - record.first > _LONGEST:
            del self._records[content]
            return False
        record.asked = now
        most = _CRASHES if record.unbegun else _CRASHES + 1
        return len(record.crashes) >= most

    def list_confined(self, content: str) -> list[str]:
        """Return the only targets that may run work; empty for any target."""
        record = self._records.get(content)
        if record is None or len(record.crashes) < _CRASHES:
            return []
        return record.crashes

    def is_free(self, target: str, content: str) -> bool:
        """Tell whether a suspect may run at a target: no other runs there."""
        confined = self.list_confined(content)
        if confined and target not in confined:
            return False
        return self._suspects.get(target, content) == content

    def sent(self, content: str, target: str) -> None:
        """Take in that a suspect runs at a target."""
        self._suspects[target] = content

    def ended(self, content: str, target: str) -> None:
        """Take in that work has left a target, whatever became of it."""
        if self._suspects.get(target) == content:
            del self._suspects[target]

    def clear(self, content: str) -> None:
        """Take in that work was answered whole: it is not poisonous."""
        self._records.pop(content, None)

    def failed(
        self,
        content: str,
        target: str,
        failure: Failure,
        sent: Millis,
        now: Millis,
        begun: bool = False,
    ) -> bool:
        """Take in a failed attempt; True when others must hear of a crash.

        Parameters
        ----------
        begun
            Whether the answer had begun.
        """
        if failure not in _CRASH_LIKE or not content:
            return False
        return self.crashed(content, target, sent, now, begun)

    def crashed(
        self,
        content: str,
        target: str,
        sent: Millis,
        now: Millis,
        begun: bool = False,
    ) -> bool:
        """Take in that a target crashed while it ran work.

        Returns
        -------
        bool
            Whether the work is blamed for it.
        """
        incident = self._find_incident(target, sent, now)
        if incident.suspect is None:
            incident.suspect = self._suspects.get(target)
        # The suspect is the likely cause; its neighbours' failures come as
        # separate events and must not make suspects of them as well.
        if incident.suspect not in (None, content):
            return False
        if not self._blame(content, target, incident, now):
            return False
        self._records[content].unbegun |= not begun
        return True

    def _blame(
        self, content: str, target: str, incident: _Incident, now: Millis
    ) -> bool:
        if content in incident.contents:
            return False
        incident.contents.add(content)
        if self._is_faulty(target):
            self._withdraw(target)
            return False
        self._add_crash(content, target, now)
        return True

    def hear(self, content: str, target: str, now: Millis) -> None:
        """Take in another router's news of a crash; repeated news is one.

        Two routers may each have had a suspect at the target.  Which of the
        two it was nobody can tell then, and both are blamed: were the other
        router's ignored for the own one, the poison could cost a third target
        through this router.
        """
        record = self._records.get(content)
        if record is not None and target in record.crashes:
            return
        incident = self._find_incident(target, now - _NEWS_AGE, now)
        if self._blame(content, target, incident, now):
            self._records[content].unbegun = True

    def list_strikes(self, now: Millis) -> list[tuple[str, str]]:
        """Return each quarantined content with the targets that it cost.

        A router that starts anew must learn them from the others, or the same
        work would cost two more targets there.
        """
        return [
            (content, target)
            for content, record in self._records.items()
            if len(record.crashes) >= _CRASHES
            and now - record.asked <= FORGET_AFTER
            and now - record.first <= _LONGEST
            for target in record.crashes
        ]

    def _find_incident(self, target: str, sent: Millis, now: Millis) -> _Incident:
        incidents = self._incidents.setdefault(target, deque())
        while incidents and now - incidents[0].at > _WINDOW:
            incidents.popleft()
        # Work that was sent before the crash fell with it, whenever that is heard.
        if not incidents or sent > incidents[-1].at:
            incidents.append(_Incident(now))
        return incidents[-1]

    def _is_faulty(self, target: str) -> bool:
        incidents = self._incidents[target]
        if len(incidents) < _FAULTY_INCIDENTS:
            return False
        return not set.intersection(*(incident.contents for incident in incidents))

    def _withdraw(self, target: str) -> None:
        for incident in self._incidents[target]:
            for content in incident.contents:
                record = self._records.get(content)
                if record is None:
                    continue
                record.crashes = [name for name in record.crashes if name != target]
                if not record.crashes:
                    del self._records[content]

    def _add_crash(self, content: str, target: str, now: Millis) -> None:
        record = self._records.setdefault(content, _Record(now, now))
        record.crashes.append(target)
        record.asked = now
        self._records.move_to_end(content)
        if len(self._records) > _MOST_RECORDS:
            self._records.popitem(last=False)
