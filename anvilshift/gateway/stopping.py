"""Finish the requests of a router that stops as planned."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Millis
from anvilshift.gateway.directory import RouterDirectory
from anvilshift.gateway.shared import RouterContext
from anvilshift.wire.server import HttpServer
from anvilshift.wire.tunnel import TunnelServer

_ACCEPT_STREAMS: Millis = 2_900.0
"""How long a stopping router accepts new streams: a stream of four seconds still ends
within the grace period."""
_END_RESERVE: Millis = 900.0
"""Part of the grace period that is kept for returning the shares."""
_POLL_INTERVAL: Millis = 50.0
_ANSWER_TIME, _ANSWER_POLL = 100.0, 10.0
"""Milliseconds in which requests are answered that the end leaves no time for, and
between looks at whether they all are."""
_TTL_MARGIN: Millis = 300.0


@dataclass
class PlannedStop:
    """The end of one router's requests.

    The router is first left out of the address lists.  It goes on serving until
    callers have dropped the lists that still name it and no request is running.

    Parameters
    ----------
    grace
        Time from the signal to stop until the process is killed.
    server, tunnels
        The servers for callers, and for routers that have lost their paths.
    count_running
        Returns the number of callers' requests that are running.
    """

    grace: Millis
    directory: RouterDirectory
    server: HttpServer
    tunnels: TunnelServer
    shared: RouterContext
    count_running: Callable[[], int]

    async def finish_requests(self) -> None:
        """Serve until nobody calls any more, or the grace period nears its end."""
        self.server.is_draining = True
        self.tunnels.stopping = True
        clock, term = self.shared.clock, self.shared.term
        began = clock.now()
        term.ends = began + self.grace - _END_RESERVE
        while clock.now() < term.ends:
            self._check_requests()
            await asyncio.sleep(_POLL_INTERVAL / SECOND)
            elapsed = clock.now() - began
            self.shared.ending = elapsed >= _ACCEPT_STREAMS
            if elapsed >= 3 * self.directory.get_ttl() + _TTL_MARGIN:
                self.server.stop_listening()
                if not self._count_unfinished():
                    break
        self.server.stop_listening()
        await self._answer_rest()

    def _check_requests(self) -> None:
        """End the requests that can't be answered in time.

        A request that waits, for the full link or for tokens, would otherwise be closed
        without an answer at the end, although another router might serve it.
        """
        for request in list(self.shared.open_requests):
            request.check_stop()

    async def _answer_rest(self) -> None:
        """Answer the requests that are left, so that their callers learn their fate."""
        until = self.shared.clock.now() + _ANSWER_TIME
        while any(one.is_unanswered for one in self.shared.open_requests):
            self._check_requests()
            await asyncio.sleep(_ANSWER_POLL / SECOND)
            if self.shared.clock.now() >= until:
                return

    def _count_unfinished(self) -> int:
        """Return the number of requests, answers and tunnels that are under way."""
        unfinished = self.count_running() + self.server.count_unfinished()
        return unfinished + len(self.tunnels.entrances)
