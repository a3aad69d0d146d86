"""Start a gateway's parts and its background tasks, and stop them."""

import asyncio

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.gateway.assembly import GatewayParts
from anvilshift.gateway.periodic import TICK_INTERVAL, PeriodicWork
from anvilshift.gateway.stopping import PlannedStop
from anvilshift.wire.messages import Address, is_ipv4

_SEED_TIMEOUT: Millis = 60.0
"""Time after the start for a seed to answer.  If all routers lost power, the seeds may
start some tenths of a second after the others."""


class GatewayNode(GatewayParts):
    """One gateway that can be started and stopped."""

    _tasks: tuple[asyncio.Task[None], ...] = ()

    async def start(self) -> None:
        """Open the sockets and start every background task."""
        await self.peers.start()
        await self.server.start(self.settings.front)
        await self.configurations.start()
        await self.shared_watches.start()
        await self.forwarding.server.start(
            Address(self.settings.ip, self.settings.forward_port)
        )
        loop = asyncio.get_running_loop()
        coroutines = (
            self.peers.run(),
            self.configuration_follower.run(),
            self.target_follower.run(),
            self.drains.run(),
            self.retry_shares.run(),
            self.part_store.run(),
            self.allotter.run(),
            self._record(),
            self._find_peers(),
            PeriodicWork(self).run(),
        )
        self._tasks = tuple(loop.create_task(coroutine) for coroutine in coroutines)
        for task in self._tasks:
            task.add_done_callback(self._handle_task_end)

    async def _record(self) -> None:
        """Record this router's use, once the share of its former process has ended."""
        while self.settings.history is None or not self.allotter.is_ready:
            await asyncio.sleep(TICK_INTERVAL / SECOND)
        await self.recorder.run()

    async def _find_peers(self) -> None:
        """Find the other routers through recorded hosts if no seed answers."""
        await asyncio.sleep(_SEED_TIMEOUT / SECOND)
        if self.settings.history is None or self.peers.routers:
            return
        try:
            hosts = await self.recorder.list_hosts()
            # A record of another writer may name what isn't an address.
            self.peers.greet({host for host in hosts if is_ipv4(host)})
        except AnvilshiftError as error:
            self.journal.write("hosts_unknown", code=error.code.number)

    def _handle_task_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self.journal.write("part_ended", why=repr(task.exception()))
            raise SystemExit(1)

    async def stop(self) -> None:
        """Stop as planned, within the grace period.

        Once its requests have ended the router returns its shares to the store.  If
        the store does not answer, it sends its spending to the other routers, which
        end its shares in its place.
        """
        self.leaving = True
        self.journal.write("stop_begun", in_flight=self.in_flight)
        self.peers.beat()
        stop = PlannedStop(
            self.settings.grace,
            self.directory,
            self.server,
            self.forwarding.server,
            self.shared,
            lambda: self.in_flight,
        )
        await stop.finish_requests()
        try:
            async with asyncio.timeout(0.4):
                await self.allotter.close()
        except (TimeoutError, AnvilshiftError) as error:
            self.journal.write("shares_not_handed_back", why=repr(error))
            self.messenger.send_farewell()
        self.journal.write("stop_ended", cut_off=self.in_flight)

    async def close(self) -> None:
        """Cancel the background tasks and close all connections."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        await self.server.close()
        self.register_check.close()
        self.reach.close()
        self.starts.close()
        self.shared.tries.close()
        await self.forwarding.server.close()
        await self.configurations.close()
        await self.shared_watches.close()
        self.client.close()
        self.peers.close()
