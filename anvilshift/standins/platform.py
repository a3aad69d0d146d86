"""Stand in for the platform: objects with versions, watches, a host list, faults."""

import asyncio
import random
from collections import Counter, deque
from dataclasses import dataclass, field, fields
from typing import Any
from urllib.parse import unquote

from anvilshift.core.clock import SECOND
from anvilshift.wire.jsons import dump_json, parse_object
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.server import HttpServer, Responder

_HISTORY = 10_000


@dataclass
class Faults:
    """What goes wrong now.

    Parameters
    ----------
    outage
        Answer nothing and cut the connection.
    delay_ms
        Wait before each call.
    lose_answers
        Share of writes that take effect and get no answer.
    errors
        Share of calls that get a 500 and have no effect.
    garbage
        Share of calls whose answer can't be read.
    """

    outage: bool = False
    delay_ms: float = 0.0
    lose_answers: float = 0.0
    errors: float = 0.0
    garbage: float = 0.0


@dataclass
class PlatformState:
    """Everything that the stand-in keeps."""

    revision: int = 1
    objects: dict[tuple[str, str], dict[str, Any]] = field(default_factory=dict)
    history: deque[dict[str, Any]] = field(
        default_factory=lambda: deque(maxlen=_HISTORY)
    )
    hosts: list[dict[str, Any]] = field(default_factory=list)
    calls: Counter[str] = field(default_factory=Counter)
    forgotten: int = 0


class PlatformStandin:
    """Serve the object API from memory."""

    def __init__(self, seed: int = 0) -> None:
        self.state = PlatformState()
        self.faults = Faults()
        self._rng = random.Random(seed)
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)

    async def start(self, address: Address) -> Address:
        """Listen, and return the address."""
        return await self._server.start(address)

    async def close(self) -> None:
        """Cut every connection."""
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
        reply = await self._answer(request)
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
            known = {item.name for item in fields(Faults)}
            for key, value in parse_object(request.body).items():
                if key in known:
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

    async def _answer(self, request: HttpRequest) -> Reply:
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

    def _holds(self, key: tuple[str, str], request: HttpRequest) -> bool:
        found = self.state.objects.get(key)
        match = request.headers.get("if-match")
        if match is not None:
            return found is not None and str(found["version"]) == match
        return found is None

    async def _put(self, key: tuple[str, str], request: HttpRequest) -> Reply:
        if not self._holds(key, request):
            return _reply(409, self.state.objects.get(key, {}))
        stored = self._record(key, parse_object(request.body))
        self.state.objects[key] = stored
        await self._announce()
        return _reply(200, stored)

    async def _delete(self, key: tuple[str, str], request: HttpRequest) -> Reply:
        if not self._holds(key, request):
            return _reply(409, self.state.objects.get(key, {}))
        del self.state.objects[key]
        stored = self._record(key, None)
        await self._announce()
        return _reply(200, stored)

    def _record(
        self, key: tuple[str, str], body: dict[str, Any] | None
    ) -> dict[str, Any]:
        self.state.revision += 1
        stored = {
            "kind": key[0],
            "name": key[1],
            "version": self.state.revision,
            "body": body,
        }
        if len(self.state.history) == _HISTORY:
            self.state.forgotten = self.state.history[0]["version"]
        self.state.history.append(stored)
        return stored

    async def _announce(self) -> None:
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
                await self._changed.wait_for(lambda: bool(self._since(kinds, after)))
        except TimeoutError:
            pass
        found = self._since(kinds, after)
        return _reply(200, {"revision": self.state.revision, "changes": found})

    def _since(self, kinds: list[str], after: int) -> list[dict[str, Any]]:
        found = []
        for item in reversed(self.state.history):
            if item["version"] <= after:
                break
            if item["kind"] in kinds:
                found.append(item)
        return found[::-1]


def _reply(status: int, value: dict[str, Any]) -> Reply:
    return Reply(status, [JSON_TYPE], dump_json(value))
