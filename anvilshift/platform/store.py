"""Client of the platform's metadata store, as an object store."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

from anvilshift.core.clock import Millis
from anvilshift.core.errors import PLATFORM_DOWN, PLATFORM_UNREADABLE, AnvilshiftError
from anvilshift.objects.callcounts import CallCounts
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
from anvilshift.platform import names
from anvilshift.platform.answers import parse_answer, read_content
from anvilshift.wire.client import HttpClient
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address, HttpResponse
from anvilshift.wire.response import ExchangeError

_TIMEOUT: Millis = 1_000.0
"""A call normally takes 4 ms, and 240 ms when the store is 60 times slower."""
_WRITE_METHODS = ("PUT", "POST", "DELETE")
NoteUnreadable = Callable[[str, str], None]
Item = TypeVar("Item")


class PlatformStore:
    """Object store on the platform's metadata API, one kind per list or watch.

    Parameters
    ----------
    note_unreadable
        Called with the kind of an object that was left out, and why it couldn't be
        read.

    Attributes
    ----------
    counts
        Calls that have ended; each page of a list is one.
    """

    def __init__(
        self,
        client: HttpClient,
        address: Address,
        note_unreadable: NoteUnreadable = lambda kind, why: None,
    ) -> None:
        self._client = client
        self._address = address
        self._note_unreadable = note_unreadable
        self.counts = CallCounts()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        answer = await self._call("get", kind, "GET", _path(kind, name))
        return (
            None if answer.status == 404 else _read_object(kind, _parse_answer(answer))
        )

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of one kind, read page by page."""
        (kind,) = kinds
        items: list[StoredObject] = []
        revision, query = 0, ""
        while True:
            page = _parse_answer(
                await self._call("list", kind, "GET", _path(kind) + query)
            )
            revision = revision or _read_revision(page.get("at"))
            entries = _read_entries(kind, page.get("entries"), self._note_unreadable)
            items += entries
            if not page.get("hasMore"):
                return Listing(revision, tuple(items))
            if not entries:
                raise AnvilshiftError(PLATFORM_UNREADABLE, "a page can't be read")
            after = {"sinceRevision": entries[-1].name}
            query = "?" + urlencode(after, errors="surrogatepass")

    async def put(self, kind: str, name: str, body: Body, version: int) -> StoredObject:
        """Write an object if its version is unchanged; version 0 creates it."""
        metadata = {"name": name, **({"revision": version} if version else {})}
        data = dump_json({"metadata": metadata, "spec": body})
        method, path = ("PUT", _path(kind, name)) if version else ("POST", _path(kind))
        answer = await self._call("put", kind, method, path, data)
        if answer.status in (404, 409):
            raise ConflictError(f"{kind}/{name}", _read_conflict(kind, answer))
        try:
            stored = _read_object(kind, _parse_answer(answer))
        except AnvilshiftError as error:
            raise UncertainWriteError(error.detail) from error
        return StoredObject(kind, name, stored.version, body)

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if its version is unchanged; return that version."""
        query = "?" + urlencode({"revision": version})
        answer = await self._call("delete", kind, "DELETE", _path(kind, name) + query)
        if answer.status in (404, 409):
            raise ConflictError(f"{kind}/{name}")
        _parse_answer(answer)
        return version

    async def watch(
        self, kinds: Iterable[str], after: int, wait: Millis
    ) -> ChangeBatch:
        """Wait for changes of one kind that follow a revision."""
        (kind,) = kinds
        query = urlencode({"watch": after, "waitMs": int(wait)})
        answer = await self._call(
            "watch", kind, "GET", f"{_path(kind)}?{query}", wait=wait
        )
        if answer.status == 410:
            return ChangeBatch(after, too_old=True)
        page = _parse_answer(answer)
        events = page.get("events") or []
        if not isinstance(events, list):
            raise AnvilshiftError(PLATFORM_UNREADABLE, "a watch has no list of events")
        changes = _read_all(kind, events, _read_event, self._note_unreadable)
        return ChangeBatch(_read_revision(page.get("at")), tuple(changes))

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return no hosts: this platform has no list of hosts."""
        return ()

    def renew(self) -> None:
        """Make further calls on new connections, as open ones may be silent."""
        self._client.forget(self._address)

    def count_connections(self) -> int:
        """Return how many connections have been opened so far."""
        return self._client.opened

    async def _call(
        self,
        operation: str,
        kind: str,
        method: str,
        path: str,
        body: bytes = b"",
        wait: Millis = 0.0,
    ) -> HttpResponse:
        status = 0
        try:
            answer = await self._client.call(
                self._address, method, path, [JSON_TYPE], body, _TIMEOUT + wait
            )
            status = answer.status
        except ExchangeError as error:
            if error.sent and method in _WRITE_METHODS:
                raise UncertainWriteError(str(error)) from error
            raise AnvilshiftError(PLATFORM_DOWN, str(error)) from error
        finally:
            self.counts.add(kind, operation, status)
        if answer.status == 429:
            raise RateLimitedError("the store's rate limit is exceeded")
        if answer.status == 503:
            raise AnvilshiftError(
                PLATFORM_DOWN, "the store refused the call without executing it"
            )
        if answer.status >= 500:
            detail = f"the store answered {answer.status}"
            if method in _WRITE_METHODS:
                raise UncertainWriteError(detail)
            raise AnvilshiftError(PLATFORM_DOWN, detail)
        return answer


def _path(kind: str, name: str | None = None) -> str:
    parts = [names.OBJECTS_PATH, quote(kind, safe="")]
    if name is not None:
        parts.append(quote(name, safe="", errors="surrogatepass"))
    return "/".join(parts)


def _parse_answer(answer: HttpResponse) -> dict[str, Any]:
    if answer.status >= 300:
        raise AnvilshiftError(PLATFORM_UNREADABLE, f"status {answer.status}")
    return parse_answer(answer.body)


def _read_conflict(kind: str, answer: HttpResponse) -> StoredObject | None:
    """Return the current object from the answer to a refused write, if it is valid.

    If it is invalid, the writer reads the object again, and that read raises the error.
    """
    try:
        return _read_object(kind, parse_answer(answer.body))
    except AnvilshiftError:
        return None


def _read_revision(value: Any) -> int:
    if type(value) is not int or value < 0:
        raise AnvilshiftError(
            PLATFORM_UNREADABLE, "a revision is not a non-negative integer"
        )
    return value


def _read_object(kind: str, value: Any) -> StoredObject:
    """Return an object; a body that can't be read is replaced by an empty one."""
    metadata = value.get("metadata") if isinstance(value, dict) else None
    if not isinstance(metadata, dict) or not isinstance(metadata.get("name"), str):
        raise AnvilshiftError(PLATFORM_UNREADABLE, "an object has no name")
    revision = _read_revision(metadata.get("revision"))
    return StoredObject(
        kind, metadata["name"], revision, read_content(value.get("spec"))
    )


def _read_entries(
    kind: str, values: Any, note_unreadable: NoteUnreadable
) -> list[StoredObject]:
    if not isinstance(values, list):
        raise AnvilshiftError(PLATFORM_UNREADABLE, "a list answer has no entries")
    return _read_all(kind, values, _read_object, note_unreadable)


def _read_all(
    kind: str,
    values: list[Any],
    read: Callable[[str, Any], Item],
    note_unreadable: NoteUnreadable,
) -> list[Item]:
    """Return what can be read of some values; what can't be read is left out."""
    items = []
    for value in values:
        try:
            items.append(read(kind, value))
        except AnvilshiftError as error:
            note_unreadable(kind, error.detail)
    return items


def _read_event(kind: str, event: Any) -> ObjectChange:
    if not isinstance(event, dict):
        raise AnvilshiftError(PLATFORM_UNREADABLE, "an event is not a mapping")
    stored = _read_object(kind, event.get("object"))
    body = None if event.get("deleted") else stored.body
    return ObjectChange(kind, stored.name, stored.version, body)
