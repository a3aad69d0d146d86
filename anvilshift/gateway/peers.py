"""Tell the other routers what this one does, and hear them.

Datagrams carry heartbeats and the course of runs: a millisecond matters more
than a lost message, and a stream would hold all of them back behind one.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import cast

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import Beat, Message, decode, encode, pack

BEAT: Millis = 150.0
"""Between two heartbeats: a lost router is out of the address answers after
four of them, and at five routers they cost 27 datagrams a second each."""
SILENT_AFTER: Millis = 650.0
"""Without a heartbeat for so long a router counts as lost.  A caller gives a new
connection to a frozen one a second; of three heartbeats in a row one in 40,000 is
lost where links lose three packets in a hundred."""
_FLUSH: Millis = 1.0
"""How long messages are gathered into one datagram; placement elsewhere is that
much behind, and a burst costs one system call instead of many."""


@dataclass
class Peer:
    """Another router as it was heard last."""

    beat: Beat
    heard: Millis


@dataclass
class Hooks:
    """What is done with what other routers tell."""

    hear: Callable[[Message], None] = lambda message: None
    lose: Callable[[Peer], None] = lambda peer: None
    make_beat: Callable[[], Beat | None] = lambda: None
    greet: Callable[[Beat], None] = lambda beat: None


@dataclass
class Peers(asyncio.DatagramProtocol):
    """The other routers.

    Parameters
    ----------
    ip, port
        Where this router listens; all routers listen on the same port.
    addresses
        Addresses of routers that may be there.
    """

    ip: str
    port: int
    clock: Clock
    journal: Journal
    addresses: set[str] = field(default_factory=set)
    hooks: Hooks = field(default_factory=Hooks)
    routers: dict[str, Peer] = field(default_factory=dict)
    _transport: asyncio.DatagramTransport | None = None
    _waiting: list[bytes] = field(default_factory=list)
    _flushing: bool = False

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        local = (self.ip, self.port)
        await loop.create_datagram_endpoint(lambda: self, local_addr=local)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take in the socket."""
        # asyncio's own datagram transport doesn't derive from its abstract class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Pass over an error of an earlier datagram: its peer is down."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Take in what another router tells."""
        try:
            messages = decode(data)
        except ValueError as error:
            self.journal.write("peer_garbage", sender=addr[0], reason=str(error))
            return
        for message in messages:
            if isinstance(message, Beat):
                self._hear_beat(message)
            self.hooks.hear(message)

    def _hear_beat(self, beat: Beat) -> None:
        known = self.routers.get(beat.router)
        if known is None or known.beat.incarnation != beat.incarnation:
            if known is not None:
                self.hooks.lose(known)
            self.journal.write(
                "peer_found", peer=beat.router, incarnation=beat.incarnation
            )
            self.hooks.greet(beat)
        self.routers[beat.router] = Peer(beat, self.clock.now())
        self.addresses.add(beat.ip)
        self.addresses.update(beat.known)
        self.addresses.discard(self.ip)

    def send(self, message: Message, ip: str) -> None:
        """Send a message to one router at once."""
        self._send(encode(message), ip)

    def tell(self, message: Message) -> None:
        """Send a message to every router that is there."""
        self._waiting.append(encode(message))
        if not self._flushing:
            self._flushing = True
            loop = asyncio.get_running_loop()
            loop.call_later(_FLUSH / SECOND, self._flush)

    def _flush(self) -> None:
        self._flushing = False
        waiting, self._waiting = self._waiting, []
        present = [peer.beat.ip for peer in self.list_present()]
        for datagram in pack(waiting):
            for ip in present:
                self._send(datagram, ip)

    def _send(self, datagram: bytes, ip: str) -> None:
        if self._transport is None:
            return
        try:
            self._transport.sendto(datagram, (ip, self.port))
        except OSError as error:
            self.journal.write("peer_unsent", peer=ip, reason=str(error))

    def list_present(self) -> list[Peer]:
        """Return the routers that were heard lately."""
        since = self.clock.now() - SILENT_AFTER
        return [peer for peer in self.routers.values() if peer.heard >= since]

    def beat(self) -> None:
        """Send a heartbeat now, and look who has fallen silent."""
        beat = self.hooks.make_beat()
        if beat is not None:
            for datagram in pack([encode(beat)]):
                for ip in self.addresses:
                    self._send(datagram, ip)
        now = self.clock.now()
        for name, peer in list(self.routers.items()):
            if now - peer.heard > SILENT_AFTER:
                self.journal.write("peer_lost", peer=name, age=now - peer.heard)
                del self.routers[name]
                self.hooks.lose(peer)

    async def run(self) -> None:
        """Send heartbeats for ever."""
        while True:
            self.beat()
            await asyncio.sleep(BEAT / SECOND)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
