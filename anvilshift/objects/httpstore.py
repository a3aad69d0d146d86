"""HTTP client of the platform's object API."""

import json
import uuid
from collections.abc import Iterable
from typing import Any
from urllib.parse import quote, urlencode

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    FORBIDDEN,
    PLATFORM_DOWN,
    PLATFORM_UNREADABLE,
    AnvilshiftError,
)
from anvilshift.objects.store import (
    Body,
    ChangeBatch,
    ConflictError,
    HostEntry,
    Listing,
    ObjectChange,
    RateLimitedError,
    StoredObject,
    UncertainWriteError,
)
from anvilshift.wire.client import HttpClient
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address, HeaderFields, HttpResponse
from anvilshift.wire.response import ExchangeError

WRITE_ID = "write-id"
_MAX_REVISION = 2**63 - 1


class HttpObjectStore:
    """Client of the object API over HTTP and JSON.

    Parameters
    ----------
    address
        Address of the object API.
    credential
        Bearer token sent with each call; empty to send none.
    timeout
        Timeout of a call in milliseconds; a watch's waiting time is added to it.
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
        self._headers: HeaderFields = [JSON_TYPE]
        if credential:
            self._headers.append(("authorization", f"Bearer {credential}"))

    async def _call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        extra: HeaderFields | None = None,
        wait: Millis = 0.0,
    ) -> HttpResponse:
        headers = [*self._headers, *(extra or [])]
        try:
            answer = await self._client.call(
                self._address, method, path, headers, body, self._timeout + wait
            )
        except ExchangeError as error:
            if error.sent and method in ("PUT", "DELETE"):
                raise UncertainWriteError(str(error)) from error
            raise AnvilshiftError(PLATFORM_DOWN, str(error)) from error
        if answer.status >= 500:
            if method in ("PUT", "DELETE"):
                raise UncertainWriteError(f"the platform answered {answer.status}")
            detail = f"the platform answered {answer.status}"
            raise AnvilshiftError(PLATFORM_DOWN, detail)
        if answer.status == 429:
            detail = "the platform's rate limit is exceeded"
            raise RateLimitedError(detail)
        if answer.status in (401, 403):
            raise AnvilshiftError(FORBIDDEN, "the platform refused the credential")
        return answer

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        answer = await self._call("GET", _path(kind, name))
        if answer.status == 404:
            return None
        return _read_stored(_parse_answer(answer))

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of the given kinds at one revision."""
        query = urlencode({"kinds": ",".join(kinds)})
        value = _parse_answer(await self._call("GET", f"/v1/objects?{query}"))
        try:
            items = tuple(_read_stored(item) for item in value["items"])
            return Listing(_read_revision(value["revision"]), items)
        except (KeyError, TypeError, ValueError) as error:
            raise _malformed_answer() from error

    async def put(self, kind: str, name: str, body: Body, version: int) -> StoredObject:
        """Write an object if its version is unchanged; version 0 creates it."""
        condition = ("if-match", str(version)) if version else ("if-none-match", "*")
        extra = [condition, (WRITE_ID, uuid.uuid4().hex)]
        answer = await self._call("PUT", _path(kind, name), dump_json(body), extra)
        if answer.status in (409, 412):
            raise ConflictError(f"{kind}/{name}")
        try:
            return _read_stored(_parse_answer(answer))
        except AnvilshiftError as error:
            raise UncertainWriteError(error.detail) from error

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if its version is unchanged; return the revision."""
        extra = [("if-match", str(version)), (WRITE_ID, uuid.uuid4().hex)]
        answer = await self._call("DELETE", _path(kind, name), b"", extra)
        if answer.status in (404, 409, 412):
            raise ConflictError(f"{kind}/{name}")
        try:
            return _read_revision(_parse_answer(answer)["version"])
        except (AnvilshiftError, KeyError, TypeError, ValueError) as error:
            raise UncertainWriteError(
                "the answer to the delete is malformed"
            ) from error

    async def watch(
        self, kinds: Iterable[str], after: int, wait: Millis
    ) -> ChangeBatch:
        """Wait for changes that follow a revision."""
        query = urlencode(
            {"kinds": ",".join(kinds), "after": after, "wait_ms": int(wait)}
        )
        answer = await self._call("GET", f"/v1/watch?{query}", wait=wait)
        if answer.status == 410:
            return ChangeBatch(after, too_old=True)
        value = _parse_answer(answer)
        try:
            changes = tuple(_read_change(item) for item in value["changes"])
            return ChangeBatch(_read_revision(value["revision"]), changes)
        except (KeyError, TypeError, ValueError) as error:
            raise _malformed_answer() from error

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the platform's list of hosts, which may be out of date."""
        value = _parse_answer(await self._call("GET", "/v1/hosts"))
        try:
            return tuple(
                HostEntry(_read_text(item["name"]), bool(item["leaving"]))
                for item in value["hosts"]
            )
        except (KeyError, TypeError) as error:
            raise _malformed_answer() from error

    def renew(self) -> None:
        """Make further calls on new connections, as open ones may be silent."""
        self._client.forget(self._address)

    def count_connections(self) -> int:
        """Return how many connections have been opened so far."""
        return self._client.opened


def _path(kind: str, name: str) -> str:
    return f"/v1/objects/{quote(kind, safe='')}/{quote(name, safe='')}"


def _malformed_answer() -> AnvilshiftError:
    return AnvilshiftError(PLATFORM_UNREADABLE)


def _parse_answer(answer: HttpResponse) -> Body:
    try:
        value = json.loads(answer.body)
    except (ValueError, RecursionError) as error:
        raise _malformed_answer() from error
    if answer.status >= 300 or not isinstance(value, dict):
        raise _malformed_answer()
    return value


def _read_revision(value: Any) -> int:
    # The parser accepts numbers that are not revisions: 1e400, NaN, 10,000 digits.
    if type(value) is not int or not 0 <= value <= _MAX_REVISION:
        raise _malformed_answer()
    return value


def _read_text(value: Any) -> str:
    if not isinstance(value, str):
        raise _malformed_answer()
    return value


def _read_stored(value: Any) -> StoredObject:
    change = _read_change(value)
    if change.body is None:
        raise _malformed_answer()
    return StoredObject(change.kind, change.name, change.version, change.body)


def _read_change(value: Any) -> ObjectChange:
    try:
        body = value["body"]
        if body is not None and not isinstance(body, dict):
            raise _malformed_answer()
        version = _read_revision(value["version"])
        return ObjectChange(
            _read_text(value["kind"]), _read_text(value["name"]), version, body
        )
    except (KeyError, TypeError) as error:
        raise _malformed_answer() from error
