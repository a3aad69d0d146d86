"""What the system knows of a TCP connection before its bytes are read.

A busy event loop reads late: what was received, and that the peer has closed, wait in
the system's buffers for as long as a turn of the loop lasts.
"""

import asyncio
import select
import socket
import struct

from anvilshift.core.clock import Millis

_LAST_RECEIVED = struct.Struct("=52xI")
"""Field of the system's `tcp_info`: milliseconds since bytes were last received."""


def find_tcp_socket(transport: asyncio.BaseTransport) -> socket.socket | None:
    """Return the open TCP socket of a transport; None if it has none."""
    sock: socket.socket | None = transport.get_extra_info("socket")
    if sock is None or sock.fileno() < 0:
        return None
    return sock if sock.family in (socket.AF_INET, socket.AF_INET6) else None


def has_peer_closed(transport: asyncio.BaseTransport) -> bool:
    """Return whether the peer has closed a connection, also if that wasn't read yet.

    Bytes that it sent before it closed may still be unread.
    """
    sock = find_tcp_socket(transport)
    if transport.is_closing() or sock is None:
        return transport.is_closing()
    poll = select.poll()
    # Errors and resets are reported without being asked for.
    poll.register(sock.fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def find_unread_time(transport: asyncio.BaseTransport) -> Millis:
    """Return how long ago the last bytes of a connection were received.

    As they are read this is how long they have waited; 0 if the system doesn't tell.
    """
    sock = find_tcp_socket(transport)
    if sock is None:
        return 0.0
    size = _LAST_RECEIVED.size
    raw = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, size)
    (age,) = _LAST_RECEIVED.unpack(raw)
    return float(age)
