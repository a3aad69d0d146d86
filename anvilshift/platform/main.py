"""Entry point of a gateway process: ``python3 -m anvilshift.platform.main``."""

import asyncio
import gc
import random
import signal
import sys
from dataclasses import asdict

from anvilshift.core.clock import PROCESS_START, BootClock, MonotonicClock
from anvilshift.core.errors import AnvilshiftError
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.node import GatewayNode
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.platform.entrance import DiscoveryHandler
from anvilshift.platform.settings import find_settings_path, read_settings
from anvilshift.platform.store import PlatformStore
from anvilshift.wire.client import HttpClient
from anvilshift.wire.meteredselector import MeteredSelector
from anvilshift.wire.server import HttpServer

_EXIT_BAD_SETTINGS = 2


class GatewayProcess:
    """One gateway process: a node with its servers and signal handlers."""

    def __init__(
        self, settings: GatewaySettings, selector: MeteredSelector | None = None
    ) -> None:
        self._settings = settings
        clock = MonotonicClock()
        self._journal = Journal(settings.name, clock)
        self._store_client = HttpClient()
        store = PlatformStore(self._store_client, settings.store)
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
        if selector is not None:
            self.node.measure_use(lambda: selector.waited)
        handler = DiscoveryHandler(
            self.node.is_ready, self.node.list_endpoints, self._list_gauges
        )
        self._discovery = handler
        self._stopping = asyncio.Event()

    def _list_gauges(self) -> dict[str, float]:
        node = self.node
        return node.configurations.list_gauges() | node.router_loads.list_gauges()

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
        gc.collect()
        gc.freeze()
        await self._stopping.wait()
        await self.node.stop()
        for server in servers:
            await server.close()
        await self.node.close()

    def _reload(self) -> None:
        """Read the settings file; its retry limits take effect, the rest at a start."""
        try:
            settings = read_settings(find_settings_path())
        except AnvilshiftError as error:
            self._journal.write("settings_unreadable", why=error.detail)
            return
        self.node.retry_shares.configure(settings.retries)
        self._journal.write("settings_read", retries=asdict(settings.retries))


def run() -> int:
    """Run the process; return its exit code, 2 for invalid settings."""
    try:
        settings = read_settings(find_settings_path())
    except AnvilshiftError as error:
        print(error, file=sys.stderr)
        return _EXIT_BAD_SETTINGS

    selector = MeteredSelector()

    async def serve() -> None:
        await GatewayProcess(settings, selector).run()

    def make_loop() -> asyncio.AbstractEventLoop:
        return asyncio.SelectorEventLoop(selector)

    with asyncio.Runner(loop_factory=make_loop) as runner:
        runner.run(serve())
    return 0


if __name__ == "__main__":
    sys.exit(run())
