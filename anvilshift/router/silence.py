"""Notice that an engine answers nothing at all any more."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.work import Failure
from anvilshift.engines.http import TargetError

WATCH: Millis = 500.0
"""Span between two looks at a silent engine: with the span after which its polls
count as unanswered, a request leaves it within three seconds."""


@contextlib.contextmanager
def watch(is_silent: Callable[[], bool]) -> Iterator[asyncio.Timeout]:
    """Give an attempt up whose engine has fallen silent.

    A paused engine, or a network that drops everything, keeps connections
    open; without this the request would wait there until its deadline.  An
    engine that is merely slow still answers its polls.  It must be found
    silent twice, because a router that was itself paused has heard nobody.

    Parameters
    ----------
    is_silent
        Tells whether neither the attempt nor the engine's polls were answered
        lately.

    Raises
    ------
    TargetError
        When the engine was silent at two looks.
    """
    loop = asyncio.get_running_loop()
    guard = asyncio.timeout(None)
    timer: asyncio.TimerHandle | None = None

    def look(doubted: bool) -> None:
        nonlocal timer
        silent = is_silent()
        if silent and doubted:
            guard.reschedule(loop.time())
        else:
            timer = loop.call_later(WATCH / SECOND, look, silent)

    timer = loop.call_later(WATCH / SECOND, look, False)
    try:
        yield guard
    except TimeoutError as error:
        if not guard.expired():
            raise
        detail = "the engine answers nothing"
        raise TargetError(Failure.TIMED_OUT, detail) from error
    finally:
        timer.cancel()
