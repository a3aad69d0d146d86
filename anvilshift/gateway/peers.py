"""Exchange heartbeats and the state of runs with the other routers.

Messages are sent as datagrams.  A delay of a millisecond costs more than a lost
message, and in a stream one lost message would delay all that follow.
"""

import asyncio
import socket
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import cast

from anvilshift.core.admission.linkuse import Traffic
from anvilshift.core.admission.newsbatching import NewsBatching
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.lateness import Lateness
from anvilshift.gateway.datagrams import compress, decode, encode, pack
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import Beat, Message

MIN_BEAT_INTERVAL: Millis = 150.0
"""Heartbeat interval in a small fleet.  A lost router disappears from the address
answers after four intervals, and with five routers heartbeats cost each router 27
datagrams a second."""
_MAX_BEAT_INTERVAL: Millis = 600.0
SMALL_FLEET = 8
"""Largest fleet in which every router sends every message to all others.  In a larger
fleet heartbeats are less frequent, and events at targets are sent only to the routers
that need them; with 32 routers each would otherwise read 800 datagrams a second."""
LOST_AFTER_BEATS = 4.3
"""Heartbeat intervals without a message after which a router counts as lost.  A caller
gives a new connection to a frozen router one second.  With 3 % packet loss, three
consecutive heartbeats are lost in one of 40,000 cases."""
_KNOWN_INTERVAL = 10
"""In a larger fleet every tenth heartbeat lists the addresses of other routers."""
_FAR_INTERVAL = 2
"""In a larger fleet every second heartbeat is also sent to other failure domains."""
_TIMEOUT_FACTOR_LARGE = 1.1
"""Factor on the time until a router counts as lost in a larger fleet, where heartbeats
from other failure domains arrive half as often."""
_FLUSH_DELAY: Millis = 1.0
"""How long messages are collected for one datagram.  Placement at other routers lags
by that much, and a burst costs one system call instead of many."""
_FLUSH_DELAY_LARGE: Millis = 40.0
"""The same in a larger fleet.  There an engine gets a request from another router every
200 ms, and a router with 150 requests a second would fill its link of 24 Mbit/s if it
sent a datagram for each of them to all others."""
_FLUSH_DELAY_IDLE: Millis = 250.0
"""How long messages that aren't urgent, such as the end of a run, wait in a larger
fleet for other messages to share a datagram with."""
_MAX_TAKEN = 100
"""Datagrams handled in one turn of the event loop.  The loop itself reads one a turn: a
busy router whose turns last 20 ms would handle 50 a second, and know the others' news
and heartbeats ever later."""
_DATAGRAM_BYTES = 65_536
_ALL_DOMAINS: frozenset[str] = frozenset()


def find_beat_interval(routers: int) -> Millis:
    """Return the heartbeat interval of a router in a fleet of some size.

    Examples
    --------
    >>> find_beat_interval(4), find_beat_interval(16), find_beat_interval(2_000)
    (150.0, 300.0, 600.0)
    """
    return min(_MAX_BEAT_INTERVAL, MIN_BEAT_INTERVAL * max(1.0, routers / SMALL_FLEET))


@dataclass
class Peer:
    """The last heartbeat of another router, and when it was last heard."""

    beat: Beat
    heard: Millis


@dataclass
class PeerCallbacks:
    """Callbacks for messages from other routers and changes among them.

    Parameters
    ----------
    on_message
        Called with each message.
    on_router_lost
        Called with a router that is lost or replaced by a new incarnation.
    make_beat
        Returns the heartbeat to send; None while there is none to send.
    on_new_router
        Called with the first heartbeat of each new incarnation.
    """

    on_message: Callable[[Message], None] = lambda message: None
    on_router_lost: Callable[[Peer], None] = lambda peer: None
    make_beat: Callable[[], Beat | None] = lambda: None
    on_new_router: Callable[[Beat], None] = lambda beat: None


@dataclass
class Peers(asyncio.DatagramProtocol):
    """Connection to the other routers, and which of them are present.

    Parameters
    ----------
    ip, port
        Address and port of this router; all routers use the same port.
    domain
        This router's failure domain.
    addresses
        Addresses of routers that may exist.

    Attributes
    ----------
    batching
        How messages that aren't sent immediately are collected and written.
    compact
        Names of the routers whose build reads compressed datagrams.
    """

    ip: str
    port: int
    domain: str
    clock: Clock
    journal: Journal
    addresses: set[str] = field(default_factory=set)
    hooks: PeerCallbacks = field(default_factory=PeerCallbacks)
    routers: dict[str, Peer] = field(default_factory=dict)
    batching: NewsBatching = field(default_factory=NewsBatching)
    compact: set[str] = field(default_factory=set)
    _transport: asyncio.DatagramTransport | None = None
    _waiting: dict[frozenset[str], list[bytes]] = field(default_factory=dict)
    _timer: asyncio.TimerHandle | None = None
    _lateness: Lateness = field(default_factory=Lateness)
    _names_by_ip: dict[str, str] = field(default_factory=dict)
    _socket: socket.socket | None = None
    _is_taking: bool = False
    _beats_sent: int = 0
    _sent_bytes: int = 0
    _sent_datagrams: int = 0
    _received_bytes: int = 0
    _received_datagrams: int = 0

    @property
    def sent(self) -> Traffic:
        """Return what was sent so far."""
        return Traffic(datagram_bytes=self._sent_bytes, datagrams=self._sent_datagrams)

    @property
    def received(self) -> Traffic:
        """Return what was received so far."""
        return Traffic(
            datagram_bytes=self._received_bytes, datagrams=self._received_datagrams
        )

    async def start(self) -> None:
        """Open the socket."""
        loop = asyncio.get_running_loop()
        local = (self.ip, self.port)
        transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=local
        )
        self._socket = transport.get_extra_info("socket").dup()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport of the opened socket."""
        # asyncio's own datagram transport doesn't derive from its abstract class.
        self._transport = cast(asyncio.DatagramTransport, transport)

    def error_received(self, exc: Exception) -> None:
        """Ignore an error of an earlier datagram: its receiver is down."""

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Pass on the messages of a datagram, and of those that wait behind it."""
        self._handle(data, addr)
        if self._is_taking:
            return
        self._is_taking = True
        try:
            self._take_waiting()
        finally:
            self._is_taking = False

    def _take_waiting(self) -> None:
        for _ in range(_MAX_TAKEN):
            if self._socket is None:
                return
            try:
                data, addr = self._socket.recvfrom(_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                self.error_received(error)
                continue
            self.datagram_received(data, addr)

    def _handle(self, data: bytes, addr: tuple[str, int]) -> None:
        """Decode a datagram and pass on its messages; malformed data is logged."""
        self._received_bytes += len(data)
        self._received_datagrams += 1
        try:
            messages = decode(data)
        except ValueError as error:
            self.journal.write("peer_garbage", sender=addr[0], reason=str(error))
            return
        known = self.routers.get(self._names_by_ip.get(addr[0], ""))
        if known is not None:
            known.heard = self.clock.now()
        for message in messages:
            if isinstance(message, Beat):
                self._hear_beat(message)
            self.hooks.on_message(message)

    def _hear_beat(self, beat: Beat) -> None:
        known = self.routers.get(beat.router)
        if known is None or known.beat.incarnation != beat.incarnation:
            if known is not None:
                self.hooks.on_router_lost(known)
            self.compact.discard(beat.router)
            self.journal.write(
                "peer_found", peer=beat.router, incarnation=beat.incarnation
            )
            self.hooks.on_new_router(beat)
            if known is None:
                # In a large fleet a router that starts would otherwise discover most
                # of the others seconds later.
                self._send_beat(self.hooks.make_beat(), {beat.ip})
        self.routers[beat.router] = Peer(beat, self.clock.now())
        self._names_by_ip[beat.ip] = beat.router
        self.addresses.add(beat.ip)
        self.addresses.update(beat.known)
        self.addresses.discard(self.ip)

    def send(self, message: Message, ip: str) -> None:
        """Send a message to one router immediately."""
        self._send(encode(message), ip)

    def send_each(self, message: Message, ips: Iterable[str]) -> None:
        """Send a message to some routers immediately."""
        datagram = encode(message)
        for ip in ips:
            self._send(datagram, ip)

    def broadcast(self, message: Message) -> None:
        """Send a message to every present router with the next datagram."""
        self._enqueue(message, _ALL_DOMAINS)

    @property
    def small(self) -> bool:
        """Tell whether the fleet is small enough to send every message to all."""
        return len(self.routers) < SMALL_FLEET

    def send_near(self, message: Message, domain: str, soon: bool = True) -> None:
        """Send a message to the routers that send most work to a failure domain.

        These are the routers of that domain and of this router's own domain.

        Parameters
        ----------
        soon
            Whether the message is urgent; otherwise it may wait for the next
            message to the same routers.
        """
        self._enqueue(message, frozenset({domain, self.domain}), soon)

    def send_far(self, message: Message, domain: str) -> None:
        """Send a message that isn't urgent to the routers that `send_near` omits."""
        far = frozenset(self.list_domains() - {domain, self.domain})
        if far:
            self._enqueue(message, far, soon=False)

    def _enqueue(
        self, message: Message, domains: frozenset[str], soon: bool = True
    ) -> None:
        self._waiting.setdefault(domains, []).append(encode(message))
        urgent_delay = _FLUSH_DELAY if self.small else _FLUSH_DELAY_LARGE
        delay = max(self.batching.delay, urgent_delay if soon else _FLUSH_DELAY_IDLE)
        loop = asyncio.get_running_loop()
        due = loop.time() + delay / SECOND
        if self._timer is None or due < self._timer.when():
            if self._timer is not None:
                self._timer.cancel()
            self._timer = loop.call_at(due, self._flush)

    def find_lateness(self) -> Millis:
        """Return by how much messages to other routers were sent late lately."""
        now, late = self.clock.now(), self._find_timer_delay()
        return max(late, self._lateness.find_most(now))

    def _find_timer_delay(self) -> Millis:
        """Return how long ago messages that wait should have been sent."""
        if self._timer is None:
            return 0.0
        loop = asyncio.get_running_loop()
        return max(0.0, loop.time() - self._timer.when()) * SECOND

    def _flush(self) -> None:
        self._lateness.record(self._find_timer_delay(), self.clock.now())
        self._timer = None
        waiting, self._waiting = self._waiting, {}
        present = [peer.beat for peer in self.list_present()]
        for domains, encoded in waiting.items():
            plain = pack(encoded)
            short = compress(encoded) if self.batching.is_compact else plain
            for beat in present:
                if not domains or beat.failure_domain in domains:
                    for datagram in short if beat.router in self.compact else plain:
                        self._send(datagram, beat.ip)

    def _send(self, datagram: bytes, ip: str) -> None:
        if self._transport is None:
            return
        self._sent_bytes += len(datagram)
        self._sent_datagrams += 1
        try:
            self._transport.sendto(datagram, (ip, self.port))
        except OSError as error:
            self.journal.write("peer_unsent", peer=ip, reason=str(error))

    def _find_timeout(self) -> Millis:
        """Return the time without messages after which a router is lost."""
        timeout = find_beat_interval(len(self.addresses) + 1) * LOST_AFTER_BEATS
        return timeout if self.small else timeout * _TIMEOUT_FACTOR_LARGE

    def list_present(self) -> list[Peer]:
        """Return the routers that were heard recently enough to be present."""
        since = self.clock.now() - self._find_timeout()
        return [peer for peer in self.routers.values() if peer.heard >= since]

    def greet(self, addresses: set[str]) -> None:
        """Send a heartbeat to routers that may exist at some addresses."""
        unknown = addresses - self.addresses - {self.ip}
        self.addresses |= unknown
        self._send_beat(self.hooks.make_beat(), unknown)

    def list_domains(self) -> set[str]:
        """Return the failure domains of the other routers."""
        return {peer.beat.failure_domain for peer in self.routers.values()}

    def beat(self) -> None:
        """Send a heartbeat now, and remove the routers that are lost."""
        beat = self.hooks.make_beat()
        self._beats_sent += 1
        addresses = self.addresses
        if beat is not None and len(addresses) >= SMALL_FLEET:
            if self._beats_sent % _KNOWN_INTERVAL != 1:
                beat = replace(beat, known=())
            if self._beats_sent % _FAR_INTERVAL != 1:
                addresses = addresses - self._list_far()
        self._send_beat(beat, addresses)
        now, timeout = self.clock.now(), self._find_timeout()
        for name, peer in list(self.routers.items()):
            if now - peer.heard > timeout:
                self.journal.write("peer_lost", peer=name, age=now - peer.heard)
                del self.routers[name]
                self._names_by_ip.pop(peer.beat.ip, None)
                self.hooks.on_router_lost(peer)

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
        """Send heartbeats until cancelled."""
        while True:
            self.beat()
            await asyncio.sleep(find_beat_interval(len(self.routers) + 1) / SECOND)

    def close(self) -> None:
        """Close the socket; messages that wait or come later are dropped."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()
            self._transport = None
        if self._socket is not None:
            self._socket.close()
            self._socket = None
