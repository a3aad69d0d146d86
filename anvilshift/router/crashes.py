"""Exchange news of crashed targets with the other routers.

A request that crashes what runs it comes back through another router within
milliseconds, so news goes out at once and with the next few heartbeats.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.work import Announce
from anvilshift.peers.generated.peers_pb2 import Crash

_TOLD_FOR: Millis = 1.5 * SECOND
"""Three heartbeats; the quarantine takes news for at most two seconds old."""
_REMEMBERED_FOR: Millis = 60 * SECOND
"""News heard again after the work was cleared must not blame it again."""
_GREETED_FOR: Millis = 10 * SECOND
"""A newcomer's record is seen up to some seconds before it is first heard."""
_MOST_MET = 10_000


class CrashNews:
    """What this router tells and has heard of crashes.

    Parameters
    ----------
    take
        Called with a content and a target, once for each piece of news.
    beat
        Sends a heartbeat to every other router.

    Attributes
    ----------
    list_standing
        Returns what is quarantined now.
    """

    def __init__(
        self,
        clock: Clock,
        take: Callable[[str, str], None],
        beat: Callable[[], Awaitable[None]],
    ) -> None:
        self._clock = clock
        self._take = take
        self._beat = beat
        self._told: dict[Announce, Millis] = {}
        self._heard: dict[Announce, Millis] = {}
        self._met: set[str] = set()
        self._greeted: Millis = -_GREETED_FOR
        self.list_standing: Callable[[], Iterable[Announce]] = tuple
        self._beating: set[asyncio.Future[None]] = set()

    def announce(self, news: Announce) -> None:
        """Tell the other routers of a crash."""
        self._told[news] = self._heard[news] = self._clock.now()
        beating = asyncio.ensure_future(self._beat())
        self._beating.add(beating)
        beating.add_done_callback(self._beating.discard)

    def greet(self, incarnation: str) -> None:
        """Take in a router's incarnation; to one that is new all is told again.

        A router that was killed and started anew has forgotten what crashed
        targets.  Only newcomers are told: routers that told one another for
        ever would keep alive what each would forget alone.
        """
        if incarnation in self._met:
            return
        if len(self._met) >= _MOST_MET:
            self._met.clear()
        self._met.add(incarnation)
        self._greeted = self._clock.now()

    def list_told(self) -> list[Crash]:
        """Return what the next heartbeat carries."""
        self._told = self._keep_recent(self._told, _TOLD_FOR)
        news = dict.fromkeys(self._told)
        if self._clock.now() - self._greeted <= _GREETED_FOR:
            news |= dict.fromkeys(self.list_standing())
        return [Crash(content=n.content, target=n.target) for n in news]

    def hear(self, crashes: Iterable[Crash]) -> None:
        """Take in what a heartbeat carries."""
        self._heard = self._keep_recent(self._heard, _REMEMBERED_FOR)
        for item in crashes:
            news = Announce(item.content, item.target)
            if news not in self._heard:
                self._heard[news] = self._clock.now()
                self._take(news.content, news.target)

    def _keep_recent(
        self, news: dict[Announce, Millis], span: Millis
    ) -> dict[Announce, Millis]:
        now = self._clock.now()
        return {item: at for item, at in news.items() if now - at <= span}
