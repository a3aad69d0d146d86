"""The router process: a node with its sockets and signal handlers."""

import asyncio
import random
import signal

from absl import logging

from anvilshift.core.clock import MonotonicClock
from anvilshift.engines.http import HttpConnector
from anvilshift.objects.httpstore import HttpObjectStore
from anvilshift.peers.link import GrpcPeerLink, PeerServer
from anvilshift.router.node import Node, World
from anvilshift.router.operations import OperatorApi
from anvilshift.router.telemetry import Telemetry
from anvilshift.settings.router import RouterSettings
from anvilshift.wire.client import HttpClient
from anvilshift.wire.collection import configure_collection
from anvilshift.wire.server import HttpServer


class Router:
    """The router process: a node, its servers and its planned stop."""

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
        operator_port = OperatorApi(
            world.telemetry,
            settings.operator_credential,
            self.node.is_ready,
            self.node.describe,
            self.begin_stop,
        )
        self._operator_server = HttpServer(operator_port.handle)
        self._peer_server = PeerServer(self.node.fleet)
        self._stop_requested = asyncio.Event()
        self._abandoned = asyncio.Event()

    def begin_stop(self) -> None:
        """Begin a planned stop; a second call ends it immediately."""
        if self._stop_requested.is_set():
            self._abandoned.set()
        self._stop_requested.set()

    async def run(self) -> int:
        """Serve until a planned stop has ended; return the exit code.

        It is 0 if no request was cut off and all bills and grants were settled.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self.begin_stop)
        await self.start()
        await self._stop_requested.wait()
        cut_off = await self.node.drain(self._abandoned)
        await self.close()
        return 0 if not cut_off and self.node.settled else 1

    async def start(self) -> None:
        """Start the servers and every background task."""
        settings = self.settings
        await self._operator_server.start(settings.operator_listen)
        await self._peer_server.start(settings.peer_listen)
        self.node.start()
        await self._caller_server.start(settings.listen)
        configure_collection()
        logging.info("router is listening address=%s", settings.listen)

    async def close(self) -> None:
        """Stop listening, settle the grants and close the servers and connections."""
        self._caller_server.stop_listening()
        await self.node.close()
        self._peer_server.close()
        await self._caller_server.close()
        await self._operator_server.close()
        self._client.close()
