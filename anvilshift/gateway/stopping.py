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
        clock = self.shared.clock
        began = clock.now()
        while clock.now() < began + self.grace - _END_RESERVE:
            await asyncio.sleep(_POLL_INTERVAL / SECOND)
            elapsed = clock.now() - began
            self.shared.ending = elapsed >= _ACCEPT_STREAMS
            if elapsed >= 3 * self.directory.get_ttl() + _TTL_MARGIN:
                self.server.stop_listening()
                if not self._count_unfinished():
                    break
        self.server.stop_listening()

    def _count_unfinished(self) -> int:
        """Return the number of requests, answers and tunnels that are under way."""
        unfinished = self.count_running() + self.server.count_unfinished()
        return unfinished + len(self.tunnels.entrances)
