"""Run the dispatcher on an event loop: futures for callers, a timer for its ticks."""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Coroutine
from typing import Any

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.failures import Failure
from anvilshift.core.work import (
    Actions,
    Ask,
    Cancel,
    CrashAnnouncement,
    Refuse,
    Send,
    Work,
)

_STALL_THRESHOLD: Millis = 50.0
"""A timer that fires later than this shows that the process was paused or blocked."""


async def _refuse_relocation(ask: Ask) -> bool:
    return False


class DispatchLoop:
    """Pass the dispatcher's actions to the requests that they concern.

    Attributes
    ----------
    announce
        Called with each announcement that the other routers must receive at once.
    relocate
        Asks the other routers whether a content may be sent to a target; the result
        takes effect at once.
    on_change
        Called whenever the waiting or running work may have changed.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Clock) -> None:
        self.dispatcher = dispatcher
        self.announce: Callable[[CrashAnnouncement], None] = lambda announcement: None
        self.on_change: Callable[[], None] = lambda: None
        self.relocate: Callable[[Ask], Awaitable[bool]] = _refuse_relocation
        self._ask_tasks: set[asyncio.Task[None]] = set()
        self._clock = clock
        self._waiters: dict[str, asyncio.Future[Send]] = {}
        self._stop_callbacks: dict[str, Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._due: Millis = 0.0
        self._grace_until: Millis = 0.0
        self._stalled = False

    @property
    def waiting(self) -> int:
        """Return how many requests wait for a target."""
        return len(self._waiters)

    async def submit(self, work: Work, stop: Callable[[], None]) -> Send:
        """Submit work and wait until it is assigned to a target.

        Parameters
        ----------
        stop
            Called when the dispatcher cancels the attempt; the caller of this
            method must then call `follow`.

        Raises
        ------
        AnvilshiftError
            The refusal, with the time after which to retry.
        """
        self._stop_callbacks[work.identity] = stop
        waiter = self._add_waiter(work.identity)
        self.act(self.dispatcher.add_request(work, self._clock.now()))
        return await self._wait(work.identity, waiter)

    async def retry(self, identity: str, failure: Failure, received: int = 0) -> Send:
        """Report a failed attempt and wait for the next target.

        Parameters
        ----------
        received
            Tokens of the answer that have arrived.

        Raises
        ------
        AnvilshiftError
            When the work is given up.
        """
        moved = self._waiters.get(identity)
        if moved is not None:
            # The dispatcher has moved the work already: the failure is of an attempt
            # that it knows no more, and would be taken for one of the next attempt.
            return await self._wait(identity, moved)
        waiter = self._add_waiter(identity)
        now = self._clock.now()
        self.act(self.dispatcher.failed(identity, failure, now, received))
        return await self._wait(identity, waiter)

    async def follow(self, identity: str) -> Send:
        """Wait for the next target of work whose attempt was stopped.

        Raises
        ------
        AnvilshiftError
            When the work is given up.
        """
        return await self._wait(identity, self._waiters[identity])

    def leave(self, identity: str, silent: Collection[str], received: int = 0) -> None:
        """Move work from a silent target to another one, if one takes it at once."""
        now = self._clock.now()
        self.act(self.dispatcher.leave(identity, silent, now, received))

    def first_token(self, identity: str) -> None:
        """Report that an answer's first token has arrived."""
        self.act(self.dispatcher.first_token(identity, self._clock.now()))

    def done(self, identity: str, tokens: int) -> None:
        """Report that an answer is complete."""
        self._forget(identity)
        self.act(self.dispatcher.done(identity, tokens, self._clock.now()))

    def recorded(self, span: Millis) -> None:
        """Report how long the end of an answer waited for its bill to be recorded."""
        self.dispatcher.recorded(span)

    def cancel(self, identity: str) -> None:
        """Report that the caller no longer waits for the work."""
        self._forget(identity)
        self.act(self.dispatcher.cancel(identity, self._clock.now()))

    def _forget(self, identity: str) -> None:
        """Drop what is kept for work, also for a move that nobody waits for."""
        self._stop_callbacks.pop(identity, None)
        self._waiters.pop(identity, None)

    def _add_waiter(self, identity: str) -> asyncio.Future[Send]:
        waiter: asyncio.Future[Send] = asyncio.get_running_loop().create_future()
        self._waiters[identity] = waiter
        return waiter

    async def _wait(self, identity: str, waiter: asyncio.Future[Send]) -> Send:
        try:
            return await waiter
        except asyncio.CancelledError:
            self.cancel(identity)
            raise
        finally:
            if self._waiters.get(identity) is waiter:
                del self._waiters[identity]

    def act(self, actions: Actions) -> None:
        """Carry out the dispatcher's actions."""
        for action in actions:
            if isinstance(action, CrashAnnouncement):
                self.announce(action)
                continue
            if isinstance(action, Ask):
                self._spawn(self._ask(action))
                continue
            if isinstance(action, Cancel):
                # The same list of actions may also assign the next target.
                self._add_waiter(action.identity)
                stop = self._stop_callbacks.get(action.identity)
                if stop is not None:
                    stop()
                continue
            waiter = self._waiters.get(action.identity)
            if waiter is None or waiter.done():
                continue
            if isinstance(action, Refuse):
                self._stop_callbacks.pop(action.identity, None)
                error = AnvilshiftError(action.code, action.detail, action.retry_after)
                waiter.set_exception(error)
            else:
                waiter.set_result(action)
        self.on_change()
        self._set_timer()

    async def _ask(self, ask: Ask) -> None:
        agreed = await self.relocate(ask)
        self.act(self.dispatcher.finish_relocation(ask, agreed, self._clock.now()))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._ask_tasks.add(task)
        task.add_done_callback(self._finish_ask)

    def _finish_ask(self, task: asyncio.Task[None]) -> None:
        self._ask_tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error("relocation request failed", exc_info=task.exception())

    def close(self) -> None:
        """Cancel the requests to other routers."""
        for task in self._ask_tasks:
            task.cancel()

    def _set_timer(self) -> None:
        now = self._clock.now()
        if self._timer is not None:
            # A timer that is due runs next.  Set anew at each of many events, it
            # would never run, and its delay would be taken for a pause.
            if self._due <= now:
                return
            self._timer.cancel()
            self._timer = None
        due = self.dispatcher.next_tick(now)
        if due is not None:
            self._due = max(due, self._grace_until)
            loop = asyncio.get_running_loop()
            delay = max(0.0, self._due - now) / SECOND
            self._timer = loop.call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._clock.now()
        late = now - self._due
        if late > _STALL_THRESHOLD and not self._stalled:
            # Answers that arrived during the pause are still unread in the sockets:
            # a tick now would abandon attempts at healthy targets and blame them.
            logging.warning("held up ms=%.0f", late)
            self._stalled, self._grace_until = True, now + _STALL_THRESHOLD
            self._set_timer()
            return
        self._stalled = False
        self.act(self.dispatcher.tick(now))
