"""TCP timeouts that tell a peer that reads nothing from one that is gone."""

import asyncio
import socket
import struct

from anvilshift.core.clock import SECOND, Millis
from anvilshift.wire.tcpstate import find_tcp_socket

_KEEPALIVE_IDLE_S = 1
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
_GONE_TIMEOUT: Millis = 3 * SECOND
"""A host that lost power or is partitioned sends no TCP reset.  Without keepalive
probes and a limit on the time that data may stay unacknowledged, a connection to it
hangs for minutes.  Three seconds tolerate a few lost packets and are well below the
time after which callers give up."""
UNREAD_TIMEOUT: Millis = 20 * SECOND
"""How long a peer may acknowledge all it is sent and read nothing."""
_CHECK_INTERVAL: Millis = 1 * SECOND
_MAX_UNANSWERED = 2
"""Checks in a row without an acknowledgement after which a peer isn't there; one may
fall between a probe and its answer."""

_TCP_INFO = struct.Struct("=3xB20xI28xI84xI")
"""Fields of the system's `tcp_info`: probes without an answer, segments and the time
without an acknowledgement, and the bytes that weren't sent yet."""


class PeerTimeouts:
    """Keep the TCP timeouts of a connection.

    The system's user timeout holds for a peer that has closed its window as for one
    that acknowledges nothing.  While bytes wait for the peer's window, and it
    acknowledges the probes, the timeout is therefore the longer one.

    Parameters
    ----------
    transport
        The connection; one without a TCP socket has no timeouts.

    References
    ----------
    RFC 9293, section 3.8.6.1 (zero-window probing); RFC 5482; tcp(7).
    """

    def __init__(self, transport: asyncio.BaseTransport) -> None:
        self._sock = find_tcp_socket(transport)
        self._timer: asyncio.TimerHandle | None = None
        self._timeout: Millis = 0.0
        self._unanswered = 0
        if self._sock is not None:
            _set_keepalive(self._sock)
            self._set_user_timeout(_GONE_TIMEOUT)

    def record_write(self) -> None:
        """Record that bytes were written, which the peer may not read for a time."""
        if self._timer is None and self._sock is not None:
            self._call_later()

    def end(self) -> None:
        """Leave what the peer hasn't read to the system, as the connection ends."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if self._sock is not None:
            self._set_user_timeout(UNREAD_TIMEOUT)
            self._sock = None

    def _call_later(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_CHECK_INTERVAL / SECOND, self._check)

    def _check(self) -> None:
        self._timer = None
        assert self._sock is not None
        raw = self._sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size)
        probes, unacknowledged, quiet, unsent = _TCP_INFO.unpack(raw)
        is_answered = not (probes or unacknowledged) or quiet < _CHECK_INTERVAL
        self._unanswered = 0 if is_answered else self._unanswered + 1
        if self._unanswered >= _MAX_UNANSWERED or not unsent:
            self._set_user_timeout(_GONE_TIMEOUT)
        elif is_answered and not unacknowledged:
            self._set_user_timeout(UNREAD_TIMEOUT)
        if unsent or unacknowledged:
            self._call_later()

    def _set_user_timeout(self, timeout: Millis) -> None:
        if self._sock is None or timeout == self._timeout:
            return
        self._timeout = timeout
        option = socket.TCP_USER_TIMEOUT
        self._sock.setsockopt(socket.IPPROTO_TCP, option, round(timeout))


def _set_keepalive(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
