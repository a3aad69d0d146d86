"""Stubs of the platform's store and of targets, which listen on loopback."""

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, unquote, urlsplit

from anvilshift.wire.messages import Address, HttpRequest, Reply
from anvilshift.wire.responder import CallerDisconnectedError, Responder
from anvilshift.wire.server import HttpServer

LOOPBACK = Address("127.0.0.1", 0)


def count_most(times: list[float], seconds: float, since: float) -> int:
    """Return the most of some times in any period that ends at `since` or later."""
    ends = [end for end in times if end >= since]
    spans = [[at for at in times if end - seconds <= at <= end] for end in ends]
    return max((len(span) for span in spans), default=0)


class StoreStub:
    """A store with revisions, paged lists, watches and conditional writes.

    Attributes
    ----------
    page
        Most objects on a page of a list.
    status
        Status with which every call is refused, if any.
    refused_kind
        Kind of objects for which calls are refused, if any.
    forgotten
        Watches from an earlier revision are refused, as their history is lost.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.events: list[tuple[int, str, dict[str, Any], bool]] = []
        self.revision = 1
        self.page = 500
        self.status: int | None = None
        self.refused_kind: str | None = None
        self.forgotten = 0
        self.calls: list[str] = []
        self.server = HttpServer(self.handle)

    async def start(self) -> Address:
        return await self.server.start(LOOPBACK)

    def put(self, kind: str, name: str, spec: Any) -> dict[str, Any]:
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "created": self.revision}
        found = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = found
        self.events.append((self.revision, kind, found, False))
        return found

    def remove(self, kind: str, name: str) -> None:
        self.revision += 1
        found = self.objects.pop((kind, name))
        self.events.append((self.revision, kind, found, True))

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        self.calls.append(f"{request.method} {request.target}")
        if self.status is not None:
            await responder.send(Reply(self.status))
            return
        parts = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        words = parts.path.split("/")[3:]
        if words[0] == self.refused_kind:
            await responder.send(Reply(503))
            return
        if request.method == "GET" and "watch" in query:
            reply = await self._watch(words[0], query)
        elif request.method == "GET":
            reply = self._read(words, query)
        else:
            reply = self._write(request, words)
        await responder.send(reply)

    def _read(self, words: list[str], query: dict[str, str]) -> Reply:
        if len(words) == 2:
            found = self.objects.get((words[0], words[1]))
            return _reply(200, found) if found else _reply(404, {"at": self.revision})
        names = sorted(name for kind, name in self.objects if kind == words[0])
        names = [name for name in names if name > query.get("sinceRevision", "")]
        entries = [self.objects[words[0], name] for name in names[: self.page]]
        more = len(names) > self.page
        body = {"entries": entries, "hasMore": more, "at": self.revision}
        return _reply(200, body)

    async def _watch(self, kind: str, query: dict[str, str]) -> Reply:
        since, wait = int(query["watch"]), int(query["waitMs"])
        if since < self.forgotten:
            return _reply(410, {})
        for _ in range(max(1, wait // 10)):
            found = [e for e in self.events if e[0] > since and e[1] == kind]
            at = self.revision
            if found:
                break
            await asyncio.sleep(0.01)
        events = [{"deleted": gone, "object": one} for _, _, one, gone in found]
        # Not the revision of now: what was written since was not looked for.
        return _reply(200, {"events": events, "at": at})

    def _write(self, request: HttpRequest, words: list[str]) -> Reply:
        if request.method == "DELETE":
            return self._delete(words)
        body = json.loads(request.body)
        name = body["metadata"]["name"]
        found = self.objects.get((words[0], name))
        if request.method == "POST" and found is not None:
            return _reply(409, found)
        if request.method == "PUT":
            if found is None:
                return _reply(404, {})
            if body["metadata"]["revision"] != found["metadata"]["revision"]:
                return _reply(409, found)
        return _reply(200, self.put(words[0], name, body["spec"]))

    def _delete(self, words: list[str]) -> Reply:
        kind, name = words[0], unquote(words[1])
        found = self.objects.get((kind, name))
        if found is None:
            return _reply(404, {})
        self.remove(kind, name)
        return _reply(200, found)


def _reply(status: int, body: Any) -> Reply:
    return Reply(
        status, [("content-type", "application/json")], json.dumps(body).encode()
    )


class TargetStub:
    """A target that signs its answers, with faults that tests inject.

    Attributes
    ----------
    runs
        Attempt ids of the requests that it started to run, in order.
    crash_after
        Number of events after which it aborts a stream.
    breaks_new
        The same for streams that it begins, but not for those that it goes on with.
    breaks_all
        Whether it breaks off all streams, before the first event that it would send.
    limit
        Requests per second that its answers allow, if any.
    arrivals
        Arrival time of each request, in seconds of the event loop.
    pace
        Seconds between two events of a stream.
    refuses, pause
        Whether it refuses requests as not run, and the `Retry-After` it sends.
    echo
        Attempt id that its answers carry instead of the request's.
    gone
        Number of requests whose caller disconnected.
    poison
        Body of requests that crash it.
    room
        Most requests that it runs at a time; it refuses others.
    refused
        When it refused a request for want of room.
    brittle
        Refusals in a second that it says it stands, if any.
    work
        Seconds that it works on a plain request.
    rest
        `Retry-After` of its plain answers, if any.
    leaving
        Whether its answers say that it is leaving.
    mark
        Text in the data of its events, before their number.
    numbers_events
        Whether its events have ids.
    half_ends
        Whether it frames the end of a stream that it breaks off, inside an event.
    report, reports
        What it reports of itself, and how often it was asked.
    """

    def __init__(self, name: str) -> None:
        self.name = name
        self.runs: list[str] = []
        self.requests: list[HttpRequest] = []
        self.events = 6
        self.pace = 0.0
        self.crash_after: int | None = None
        self.breaks_new: int | None = None
        self.breaks_all = False
        self.refuses = False
        self.pause: str | None = None
        self.status = 200
        self.hangs = False
        self.echo: str | None = None
        self.signs = True
        self.gone = 0
        self.on_run = lambda: None
        self.limit: str | None = None
        self.arrivals: list[float] = []
        self.poison: bytes | None = None
        self.crashed = False
        self.room: int | None = None
        self.refused: list[float] = []
        self.brittle: str | None = None
        self.work = 0.0
        self.running = 0
        self.rest: str | None = None
        self.leaving = False
        self.mark = b"t"
        self.half_ends = False
        self.numbers_events = True
        self.report: dict[str, Any] = {"phase": "colocated", "born": 1}
        self.reports = 0
        self.server = HttpServer(self.handle)

    async def start(self) -> Address:
        return await self.server.start(LOOPBACK)

    async def handle(self, request: HttpRequest, responder: Responder) -> None:
        identity = request.headers.get("anvilshift-attempt-id") or ""
        if request.path == "/v1/report":
            self.reports += 1
            await responder.send(_reply(200, self.report))
            return
        self.requests.append(request)
        self.arrivals.append(asyncio.get_running_loop().time())
        if request.headers.get("anvilshift-expect-instance") != self.name:
            await responder.send(Reply(421))
            return
        if self.refuses:
            refusal = [("Anvilshift-Not-Executed", "1")]
            if self.pause is not None:
                refusal.append(("Retry-After", self.pause))
            await responder.send(Reply(503, refusal))
            return
        if self.room is not None and self.running >= self.room:
            self.refused.append(asyncio.get_running_loop().time())
            refusal = [("Anvilshift-Not-Executed", "1")]
            if self.brittle is not None:
                refusal.append(("Server-Brittle", self.brittle))
            await responder.send(Reply(503, refusal))
            return
        self.running += 1
        try:
            await self._run(request, responder, identity)
        finally:
            self.running -= 1

    async def _run(self, request, responder, identity) -> None:
        self.runs.append(identity)
        self.on_run()
        if self.poison is not None and request.body == self.poison:
            self.crashed = True
            await self.server.close()
            return
        headers = [("Anvilshift-Attempt-Id", self.echo or identity)]
        if self.limit is not None:
            headers.append(("Server-Limit", self.limit))
        if self.brittle is not None:
            headers.append(("Server-Brittle", self.brittle))
        if self.rest is not None:
            headers.append(("Retry-After", self.rest))
        if self.leaving:
            headers.append(("Server-Leaving", "1"))
        if self.signs:
            headers.append(("Anvilshift-Engine-Signature", f"{self.name}.1"))
        try:
            if self.hangs:
                await asyncio.Event().wait()
            if request.headers.get("anvilshift-token-usage") is None:
                await asyncio.sleep(self.work)
                await responder.send(
                    Reply(self.status, headers, b"answer of " + request.body)
                )
                return
            await self._stream(request, responder, headers)
        except (asyncio.CancelledError, ConnectionError):
            self.gone += 1
            raise

    def count_most(self, seconds: float, since: float) -> int:
        """Return the most requests in any such period that ends at `since` or later."""
        return count_most(self.arrivals, seconds, since)

    async def _stream(self, request, responder, headers) -> None:
        since = int(request.headers.get("last-event-id") or 0)
        await responder.start(200, [*headers, ("content-type", "text/event-stream")])
        most = self.crash_after
        if self.breaks_new is not None and not since:
            most = self.breaks_new
        if self.breaks_all and since:
            most = 0
        for number in range(since + 1, self.events + 1):
            if most is not None and number > most:
                await responder.write(b"id: %d\nda" % number)
                if self.half_ends:
                    await responder.finish()
                    return
                responder.abort()
                raise CallerDisconnectedError("crashed")
            event = b"data: %b%d\n\n" % (self.mark, number)
            if self.numbers_events:
                event = b"id: %d\n" % number + event
            await responder.write(event)
            await asyncio.sleep(self.pace)
        await responder.finish()
