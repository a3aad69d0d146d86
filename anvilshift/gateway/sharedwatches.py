"""Share the watches of the platform's store among the routers of a failure domain.

One router of the domain watches the store, and the others ask it for the changes.
Whatever goes wrong with that, a router watches the store itself.
"""

import asyncio
import contextlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.duties.storereaders import ReaderCandidate, choose_readers
from anvilshift.core.errors import PLATFORM_UNREADABLE, UNKNOWN_ROUTE, AnvilshiftError
from anvilshift.gateway.following import Follower
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.peers import Peers
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.gateway.storeturns import FailedTries, StoreTurns
from anvilshift.objects.changelog import ChangeLog
from anvilshift.objects.store import (
    ChangeBatch,
    Listing,
    ObjectChange,
    ObjectStore,
    WatchedStore,
)
from anvilshift.wire.client import HttpClient, Network
from anvilshift.wire.jsons import dump_json, parse_object
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.response import ExchangeError
from anvilshift.wire.server import HttpServer

_PATH = "/changes"
_WAIT: Millis = 1.5 * SECOND
"""How long a reader waits for changes before it answers that there are none.  A reader
that is gone is noticed this much later, well within the time in which a change has to
be in force."""
_READER_WAIT: Millis = 1.5 * SECOND
"""Longest watch of a router that reads for others.  Its connection to the store may be
silent while theirs work, and a change has to be in force at them all the same."""
_OVERDUE: Millis = 250.0
"""Time after that wait at which a reader's answer is given up."""


@dataclass
class _SharedKind:
    """What this router knows of one kind of object, for those that ask it.

    Attributes
    ----------
    is_direct
        Whether this router's own watch of the store is under way.
    news
        Set when changes come, or this router ceases to read.
    """

    follower: Follower
    log: ChangeLog = field(default_factory=ChangeLog)
    is_direct: bool = False
    news: asyncio.Event = field(default_factory=asyncio.Event)

    def restart(self, revision: int) -> None:
        """Begin anew behind a list."""
        self.log.restart(revision)
        self._wake()

    def add(self, revision: int, changes: tuple[ObjectChange, ...]) -> None:
        """Add what changed."""
        self.log.add(revision, changes)
        if changes:
            self._wake()

    def _wake(self) -> None:
        self.news.set()
        self.news = asyncio.Event()

    def can_tell(self) -> bool:
        """Tell whether what is known here is as recent as what the store tells."""
        return self.is_direct and self.follower.is_fresh()


class SharedWatches:
    """The watches that this router makes for others or has made by another.

    Parameters
    ----------
    network
        Opens connections to other routers; TCP if omitted.

    Attributes
    ----------
    is_sharing
        Whether some router of the domain reads for the others, as far as is known.
    """

    def __init__(
        self,
        settings: GatewaySettings,
        peers: Peers,
        clock: Clock,
        journal: Journal,
        network: Network | None = None,
    ) -> None:
        self._settings = settings
        self._peers = peers
        self._clock = clock
        self._journal = journal
        self._client = HttpClient(network=network)
        self._server = HttpServer(self.answer)
        self._kinds: dict[str, _SharedKind] = {}
        self.turns = StoreTurns(settings, peers, clock)
        self._tries: FailedTries | None = None
        self._reader: str | None = None
        self.is_sharing = False

    async def start(self) -> None:
        """Accept the questions of other routers."""
        settings = self._settings
        await self._server.start(Address(settings.ip, settings.watch_port))

    async def close(self) -> None:
        """Stop asking and answering."""
        await self._server.close()
        self._client.close()

    def share(self, follower: Follower, store: ObjectStore) -> None:
        """Let a follower use the watches of another router, and others use its own."""
        kind = self._kinds[follower.kind] = _SharedKind(follower)
        tries = FailedTries(follower)
        # The configuration's follower comes first, and is the probe of the others.
        self._tries = self._tries or tries
        follower.store = _SharedStore(store, self, kind, tries, self._clock)
        follower.may_hurry = lambda: self.turns.has_cause(tries)
        follower.on_list, follower.on_batch = kind.restart, kind.add

    # A router that asks

    def find_reader(self) -> str | None:
        """Return the router to ask for changes; None if this one reads for itself."""
        reader = self._choose_reader()
        if reader != self._reader:
            self._journal.write("store_reader", reader=reader, before=self._reader)
            self._reader = reader
        return reader

    def _choose_reader(self) -> str | None:
        settings = self._settings
        is_able = self._tries is None or self.turns.is_worth_reading(self._tries)
        own = ReaderCandidate(settings.name, settings.failure_domain, is_able)
        others = self.turns.list_others()
        most = settings.readers_per_domain
        readers = choose_readers([own, *others], settings.failure_domain, most)
        self.is_sharing = bool(readers)
        if not readers or settings.name in readers:
            return None
        return readers[0]

    def reaches_store(self) -> bool:
        """Tell whether this router's own calls are answered or others tell it."""
        tries = self._tries
        return tries is not None and tries.follower.is_fresh() and not tries.is_failing

    def bound_wait(self, wait: Millis) -> Millis:
        """Return how long a watch of this router's own may wait."""
        return min(wait, _READER_WAIT) if self.is_sharing else wait

    async def ask(self, reader: str, kind: str, after: int) -> ChangeBatch | None:
        """Return a reader's answer; None if it gives none that can be relied on."""
        peer = self._peers.routers.get(reader)
        if peer is None:
            return None
        address = Address(peer.beat.ip, self._settings.watch_port)
        path = f"{_PATH}?kind={kind}&after={after}"
        asked = self._clock.now()
        try:
            answer = await self._client.call(
                address, "GET", path, timeout=_WAIT + _OVERDUE
            )
            if answer.status != 200:
                raise AnvilshiftError(PLATFORM_UNREADABLE, f"status {answer.status}")
            return _read_batch(kind, answer.body, after, asked)
        except (ExchangeError, AnvilshiftError) as error:
            self._journal.write(
                "store_reader_failed", reader=reader, kind=kind, why=str(error)
            )
            return None

    # A router that is asked

    async def answer(self, request: HttpRequest, responder: Responder) -> None:
        """Tell another router what changed; the changes may hold credentials."""
        known = {peer.beat.ip for peer in self._peers.routers.values()}
        kind = self._kinds.get(request.query.get("kind", ""))
        text, asked = request.query.get("after", ""), self._clock.now()
        is_known = responder.peer_ip in known and kind is not None
        if request.path != _PATH or not is_known or not text.isdecimal():
            raise AnvilshiftError(UNKNOWN_ROUTE)
        assert kind is not None
        after = int(text)
        changes = await self._wait_for_changes(kind, after)
        if changes is None:
            await responder.send(Reply(503))
            return
        now = self._clock.now()
        body = {
            "revision": kind.log.revision,
            "held": now - asked,
            "age": now - kind.follower.confirmed,
            "changes": [[one.name, one.version, one.body] for one in changes],
        }
        await responder.send(Reply(200, [JSON_TYPE], dump_json(body)))

    async def _wait_for_changes(
        self, kind: _SharedKind, after: int
    ) -> tuple[ObjectChange, ...] | None:
        """Return the changes after a revision; None if they can't be told from here."""
        until = self._clock.now() + _WAIT
        while kind.can_tell():
            changes = kind.log.list_since(after)
            left = until - self._clock.now()
            if changes is None or changes or left <= 0.0:
                return changes
            try:
                async with asyncio.timeout(left / SECOND):
                    await kind.news.wait()
            except TimeoutError:
                continue
        return None


class _SharedStore:
    """A store whose watches another router may make.

    While the store answers nobody, its routers try it in turn.
    """

    def __init__(
        self,
        store: WatchedStore,
        watches: SharedWatches,
        shared: _SharedKind,
        tries: FailedTries,
        clock: Clock,
    ) -> None:
        self._store = store
        self._watches = watches
        self._shared = shared
        self._tries = tries
        self._clock = clock

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of the given kinds."""
        self._watches.turns.check(self._tries)
        with self._observe():
            return await self._store.list(kinds)

    async def watch(
        self, kinds: Iterable[str], after: int, wait: Millis
    ) -> ChangeBatch:
        """Wait for changes that follow a revision, here or at the reader."""
        turns = self._watches.turns
        turns.note_call(self._tries)
        reader = self._watches.find_reader()
        if reader is not None:
            self._shared.is_direct = False
            told = await self._watches.ask(reader, self._shared.follower.kind, after)
            if told is not None:
                return told
        is_reader = reader is None and self._watches.is_sharing
        turns.check(self._tries, is_reader)
        self._shared.is_direct = True
        wait = turns.bound_wait(self._tries, self._watches.bound_wait(wait))
        with self._observe():
            return await self._store.watch(kinds, after, wait)

    @contextlib.contextmanager
    def _observe(self) -> Iterator[None]:
        """Record a call that fails."""
        began = self._clock.now()
        try:
            yield
        except AnvilshiftError:
            self._watches.turns.note_failure(self._tries, began)
            raise
        self._tries.is_failing = False


def _read_batch(kind: str, body: bytes, after: int, asked: Millis) -> ChangeBatch:
    """Return the changes that another router tells.

    Raises
    ------
    AnvilshiftError
        Code 5003 if they can't be read.
    """
    found = parse_object(body)
    try:
        changes = tuple(
            ObjectChange(kind, str(name), int(version), content)
            for name, version, content in found["changes"]
        )
        # What it knew when it answered, it knew when it was asked, but for its wait.
        confirmed = asked + float(found["held"]) - float(found["age"])
        revision = max(after, int(found["revision"]))
    except (KeyError, TypeError, ValueError) as error:
        detail = "another router's changes are malformed"
        raise AnvilshiftError(PLATFORM_UNREADABLE, detail) from error
    return ChangeBatch(revision, changes, confirmed=confirmed)
