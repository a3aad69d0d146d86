"""Encode the messages between routers in datagrams."""

import json
import zlib
from collections.abc import Iterable
from dataclasses import asdict, fields
from typing import Any, get_args, get_origin, get_type_hints

from anvilshift.gateway.messages import Message

MAX_DATAGRAM = 1_300
"""Maximum bytes of a datagram, so that it isn't split into IP fragments."""

_COMPRESSED = b"\x01"
"""First byte of a compressed datagram; no message begins so."""
_LEVEL = 1
"""Level of compression: messages share names and keys, which the fastest one finds."""
_MAX_PACKED = 4_000
"""Bytes of messages that are compressed together: they mostly fit into a datagram."""
_MAX_UNPACKED = 65_536

_KINDS: dict[str, type[Message]] = {kind.__name__: kind for kind in get_args(Message)}
_FIELD_TYPES: dict[type[Message], tuple[type, ...]] = {
    kind: tuple(get_origin(hint) or hint for hint in get_type_hints(kind).values())
    for kind in _KINDS.values()
}
_FIELD_NAMES: dict[type[Message], tuple[str, ...]] = {
    kind: tuple(one.name for one in fields(kind)) for kind in _KINDS.values()
}
_OPTIONAL_DEFAULTS: dict[type[Message], tuple[Any, ...]] = {
    kind: tuple(one.default for one in fields(kind) if one.metadata.get("optional"))
    for kind in _KINDS.values()
}
_ENCODER = json.JSONEncoder(separators=(",", ":"), default=asdict)
"""Encoder of messages; the values inside them may be data classes."""


def encode(message: Message) -> bytes:
    """Return a message as a line of JSON.

    Examples
    --------
    >>> from anvilshift.gateway.messages import Ended
    >>> encode(Ended("r1/7", "e1"))
    b'["Ended","r1/7","e1"]'
    """
    kind = type(message)
    values = [getattr(message, name) for name in _FIELD_NAMES[kind]]
    for default in reversed(_OPTIONAL_DEFAULTS[kind]):
        if values[-1] != default:
            break
        values.pop()
    return _ENCODER.encode([kind.__name__, *values]).encode()


def pack(lines: Iterable[bytes]) -> list[bytes]:
    r"""Combine encoded messages into datagrams, as many in each as fit.

    Examples
    --------
    >>> pack([b"a", b"b"])
    [b'a\nb']
    """
    datagrams: list[bytes] = []
    for line in lines:
        if datagrams and len(datagrams[-1]) + len(line) < MAX_DATAGRAM:
            datagrams[-1] += b"\n" + line
        else:
            datagrams.append(line)
    return datagrams


def compress(lines: Iterable[bytes]) -> list[bytes]:
    r"""Combine encoded messages into compressed datagrams.

    Examples
    --------
    >>> [packed] = compress([b'["Ended","r1/7","e1"]'] * 50)
    >>> len(packed) < 60, len(decode(packed))
    (True, 50)
    """
    groups: list[list[bytes]] = [[]]
    size = 0
    for line in lines:
        if groups[-1] and size + len(line) > _MAX_PACKED:
            groups.append([])
            size = 0
        groups[-1].append(line)
        size += len(line)
    return [datagram for group in groups if group for datagram in _compress(group)]


def _compress(lines: list[bytes]) -> list[bytes]:
    content = b"\n".join(lines)
    packed = _COMPRESSED + zlib.compress(content, _LEVEL)
    if len(packed) <= MAX_DATAGRAM:
        return [packed if len(packed) < len(content) else content]
    if len(lines) == 1:
        return lines
    half = len(lines) // 2
    return _compress(lines[:half]) + _compress(lines[half:])


def _decompress(datagram: bytes) -> bytes:
    unpacker = zlib.decompressobj()
    try:
        content = unpacker.decompress(datagram[len(_COMPRESSED) :], _MAX_UNPACKED)
    except zlib.error as error:
        raise ValueError(f"not a compressed datagram: {error}") from error
    if not unpacker.eof:
        raise ValueError("a compressed datagram is cut off or too long")
    return content


def decode(datagram: bytes) -> list[Message]:
    """Return the messages of a datagram.

    Raises
    ------
    ValueError
        When the bytes are not messages of this version.

    Examples
    --------
    >>> from anvilshift.gateway.messages import Ended
    >>> decode(encode(Ended("r1/7", "e1")))  # doctest: +ELLIPSIS
    [Ended(run='r1/7', target='e1', ..., outcome='', took=0.0)]
    """
    if datagram.startswith(_COMPRESSED):
        datagram = _decompress(datagram)
    return [_decode_line(json.loads(line)) for line in datagram.split(b"\n")]


def _decode_line(values: Any) -> Message:
    if not isinstance(values, list) or not values:
        raise ValueError("not a router message: expected a non-empty list")
    kind = _KINDS.get(str(values[0]))
    if kind is None or not _has_all_fields(kind, len(values) - 1):
        raise ValueError(
            "not a message of this router version: unknown type or field count"
        )
    frozen = [_convert_lists(value) for value in values[1:]]
    for expected, value in zip(_FIELD_TYPES[kind], frozen, strict=False):
        if type(value) is not expected:
            raise ValueError(f"a {values[0]} message has a field of the wrong type")
    return kind(*frozen)


def _has_all_fields(kind: type[Message], count: int) -> bool:
    """Return whether a message may have so many fields."""
    most = len(_FIELD_NAMES[kind])
    return most - len(_OPTIONAL_DEFAULTS[kind]) <= count <= most


def _convert_lists(value: Any) -> Any:
    """Return a value with its lists as tuples."""
    return (
        tuple(_convert_lists(one) for one in value)
        if isinstance(value, list)
        else value
    )
