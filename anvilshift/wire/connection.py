"""One connection of the HTTP/1.1 client, on top of h11."""

import asyncio
import math
import time
from collections import deque

import h11

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.heldroom import READ_STEP, UNCOUNTED, AheadHold, HeldRoom
from anvilshift.wire.messages import Address, HeaderFields, set_reset_on_close
from anvilshift.wire.peertimeouts import PeerTimeouts
from anvilshift.wire.receivebuffer import RECEIVE_BUFFER
from anvilshift.wire.traffic import TrafficCounter

_READ_AHEAD_BYTES = 256 * 1024
_MAX_HEAD_BYTES = 64 * 1024
_EVENT_BYTES = 200
"""Memory that a part of a body takes beside its bytes."""
_LOOK_INTERVAL: Millis = 100.0
"""Time between two looks for room to read ahead; targets wait for seconds."""


class Connection(asyncio.BufferedProtocol):
    """One connection to a server, used for one exchange at a time.

    Parameters
    ----------
    address
        Address of the server.
    via
        Name of the process through which the server is reached; empty for a direct
        connection.
    traffic
        Counts what it sends and receives, with others.
    room
        Memory for what is read ahead of the answer's reader; without it a fixed bound
        holds for each connection.

    Attributes
    ----------
    reused
        Whether earlier exchanges have used it.
    heard
        When it was opened or last received bytes.
    received
        When it last received bytes.
    """

    def __init__(
        self,
        address: Address,
        via: str = "",
        traffic: TrafficCounter | None = None,
        room: HeldRoom | None = None,
    ) -> None:
        self._traffic = traffic or TrafficCounter()
        self.address = address
        self.via = via
        self.transport: asyncio.Transport | None = None
        self._timeouts: PeerTimeouts | None = None
        self._h11 = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=_MAX_HEAD_BYTES
        )
        self._events: deque[h11.Event] = deque()
        self._buffered = 0
        self._is_paused = False
        self._look: asyncio.TimerHandle | None = None
        self._ahead = AheadHold(room) if room is not None else None
        self._event_ready = asyncio.Event()
        self._failure: Exception | None = None
        self.closed = False
        self._idle = False
        self._is_asking = False
        self.idle_until = math.inf
        self.reused = False
        self.heard: Millis = -math.inf
        self.received: Millis = -math.inf

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and keep its timeouts."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.heard = time.monotonic() * SECOND
        self._timeouts = PeerTimeouts(transport)

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the exchange that waits for an answer."""
        self.closed = True
        if self._timeouts is not None:
            self._timeouts.end()
        if self._failure is None:
            self._failure = exc or ConnectionError("the server closed the connection")
        self._event_ready.set()

    def eof_received(self) -> bool:
        """Read the end of an answer that its connection's end delimits."""
        self._feed(b"")
        return False

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections of the thread share."""
        if self._ahead is not None and self._buffered:
            return RECEIVE_BUFFER.view[:READ_STEP]
        return RECEIVE_BUFFER.view

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes; close an idle connection that received any."""
        self.heard = self.received = time.monotonic() * SECOND
        self._traffic.add_received(nbytes)
        if self._idle:
            # Unsolicited bytes on an idle connection would be read as the answer
            # to the next request on it, which belongs to another caller.
            self.close()
            return
        self._feed(bytes(RECEIVE_BUFFER.view[:nbytes]))

    def _feed(self, data: bytes) -> None:
        try:
            self._h11.receive_data(data)
            while True:
                event = self._h11.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    break
                if isinstance(event, h11.ConnectionClosed):
                    break
                assert not isinstance(event, type)
                self._events.append(event)
                if isinstance(event, h11.Data):
                    self._buffered += len(event.data)
                if isinstance(event, h11.EndOfMessage):
                    break
        except (h11.RemoteProtocolError, RuntimeError) as error:
            self._failure = error
            if self.transport is not None:
                self.transport.abort()
        # An engine that streams faster than its caller reads would exhaust the
        # router's memory, so reading is paused until the backlog is consumed.
        self._count_ahead()
        if not self._may_read_on() and self.transport is not None:
            self._pause(self.transport)
        self._event_ready.set()

    def _may_read_on(self) -> bool:
        if self._ahead is None:
            return self._buffered <= _READ_AHEAD_BYTES
        return not self._ahead.size or self._ahead.may_grow()

    def _count_ahead(self) -> None:
        held, size = self._ahead, self._buffered + len(self._events) * _EVENT_BYTES
        if held is not None and (held.size or size > UNCOUNTED):
            held.set(size if self._buffered else 0)

    def _pause(self, transport: asyncio.Transport) -> None:
        self._is_paused = True
        transport.pause_reading()
        if self._ahead is not None and self._look is None:
            # Others may give room up while this answer's reader takes nothing.
            loop = asyncio.get_running_loop()
            self._look = loop.call_later(_LOOK_INTERVAL / SECOND, self._look_for_room)

    def _look_for_room(self) -> None:
        self._look = None
        self._read_on()
        if self._is_paused and not self.closed and self.transport is not None:
            self._pause(self.transport)

    def send(self, method: str, path: str, headers: HeaderFields, body: bytes) -> None:
        """Write a request."""
        assert self.transport is not None
        self._is_asking = True
        # Latin-1 round-trips every byte, so the caller's header fields are
        # forwarded unchanged.
        raw = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in headers]
        target = path.encode("latin-1")
        head = h11.Request(method=method, target=target, headers=raw)
        parts = [self._h11.send(head)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))
        parts.append(self._h11.send(h11.EndOfMessage()))
        # Does not wait for the write buffer to drain: a server may answer without
        # reading all of a long body, and the client must then read that answer.
        written = b"".join(part for part in parts if part)
        self.transport.write(written)
        self._traffic.add_sent(len(written))
        if self._timeouts is not None:
            self._timeouts.record_write()

    async def receive(self) -> h11.Event:
        """Return the next part of the answer."""
        while not self._events:
            if self._failure is not None:
                raise self._failure
            self._event_ready.clear()
            await self._event_ready.wait()
        event = self._events.popleft()
        if isinstance(event, h11.Data):
            self._buffered -= len(event.data)
            self._read_on()
        return event

    def _read_on(self) -> None:
        """Go on reading once enough of what was read ahead is used."""
        self._count_ahead()
        if self._is_paused and self.transport is not None and self._may_read_on():
            self._is_paused = False
            self.transport.resume_reading()

    def take_buffered(self) -> bytes:
        """Return the body bytes that are already buffered, without waiting."""
        parts = []
        while self._events and isinstance(self._events[0], h11.Data):
            event = self._events.popleft()
            assert isinstance(event, h11.Data)
            self._buffered -= len(event.data)
            parts.append(bytes(event.data))
        self._read_on()
        return b"".join(parts)

    def reset(self) -> bool:
        """Prepare for another exchange; return False if that is not possible."""
        if self.closed or self._events or self._failure is not None:
            return False
        try:
            self._h11.start_next_cycle()
        except h11.ProtocolError:
            return False
        self._idle = not self._h11.trailing_data[0]
        self._is_asking = False
        return self._idle

    def make_idle(self) -> bool:
        """Let others use it for an exchange, if none has begun since the last."""
        is_unused = self._h11.our_state is h11.IDLE and not self._events
        self._idle = is_unused and not self.closed and self._failure is None
        return self._idle

    def try_reuse(self) -> bool:
        """Leave the idle state; return False if the connection closed or expired."""
        self._idle = False
        self.reused = True
        return not self.closed and time.monotonic() < self.idle_until

    def close(self) -> None:
        """Close the connection at once; what waits to be sent is discarded.

        On a narrow link the system would otherwise go on sending a request that nobody
        waits for, and the server would run it.
        """
        if self.transport is not None:
            if self._is_asking and not self.closed:
                set_reset_on_close(self.transport, True)
            self.transport.abort()
        self.closed = True
        if self._ahead is not None:
            self._ahead.set(0)

    def close_unless_idle(self) -> None:
        """Close the connection unless it was kept for another exchange."""
        if not self._idle and not self.closed:
            self.close()
