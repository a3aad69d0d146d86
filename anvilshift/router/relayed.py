"""Call the platform through another router while the direct connection fails."""

import asyncio
import json
from collections.abc import Callable, Coroutine, Iterable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any, TypeVar

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    CODES,
    CONFLICT,
    PLATFORM_DOWN,
    PLATFORM_UNREADABLE,
    AnvilshiftError,
)
from anvilshift.objects.records import decode
from anvilshift.objects.store import (
    Body,
    ChangeBatch,
    ConflictError,
    HostEntry,
    Listing,
    ObjectStore,
    RateLimitedError,
    StoredObject,
    UncertainWriteError,
)
from anvilshift.peers.generated.peers_pb2 import StoreReply, StoreRequest
from anvilshift.peers.link import PeerError, PeerLink
from anvilshift.wire.jsons import dump_json

Result = TypeVar("Result")
_PROBE_INTERVAL: Millis = 500.0
_WATCH_WAIT: Millis = 2 * SECOND
"""Maximum wait of a watch through a peer.  It is short, so that a peer that loses its
own connection to the platform is detected soon."""
_ECHO_TIMEOUT: Millis = 1 * SECOND
"""Time from the answer to a write until a watch of its kind must have shown it.  It
takes milliseconds, and 240 ms where the store is 60 times slower."""
_MAX_PEERS = 2
_WRITES = ("put", "delete")


@dataclass(eq=False)
class _Watch:
    """A direct watch that waits for an answer.

    Attributes
    ----------
    missed
        Set once a change is known that it should have shown.
    """

    kinds: Sequence[str]
    after: int
    missed: asyncio.Event = field(default_factory=asyncio.Event)


class RelayedStore:
    """Call the platform directly, or through a peer that reaches it.

    A call is relayed at most once: the peer uses its own direct store.  A write that
    may have taken effect is never sent again over another route.  It fails as
    uncertain, and `update` reads the object before it writes again.

    Parameters
    ----------
    direct
        Direct connection to the platform.
    peers
        Returns the peer addresses of other routers that reach the platform.
    """

    def __init__(
        self,
        direct: ObjectStore,
        link: PeerLink,
        clock: Clock,
        peers: Callable[[], list[str]],
    ) -> None:
        self._direct = direct
        self._link = link
        self._clock = clock
        self._peers = peers
        self._direct_failed = asyncio.Event()
        self._next_failure = asyncio.Event()
        self._probe: asyncio.Task[None] | None = None
        self._watches: set[_Watch] = set()
        self.reaches_platform = False

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None."""
        request = StoreRequest(method="get", kinds=[kind], name=name)
        value = await self._run(lambda: self._direct.get(kind, name), request)
        return (
            value
            if isinstance(value, StoredObject | None)
            else decode(StoredObject, value)
        )

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of some kinds at one revision."""
        wanted = list(kinds)
        request = StoreRequest(method="list", kinds=wanted)
        value = await self._run(lambda: self._direct.list(wanted), request)
        return value if isinstance(value, Listing) else decode(Listing, value)

    async def put(self, kind: str, name: str, body: Body, version: int) -> StoredObject:
        """Write an object if it still has a version; 0 creates it."""
        request = StoreRequest(
            method="put",
            kinds=[kind],
            name=name,
            version=version,
            body=dump_json(body),
        )
        value = await self._run(
            lambda: self._direct.put(kind, name, body, version), request
        )
        stored = (
            value if isinstance(value, StoredObject) else decode(StoredObject, value)
        )
        self._expect_echo(kind, stored.version)
        return stored

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if it still has a version; return the revision."""
        request = StoreRequest(
            method="delete", kinds=[kind], name=name, version=version
        )
        value = await self._run(
            lambda: self._direct.delete(kind, name, version), request
        )
        return value if isinstance(value, int) else int(value["revision"])

    async def watch(
        self, kinds: Iterable[str], after: int, wait: Millis
    ) -> ChangeBatch:
        """Wait for changes after a revision."""
        wanted = list(kinds)
        request = StoreRequest(
            method="watch",
            kinds=wanted,
            version=after,
            wait_ms=min(wait, _WATCH_WAIT),
        )
        value = await self._run(
            lambda: self._watch_direct(wanted, after, wait), request
        )
        return value if isinstance(value, ChangeBatch) else decode(ChangeBatch, value)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the platform's list of hosts, which lags behind their state."""
        value = await self._run(self._direct.hosts, StoreRequest(method="hosts"))
        if isinstance(value, tuple):
            return value
        return tuple(decode(HostEntry, item) for item in value["hosts"])

    def renew(self) -> None:
        """Make further direct calls on new connections, as open ones may be silent."""
        self._direct.renew()

    def count_connections(self) -> int:
        """Return how many direct connections have been opened so far."""
        return self._direct.count_connections()

    async def _watch_direct(
        self, kinds: Sequence[str], after: int, wait: Millis
    ) -> ChangeBatch:
        """Watch directly until another call finds that the direct connection fails.

        Otherwise a watch on a connection that stopped responding would wait until
        its timeout, while a change comes into force at all other routers.  If it shows
        no write of this router, its connection alone is silent, and it ends without a
        change.
        """
        watch = _Watch(kinds, after)
        watching = asyncio.ensure_future(self._direct.watch(kinds, after, wait))
        # A failure from before this watch says nothing of its connection.
        failed = asyncio.ensure_future(self._next_failure.wait())
        missed = asyncio.ensure_future(watch.missed.wait())
        self._watches.add(watch)
        try:
            await asyncio.wait(
                [watching, failed, missed], return_when=asyncio.FIRST_COMPLETED
            )
            if watching.done():
                return watching.result()
        finally:
            self._watches.discard(watch)
            for task in (watching, failed, missed):
                task.cancel()
        if watch.missed.is_set():
            logging.warning("the watch is silent after=%d", after)
            self._direct.renew()
            return ChangeBatch(after)
        raise AnvilshiftError(PLATFORM_DOWN, "the direct connection failed")

    def _expect_echo(self, kind: str, version: int) -> None:
        """End the direct watches that don't show a write of this router in time."""
        waiting = [
            one for one in self._watches if kind in one.kinds and one.after < version
        ]
        loop = asyncio.get_running_loop()
        for watch in waiting:
            loop.call_later(_ECHO_TIMEOUT / SECOND, watch.missed.set)

    async def _run(
        self,
        call: Callable[[], Coroutine[Any, Any, Result]],
        request: StoreRequest,
    ) -> Any:
        """Return the result of the direct call, or a peer's answer as JSON."""
        if not self._direct_failed.is_set():
            try:
                return await self._call_direct(call)
            except AnvilshiftError as error:
                if not _may_reroute(error):
                    raise
            return await self._call_peers(request)
        try:
            return await self._call_peers(request)
        except AnvilshiftError as error:
            # Only a call that provably had no effect is repeated.
            if not _may_reroute(error):
                raise
        return await self._call_direct(call)

    async def _call_direct(
        self, call: Callable[[], Coroutine[Any, Any, Result]]
    ) -> Any:
        try:
            result = await call()
        except AnvilshiftError as error:
            # A call that exceeded the rate limit did reach the platform, and a relay
            # must not be used to evade the limit.
            if error.code is PLATFORM_DOWN and not isinstance(error, RateLimitedError):
                self._mark_direct_failed()
            raise
        self.reaches_platform = True
        return result

    def _mark_direct_failed(self) -> None:
        self.reaches_platform = False
        self._direct_failed.set()
        self._next_failure.set()
        self._next_failure = asyncio.Event()
        if self._probe is None or self._probe.done():
            self._probe = asyncio.get_running_loop().create_task(self._probe_direct())

    async def _probe_direct(self) -> None:
        """Call the platform directly until it answers.

        A separate task does this, so that no request has to wait for the attempts.
        """
        while self._direct_failed.is_set():
            try:
                await self._direct.hosts()
                self.reaches_platform = True
                self._direct_failed.clear()
            except AnvilshiftError:
                await asyncio.sleep(_PROBE_INTERVAL / SECOND)

    async def _call_peers(self, request: StoreRequest) -> Any:
        for address in self._peers()[:_MAX_PEERS]:
            try:
                reply = await self._link.call_store(address, request)
            except PeerError as error:
                if error.sent and request.method in _WRITES:
                    detail = "a write relayed through a peer got no answer"
                    raise UncertainWriteError(detail) from error
                continue
            if reply.code == PLATFORM_DOWN.number and not reply.uncertain:
                continue
            return _read_reply(reply, request)
        raise AnvilshiftError(PLATFORM_DOWN, "unreachable directly and through peers")

    def close(self) -> None:
        """Stop the attempts to restore the direct connection."""
        if self._probe is not None:
            self._probe.cancel()


def _may_reroute(error: AnvilshiftError) -> bool:
    """Tell whether a call provably had no effect and another route may succeed."""
    reached = isinstance(error, UncertainWriteError | RateLimitedError)
    return error.code is PLATFORM_DOWN and not reached


def _read_reply(reply: StoreReply, request: StoreRequest) -> Any:
    if reply.uncertain:
        raise UncertainWriteError(reply.detail)
    if reply.code == CONFLICT.number:
        raise ConflictError(f"{'/'.join(request.kinds)}/{request.name}")
    if reply.code:
        raise AnvilshiftError(CODES.get(reply.code, PLATFORM_UNREADABLE), reply.detail)
    try:
        return json.loads(reply.value)
    except ValueError as error:
        raise AnvilshiftError(PLATFORM_UNREADABLE) from error


async def call_store(store: ObjectStore, request: StoreRequest) -> StoreReply:
    """Make a call for another router; store must be the direct one."""
    try:
        value = await _dispatch(store, request)
    except UncertainWriteError as error:
        return StoreReply(code=error.code.number, detail=error.detail, uncertain=True)
    except AnvilshiftError as error:
        return StoreReply(code=error.code.number, detail=error.detail)
    except (ValueError, IndexError) as error:
        logging.warning("a peer's store call can't be read: %s", error)
        return StoreReply(code=PLATFORM_UNREADABLE.number)
    return StoreReply(value=dump_json(value))


async def _dispatch(store: ObjectStore, request: StoreRequest) -> Any:
    kinds = list(request.kinds)
    if request.method == "get":
        found = await store.get(kinds[0], request.name)
        return asdict(found) if found else None
    if request.method == "list":
        return asdict(await store.list(kinds))
    if request.method == "put":
        body = json.loads(request.body)
        return asdict(await store.put(kinds[0], request.name, body, request.version))
    if request.method == "delete":
        revision = await store.delete(kinds[0], request.name, request.version)
        return {"revision": revision}
    if request.method == "watch":
        wait = min(request.wait_ms, _WATCH_WAIT)
        return asdict(await store.watch(kinds, request.version, wait))
    if request.method == "hosts":
        return {"hosts": [asdict(host) for host in await store.hosts()]}
    raise ValueError(f"unknown method {request.method}")
