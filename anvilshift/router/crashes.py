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


class CrashNews:
    """What this router tells and has heard of crashes.

    Parameters
    ----------
    take
        Called with a content and a target, once for each piece of news.
    beat
        Sends a heartbeat to every other router.
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
        self._beating: set[asyncio.Future[None]] = set()

    def announce(self, news: Announce) -> None:
        """Tell the other routers of a crash."""
        self._told[news] = self._heard[news] = self._clock.now()
        beating = asyncio.ensure_future(self._beat())
        self._beating.add(beating)
        beating.add_done_callback(self._beating.discard)

    def list_told(self) -> list[Crash]:
        """Return what the next heartbeat carries."""
        self._told = self._keep_recent(self._told, _TOLD_FOR)
        return [Crash(content=n.content, target=n.target) for n in self._told]

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
