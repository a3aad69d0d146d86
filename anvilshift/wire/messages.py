"""Immutable HTTP messages and limits, shared by the server and the client."""

import asyncio
import socket
from collections.abc import Iterable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import MALFORMED, AnvilshiftError

RECEIVE_BUFFER = memoryview(bytearray(64 * 1024))
"""Where sockets of the one loop put what arrives, to be copied out at once.

A stream hands each connection a fresh 256 KB buffer for a token of 100 bytes,
which costs more than the read itself.
"""


_PROBE_AFTER_S = 1
_PROBE_EVERY_S = 1
_PROBES = 3
_UNACKNOWLEDGED_MS = 3_000
"""A host that lost power or was partitioned sends no reset: without probes and a
bound on unacknowledged bytes a connection to it hangs for minutes.  Three seconds
outlast a few lost packets and end well before callers give up."""


def tune_socket(transport: asyncio.BaseTransport) -> None:
    """Make a connection notice within seconds that its peer is gone."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family not in (socket.AF_INET, socket.AF_INET6):
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _PROBE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _UNACKNOWLEDGED_MS)


@dataclass(frozen=True)
class Address:
    """An IP number and a port.

    Examples
    --------
    >>> Address.parse("127.0.0.1:8080")
    Address(ip='127.0.0.1', port=8080)
    >>> str(Address.parse("[::1]:8080"))
    '[::1]:8080'
    """

    ip: str
    port: int

    @classmethod
    def parse(cls, text: str) -> "Address":
        """Read an address written as ``ip:port``; IPv6 stands in brackets."""
        ip, _, port = text.rpartition(":")
        if not ip or not port.isdigit():
            raise ValueError(f"{text!r} is not an address of the form ip:port")
        return cls(ip.strip("[]"), int(port))

    def __str__(self) -> str:
        ip = f"[{self.ip}]" if ":" in self.ip else self.ip
        return f"{ip}:{self.port}"


class Headers:
    """Header fields, found by name in any case.

    Examples
    --------
    >>> headers = Headers([("Retry-After", "2")])
    >>> headers.get("retry-after")
    '2'
    >>> headers.get("absent") is None
    True
    """

    def __init__(self, pairs: Iterable[tuple[str, str]] = ()) -> None:
        self.pairs = [(name.lower(), value) for name, value in pairs]

    @classmethod
    def from_raw(cls, raw: Iterable[tuple[bytes, bytes]]) -> "Headers":
        """Decode fields as h11 gives them."""
        return cls((n.decode("latin-1"), v.decode("latin-1")) for n, v in raw)

    def get(self, name: str) -> str | None:
        """Return the one value of a field, or None.

        A field that must be single is an attack or a fault when it is doubled:
        two parties could each believe another value, so it is refused.
        """
        found = [value for key, value in self.pairs if key == name.lower()]
        if len(found) > 1:
            raise AnvilshiftError(MALFORMED, f"header {name} appears more than once")
        return found[0] if found else None


def list_hop_headers(headers: Headers) -> set[str]:
    """Return the fields that a message's own connection header names.

    They concern one connection only, and a proxy must not pass them on.

    References
    ----------
    RFC 9110, section 7.6.1.

    Examples
    --------
    >>> sorted(list_hop_headers(Headers([("Connection", "close, X-Hop")])))
    ['close', 'x-hop']
    """
    return {
        word.strip().lower()
        for name, value in headers.pairs
        if name == "connection"
        for word in value.split(",")
    }


@dataclass(frozen=True)
class HttpRequest:
    """One whole request as a server received it."""

    method: str
    target: str
    headers: Headers
    body: bytes = b""

    @property
    def path(self) -> str:
        """Return the path without the query."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Return the query's fields; the last of a doubled field counts."""
        return dict(parse_qsl(urlsplit(self.target).query))


@dataclass(frozen=True)
class HttpAnswer:
    """One whole answer as a client received it."""

    status: int
    headers: Headers
    body: bytes = b""


@dataclass(frozen=True)
class Limits:
    """What a connection may cost before it is refused.

    Parameters
    ----------
    head_bytes, body_bytes
        Largest request head and body.
    head_timeout, body_timeout
        Milliseconds for the whole head, and for the whole body.
    idle_timeout
        Milliseconds that a connection may wait for its next request.
    write_timeout
        Milliseconds that a peer may leave a full write buffer unread.
    """

    head_bytes: int = 32 * 1024
    body_bytes: int = 4 * 1024 * 1024
    head_timeout: Millis = 10 * SECOND
    body_timeout: Millis = 30 * SECOND
    idle_timeout: Millis = 75 * SECOND
    write_timeout: Millis = 20 * SECOND


DEFAULT_LIMITS = Limits()
JSON_TYPE = ("content-type", "application/json")
EVENT_STREAM_TYPE = ("content-type", "text/event-stream")
Fields = list[tuple[str, str]]


@dataclass(frozen=True)
class Reply:
    """A short whole answer that a handler returns."""

    status: int = 200
    headers: Fields = field(default_factory=list)
    body: bytes = b""
