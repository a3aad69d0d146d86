"""Entry point of a gateway process: ``python3 -m anvilshift.platform.main``."""

import asyncio
import random
import signal
import sys
from dataclasses import asdict

from anvilshift.core.clock import (
    PROCESS_START,
    SECOND,
    BootClock,
    Millis,
    MonotonicClock,
)
from anvilshift.core.errors import AnvilshiftError
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.node import GatewayNode
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.platform.entrance import DiscoveryHandler
from anvilshift.platform.settings import find_settings_path, read_settings
from anvilshift.platform.store import PlatformStore
from anvilshift.wire.client import HttpClient
from anvilshift.wire.collection import configure_collection
from anvilshift.wire.server import HttpServer

_EXIT_BAD_SETTINGS = 2
_CALLS_INTERVAL: Millis = 10 * SECOND
"""Interval of the lines that say how often the store was called."""


class GatewayProcess:
    """One gateway process: a node with its servers and signal handlers."""

    def __init__(self, settings: GatewaySettings) -> None:
        self._settings = settings
        clock = MonotonicClock()
        self._journal = Journal(settings.name, clock)
        self._store_client = HttpClient()
        store = self._store = PlatformStore(
            self._store_client, settings.store, self._note_unreadable
        )
        rng = random.Random(random.SystemRandom().getrandbits(64))
        self.node = GatewayNode(
            settings,
            PlatformDialect(),
            store,
            clock,
            self._journal,
            rng,
            PROCESS_START,
            boot_clock=BootClock(),
        )
        handler = DiscoveryHandler(
            self.node.is_ready,
            self.node.list_endpoints,
            lambda: {**self.node.list_gauges(), **store.counts.list_gauges()},
        )
        self._discovery = handler
        self._stopping = asyncio.Event()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then stop gracefully."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, self._stopping.set)
        loop.add_signal_handler(signal.SIGINT, self._stopping.set)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        settings = self._settings
        servers = []
        for address in (settings.ready, settings.directory):
            if address is not None:
                server = HttpServer(self._discovery.handle)
                await server.start(address)
                servers.append(server)
        await self.node.start()
        self._journal.write("started", incarnation=self.node.incarnation)
        counting = asyncio.create_task(self._write_store_calls())
        configure_collection()
        await self._stopping.wait()
        counting.cancel()
        await self.node.stop()
        for server in servers:
            await server.close()
        await self.node.close()

    def _note_unreadable(self, kind: str, why: str) -> None:
        """Log that an answer of the store has an object that can't be read."""
        self._journal.write("object_unreadable", kind=kind, why=why)

    async def _write_store_calls(self) -> None:
        """Log now and then how often the store was called for what."""
        while True:
            await asyncio.sleep(_CALLS_INTERVAL / SECOND)
            self._journal.write("store_calls", calls=self._store.counts.describe())

    def _reload(self) -> None:
        """Put the retry limits and cold bounds of the settings file in force."""
        try:
            settings = read_settings(find_settings_path())
        except AnvilshiftError as error:
            self._journal.write("settings_unreadable", why=error.detail)
            return
        self.node.retry_shares.configure(settings.retries)
        self.node.cold.bounds = settings.cold
        self._journal.write(
            "settings_read",
            retries=asdict(settings.retries),
            cold=asdict(settings.cold),
        )


def run() -> int:
    """Run the process; return its exit code, 2 for invalid settings."""
    try:
        settings = read_settings(find_settings_path())
    except AnvilshiftError as error:
        print(error, file=sys.stderr)
        return _EXIT_BAD_SETTINGS

    async def serve() -> None:
        await GatewayProcess(settings).run()

    asyncio.run(serve())
    return 0


if __name__ == "__main__":
    sys.exit(run())
