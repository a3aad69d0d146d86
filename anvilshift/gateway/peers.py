"""Tell the other routers what this one does, and hear them.

Datagrams carry heartbeats and the course of runs: a millisecond matters more
than a lost message, and a stream would hold all of them back behind one.
"""

import asyncio
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import cast

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import Beat, Message, decode, encode, pack

BEAT: Millis = 150.0
"""Between two heartbeats in a small fleet: a lost router is out of the address answers
after four of them, and at five routers they cost 27 datagrams a second each."""
_LONGEST_BEAT: Millis = 600.0
SMALL_FLEET = 8
"""Routers that tell one another everything.  In a larger fleet heartbeats are rarer,
and what happens at targets is told only where it matters; with 32 routers each would
otherwise read 800 datagrams a second."""
SILENT_BEATS = 4.3
"""Heartbeats after which a router that was not heard counts as lost.  A caller gives a
new connection to a frozen one a second; of three heartbeats in a row one in 40,000 is
lost where links lose three packets in a hundred."""
_KNOWN_EVERY = 10
"""In a larger fleet every tenth heartbeat names the other routers."""
_FAR_EVERY = 2
"""In a larger fleet every second heartbeat goes to other failure domains as well."""
_SILENCE_LARGE = 1.1
"""Times as long in a larger fleet, where far routers' heartbeats come half as often."""
_FLUSH: Millis = 1.0
"""How long messages are gathered into one datagram; placement elsewhere is that
much behind, and a burst costs one system call instead of many."""
_FLUSH_LARGE: Millis = 40.0
"""The same in a larger fleet, where an engine gets a request from another router every
200 ms, and a router whose callers send 150 requests a second would fill its link of
24 Mbit/s with single datagrams to all."""
_FLUSH_LAZY: Millis = 250.0
"""How long the end of a run waits in a larger fleet for other messages to go with."""
_EVERYONE: frozenset[str] = frozenset()


def find_beat(routers: int) -> Millis:
    """Return the time between two heartbeats of one router.

    Examples
    --------
    >>> find_beat(4), find_beat(16), find_beat(2_000)
    (150.0, 300.0, 600.0)
    """
    return min(_LONGEST_BEAT, BEAT * max(1.0, routers / SMALL_FLEET))


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
    domain
        This router's failure domain.
    addresses
        Addresses of routers that may be there.
    """

    ip: str
    port: int
    domain: str
    clock: Clock
    journal: Journal
    addresses: set[str] = field(default_factory=set)
    hooks: Hooks = field(default_factory=Hooks)
    routers: dict[str, Peer] = field(default_factory=dict)
    _transport: asyncio.DatagramTransport | None = None
    _waiting: dict[frozenset[str], list[bytes]] = field(default_factory=dict)
    _timer: asyncio.TimerHandle | None = None
    _names: dict[str, str] = field(default_factory=dict)
    _beats: int = 0

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
        known = self.routers.get(self._names.get(addr[0], ""))
        if known is not None:
            known.heard = self.clock.now()
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
            if known is None:
                # One that starts in a large fleet would otherwise learn of most of
                # the others seconds later.
                self._send_beat(self.hooks.make_beat(), {beat.ip})
        self.routers[beat.router] = Peer(beat, self.clock.now())
        self._names[beat.ip] = beat.router
        self.addresses.add(beat.ip)
        self.addresses.update(beat.known)
        self.addresses.discard(self.ip)

    def send(self, message: Message, ip: str) -> None:
        """Send a message to one router at once."""
        self._send(encode(message), ip)

    def tell(self, message: Message) -> None:
        """Send a message to every router that is there."""
        self._gather(message, _EVERYONE)

    @property
    def small(self) -> bool:
        """Tell whether the fleet is small enough to tell everybody everything."""
        return len(self.routers) < SMALL_FLEET

    def tell_near(self, message: Message, domain: str, soon: bool = True) -> None:
        """Send a message to the routers that send most work to one failure domain.

        These are those of the domain, and those of this router's.

        Parameters
        ----------
        soon
            Whether it can't wait for the next message to the same routers.
        """
        self._gather(message, frozenset({domain, self.domain}), soon)

    def tell_far(self, message: Message, domain: str) -> None:
        """Send a message, in its time, to those that `tell_near` passes over."""
        domains = {peer.beat.failure_domain for peer in self.routers.values()}
        far = frozenset(domains - {domain, self.domain})
        if far:
            self._gather(message, far, soon=False)

    def _gather(
        self, message: Message, domains: frozenset[str], soon: bool = True
    ) -> None:
        self._waiting.setdefault(domains, []).append(encode(message))
        prompt = _FLUSH if self.small else _FLUSH_LARGE
        span = prompt if soon else _FLUSH_LAZY
        loop = asyncio.get_running_loop()
        due = loop.time() + span / SECOND
        if self._timer is None or due < self._timer.when():
            if self._timer is not None:
                self._timer.cancel()
            self._timer = loop.call_at(due, self._flush)

    def _flush(self) -> None:
        self._timer = None
        waiting, self._waiting = self._waiting, {}
        present = [peer.beat for peer in self.list_present()]
        for domains, lines in waiting.items():
            datagrams = pack(lines)
            for beat in present:
                if not domains or beat.failure_domain in domains:
                    for datagram in datagrams:
                        self._send(datagram, beat.ip)

    def _send(self, datagram: bytes, ip: str) -> None:
        if self._transport is None:
            return
        try:
            self._transport.sendto(datagram, (ip, self.port))
        except OSError as error:
            self.journal.write("peer_unsent", peer=ip, reason=str(error))

    def _find_silence(self) -> Millis:
        """Return the time after which a router that was not heard is lost."""
        span = find_beat(len(self.addresses) + 1) * SILENT_BEATS
        return span if self.small else span * _SILENCE_LARGE

    def list_present(self) -> list[Peer]:
        """Return the routers that were heard lately."""
        since = self.clock.now() - self._find_silence()
        return [peer for peer in self.routers.values() if peer.heard >= since]

    def beat(self) -> None:
        """Send a heartbeat now, and look who has fallen silent."""
        beat = self.hooks.make_beat()
        self._beats += 1
        addresses = self.addresses
        if beat is not None and len(addresses) >= SMALL_FLEET:
            if self._beats % _KNOWN_EVERY != 1:
                beat = replace(beat, known=())
            if self._beats % _FAR_EVERY != 1:
                addresses = addresses - self._list_far()
        self._send_beat(beat, addresses)
        now, silence = self.clock.now(), self._find_silence()
        for name, peer in list(self.routers.items()):
            if now - peer.heard > silence:
                self.journal.write("peer_lost", peer=name, age=now - peer.heard)
                del self.routers[name]
                self._names.pop(peer.beat.ip, None)
                self.hooks.lose(peer)

    def _list_far(self) -> set[str]:
        """Return the addresses of routers in other failure domains."""
        beats = [peer.beat for peer in self.routers.values()]
        return {beat.ip for beat in beats if beat.failure_domain != self.domain}

    def _send_beat(self, beat: Beat | None, addresses: Iterable[str]) -> None:
        if beat is not None:
            datagram = encode(beat)
            for ip in addresses:
                self._send(datagram, ip)

    async def run(self) -> None:
        """Send heartbeats for ever."""
        while True:
            self.beat()
            await asyncio.sleep(find_beat(len(self.routers) + 1) / SECOND)

    def close(self) -> None:
        """Close the socket."""
        if self._transport is not None:
            self._transport.close()
