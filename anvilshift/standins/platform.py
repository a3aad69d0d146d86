"""Stand-in for the platform: versioned objects, watches, a host list, faults."""

import asyncio
import random
from collections import Counter, deque
from dataclasses import dataclass, field, fields
from typing import Any
from urllib.parse import unquote

from anvilshift.core.clock import SECOND
from anvilshift.wire.jsons import dump_json, parse_object
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer

_MAX_CHANGES = 10_000


@dataclass
class Faults:
    """Faults that are currently injected.

    Parameters
    ----------
    outage
        Close the connection of every call without an answer.
    delay_ms
        Delay in milliseconds before each call is processed.
    lose_answers
        Probability that a write takes effect but gets no answer.
    errors
        Probability that a call gets status 500 and has no effect.
    garbage
        Probability that the answer to a call can't be parsed.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_answers: float = 0.0
    errors: float = 0.0
    garbage: float = 0.0


@dataclass
class PlatformState:
    """State of the stand-in.

    Parameters
    ----------
    history
        Most recent changes, oldest first.
    calls
        Number of calls by operation.
    forgotten
        Newest revision whose change is no longer in the history; a watch from
        an older revision gets status 410.
    """

    revision: int = 1
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    history: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=_MAX_CHANGES)
    )
    hosts: list[dict[str, Any]] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)
    forgotten: int = 0


class PlatformStandin:
    """Serve the platform's object API from memory over HTTP.

    Parameters
    ----------
    seed
        Seed of the random choice of calls that faults affect.
    """

    def __init__(self, seed: int = 0) -> None:
        self.state = PlatformState()
        self.faults = Faults()
        self._rng = random.Random(seed)
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)

    async def start(self, address: Address) -> Address:
        """Start listening and return the bound address."""
        return await self._server.start(address)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        await self._server.close()

    async def _handle(self, request: HttpRequest, responder: Responder) -> None:
        if request.path.startswith("/control/"):
            await responder.send(self._control(request))
            return
        if self.faults.outage:
            responder.abort()
            return
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / SECOND)
        if self._rng.random() < self.faults.errors:
            await responder.send(Reply(500))
            return
        reply = await self._process(request)
        lost = request.method in ("PUT", "DELETE") and (
            self._rng.random() < self.faults.lose_answers
        )
        if self.faults.outage or lost:
            responder.abort()
            return
        if self._rng.random() < self.faults.garbage:
            reply = Reply(200, [JSON_TYPE], b"\x00{garbage")
        await responder.send(reply)

    def _control(self, request: HttpRequest) -> Reply:
        name = request.path.removeprefix("/control/")
        if name == "faults":
            field_names = {item.name for item in fields(Faults)}
            for key, value in parse_object(request.body).items():
                if key in field_names:
                    setattr(self.faults, key, value)
            return _reply(200, {})
        if name == "hosts":
            self.state.hosts = parse_object(request.body)["hosts"]
            return _reply(200, {})
        if name == "forget":
            self.state.history.clear()
            self.state.forgotten = self.state.revision
            return _reply(200, {})
        return _reply(200, dict(self.state.calls))

    async def _process(self, request: HttpRequest) -> Reply:
        parts = [unquote(part) for part in request.path.split("/")[2:]]
        if parts == ["hosts"]:
            self.state.calls["hosts"] += 1
            return _reply(200, {"hosts": self.state.hosts})
        if parts == ["watch"]:
            self.state.calls["watch"] += 1
            return await self._watch(request)
        if parts == ["objects"]:
            self.state.calls["list"] += 1
            kinds = request.query.get("kinds", "").split(",")
            items = [o for (k, _), o in self.state.objects.items() if k in kinds]
            return _reply(200, {"revision": self.state.revision, "items": items})
        if len(parts) != 3:
            return _reply(404, {})
        key = (parts[1], parts[2])
        self.state.calls[request.method.lower()] += 1
        if request.method == "PUT":
            return await self._put(key, request)
        if request.method == "DELETE":
            return await self._delete(key, request)
        found = self.state.objects.get(key)
        return _reply(200, found) if found else _reply(404, {})

    def _matches_precondition(self, key: tuple[str, str], request: HttpRequest) -> bool:
        found = self.state.objects.get(key)
        expected_version = request.headers.get("if-match")
        if expected_version is not None:
            return found is not None and str(found["version"]) == expected_version
        return found is None

    async def _put(self, key: tuple[str, str], request: HttpRequest) -> Reply:
        if not self._matches_precondition(key, request):
            return _reply(409, self.state.objects.get(key, {}))
        stored = self._append_change(key, parse_object(request.body))
        self.state.objects[key] = stored
        await self._notify_watchers()
        return _reply(200, stored)

    async def _delete(self, key: tuple[str, str], request: HttpRequest) -> Reply:
        if not self._matches_precondition(key, request):
            return _reply(409, self.state.objects.get(key, {}))
        del self.state.objects[key]
        stored = self._append_change(key, None)
        await self._notify_watchers()
        return _reply(200, stored)

    def _append_change(
        self, key: tuple[str, str], body: dict[str, Any] | None
    ) -> dict[str, Any]:
        self.state.revision += 1
        stored = {
            "kind": key[0],
            "name": key[1],
            "version": self.state.revision,
            "body": body,
        }
        if len(self.state.history) == _MAX_CHANGES:
            self.state.forgotten = self.state.history[0]["version"]
        self.state.history.append(stored)
        return stored

    async def _notify_watchers(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _watch(self, request: HttpRequest) -> Reply:
        kinds = request.query.get("kinds", "").split(",")
        after = int(request.query["after"])
        wait = float(request.query.get("wait_ms", "0")) / SECOND
        if after < self.state.forgotten:
            return _reply(410, {})
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(
                    lambda: bool(self._changes_since(kinds, after))
                )
        except TimeoutError:
            pass
        found = self._changes_since(kinds, after)
        return _reply(200, {"revision": self.state.revision, "changes": found})

    def _changes_since(self, kinds: list[str], after: int) -> list[dict[str, Any]]:
        found = []
        for item in reversed(self.state.history):
            if item["version"] <= after:
                break
            if item["kind"] in kinds:
                found.append(item)
        return found[::-1]


def _reply(status: int, value: dict[str, Any]) -> Reply:
    return Reply(status, [JSON_TYPE], dump_json(value))
