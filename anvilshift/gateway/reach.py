"""Reach targets on connections of this router, or through another router.

Another router is asked once this one can't connect to a target.  Until a connection is
open no byte of a request is sent, so the change of way never runs a request twice.
"""

import asyncio
import contextlib
import random
from collections import Counter
from collections.abc import AsyncIterator, Callable, Coroutine
from dataclasses import dataclass, field
from enum import Enum
from typing import Any

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.forwarders import Forwarder, ForwarderChoice
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.paths import TargetPaths
from anvilshift.core.targetload import TargetInfo
from anvilshift.gateway.exchanges import Exchange, RunningExchanges
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.peers import Peers
from anvilshift.wire.client import HttpClient, Network, TcpNetwork
from anvilshift.wire.connection import Connection
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError
from anvilshift.wire.tunnel import TunnelNetwork

CONNECT_TIMEOUT: Millis = 200.0
"""Time in which a connection opens unless its path is broken; usually it takes 4 ms."""
_CONFIRM_TIMEOUT: Millis = 100.0
"""The same for a target that another router has just reached."""
_CONNECT_TIMEOUT_ALONE: Millis = 1 * SECOND
"""The same for a router that has no other router to ask."""
_TUNNEL_TIMEOUT: Millis = CONNECT_TIMEOUT + 50.0
"""Time in which another router must have connected to the target or given up."""
_MAX_ASKED, _MAX_ASKED_BROKEN = 2, 3
"""Routers asked for a connection when the path is not known to be broken, and when it
is: the target may be down, and each of them would need the time of a connection."""
_MAX_PROBES = 8
"""Broken paths that are probed at a time."""


class Reached(Enum):
    """How a target could be connected to."""

    DIRECT = "direct"
    FORWARDED = "forwarded"
    NOT_AT_ALL = "not at all"


@dataclass
class TargetReach:
    """Open connections to targets, and watch the paths to them.

    Parameters
    ----------
    domain
        This router's failure domain.
    forward_port
        Port on which the other routers accept requests to forward.
    """

    client: HttpClient
    peers: Peers
    loads: LoadMap
    clock: Clock
    journal: Journal
    rng: random.Random
    domain: str
    forward_port: int
    network: Network = field(default_factory=TcpNetwork)
    paths: TargetPaths = field(default_factory=TargetPaths)
    choice: ForwarderChoice = field(default_factory=ForwarderChoice)
    running: RunningExchanges = field(default_factory=RunningExchanges)
    _checks: dict[str, asyncio.Task[Reached]] = field(default_factory=dict)
    _tasks: set[asyncio.Task[Any]] = field(default_factory=set)
    _used_forwarders: set[str] = field(default_factory=set)

    # Connections for requests

    @contextlib.asynccontextmanager
    async def open(
        self,
        info: TargetInfo,
        wait: Millis,
        is_engine: bool,
        on_doubt: Callable[[], None],
        opened: Connection | None = None,
    ) -> AsyncIterator[Connection]:
        """Yield a connection on which one request may be sent to a target.

        Parameters
        ----------
        wait
            Predicted time to the first byte of the answer.
        on_doubt
            Called when the path turns out to be broken.
        opened
            A connection that is open already; it is used unless it has closed.

        Raises
        ------
        ExchangeError
            When neither this router nor another one can connect to the target.
        """
        connection = opened
        if connection is None or connection.closed:
            connection = await self.connect(info)
        due = self.clock.now() + wait
        exchange = Exchange(connection, due, is_engine, on_doubt)
        self.running.add(info.name, exchange)
        try:
            yield connection
        finally:
            self.running.remove(info.name, exchange)
            self._note_heard(info.name, connection)
            connection.close_unless_idle()

    async def connect(self, info: TargetInfo) -> Connection:
        """Return a connection to a target, directly or through another router.

        Raises
        ------
        ExchangeError
            When neither this router nor another one can connect to it.
        """
        if self.paths.is_direct(info.name):
            return await self._connect_direct(info)
        kept = self._take_open(info) or self._take_tunnel(info)
        forwarded = kept or await self._forward(info, _MAX_ASKED_BROKEN)
        if forwarded is not None:
            return forwarded
        self.paths.forget(info.name)
        return await self.client.open(Address.parse(info.address), CONNECT_TIMEOUT)

    async def _connect_direct(self, info: TargetInfo) -> Connection:
        address, began = Address.parse(info.address), self.clock.now()
        idle = self.client.take_idle(address, lambda one: not one.via)
        if idle is not None:
            return idle
        timeout = CONNECT_TIMEOUT if self._has_forwarders() else _CONNECT_TIMEOUT_ALONE
        try:
            opened = await self.client.open(address, timeout)
        except ExchangeError:
            forwarded = await self._forward(info, _MAX_ASKED)
            if forwarded is None:
                raise
            try:
                is_reached = await self._is_reached_now(info)
            except BaseException:
                forwarded.close()
                raise
            if not is_reached:
                self._break_path(info, forwarded.via, began)
            return forwarded
        self._restore(info)
        return opened

    def _take_open(self, info: TargetInfo) -> Connection | None:
        """Return an idle direct connection that has worked since the path broke."""
        since = self.paths.find_break(info.name)

        def works(one: Connection) -> bool:
            return not one.via and since is not None and one.heard > since

        return self.client.take_idle(Address.parse(info.address), works)

    # Other routers

    def _has_forwarders(self) -> bool:
        beats = (peer.beat for peer in self.peers.list_present())
        return any(beat.serving and not beat.leaving for beat in beats)

    def _list_forwarders(self) -> dict[str, Forwarder]:
        beats = [peer.beat for peer in self.peers.list_present()]
        return {
            beat.router: Forwarder(beat.router, beat.failure_domain)
            for beat in beats
            if beat.serving and not beat.leaving
        }

    def is_leaving(self, via: str) -> bool:
        """Return whether a router through which requests were sent stops as planned."""
        peer = self.peers.routers.get(via)
        return peer is not None and peer.beat.leaving

    def _take_tunnel(self, info: TargetInfo) -> Connection | None:
        """Return an idle connection through a router that is present."""
        address, known = Address.parse(info.address), self._list_forwarders()
        return self.client.take_idle(address, lambda one: one.via in known)

    async def _forward(self, info: TargetInfo, most: int) -> Connection | None:
        """Open a connection through another router; return None if none reaches it.

        Parameters
        ----------
        most
            Largest number of routers to ask.
        """
        address, left = Address.parse(info.address), self._list_forwarders()
        load = Counter(one.connection.via for one in self.running)
        for _ in range(most):
            now, domain = self.clock.now(), info.failure_domain
            one = self.choice.choose(left.values(), domain, load, now, self.rng)
            if one is None:
                return None
            del left[one.name]
            opened = await self._open_tunnel(address, one)
            if opened is not None:
                return opened
        return None

    async def _open_tunnel(self, address: Address, one: Forwarder) -> Connection | None:
        peer = self.peers.routers.get(one.name)
        if peer is None:
            return None
        proxy = Address(peer.beat.ip, self.forward_port)
        tunnel = TunnelNetwork(self.network, proxy)
        try:
            opened = await self.client.open(address, _TUNNEL_TIMEOUT, tunnel, one.name)
        except ExchangeError as error:
            self.choice.avoid(one, self.clock.now())
            self.journal.write(
                "not_forwarded",
                peer=one.name,
                address=str(address),
                why=repr(error.__cause__),
            )
            return None
        self.choice.accept(one)
        self._used_forwarders.add(one.name)
        return opened

    # Paths

    def _break_path(self, info: TargetInfo, via: str, began: Millis) -> None:
        doubted = self.paths.doubted_at
        if not self.paths.break_path(info.name, self.clock.now()):
            return
        took = round(self.clock.now() - began, 1)
        self.journal.write("path_broken", target=info.name, via=via, took=took)
        if doubted is None and self.paths.doubted_at is not None:
            broken = len(self.paths.list_broken())
            self.journal.write("all_paths_doubted", broken=broken)
        for one in self.running.list_direct(info.name):
            one.on_doubt()

    def _restore(self, info: TargetInfo) -> None:
        now = self.clock.now()
        if self.paths.restore(info.name, now):
            self.journal.write("path_restored", target=info.name)
            address = Address.parse(info.address)
            self.client.close_idle(lambda one: one.address == address and bool(one.via))

    def _note_heard(self, name: str, connection: Connection) -> None:
        if not connection.via:
            self.paths.hear(name, connection.heard)

    async def check(self, info: TargetInfo) -> Reached:
        """Find out who reaches a target; concurrent checks of it are one."""
        task = self._checks.get(info.name)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._check(info))
            self._checks[info.name] = task
            task.add_done_callback(lambda done: self._checks.pop(info.name, None))
        return await asyncio.shield(task)

    async def _check(self, info: TargetInfo) -> Reached:
        began = self.clock.now()
        self.paths.note_check(info.name, began)
        address = Address.parse(info.address)
        if await self.client.check(address, CONNECT_TIMEOUT):
            self.paths.hear(info.name, self.clock.now())
            self._restore(info)
            return Reached.DIRECT
        forwarded = await self._forward(info, _MAX_ASKED)
        if forwarded is None:
            return Reached.NOT_AT_ALL
        forwarded.close()
        if await self._is_reached_now(info):
            return Reached.DIRECT
        self._break_path(info, forwarded.via, began)
        return Reached.FORWARDED

    async def _is_reached_now(self, info: TargetInfo) -> bool:
        """Return whether this router connects to a target that another one reaches.

        A host that was silent may have woken between the two tries.
        """
        address = Address.parse(info.address)
        if not await self.client.check(address, _CONFIRM_TIMEOUT):
            return False
        self.paths.hear(info.name, self.clock.now())
        self._restore(info)
        return True

    async def has_ended(self, info: TargetInfo) -> bool:
        """Find out whether a target's process has ended.

        Its host is there and refuses connections, and no other router is let in: a
        silent target may only be cut off, and a refusal may be this router's own cut.
        """
        address = Address.parse(info.address)
        if not await self.client.is_refused(address, CONNECT_TIMEOUT):
            return False
        return await self.check(info) is Reached.NOT_AT_ALL

    def record_fault(
        self, info: TargetInfo, failed: Millis, record: Callable[[], None]
    ) -> None:
        """Call a function unless a failed attempt is the fault of this router's path.

        Parameters
        ----------
        failed
            When the attempt failed.
        """
        if not self._has_forwarders() or self.paths.is_verified(info.name, failed):
            record()
        elif self.paths.is_direct(info.name):
            self._spawn(self._check_and_record(info, record))

    async def _check_and_record(
        self, info: TargetInfo, record: Callable[[], None]
    ) -> None:
        if await self.check(info) is not Reached.FORWARDED:
            record()

    # Periodic work

    def watch(self, now: Millis) -> None:
        """Check the paths to silent targets, probe broken ones, drop dead tunnels."""
        self.paths.retain(self.loads.targets)
        self.running.retain(self.loads.targets)
        for name in self.running.list_targets():
            self.running.find_activity(name)
            if name in self.loads.targets:
                self._watch_target(self.loads.targets[name].info, now)
        if self._used_forwarders:
            self._drop_dead_tunnels()
        for name in self.paths.list_due(now)[:_MAX_PROBES]:
            self.paths.note_probe(name, now)
            self._spawn(self._probe(self.loads.targets[name].info))

    def _drop_dead_tunnels(self) -> None:
        """Close tunnels through routers that are lost or stopping."""
        present = self._list_forwarders()
        gone = self._used_forwarders - set(present)
        if not gone:
            return
        self.client.close_idle(lambda one: one.via in gone)
        lost = gone - set(self.peers.routers)
        for one in list(self.running):
            if one.connection.via in lost:
                one.on_doubt()
        self._used_forwarders -= lost

    def _watch_target(self, info: TargetInfo, now: Millis) -> None:
        direct = self.running.list_direct(info.name)
        if not direct:
            return
        for one in direct:
            self._note_heard(info.name, one.connection)
        due = min(one.due for one in direct)
        is_engine = direct[0].is_engine
        if self.paths.should_check(info.name, due, is_engine, now):
            self._spawn(self.check(info))

    async def _probe(self, info: TargetInfo) -> None:
        address = Address.parse(info.address)
        if await self.client.check(address, CONNECT_TIMEOUT):
            self._restore(info)

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Cancel the checks that are running."""
        for task in [*self._tasks, *self._checks.values()]:
            task.cancel()
