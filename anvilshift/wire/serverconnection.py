"""One accepted connection of the HTTP/1.1 server, on top of h11."""

import asyncio
import contextlib

import h11
from absl import logging

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    CODES,
    MALFORMED,
    TOO_LARGE,
    TOO_SLOW,
    AnvilshiftError,
    Code,
)
from anvilshift.wire.connectionowner import ConnectionOwner
from anvilshift.wire.errorreplies import list_last_events, render_error
from anvilshift.wire.heldroom import BodyHold, find_announced_length
from anvilshift.wire.messages import (
    Headers,
    HttpRequest,
    Limits,
    set_reset_on_close,
)
from anvilshift.wire.peertimeouts import PeerTimeouts
from anvilshift.wire.receivebuffer import RECEIVE_BUFFER
from anvilshift.wire.responder import (
    CALLER_CLOSED,
    SERVER_CLOSED,
    CallerDisconnectedError,
    Responder,
)
from anvilshift.wire.tcpstate import find_unread_time, has_peer_closed

_MAX_PIPELINED_BYTES = 64 * 1024
_HEAD_TOO_LARGE_STATUS = 431
_LINGER: Millis = 2 * SECOND
"""Time for which a caller whose body is refused may go on sending it.  Closed at once,
the connection would be reset, and the caller might never see the answer."""


class ServerConnection(asyncio.BufferedProtocol):
    """An accepted connection; it handles one request at a time."""

    def __init__(self, server: ConnectionOwner) -> None:
        self._server = server
        self._h11 = self._make_parser()
        self._transport: asyncio.Transport | None = None
        self._timeouts: PeerTimeouts | None = None
        self._writable = asyncio.Event()
        self._writable.set()
        self._timer: asyncio.TimerHandle | None = None
        self._task: asyncio.Task[None] | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._hold = BodyHold(server.room)
        self._lingers = False
        self._unsent = b""
        self._closed = False
        self.loss = ""
        self._is_idle = False
        self._resets_on_close = False

    def _make_parser(self) -> h11.Connection:
        head_bytes = self._limits.head_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=head_bytes)

    @property
    def _limits(self) -> Limits:
        return self._server.limits

    @property
    def peer_ip(self) -> str:
        """Return the caller's address; empty if it isn't known."""
        peer = self._transport and self._transport.get_extra_info("peername")
        return str(peer[0]) if peer else ""

    @property
    def has_peer_left(self) -> bool:
        """Return whether the caller has closed it, also if that wasn't read yet."""
        return self._transport is None or has_peer_closed(self._transport)

    @property
    def busy(self) -> bool:
        """Return whether a request is handled."""
        return self._task is not None

    @property
    def closes_next(self) -> bool:
        """Return whether it closes after its next answer, as the server asks for.

        Pipelined requests that were read with this one are answered first.
        """
        if self._h11.trailing_data[0]:
            return False
        admission = self._server.admission
        is_kept = admission is None or admission.keeps_connection()
        return self._server.is_draining or not is_kept

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the connection, or close it before anything is read."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        admission = self._server.admission
        if admission is not None and not admission.takes_connection():
            # Nothing was read, so the caller may repeat any request elsewhere.
            transport.abort()
            return
        self._timeouts = PeerTimeouts(transport)
        self._server.connections.add(self)
        self._set_timer(self._limits.head_timeout)

    def connection_lost(self, exc: Exception | None) -> None:
        """Stop the request whose caller is gone."""
        self._closed = True
        self.loss = self._describe_loss(exc)
        self._writable.set()
        self._clear_timer()
        self._hold.release()
        if self._timeouts is not None:
            self._timeouts.end()
        self._server.connections.discard(self)
        if self._task is not None:
            self._task.cancel()

    def _describe_loss(self, exc: Exception | None) -> str:
        if self._server.closed:
            return SERVER_CLOSED
        return CALLER_CLOSED if exc is None else f"the connection failed: {exc}"

    def eof_received(self) -> bool:
        """Let the transport close: callers don't half-close."""
        return False

    def pause_writing(self) -> None:
        """Let writers of answers wait."""
        self._writable.clear()

    def resume_writing(self) -> None:
        """Let writers of answers go on."""
        self._writable.set()

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer that all connections of the thread share."""
        return RECEIVE_BUFFER.view

    def buffer_updated(self, nbytes: int) -> None:
        """Parse received bytes."""
        self._server.traffic.add_received(nbytes)
        if self._lingers:
            return
        self._h11.receive_data(bytes(RECEIVE_BUFFER.view[:nbytes]))
        if self.busy:
            self._limit_pipelining()
            return
        self._read_events()

    def _limit_pipelining(self) -> None:
        # Pipelined requests accumulate in h11's buffer while the current request
        # is handled.  Reading is paused until it ends, to bound that buffer.
        if len(self._h11.trailing_data[0]) > _MAX_PIPELINED_BYTES and self._transport:
            self._transport.pause_reading()

    def _read_events(self) -> None:
        is_head_new = False
        while True:
            try:
                event = self._h11.next_event()
            except h11.RemoteProtocolError as error:
                self._reject(
                    TOO_LARGE
                    if error.error_status_hint == _HEAD_TOO_LARGE_STATUS
                    else MALFORMED,
                    str(error),
                )
                return
            if isinstance(event, h11.Request):
                self._head = event
                self._is_idle, is_head_new = False, True
                if self._server.room and not self._take_room(
                    find_announced_length(event)
                ):
                    return
                if self._h11.they_are_waiting_for_100_continue:
                    self.send(h11.InformationalResponse(status_code=100, headers=[]))
            elif isinstance(event, h11.Data):
                self._body += event.data
                if len(self._body) > self._limits.body_bytes:
                    self._reject(TOO_LARGE, "the body exceeds the size limit")
                    return
                if self._server.room and not self._take_room(len(self._body)):
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
                return
            else:
                if is_head_new:
                    self._set_timer(self._limits.body_timeout)
                self._check_head_begun()
                return

    def _take_room(self, length: int) -> bool:
        """Take room for a body, or refuse the request without reading it."""
        try:
            self._hold.take(min(length, self._limits.body_bytes))
        except AnvilshiftError as error:
            self._body.clear()
            self._hold.release()
            self._send_last(error)
            self._lingers = True
            self._set_timer(_LINGER)
            return False
        return True

    def _check_head_begun(self) -> None:
        """Give the head of a further request its own timeout, once, as it begins."""
        if self._is_idle and self._h11.trailing_data[0]:
            self._is_idle = False
            self._set_timer(self._limits.head_timeout)

    def _dispatch(self) -> None:
        assert self._head is not None
        self._clear_timer()
        assert self._transport is not None
        request = HttpRequest(
            self._head.method.decode("ascii"),
            self._head.target.decode("latin-1"),
            Headers.from_raw(self._head.headers.raw_items()),
            bytes(self._body),
            find_unread_time(self._transport),
        )
        self._body = bytearray()
        self._task = asyncio.get_running_loop().create_task(self._serve(request))

    async def _serve(self, request: HttpRequest) -> None:
        responder = Responder(self)
        try:
            await self._server.handler(request, responder)
        except AnvilshiftError as error:
            await self._answer_error(responder, error)
        except (CallerDisconnectedError, asyncio.CancelledError):
            self.abort()
        except Exception:
            logging.exception("handler failed path=%s", request.path)
            await self._answer_error(responder, AnvilshiftError(CODES[9001]))
        finally:
            self._task = None
            self._hold.release()
        if responder.finished:
            self._start_next_request()
        else:
            self.abort()

    async def _answer_error(self, responder: Responder, error: AnvilshiftError) -> None:
        if responder.started:
            self.abort()
            return
        with contextlib.suppress(CallerDisconnectedError, h11.LocalProtocolError):
            await responder.send(render_error(error))

    def _start_next_request(self) -> None:
        if self._closed or self._transport is None:
            return
        is_ending = self._server.stopping and not self._h11.trailing_data[0]
        if is_ending or self._h11.our_state is not h11.DONE:
            self._transport.close()
            return
        try:
            self._h11.start_next_cycle()
        except h11.ProtocolError:
            self._transport.close()
            return
        self._head = None
        self._is_idle = True
        self._transport.resume_reading()
        self._set_timer(self._limits.idle_timeout)
        if self._h11.trailing_data[0]:
            self._read_events()

    def _reject(self, code: Code, detail: str) -> None:
        """Answer a request that was not received completely, and close."""
        self._clear_timer()
        self._send_last(AnvilshiftError(code, detail))
        if self._transport is not None:
            self._transport.close()

    def _send_last(self, error: AnvilshiftError) -> None:
        with contextlib.suppress(h11.LocalProtocolError, CallerDisconnectedError):
            for event in list_last_events(error):
                self.send(event)

    def send(self, event: h11.Event, hold: bool = False) -> None:
        """Write a part of the answer, or hold it back until the next one."""
        if self._closed or self._transport is None:
            raise CallerDisconnectedError(self.loss or CALLER_CLOSED)
        if isinstance(event, h11.Response) and self._is_unframed(event):
            # The caller takes an orderly close for the end of this answer.  The system
            # closes so too when the process is killed, or aborts a broken answer.
            self._set_reset_on_close(True)
        self._unsent += self._h11.send(event) or b""
        if self._unsent and not hold:
            self._transport.write(self._unsent)
            self._server.traffic.add_sent(len(self._unsent))
            self._unsent = b""
            if self._timeouts is not None:
                self._timeouts.record_write()

    def stop_framing(self) -> None:
        """Let the body of the answer end with the connection, as for HTTP/1.0."""
        self._h11.their_http_version = b"1.0"

    def _is_unframed(self, head: h11.Response) -> bool:
        version = self._h11.their_http_version or b"1.1"
        return version < b"1.1" and b"content-length" not in dict(head.headers)

    def _set_reset_on_close(self, enabled: bool) -> None:
        self._resets_on_close = enabled
        if self._transport is not None:
            set_reset_on_close(self._transport, enabled)

    async def end_unframed(self) -> None:
        """Let the connection close in order, now that the whole answer is written."""
        if not self._resets_on_close or self._transport is None:
            return
        self._transport.set_write_buffer_limits(high=0)
        await self.drain()
        self._set_reset_on_close(False)

    async def drain(self) -> None:
        """Wait while the write buffer is full."""
        if not self._writable.is_set():
            await self._wait_until_writable()
        if self._closed:
            raise CallerDisconnectedError(self.loss or CALLER_CLOSED)

    async def _wait_until_writable(self) -> None:
        room, size = self._server.room, self._count_unread()
        with room.hold_unread(size, self) if room else contextlib.nullcontext():
            while not self._writable.is_set():
                await self._wait_for_reading()

    def _count_unread(self) -> int:
        return self._transport.get_write_buffer_size() if self._transport else 0

    async def _wait_for_reading(self) -> None:
        """Wait until the write buffer has room, or for as long as the caller reads."""
        assert self._transport is not None
        unsent = self._transport.get_write_buffer_size()
        timeout = self._limits.write_timeout / SECOND
        try:
            await asyncio.wait_for(self._writable.wait(), timeout)
        except TimeoutError:
            if self._transport.get_write_buffer_size() < unsent:
                return
            # A caller that stops reading would occupy its buffer and its engine
            # slot indefinitely.  Aborting the connection frees both.
            self.abort()
            raise CallerDisconnectedError("the caller stopped reading") from None

    def abort(self) -> None:
        """Close the connection at once; what isn't sent yet is lost."""
        if self._transport is not None:
            self._transport.abort()

    @property
    def is_receiving(self) -> bool:
        """Return whether a part of a request was read, and no more."""
        if self.busy or self._transport is None or self._transport.is_closing():
            return False
        return self._head is not None or bool(self._h11.trailing_data[0])

    @property
    def is_unfinished(self) -> bool:
        """Return whether its end would lose a request, or a part of an answer."""
        return self.busy or self.is_receiving or bool(self._count_unread())

    def close_idle(self) -> None:
        """Close the connection unless a request or a part of one was read."""
        if not self.busy and not self.is_receiving and self._transport is not None:
            self._transport.close()

    def _set_timer(self, delay: Millis) -> None:
        self._clear_timer()
        later = asyncio.get_running_loop().call_later
        self._timer = later(delay / SECOND, self._handle_timeout)

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_timeout(self) -> None:
        is_unused = self._head is None and not self._h11.trailing_data[0]
        if (is_unused or self._lingers) and self._transport:
            self._transport.close()
        else:
            self._reject(TOO_SLOW, "the request did not arrive in time")
