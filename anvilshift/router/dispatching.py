"""Run the dispatcher on a real loop: futures for callers, a timer for ticks."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import Any

from absl import logging

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.work import (
    Actions,
    Announce,
    Ask,
    Cancel,
    Failure,
    Refuse,
    Send,
    Work,
)

_HELD_UP: Millis = 50.0
"""A timer that fires so late shows that this process stood still."""


async def _agree_to_nothing(ask: Ask) -> bool:
    return False


class DispatchLoop:
    """Hand the dispatcher's actions to the requests that they are for.

    Attributes
    ----------
    announce
        Called with what the other routers must hear at once.
    relocate
        Asks the other routers whether a content may go to a target; what it returns
        is in force at once.
    at_change
        Called after every change of what waits or runs.
    """

    def __init__(self, dispatcher: Dispatcher, clock: Clock) -> None:
        self.dispatcher = dispatcher
        self.announce: Callable[[Announce], None] = lambda news: None
        self.at_change: Callable[[], None] = lambda: None
        self.relocate: Callable[[Ask], Awaitable[bool]] = _agree_to_nothing
        self._asking: set[asyncio.Task[None]] = set()
        self._clock = clock
        self._turns: dict[str, asyncio.Future[Send]] = {}
        self._stops: dict[str, Callable[[], None]] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._due: Millis = 0.0
        self._held_until: Millis = 0.0
        self._held = False

    @property
    def waiting(self) -> int:
        """Return how many requests wait for their turn."""
        return len(self._turns)

    async def submit(self, work: Work, stop: Callable[[], None]) -> Send:
        """Wait for a target.

        Parameters
        ----------
        stop
            Called when the dispatcher cancels the attempt; who submitted the
            work then calls `follow`.

        Raises
        ------
        AnvilshiftError
            The refusal, with when to come back.
        """
        self._stops[work.identity] = stop
        turn = self._expect(work.identity)
        self.act(self.dispatcher.arrive(work, self._clock.now()))
        return await self._await(work.identity, turn)

    async def retry(self, identity: str, failure: Failure) -> Send:
        """Report a failed attempt and wait for the next.

        Raises
        ------
        AnvilshiftError
            When the work is given up.
        """
        turn = self._expect(identity)
        self.act(self.dispatcher.failed(identity, failure, self._clock.now()))
        return await self._await(identity, turn)

    async def follow(self, identity: str) -> Send:
        """Wait for the next target of work whose attempt was stopped.

        Raises
        ------
        AnvilshiftError
            When the work is given up.
        """
        return await self._await(identity, self._turns[identity])

    def first_token(self, identity: str) -> None:
        """Report that an answer has begun."""
        self.act(self.dispatcher.first_token(identity, self._clock.now()))

    def done(self, identity: str, tokens: int) -> None:
        """Report that an answer is whole."""
        self._stops.pop(identity, None)
        self.act(self.dispatcher.done(identity, tokens, self._clock.now()))

    def recorded(self, span: Millis) -> None:
        """Report how long the end of an answer waited for its bill."""
        self.dispatcher.recorded(span)

    def cancel(self, identity: str) -> None:
        """Report that nobody waits for the work any more."""
        self._stops.pop(identity, None)
        self.act(self.dispatcher.cancel(identity, self._clock.now()))

    def _expect(self, identity: str) -> asyncio.Future[Send]:
        turn: asyncio.Future[Send] = asyncio.get_running_loop().create_future()
        self._turns[identity] = turn
        return turn

    async def _await(self, identity: str, turn: asyncio.Future[Send]) -> Send:
        try:
            return await turn
        except asyncio.CancelledError:
            self.cancel(identity)
            raise
        finally:
            if self._turns.get(identity) is turn:
                del self._turns[identity]

    def act(self, actions: Actions) -> None:
        """Carry out what the dispatcher decided."""
        for action in actions:
            if isinstance(action, Announce):
                self.announce(action)
                continue
            if isinstance(action, Ask):
                self._spawn(self._ask(action))
                continue
            if isinstance(action, Cancel):
                # The next target may follow in the same list of actions.
                self._expect(action.identity)
                stop = self._stops.get(action.identity)
                if stop is not None:
                    stop()
                continue
            turn = self._turns.get(action.identity)
            if turn is None or turn.done():
                continue
            if isinstance(action, Refuse):
                self._stops.pop(action.identity, None)
                error = AnvilshiftError(action.code, action.detail, action.retry_after)
                turn.set_exception(error)
            else:
                turn.set_result(action)
        self.at_change()
        self._set_timer()

    async def _ask(self, ask: Ask) -> None:
        agreed = await self.relocate(ask)
        self.act(self.dispatcher.settle(ask, agreed, self._clock.now()))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._asking.add(task)
        task.add_done_callback(self._end_ask)

    def _end_ask(self, task: asyncio.Task[None]) -> None:
        self._asking.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logging.error("a question to the others broke", exc_info=task.exception())

    def close(self) -> None:
        """Stop asking other routers."""
        for task in self._asking:
            task.cancel()

    def _set_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        now = self._clock.now()
        due = self.dispatcher.next_tick(now)
        if due is not None:
            self._due = max(due, self._held_until)
            loop = asyncio.get_running_loop()
            delay = max(0.0, self._due - now) / SECOND
            self._timer = loop.call_later(delay, self._tick)

    def _tick(self) -> None:
        self._timer = None
        now = self._clock.now()
        late = now - self._due
        if late > _HELD_UP and not self._held:
            # Answers that came while this process stood still lie unread in its
            # sockets: judged now, healthy targets would be left and blamed.
            logging.warning("held up ms=%.0f", late)
            self._held, self._held_until = True, now + _HELD_UP
            self._set_timer()
            return
        self._held = False
        self.act(self.dispatcher.tick(now))
