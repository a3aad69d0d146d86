"""A stand-in of the platform's store: objects, conditions, lists and watches."""

import asyncio
import contextlib
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from common.http import Message, read_body, read_head, write_head

_ANSWER_S = 0.004
_PAGE = 500


class Store:
    """The platform's store, which loses nothing that it has acknowledged."""

    def __init__(self) -> None:
        self.revision = 100
        self._objects: dict[tuple[str, str], dict[str, Any]] = {}
        self._events: list[tuple[int, str, dict[str, Any], bool]] = []
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None

    async def start(self, ip: str, port: int) -> None:
        """Listen on an address."""
        self._server = await asyncio.start_server(self._serve, ip, port, backlog=512)

    async def answer(self, head: Message) -> tuple[int, Any]:
        """Return the status and the body of the answer to a call."""
        return await self._answer(head)

    # The operator and the engines

    def put(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as the operator or an engine does; it is acknowledged."""
        self._write(kind, name, spec)

    def delete(self, kind: str, name: str) -> None:
        """Remove an object, if it is there."""
        found = self._objects.pop((kind, name), None)
        if found is not None:
            self._note(kind, found, True)

    # The system

    def _write(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        known = self._objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        created = known["metadata"]["created"] if known else self.revision + 1
        metadata = {
            "name": name,
            "revision": self.revision + 1,
            "created": created,
            "finalizers": [],
            "deletionPending": False,
        }
        found = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = found
        self._note(kind, found, False)
        return found

    def _note(self, kind: str, found: dict[str, Any], deleted: bool) -> None:
        self.revision += 1
        self._events.append((self.revision, kind, found, deleted))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                status, body = await self.answer(head)
                await asyncio.sleep(_ANSWER_S)
                data = json.dumps(body).encode()
                fields = [("Content-Type", "application/json")]
                writer.write(write_head(f"HTTP/1.1 {status} S", fields, data))
                await writer.drain()
        writer.close()

    async def _answer(self, head: Message) -> tuple[int, Any]:
        method, target = head.first[0], urlsplit(head.first[1])
        query = {name: one[0] for name, one in parse_qs(target.query).items()}
        kind, *names = [unquote(one) for one in target.path.split("/")[3:]]
        name = names[0] if names else ""
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name:
            found = self._objects.get((kind, name))
            return (200, found) if found else (404, {"at": self.revision})
        if method == "GET":
            return 200, self._list(kind, query.get("sinceRevision", ""))
        if method == "DELETE":
            return self._remove(kind, name, query.get("revision"))
        return self._change(method, kind, name, json.loads(head.body))

    def _list(self, kind: str, after: str) -> dict[str, Any]:
        names = sorted(n for k, n in self._objects if k == kind and n > after)
        entries = [self._objects[kind, name] for name in names[:_PAGE]]
        more = len(names) > _PAGE
        return {"entries": entries, "hasMore": more, "at": self.revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        until = loop.time() + int(query.get("waitMs", "0")) / 1_000
        while True:
            found = [one for one in self._events if one[0] > since and one[1] == kind]
            at, changed = self.revision, self._changed
            left = until - loop.time()
            if found or left <= 0:
                events = [{"deleted": gone, "object": one} for _, _, one, gone in found]
                return 200, {"events": events, "at": at}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()

    def _remove(self, kind: str, name: str, revision: str | None) -> tuple[int, Any]:
        found = self._objects.get((kind, name))
        if found is None:
            return 404, {}
        if revision is not None and int(revision) != found["metadata"]["revision"]:
            return 409, found
        self.delete(kind, name)
        return 200, found

    def _change(
        self, method: str, kind: str, name: str, body: dict[str, Any]
    ) -> tuple[int, Any]:
        name = name or body["metadata"]["name"]
        found = self._objects.get((kind, name))
        if method == "POST" and found is not None:
            return 409, found
        if method == "PUT":
            if found is None:
                return 404, {}
            wanted = body["metadata"].get("revision")
            if wanted is not None and wanted != found["metadata"]["revision"]:
                return 409, found
        return 200, self._write(kind, name, body["spec"])


class Entrance(Store):
    """Another address of a store, at which it can turn machines away.

    Attributes
    ----------
    closed
        Whether each call is refused, also one that waits for changes.
    """

    def __init__(self, store: Store) -> None:
        super().__init__()
        self.closed = False
        self._store = store

    async def answer(self, head: Message) -> tuple[int, Any]:
        """Return the store's answer, or refuse the call."""
        if self.closed:
            return 503, {}
        found = await self._store.answer(head)
        return (503, {}) if self.closed else found
