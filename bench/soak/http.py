"""An in-process HTTP client through which callers reach the nodes."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import NOT_READY, AnvilshiftError
from anvilshift.router.node import Node
from anvilshift.wire.errorreplies import render_error
from anvilshift.wire.messages import (
    Address,
    HeaderFields,
    Headers,
    HttpRequest,
    HttpResponse,
    Reply,
)
from anvilshift.wire.response import ExchangeError
from bench.soak.journal import Journal
from bench.soak.network import Network, NodeProcess


@dataclass(frozen=True)
class _Head:
    status: int
    headers: Headers


_END = b""
_Item = _Head | bytes | None
"""A head, a chunk of the body, `_END` after the last, or None if the link broke."""


class SoakResponder:
    """Server side of an exchange: write the answer into the caller's queue."""

    def __init__(self, process: NodeProcess) -> None:
        self.started = False
        self.finished = False
        self.is_open = True
        self.status = 0
        self.body = b""
        self.queue: asyncio.Queue[_Item] = asyncio.Queue()
        self._process = process

    def is_caller_there(self) -> bool:
        """Return whether the caller has not closed the connection."""
        return self.is_open

    async def send(self, reply: Reply) -> None:
        """Write a complete answer."""
        await self.start(reply.status, reply.headers)
        await self.finish(reply.body)

    async def start(
        self, status: int, headers: HeaderFields, hold: bool = False
    ) -> None:
        """Write the status and the headers."""
        self.started = True
        await self._process.wait_running()
        self.status = status
        self.queue.put_nowait(_Head(status, Headers(headers)))

    async def write(self, data: bytes) -> None:
        """Write a chunk of the body."""
        await self._process.wait_running()
        if data:
            self.body += data
            self.queue.put_nowait(data)

    async def finish(self, data: bytes = b"") -> None:
        """End the body, after an optional last chunk."""
        self.finished = True
        self.is_open = False
        await self.write(data)
        await self._process.wait_running()
        self.queue.put_nowait(_END)

    def abort(self) -> None:
        """Break the connection."""
        self.is_open = False
        self.queue.put_nowait(None)


class SoakResponse:
    """Caller's side of an exchange: an answer whose body is still arriving."""

    def __init__(self, head: _Head, queue: "asyncio.Queue[_Item]") -> None:
        self.status = head.status
        self.headers = head.headers
        self.whole = False
        self._queue = queue

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the chunks of the body as they arrive."""
        while True:
            item = await self._queue.get()
            if item is None or isinstance(item, _Head):
                raise ExchangeError("the connection broke", True)
            if item == _END:
                self.whole = True
                return
            yield item

    async def read(self, limit: int = 0) -> bytes:
        """Return the whole body."""
        return b"".join([chunk async for chunk in self.chunks()])


@dataclass
class Entry:
    """A node that callers can connect to, with its process and open connections."""

    node: Node
    process: NodeProcess
    open: list["asyncio.Queue[_Item]"] = field(default_factory=list)

    def break_connections(self) -> None:
        """Break every open connection, as happens when a process is killed."""
        for queue in self.open:
            queue.put_nowait(None)


EndExchange = Callable[[str, HttpRequest, SoakResponder, Millis], None]
"""Called with the name of the router and the time at which the exchange began."""


class SoakHttp:
    """An `HttpClient` that calls nodes in the same process."""

    def __init__(
        self,
        entries: dict[str, Entry],
        network: Network,
        journal: Journal,
        accepted: Callable[[], int],
        count_request: Callable[[NodeProcess, HttpRequest], None],
        end_exchange: EndExchange,
    ) -> None:
        self._entries = entries
        self._network = network
        self._journal = journal
        self._accepted = accepted
        self._count_request = count_request
        self._end_exchange = end_exchange

    async def _serve(
        self, entry: Entry, request: HttpRequest, responder: SoakResponder
    ) -> None:
        await entry.process.wait_running()
        self._count_request(entry.process, request)
        accepted = self._accepted()
        revision = entry.node.access_control.catalogue.revision
        served = True
        try:
            await entry.node.callers.handle(request, responder)  # type: ignore[arg-type]
        except AnvilshiftError as error:
            served = error.code is not NOT_READY
            if responder.started:
                responder.abort()
            else:
                await responder.send(render_error(error))
        except ConnectionError:
            responder.abort()
        if served:
            detail = f"{entry.process.name} served {revision}, accepted {accepted}"
            self._journal.check(
                "accepted configuration is in force", revision >= accepted, detail
            )

    @asynccontextmanager
    async def exchange(
        self,
        address: Address,
        method: str,
        path: str,
        headers: HeaderFields | None = None,
        body: bytes = b"",
        timeout: Millis | None = None,
    ) -> AsyncIterator[SoakResponse]:
        """Send a request and yield its answer once the head has arrived."""
        entry = self._entries.get(str(address))
        await self._network.wait_transit()
        if entry is None or entry.process.dead:
            raise ExchangeError("connection refused", False)
        request = HttpRequest(method, path, Headers(headers or []), body)
        responder = SoakResponder(entry.process)
        began = self._journal.now()
        entry.open.append(responder.queue)
        serving = asyncio.create_task(self._serve(entry, request, responder))
        serving.add_done_callback(self._report_error)
        response: SoakResponse | None = None
        try:
            response = await self._receive_head(responder, timeout)
            yield response
        finally:
            entry.open.remove(responder.queue)
            self._end_exchange(entry.process.name, request, responder, began)
            if not serving.done() and not entry.process.dead:
                serving.cancel()

    async def _receive_head(
        self, responder: SoakResponder, timeout: Millis | None
    ) -> SoakResponse:
        try:
            async with asyncio.timeout(timeout / SECOND if timeout else None):
                head = await responder.queue.get()
        except TimeoutError as error:
            raise ExchangeError("no answer in time", True) from error
        if not isinstance(head, _Head):
            raise ExchangeError("the connection broke", True)
        return SoakResponse(head, responder.queue)

    def _report_error(self, task: "asyncio.Task[Any]") -> None:
        if not task.cancelled() and task.exception() is not None:
            loop = asyncio.get_running_loop()
            loop.call_exception_handler(
                {"message": "a handler failed", "exception": task.exception()}
            )

    async def call(
        self,
        address: Address,
        method: str,
        path: str,
        headers: HeaderFields | None = None,
        body: bytes = b"",
        timeout: Millis | None = None,
    ) -> HttpResponse:
        """Send a request and return its complete answer."""
        try:
            async with (
                asyncio.timeout(timeout / SECOND if timeout else None),
                self.exchange(address, method, path, headers, body) as response,
            ):
                whole = await response.read()
                return HttpResponse(response.status, response.headers, whole)
        except TimeoutError as error:
            raise ExchangeError("no answer in time", True) from error

    def close(self) -> None:
        """Do nothing: there are no sockets to close."""
