"""Watches that are made anew on a new connection when theirs may be silent.

An open connection may pass nothing more, without a reset, while new ones work.  A watch
that hangs on one looks like a watch without changes until it is overdue, so it is not
given up: another one is made beside it, and the first answer counts.
"""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable, Iterable, Iterator
from typing import Any

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.objects.store import (
    Body,
    ChangeBatch,
    HostEntry,
    Listing,
    ObjectStore,
    StoredObject,
)
from anvilshift.wire.response import ExchangeError

MIN_OVERDUE: Millis = 250.0
"""Time after the end of a watch's wait at which its answer is overdue."""
_MAX_OVERDUE: Millis = 1 * SECOND
_SLOWNESS_FACTOR = 2.0
"""An answer is overdue after this multiple of what answers have taken lately."""
_SLOWNESS_DECAY = 0.8
_CONFIRM_DELAY: Millis = 50.0
"""Time for an answer that was received, but not read yet by a busy event loop."""
_MAX_UNANSWERED = 2
"""Renewals in a row without an answer after which the store is taken to be down, unless
connections to it still open: they may fall silent one after the other."""


class _Attempts:
    """The watches of which the first answer counts."""

    def __init__(self, call: Callable[[], Awaitable[ChangeBatch]]) -> None:
        self._call = call
        self._tasks: list[asyncio.Task[ChangeBatch]] = []
        self._ended = asyncio.Event()
        self._is_over = False

    def begin(self) -> None:
        """Make one more watch, unless an answer has come."""
        if self._is_over:
            return
        task = asyncio.ensure_future(self._call())
        task.add_done_callback(lambda done: self._ended.set())
        self._tasks.append(task)

    async def wait(self) -> ChangeBatch:
        """Return the first answer.

        Raises
        ------
        AnvilshiftError
            When all watches have failed: the failure of the last one.
        """
        try:
            while True:
                await self._ended.wait()
                self._ended.clear()
                for task in [one for one in self._tasks if one.done()]:
                    if task.exception() is None or len(self._tasks) == 1:
                        return task.result()
                    self._tasks.remove(task)
        finally:
            self._is_over = True
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)


class HedgedStore:
    """An object store whose watches survive connections that fall silent.

    All calls share the connections of one client.  When a watch is overdue, or a call
    got no answer and none came for another one, every watch that waits is made anew on
    a new connection, and the idle connections are given up.

    Parameters
    ----------
    on_doubt
        Called with the reason when the open connections are doubted.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        on_doubt: Callable[[str], None] = lambda why: None,
    ) -> None:
        self._store = store
        self._clock = clock
        self._on_doubt = on_doubt
        self._waiting: set[_Attempts] = set()
        self._doubted: Millis = -1e12
        self._answered: Millis = -1e12
        self._unanswered = 0
        self._connections = 0
        self._slowness: Millis = 0.0

    def count_connections(self) -> int:
        """Return how many connections have been opened so far."""
        return self._store.count_connections()

    def renew(self) -> None:
        """Make calls on new connections, and each watch that waits anew."""
        self._doubted = self._clock.now()
        self._connections = self.count_connections()
        self._store.renew()
        for attempts in self._waiting:
            attempts.begin()

    def doubt(self, why: str, began: Millis | None = None) -> None:
        """Renew the connections, as they may be silent.

        What began before the last renewal shows nothing new, and a store that neither
        answers nor accepts a connection gets no more calls than without doubts.

        Parameters
        ----------
        began
            When the call began that shows it; now if omitted.
        """
        began = self._clock.now() if began is None else began
        is_down = (
            self._unanswered >= _MAX_UNANSWERED
            and self.count_connections() == self._connections
        )
        if began >= self._doubted and not is_down:
            self._unanswered += 1
            self._on_doubt(why)
            self.renew()

    def _note_answer(self, took: Millis) -> None:
        self._answered = self._clock.now()
        self._unanswered = 0
        self._slowness = max(took, self._slowness * _SLOWNESS_DECAY)

    @contextlib.contextmanager
    def _observe(self) -> Iterator[None]:
        """Learn from a short call whether the connections work."""
        began = self._clock.now()
        try:
            yield
        except AnvilshiftError as error:
            # A store that loses single answers goes on answering other calls.
            if _is_silence(error) and self._answered < began:
                self.doubt("a call got no answer", began)
            raise
        self._note_answer(self._clock.now() - began)

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        with self._observe():
            return await self._store.get(kind, name)

    async def list(self, kinds: Iterable[str]) -> Listing:
        """Return every object of the given kinds."""
        with self._observe():
            return await self._store.list(kinds)

    async def put(self, kind: str, name: str, body: Body, version: int) -> StoredObject:
        """Write an object if its version is unchanged; version 0 creates it."""
        with self._observe():
            return await self._store.put(kind, name, body, version)

    async def delete(self, kind: str, name: str, version: int) -> int:
        """Delete an object if its version is unchanged; return the revision."""
        with self._observe():
            return await self._store.delete(kind, name, version)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Return the platform's list of hosts, which may be out of date."""
        with self._observe():
            return await self._store.hosts()

    async def watch(
        self, kinds: Iterable[str], after: int, wait: Millis
    ) -> ChangeBatch:
        """Wait for changes; once that is overdue, wait on a new connection too.

        A watch that waits for nothing is made once, as any short call.
        """
        wanted = list(kinds)
        if wait <= 0.0:
            with self._observe():
                return await self._store.watch(wanted, after, wait)

        async def call() -> ChangeBatch:
            began = self._clock.now()
            with self._watch_overdue(began, wait):
                found = await self._store.watch(wanted, after, wait)
            late = self._clock.now() - began - wait
            self._note_answer(max(0.0, late))
            return found

        attempts = _Attempts(call)
        self._waiting.add(attempts)
        attempts.begin()
        try:
            return await attempts.wait()
        except AnvilshiftError:
            self._unanswered = _MAX_UNANSWERED
            raise
        finally:
            self._waiting.discard(attempts)

    @contextlib.contextmanager
    def _watch_overdue(self, began: Millis, wait: Millis) -> Iterator[None]:
        """Doubt the connections while a watch is overdue."""
        loop = asyncio.get_running_loop()
        overdue = max(MIN_OVERDUE, self._slowness * _SLOWNESS_FACTOR)
        timers: list[asyncio.TimerHandle] = []

        def confirm() -> None:
            timers.append(loop.call_later(_CONFIRM_DELAY / SECOND, doubt))

        def doubt() -> None:
            self.doubt("a watch is overdue", began)

        delay = wait + min(overdue, _MAX_OVERDUE)
        timers.append(loop.call_later(delay / SECOND, confirm))
        try:
            yield
        finally:
            for timer in timers:
                timer.cancel()


def _is_silence(error: AnvilshiftError) -> bool:
    cause: Any = error.__cause__
    return isinstance(cause, ExchangeError) and cause.silent
