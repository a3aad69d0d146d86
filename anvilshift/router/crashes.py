"""Exchange reports of crashed targets with the other routers.

A caller repeats a request that crashed its target through another router within
milliseconds, so a crash is reported at once.  It is then repeated with every
heartbeat for as long as the quarantine lasts: a router that was partitioned when the
target crashed must receive the report once it is connected again, or the same
content crashes a third target there.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.quarantine import CHARGE_LIFETIME
from anvilshift.core.work import CrashAnnouncement
from anvilshift.peers.generated.peers_pb2 import Crash

_SENT_FOR: Millis = CHARGE_LIFETIME
_REMEMBERED_FOR: Millis = 2 * CHARGE_LIFETIME
"""Received reports are remembered for longer than any router sends them, so that one
that arrives again after its content was cleared does not blame the content again."""
_RELAYED_FOR: Millis = 60 * SECOND
"""Time for which reports of other routers are passed on: two routers may be unable to
reach each other while a third one reaches both."""
_MAX_SENT = 50
"""Maximum number of crashes seen by this router, and as many seen by others, that a
heartbeat carries; together some 6 kB."""
_NEWCOMER_FOR: Millis = 10 * SECOND
"""Time for which all quarantined contents are sent after a new incarnation appeared.
The record of a new router can be read some seconds before its first heartbeat."""
_MAX_INCARNATIONS = 10_000


class CrashReports:
    """Crash reports that this router sends and has received.

    Parameters
    ----------
    take
        Called with a content, a target and the report's age in milliseconds, once
        for the first crash of a target that a content is blamed for.
    beat
        Sends a heartbeat to every other router.

    Attributes
    ----------
    list_quarantined
        Returns the crashes of the contents that are quarantined now.
    take_other
        Called with the report of a further crash of the same target, or of a crash
        during which a content was running at the target without being blamed.
    """

    def __init__(
        self,
        clock: Clock,
        take: Callable[[str, str, Millis], None],
        beat: Callable[[], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._take = take
        self._beat = beat
        self._sent_at: dict[CrashAnnouncement, Millis] = {}
        self._received_at: dict[CrashAnnouncement, Millis] = {}
        self._relayed_at: dict[CrashAnnouncement, Millis] = {}
        self._known_incarnations: set[str] = set()
        self._newcomer_at: Millis = -_NEWCOMER_FOR
        self.list_quarantined: Callable[[], Iterable[CrashAnnouncement]] = tuple
        self.take_other: Callable[[CrashAnnouncement], None] = lambda news: None
        self._heartbeat_tasks: set[asyncio.Future[None]] = set()

    def report(self, news: CrashAnnouncement) -> None:
        """Report a crash to the other routers at once."""
        self._sent_at[news] = self._received_at[news] = self._clock.now()
        task = asyncio.ensure_future(self._beat())
        self._heartbeat_tasks.add(task)
        task.add_done_callback(self._heartbeat_tasks.discard)

    def note_incarnation(self, incarnation: str) -> None:
        """Note a router's incarnation; after a new one, all crashes are sent again.

        A router that was killed and restarted no longer knows which contents crashed
        targets.  The whole quarantine is sent only after a new incarnation appears:
        if routers always sent it to each other, entries would never expire.
        """
        if incarnation in self._known_incarnations:
            return
        if len(self._known_incarnations) >= _MAX_INCARNATIONS:
            self._known_incarnations.clear()
        self._known_incarnations.add(incarnation)
        self._newcomer_at = self._clock.now()

    def list_reports_to_send(self) -> list[Crash]:
        """Return the crashes that the next heartbeat carries."""
        now = self._clock.now()
        self._sent_at = self._keep_recent(self._sent_at, _SENT_FOR, _MAX_SENT)
        self._relayed_at = self._keep_recent(self._relayed_at, _RELAYED_FOR, _MAX_SENT)
        ages = {
            news: now - at for news, at in (self._relayed_at | self._sent_at).items()
        }
        if now - self._newcomer_at <= _NEWCOMER_FOR:
            ages = dict.fromkeys(self.list_quarantined(), 0.0) | ages
        return [
            Crash(
                content=news.content,
                target=news.target,
                age_ms=age,
                further=news.times - 1,
            )
            for news, age in ages.items()
        ]

    def receive(self, crashes: Iterable[Crash]) -> None:
        """Apply the crashes of a received heartbeat that are new here."""
        self._received_at = self._keep_recent(self._received_at, _REMEMBERED_FOR)
        for item in crashes:
            news = CrashAnnouncement(item.content, item.target, item.further + 1)
            if news not in self._received_at:
                self._received_at[news] = self._clock.now()
                self._relayed_at[news] = self._clock.now() - item.age_ms
                if news.times == 1:
                    self._take(news.content, news.target, item.age_ms)
                else:
                    self.take_other(news)

    def _keep_recent(
        self,
        news: dict[CrashAnnouncement, Millis],
        span: Millis,
        max_count: int | None = None,
    ) -> dict[CrashAnnouncement, Millis]:
        now = self._clock.now()
        recent = {item: at for item, at in news.items() if now - at <= span}
        if max_count is None or len(recent) <= max_count:
            return recent
        # One crash can bring reports of many contents that were merely running at the
        # target.  They must not displace the content that is blamed for the crash.
        ranked = sorted(recent.items(), key=lambda item: (item[0].times > 0, item[1]))
        return dict(ranked[-max_count:])
