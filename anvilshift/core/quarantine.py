"""Keep a request that crashes what runs it from crashing everything.

Load pattern: one request crashes each target that runs it, and its caller
sends it again under new ids.  Without this, every retry loses another target
until none is left.

Work is known by a digest of its content.  How many targets it may reach is
bounded without any blame (see `exposure`); blame decides when it is answered
without running again.  When a target crashes, everything that ran there becomes
suspect.  A suspect runs only where no other suspect does, so a second crash
makes no suspects of its neighbours; after a second crash it is quarantined and
answered at once.  A whole answer clears it.

A stream that breaks in its midst looks like a crash but is as often the
network's doing.  After two such breaks the work may run once more, at a target
that it broke off from already.

A target that crashes again and again under different work is at fault itself:
work that crashed there may run once more than other work, and only once, or a
poison among its victims would crash it for ever.  Quarantine also ends when
nobody has asked for the work for some time, and in any case after a day.
"""

from collections import Counter, OrderedDict, deque
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.exposure import FORGET_AFTER, TARGETS, Exposure
from anvilshift.core.work import Announce, Failure

_WINDOW: Millis = 60 * SECOND
_FAULTY_INCIDENTS = 3
"""Crashes of one target in a minute with no work in common.  Two can be two
poisonous requests; a third at the same target is far likelier its own fault."""
_NEWS_AGE: Millis = 2 * SECOND
"""News of a crash from another router is at most so old: what it blames fell
with the work that this router lost there."""
_LONGEST: Millis = 24 * 3600 * SECOND
_MOST_RECORDS = 10_000
_MOST_TOLD = 1_000
"""The newest records that a newcomer is told: some 50 kB in one heartbeat."""
_CRASH_LIKE = (Failure.CRASHED, Failure.BROKE_OFF)


@dataclass
class _Record:
    """What one content is blamed for."""

    first: Millis
    asked: Millis
    crashes: list[str] = field(default_factory=list)
    unbegun: bool = False
    pardoned: bool = False


@dataclass
class _Incident:
    """A crash of one target, as its broken attempts show it one by one."""

    at: Millis
    fallen: set[str] = field(default_factory=set)
    blamed: set[str] = field(default_factory=set)
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
        self._exposure = Exposure()

    def is_suspect(self, content: str) -> bool:
        """Tell whether work was running where a target crashed."""
        record = self._records.get(content)
        if record is None:
            return False
        return not record.pardoned or len(record.crashes) >= TARGETS

    def is_quarantined(self, content: str, now: Millis) -> bool:
        """Tell whether work is to be answered without running it."""
        self._exposure.expire(content, now)
        record = self._records.get(content)
        if record is None:
            return False
        if now - record.asked > FORGET_AFTER or now - record.first > _LONGEST:
            del self._records[content]
            return False
        record.asked = now
        spared = int(not record.unbegun) + int(record.pardoned)
        return len(record.crashes) >= TARGETS + spared

    def list_confined(self, content: str) -> list[str]:
        """Return the only targets that may run work; empty for any target."""
        return self._exposure.list_confined(content)

    def list_reached(self, content: str) -> list[str]:
        """Return the targets that work may have cost, or may yet."""
        return self._exposure.list_reached(content)

    def keep(self, content: str, target: str, now: Millis) -> None:
        """Charge a target to work that some router sends there."""
        self._exposure.crashed(content, target, now)

    def keep_running(self) -> None:
        """Let a newcomer be told of all that runs here, as of what has crashed."""
        self._exposure.keep_running()

    def is_harmless(self, content: str) -> bool:
        """Tell whether work was answered whole and has crashed nothing since."""
        return self._exposure.is_harmless(content)

    def may_reach(self, content: str, target: str) -> bool:
        """Tell whether a target is within what work may cost."""
        return self._exposure.may_reach(content, target)

    def is_free(self, target: str, content: str) -> bool:
        """Tell whether a suspect may run at a target: no other runs there."""
        if not self.may_reach(content, target):
            return False
        return self._suspects.get(target, content) == content

    def charge(self, content: str, target: str, now: Millis) -> None:
        """Charge a target to work that is about to be sent there."""
        self._exposure.charge(content, target, now)

    def sent(self, content: str, target: str) -> None:
        """Take in that a suspect runs at a target."""
        self._suspects[target] = content

    def ended(self, content: str, target: str, ran: bool = True) -> None:
        """Take in that work has left a target without a whole answer.

        Parameters
        ----------
        ran
            Whether it may have run there.
        """
        self._exposure.end(content, target, ran)
        if self._suspects.get(target) == content:
            del self._suspects[target]

    def clear(self, content: str) -> None:
        """Take in that work was answered whole: it is not poisonous."""
        self._exposure.clear(content)
        self._records.pop(content, None)

    def failed(
        self,
        content: str,
        target: str,
        failure: Failure,
        sent: Millis,
        now: Millis,
        begun: bool = False,
    ) -> Announce | None:
        """Take in a failed attempt; return what others must hear of a crash.

        Parameters
        ----------
        begun
            Whether the answer had begun.
        """
        if failure not in _CRASH_LIKE or not content:
            return None
        blamed = self.crashed(content, target, sent, now, begun)
        times = self._records[content].crashes.count(target) if blamed else 0
        return Announce(content, target, times)

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
        self._exposure.crashed(content, target, now)
        incident = self._find_incident(target, sent, now)
        incident.fallen.add(content)
        if incident.suspect is None:
            incident.suspect = self._suspects.get(target)
        # The suspect is the likely cause; its neighbours' failures come as
        # separate events and must not make suspects of them as well.  Another
        # suspect is no neighbour: either of the two may be the cause.
        beside = incident.suspect not in (None, content)
        if beside and content not in self._records:
            return False
        if not self._blame(content, target, incident, now):
            return False
        self._records[content].unbegun |= not begun
        faulty = self._pardon_victims(target)
        # What may have cost all that it may cost is told whoever is at fault, or
        # each router would let it run once more.
        return not faulty or bool(self.list_confined(content))

    def _blame(
        self, content: str, target: str, incident: _Incident, now: Millis
    ) -> bool:
        if content in incident.blamed:
            return False
        incident.fallen.add(content)
        incident.blamed.add(content)
        self._add_crash(content, target, now)
        return True

    def hear(
        self,
        content: str,
        target: str,
        now: Millis,
        age: Millis = 0.0,
        times: int = 1,
    ) -> None:
        """Take in another router's news of a crash; repeated news is one.

        Two routers may each have had a suspect at the target.  Which of the
        two it was nobody can tell then, and both are blamed: were the other
        router's ignored for the own one, the poison could cost a third target
        through this router.

        Parameters
        ----------
        times
            Crashes of the target that the content is blamed for, of which this
            router may know some; 0 if it merely ran there.
        """
        self._exposure.crashed(content, target, now)
        record = self._records.get(content)
        known = record.crashes.count(target) if record is not None else 0
        if known >= times:
            return
        at = now - age
        incident = self._find_incident(target, at - _NEWS_AGE, at)
        incident.fallen.add(content)
        if known == 0 and content in incident.blamed:
            return
        incident.blamed.add(content)
        for _ in range(times - known):
            self._add_crash(content, target, now)
        self._records[content].unbegun = True
        self._pardon_victims(target)

    def list_crashes(self, now: Millis) -> list[Announce]:
        """Return each content with the targets that it cost, or may have cost.

        A router that starts anew must learn them from the others, those with
        one crash included, or the same work would cost more targets there.
        """
        blamed = [
            Announce(content, target, times)
            for content, record in list(self._records.items())[-_MOST_TOLD:]
            if now - record.asked <= FORGET_AFTER and now - record.first <= _LONGEST
            for target, times in Counter(record.crashes).items()
        ]
        known = {(news.content, news.target) for news in blamed}
        reached = [
            Announce(content, target, times=0)
            for content, target in self._exposure.list_kept(_MOST_TOLD)
            if (content, target) not in known
        ]
        return [*blamed, *reached]

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
        return not set.intersection(*(incident.fallen for incident in incidents))

    def _pardon_victims(self, target: str) -> bool:
        """Pardon what crashed at a faulty target; False if it isn't faulty."""
        if not self._is_faulty(target):
            return False
        for incident in self._incidents[target]:
            for content in incident.fallen & self._records.keys():
                self._records[content].pardoned = True
        return True

    def _add_crash(self, content: str, target: str, now: Millis) -> None:
        record = self._records.setdefault(content, _Record(now, now))
        record.crashes.append(target)
        record.asked = now
        self._records.move_to_end(content)
        if len(self._records) > _MOST_RECORDS:
            self._records.popitem(last=False)
