"""Exchange news of crashed targets with the other routers.

A request that crashes what runs it comes back through another router within
milliseconds, so news goes out at once, and then with every heartbeat for as
long as the quarantine lasts: a router that was cut off when it was new must
hear it once the cut has healed, or the same work costs a third target there.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.quarantine import FORGET_AFTER
from anvilshift.core.work import Announce
from anvilshift.peers.generated.peers_pb2 import Crash

_TOLD_FOR: Millis = FORGET_AFTER
_REMEMBERED_FOR: Millis = 2 * FORGET_AFTER
"""News heard again after the work was cleared must not blame it again, so it is
remembered for longer than anybody tells it."""
_RELAYED_FOR: Millis = 60 * SECOND
"""Two routers may be cut off from each other while a third reaches both."""
_MOST_TOLD = 50
"""Crashes seen by this router, and as many by others, that a heartbeat carries:
some 6 kB."""
_GREETED_FOR: Millis = 10 * SECOND
"""A newcomer's record is seen up to some seconds before it is first heard."""
_MOST_MET = 10_000


class CrashNews:
    """What this router tells and has heard of crashes.

    Parameters
    ----------
    take
        Called with a content, a target and the news' age in milliseconds, once
        for the first crash of a target that a content is blamed for.
    beat
        Sends a heartbeat to every other router.

    Attributes
    ----------
    list_standing
        Returns what is quarantined now.
    take_other
        Called with news of a further crash of the same target, or of one at which
        a content merely ran there.
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
        self._told: dict[Announce, Millis] = {}
        self._heard: dict[Announce, Millis] = {}
        self._relayed: dict[Announce, Millis] = {}
        self._met: set[str] = set()
        self._greeted: Millis = -_GREETED_FOR
        self.list_standing: Callable[[], Iterable[Announce]] = tuple
        self.take_other: Callable[[Announce], None] = lambda news: None
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
        now = self._clock.now()
        self._told = self._keep_recent(self._told, _TOLD_FOR, _MOST_TOLD)
        self._relayed = self._keep_recent(self._relayed, _RELAYED_FOR, _MOST_TOLD)
        ages = {n: now - at for n, at in (self._relayed | self._told).items()}
        if now - self._greeted <= _GREETED_FOR:
            ages = dict.fromkeys(self.list_standing(), 0.0) | ages
        return [
            Crash(
                content=news.content,
                target=news.target,
                age_ms=age,
                further=news.times - 1,
            )
            for news, age in ages.items()
        ]

    def hear(self, crashes: Iterable[Crash]) -> None:
        """Take in what a heartbeat carries."""
        self._heard = self._keep_recent(self._heard, _REMEMBERED_FOR)
        for item in crashes:
            news = Announce(item.content, item.target, item.further + 1)
            if news not in self._heard:
                self._heard[news] = self._clock.now()
                self._relayed[news] = self._clock.now() - item.age_ms
                if news.times == 1:
                    self._take(news.content, news.target, item.age_ms)
                else:
                    self.take_other(news)

    def _keep_recent(
        self, news: dict[Announce, Millis], span: Millis, most: int | None = None
    ) -> dict[Announce, Millis]:
        now = self._clock.now()
        recent = {item: at for item, at in news.items() if now - at <= span}
        if most is None or len(recent) <= most:
            return recent
        # What merely ran at a crash is told of in numbers, and must not push out
        # the content that is blamed for it.
        ranked = sorted(recent.items(), key=lambda item: (item[0].times > 0, item[1]))
        return dict(ranked[-most:])
