"""The platform's store, by PROTOCOL.md."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from review.standins_2.http import Message, Server, write_answer

_JSON = [("Content-Type", "application/json")]


class Store:
    """A store with revisions, lists, watches and conditional writes."""

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 100
        self.server = Server(self._handle)
        self._changed = asyncio.Event()

    @property
    def address(self) -> str:
        """Return the address at which it listens."""
        return f"127.0.0.1:{self.server.port}"

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        """Write an object."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["created"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": created,
            "finalizers": [],
            "deletionPending": False,
        }
        found = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = found
        self._note(kind, found, False)
        return found

    def beat(self, name: str, spec: dict[str, Any]) -> None:
        """Write an engine's entry, which changes when more than `sequence` does."""
        known = self.objects.get(("servers", name))
        if known is not None and {**known["spec"], "sequence": 0} == {
            **spec,
            "sequence": 0,
        }:
            known["spec"] = spec
            return
        self.put("servers", name, spec)

    def remove(self, kind: str, name: str) -> None:
        """Remove an object, if it is there."""
        found = self.objects.pop((kind, name), None)
        if found is not None:
            self.revision += 1
            self._note(kind, found, True)

    def _note(self, kind: str, found: dict[str, Any], is_gone: bool) -> None:
        self.events.append((self.revision, kind, found, is_gone))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Message, writer: asyncio.StreamWriter) -> bool:
        parts = urlsplit(request.first[1])
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        words = [unquote(word) for word in parts.path.split("/")[3:]]
        if request.first[0] == "GET" and "watch" in query:
            status, body = await self._watch(words[0], query)
        elif request.first[0] == "GET":
            status, body = self._read(words, query)
        else:
            status, body = self._write(request, words, query)
        write_answer(writer, status, _JSON, json.dumps(body).encode())
        return True

    def _read(self, words: list[str], query: dict[str, str]) -> tuple[int, Any]:
        if len(words) == 2:
            found = self.objects.get((words[0], words[1]))
            return (200, found) if found else (404, {"at": self.revision})
        after = query.get("sinceRevision", "")
        names = sorted(n for kind, n in self.objects if kind == words[0] and n > after)
        entries = [self.objects[words[0], name] for name in names]
        return 200, {"entries": entries, "hasMore": False, "at": self.revision}

    async def _watch(self, kind: str, query: dict[str, str]) -> tuple[int, Any]:
        since, left = int(query["watch"]), int(query.get("waitMs", 0)) / 1000.0
        loop = asyncio.get_running_loop()
        due = loop.time() + left
        while True:
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            if found or loop.time() >= due:
                break
            try:
                async with asyncio.timeout_at(due):
                    await self._changed.wait()
            except TimeoutError:
                continue
        events = [{"object": one, "deleted": gone} for _, _, one, gone in found]
        return 200, {"events": events, "at": self.revision}

    def _write(
        self, request: Message, words: list[str], query: dict[str, str]
    ) -> tuple[int, Any]:
        body = json.loads(request.body) if request.body else {}
        metadata = body.get("metadata", {})
        name = words[1] if len(words) > 1 else metadata["name"]
        known = self.objects.get((words[0], name))
        if request.first[0] == "POST":
            if known is not None:
                return 409, known
            return 200, self.put(words[0], name, body.get("spec"))
        if known is None:
            return 404, {"at": self.revision}
        wanted = metadata.get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        if request.first[0] == "DELETE":
            self.remove(words[0], name)
            return 200, known
        return 200, self.put(words[0], name, body.get("spec"))
