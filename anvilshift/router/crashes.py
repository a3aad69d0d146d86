"""Tell the other routers at once which content crashed a target, and hear it."""

from collections import deque
from collections.abc import Callable, Iterable

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.work import Announce

_TOLD_FOR: Millis = 10 * SECOND
"""News goes out at once and with each heartbeat for so long: a caller sends a
failed request again within seconds, and a lost heartbeat must not hide it."""
_MOST_TOLD = 200


class CrashNews:
    """News of crashes, from this router and to it.

    Parameters
    ----------
    hurry
        Sends a heartbeat to every router now.
    """

    def __init__(
        self, dispatcher: Dispatcher, clock: Clock, hurry: Callable[[], None]
    ) -> None:
        self._dispatcher = dispatcher
        self._clock = clock
        self._hurry = hurry
        self._told: deque[tuple[Millis, Announce]] = deque(maxlen=_MOST_TOLD)

    def tell(self, news: Announce) -> None:
        """Send news out."""
        self._told.append((self._clock.now(), news))
        self._hurry()

    def list_recent(self) -> list[Announce]:
        """Return what each heartbeat carries."""
        oldest = self._clock.now() - _TOLD_FOR
        while self._told and self._told[0][0] < oldest:
            self._told.popleft()
        return [news for _, news in self._told]

    def hear(self, news: Iterable[Announce]) -> None:
        """Take in another router's news, which may have come before."""
        now = self._clock.now()
        for crash in news:
            self._dispatcher.crashed(crash.content, crash.target, now)
