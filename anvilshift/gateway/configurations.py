"""Keep the configuration of this router current, through the store or another router.

The store may turn single routers away while it serves the others.  A heartbeat names
the version in force at its sender; a router that stays behind asks one that is ahead.
"""

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    PLATFORM_UNREADABLE,
    UNKNOWN_ROUTE,
    AnvilshiftError,
)
from anvilshift.core.routing import Configuration
from anvilshift.core.versionlag import LagStep, VersionLag
from anvilshift.gateway.border import Dialect
from anvilshift.gateway.following import Follower, WatchIntervals
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.peers import Peer, Peers
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.objects.hedged import HedgedStore
from anvilshift.objects.store import Body, ObjectChange
from anvilshift.wire.client import HttpClient, Network
from anvilshift.wire.jsons import dump_json, parse_object
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.response import ExchangeError
from anvilshift.wire.server import HttpServer

_INTERVALS = WatchIntervals(wait=1.5 * SECOND)
_RENEWAL_TIME: Millis = 1.1 * SECOND
"""Time to notice that a watch is overdue and to follow the store on a new connection,
with 800 ms left for a router that is busy."""
_MIN_WAIT: Millis = 300.0
"""Shortest watch, where the time of recovery leaves less."""
_PATH = "/configuration"
_PEER_TIMEOUT: Millis = 2 * SECOND
"""A configuration of 1,000 routes has 200 kB: 130 ms on the narrowest link."""
_PEER = "peer"


@dataclass(frozen=True)
class _Held:
    """The stored object of the configuration in force."""

    configuration: Configuration
    revision: int
    body: Body


class Configurations:
    """The configuration in force at this router, and how it becomes current.

    Parameters
    ----------
    apply
        Puts a configuration in force.
    network
        Opens connections to other routers; TCP if omitted.

    Attributes
    ----------
    follower
        Follows the configuration in the store.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        dialect: Dialect,
        store: HedgedStore,
        peers: Peers,
        clock: Clock,
        journal: Journal,
        rng: random.Random,
        apply: Callable[[Configuration], None],
        network: Network | None = None,
    ) -> None:
        self._settings = settings
        self._dialect = dialect
        self._store = store
        self._peers = peers
        self._clock = clock
        self._journal = journal
        self._rng = rng
        self._apply = apply
        self._client = HttpClient(network=network)
        self._server = HttpServer(self._answer)
        self._lag = VersionLag()
        self._held: _Held | None = None
        self._asking: asyncio.Task[None] | None = None
        self.follower = Follower(
            store,
            dialect.configuration_kind,
            _INTERVALS,
            clock,
            journal,
            self._take_change,
        )
        self.follower.max_wait = max(settings.recovery - _RENEWAL_TIME, _MIN_WAIT)

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first one."""
        return self._held.configuration.version if self._held else 0

    def list_gauges(self) -> dict[str, float]:
        """Return what monitoring reads of the configuration in force, by metric."""
        if self._held is None:
            return {}
        now = self._clock.now()
        return {
            "anvilshift_configuration_version": self.version,
            "anvilshift_configuration_age_milliseconds": now - self.follower.confirmed,
            "anvilshift_configuration_behind_milliseconds": self._lag.find_lag(now),
        }

    async def start(self) -> None:
        """Accept the questions of other routers."""
        settings = self._settings
        await self._server.start(Address(settings.ip, settings.configuration_port))

    async def close(self) -> None:
        """Stop asking and answering."""
        if self._asking is not None:
            self._asking.cancel()
            await asyncio.gather(self._asking, return_exceptions=True)
        await self._server.close()
        self._client.close()

    # What comes from the store or another router

    def _take_change(self, change: ObjectChange) -> None:
        """Put a change in force that the store has answered with."""
        if change.name != self._dialect.configuration_name or change.body is None:
            return
        waited = self._clock.now() - self.follower.asked
        self._take(change.version, change.body, self.follower.call.value, waited)

    def _take(self, revision: int, body: Body, way: str, waited: Millis) -> None:
        """Put a configuration in force, unless it is as old as the one in force."""
        try:
            configuration = self._dialect.read_configuration(body)
        except AnvilshiftError as error:
            self._journal.write("configuration_unreadable", way=way, why=error.detail)
            return
        if self._held is not None and configuration.version <= self.version:
            return
        behind = self._lag.find_lag(self._clock.now())
        self._held = _Held(configuration, revision, body)
        self._apply(configuration)
        self._journal.write(
            "configuration_in_force",
            version=configuration.version,
            routes=len(configuration.rules),
            organisations=len(configuration.organisations),
            way=way,
            waited=round(waited),
            behind=round(behind),
        )

    # Other routers

    def check(self, now: Millis) -> None:
        """Look for a newer configuration if other routers have one."""
        if self._held is None:
            return
        present = self._peers.list_present()
        newest = max((peer.beat.version for peer in present), default=0)
        step = self._lag.observe(self.version, newest, now)
        if step is LagStep.RENEW:
            self._journal.write("behind", version=self.version, newest=newest)
            self._store.doubt("another router has a newer configuration")
        elif step is LagStep.ASK and (self._asking is None or self._asking.done()):
            ahead = [peer for peer in present if peer.beat.version > self.version]
            work = self._ask(self._rng.choice(ahead))
            self._asking = asyncio.get_running_loop().create_task(work)

    async def _ask(self, peer: Peer) -> None:
        """Ask another router for the configuration that it has in force."""
        address = Address(peer.beat.ip, self._settings.configuration_port)
        asked = self._clock.now()
        try:
            answer = await self._client.call(
                address, "GET", _PATH, timeout=_PEER_TIMEOUT
            )
            if answer.status != 200:
                raise AnvilshiftError(PLATFORM_UNREADABLE, f"status {answer.status}")
            found = parse_object(answer.body)
            revision, body = found.get("revision"), found.get("body")
            if not isinstance(revision, int) or not isinstance(body, dict):
                raise AnvilshiftError(PLATFORM_UNREADABLE, "fields are missing")
        except (ExchangeError, AnvilshiftError) as error:
            self._journal.write(
                "configuration_not_told", peer=peer.beat.router, why=str(error)
            )
            return
        self._take(revision, body, _PEER, self._clock.now() - asked)

    async def _answer(self, request: HttpRequest, responder: Responder) -> None:
        """Tell another router the configuration in force; it holds credentials."""
        asker = responder.peer_ip
        known = {peer.beat.ip for peer in self._peers.routers.values()}
        if request.path != _PATH or asker not in known:
            raise AnvilshiftError(UNKNOWN_ROUTE)
        if self._held is None:
            await responder.send(Reply(404))
            return
        told = {"revision": self._held.revision, "body": self._held.body}
        await responder.send(Reply(200, [JSON_TYPE], dump_json(told)))
