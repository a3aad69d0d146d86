"""The router process: sockets and signals round a node."""

import asyncio
import gc
import random
import signal

from absl import logging

from anvilshift.core.clock import MonotonicClock
from anvilshift.engines.http import HttpConnector
from anvilshift.objects.store import HttpObjectStore
from anvilshift.peers.link import GrpcPeerLink, PeerServer
from anvilshift.router.node import Node, World
from anvilshift.router.operations import OperatorPort
from anvilshift.router.telemetry import Telemetry
from anvilshift.settings.router import RouterSettings
from anvilshift.wire.client import HttpClient
from anvilshift.wire.server import HttpServer

_GC_THRESHOLDS = (20_000, 20, 20)
"""New objects before a young collection, and young ones before each older: a
request makes some hundred objects in cycles with its task, so that a router at
100 requests a second runs a full collection every few minutes."""


def _settle_collector() -> None:
    """Keep the garbage collector from stopping the loop for long.

    A full collection walks every object while streams wait: tokens of all
    callers came 30 to 60 ms late several times a minute.  What is alive at the
    start (modules, models, instruments) lives to the end and needs no walk.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*_GC_THRESHOLDS)


class Router:
    """One router process."""

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self._client = HttpClient()
        world = World(
            MonotonicClock(),
            HttpObjectStore(
                self._client, settings.platform, settings.platform_credential
            ),
            GrpcPeerLink(),
            HttpConnector(self._client),
            Telemetry(),
            random.SystemRandom(),
        )
        self.node = Node(settings, world)
        self._caller_server = HttpServer(self.node.callers.handle, settings.limits)
        operations = OperatorPort(
            world.telemetry,
            settings.operator_credential,
            self.node.is_ready,
            self.node.describe,
            self.begin_stop,
        )
        self._operator_server = HttpServer(operations.handle)
        self._peer_server = PeerServer(self.node.fleet)
        self._stopping = asyncio.Event()
        self._abandoned = asyncio.Event()

    def begin_stop(self) -> None:
        """Begin a planned stop; a second call ends it at once."""
        if self._stopping.is_set():
            self._abandoned.set()
        self._stopping.set()

    async def run(self) -> int:
        """Serve until a planned stop; return the exit code."""
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_stop)
        await self.start()
        await self._stopping.wait()
        cut_off = await self.node.drain(self._abandoned)
        await self.close()
        return 0 if not cut_off and self.node.settled else 1

    async def start(self) -> None:
        """Listen and begin every background task."""
        settings = self.settings
        await self._operator_server.start(settings.operator_listen)
        await self._peer_server.start(settings.peer_listen)
        self.node.start()
        await self._caller_server.start(settings.listen)
        _settle_collector()
        logging.info("router listens address=%s", settings.listen)

    async def close(self) -> None:
        """Settle grants and stop every part."""
        self._caller_server.stop_listening()
        await self.node.close()
        self._peer_server.close()
        await self._caller_server.close()
        await self._operator_server.close()
        self._client.close()
