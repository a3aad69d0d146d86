"""What the project needs of the platform's object API, and its HTTP adapter."""

import json
import uuid
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import Any, Protocol
from urllib.parse import quote, urlencode

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    CONFLICT,
    FORBIDDEN,
    PLATFORM_DOWN,
    PLATFORM_UNREADABLE,
    AnvilshiftError,
)
from anvilshift.wire.client import ExchangeError, HttpClient
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address, Fields, HttpAnswer

Body = dict[str, Any]
WRITE_ID = "write-id"
_MAX_REVISION = 2**63 - 1
_RATE_PAUSE: Millis = 1 * SECOND


@dataclass(frozen=True)
class Stored:
    """An object as the platform keeps it.

    Parameters
    ----------
    version
        The platform's revision at the object's last write; 0 is no object.
    """

    kind: str
    name: str
    version: int
    body: Body


@dataclass(frozen=True)
class Change:
    """An object that was written, or deleted when its body is None."""

    kind: str
    name: str
    version: int
    body: Body | None


@dataclass(frozen=True)
class Listing:
    """The objects of some kinds at one revision."""

    revision: int
    items: tuple[Stored, ...]


@dataclass(frozen=True)
class Changes:
    """What changed up to a revision; too old when the past is forgotten."""

    revision: int
    changes: tuple[Change, ...] = ()
    too_old: bool = False


@dataclass(frozen=True)
class HostEntry:
    """A host on the platform's lagging list."""

    name: str
    leaving: bool


class ConflictError(AnvilshiftError):
    """The object changed since it was read.

    Parameters
    ----------
    found
        The object as it is, where the store said so.
    """

    def __init__(self, name: str, found: Stored | None = None) -> None:
        super().__init__(CONFLICT, f"{name} changed since it was read")
        self.found = found


class UncertainError(AnvilshiftError):
    """A write got no answer: it may have taken effect."""

    def __init__(self, detail: str) -> None:
        super().__init__(PLATFORM_DOWN, detail)


class RateLimitedError(AnvilshiftError):
    """The platform is there and turns calls away: another way won't help."""

    def __init__(self, detail: str) -> None:
        super().__init__(PLATFORM_DOWN, detail, _RATE_PAUSE)


class ObjectStore(Protocol):
    """The platform's objects: versions, conditional updates and watches."""

    async def get(self, kind: str, name: str) -> Stored | None:
        """Return an object, or None."""

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of some kinds."""

    async def put(self, kind: str, name: str, body: Body, version: int) -> Stored:
        """Write an object if it still has a version; 0 creates it.

        Raises
        ------
        ConflictError
            When the version is another.
        UncertainError
            When the write may or may not have taken effect.
        """

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if it still has a version; return the revision."""

    async def watch(self, kinds: Iterable[str], after: int, wait: Millis) -> Changes:
        """Wait for changes after a revision."""

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the lagging list of hosts."""


class HttpObjectStore:
    """The object API over HTTP and JSON.

    Parameters
    ----------
    address
        Where the platform listens.
    credential
        Bearer token presented with each call, empty for none.
    timeout
        Milliseconds that a call may take.
    """

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        credential: str = "",
        timeout: Millis = 2 * SECOND,
    ) -> None:
        self._client = client
        self._address = address
        self._timeout = timeout
        self._headers: Fields = [JSON_TYPE]
        if credential:
            self._headers.append(("authorization", f"Bearer {credential}"))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        extra: Fields | None = None,
        wait: Millis = 0.0,
    ) -> HttpAnswer:
        headers = [*self._headers, *(extra or [])]
        try:
            answer = await self._client.call(
                self._address, method, path, headers, body, self._timeout + wait
            )
        except ExchangeError as error:
            if error.sent and method in ("PUT", "DELETE"):
                raise UncertainError(str(error)) from error
            raise AnvilshiftError(PLATFORM_DOWN, str(error)) from error
        if answer.status >= 500:
            if method in ("PUT", "DELETE"):
                raise UncertainError(f"the platform answered {answer.status}")
            detail = f"the platform answered {answer.status}"
            raise AnvilshiftError(PLATFORM_DOWN, detail)
        if answer.status == 429:
            detail = "the platform's rate is used up"
            raise RateLimitedError(detail)
        if answer.status in (401, 403):
            raise AnvilshiftError(FORBIDDEN, "the platform refused the credential")
        return answer

    async def get(self, kind: str, name: str) -> Stored | None:
        """Return an object, or None."""
        answer = await self._call("GET", _path(kind, name))
        if answer.status == 404:
            return None
        return _read_stored(_read(answer))

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of some kinds at one revision."""
        query = urlencode({"kinds": ",".join(kinds)})
        value = _read(await self._call("GET", f"/v1/objects?{query}"))
        try:
            items = tuple(_read_stored(item) for item in value["items"])
            return Listing(_read_revision(value["revision"]), items)
        except (KeyError, TypeError, ValueError) as error:
            raise _garbage() from error

    async def put(self, kind: str, name: str, body: Body, version: int) -> Stored:
        """Write an object if it still has a version; 0 creates it."""
        condition = ("if-match", str(version)) if version else ("if-none-match", "*")
        extra = [condition, (WRITE_ID, uuid.uuid4().hex)]
        answer = await self._call("PUT", _path(kind, name), dump_json(body), extra)
        if answer.status in (409, 412):
            raise ConflictError(f"{kind}/{name}")
        try:
            return _read_stored(_read(answer))
        except AnvilshiftError as error:
            raise UncertainError(error.detail) from error

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if it still has a version; return the revision."""
        extra = [("if-match", str(version)), (WRITE_ID, uuid.uuid4().hex)]
        answer = await self._call("DELETE", _path(kind, name), b"", extra)
        if answer.status in (404, 409, 412):
            raise ConflictError(f"{kind}/{name}")
        try:
            return _read_revision(_read(answer)["version"])
        except (AnvilshiftError, KeyError, TypeError, ValueError) as error:
            raise UncertainError("the delete's answer can't be read") from error

    async def watch(self, kinds: Iterable[str], after: int, wait: Millis) -> Changes:
        """Wait for changes after a revision."""
        query = urlencode(
            {"kinds": ",".join(kinds), "after": after, "wait_ms": int(wait)}
        )
        answer = await self._call("GET", f"/v1/watch?{query}", wait=wait)
        if answer.status == 410:
            return Changes(after, too_old=True)
        value = _read(answer)
        try:
            changes = tuple(_read_change(item) for item in value["changes"])
            return Changes(_read_revision(value["revision"]), changes)
        except (KeyError, TypeError, ValueError) as error:
            raise _garbage() from error

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the lagging list of hosts."""
        value = _read(await self._call("GET", "/v1/hosts"))
        try:
            return tuple(
                HostEntry(_read_text(item["name"]), bool(item["leaving"]))
                for item in value["hosts"]
            )
        except (KeyError, TypeError) as error:
            raise _garbage() from error


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _garbage() -> AnvilshiftError:
    return AnvilshiftError(PLATFORM_UNREADABLE)


def _read(answer: HttpAnswer) -> Body:
    try:
        value = json.loads(answer.body)
    except (ValueError, RecursionError) as error:
        raise _garbage() from error
    if answer.status >= 300 or not isinstance(value, dict):
        raise _garbage()
    return value


def _read_revision(value: Any) -> int:
    # JSON knows numbers that no revision is: 1e400, NaN, ten thousand digits.
    if type(value) is not int or not 0 <= value <= _MAX_REVISION:
        raise _garbage()
    return value


def _read_text(value: Any) -> str:
    if not isinstance(value, str):
        raise _garbage()
    return value


def _read_stored(value: Any) -> Stored:
    change = _read_change(value)
    if change.body is None:
        raise _garbage()
    return Stored(change.kind, change.name, change.version, change.body)


def _read_change(value: Any) -> Change:
    try:
        body = value["body"]
        if body is not None and not isinstance(body, dict):
            raise _garbage()
        version = _read_revision(value["version"])
        return Change(
            _read_text(value["kind"]), _read_text(value["name"]), version, body
        )
    except (KeyError, TypeError) as error:
        raise _garbage() from error


Mutation = Callable[[Body | None], Body | None]
"""Turns an object's body into its next; None leaves the object as it is.

It must be idempotent: it runs again on the result of its own write when the
answer to that write was lost.
"""
_MAX_TRIES = 12


async def update(store: ObjectStore, kind: str, name: str, change: Mutation) -> Stored:
    """Read, change and write an object until no other writer interfered.

    A write whose answer was lost is looked up first, because the object is
    read again and the mutation applied to what is there now.

    Raises
    ------
    AnvilshiftError
        Code 5001 when the platform doesn't answer, code 5002 when other
        writers won every race.
    """
    uncertain = False
    for _ in range(_MAX_TRIES):
        found = await store.get(kind, name)
        body = change(found.body if found else None)
        if body is None or (found is not None and body == found.body):
            return found or Stored(kind, name, 0, {})
        try:
            return await store.put(kind, name, body, found.version if found else 0)
        except ConflictError:
            continue
        except UncertainError:
            if uncertain:
                raise
            uncertain = True
    raise ConflictError(f"{kind}/{name}")
