"""Notice that an engine no longer answers at all, and leave it for another one."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from anvilshift.core.clock import SECOND, Millis

WATCH: Millis = 500.0
"""Interval between two checks whether an engine is silent.  Together with the time
after which polls count as unanswered, a request leaves a silent engine within three
seconds."""


@contextlib.contextmanager
def watch(is_silent: Callable[[], bool], leave: Callable[[], None]) -> Iterator[None]:
    """Leave an engine that is silent during an attempt, once another one is free.

    Connections stay open when an engine is paused or a network drops all packets.
    Without this check the request would wait until its deadline.  An engine that is
    only slow still answers its polls.  Two consecutive checks must find the engine
    silent, because a router that was paused itself has received no answers either.

    Parameters
    ----------
    is_silent
        Tells whether neither the attempt nor the polls of its engine were answered
        recently.
    leave
        Moves the request to another engine; the attempt goes on if there is none, as
        the engine may answer again.
    """
    loop = asyncio.get_running_loop()
    timer: asyncio.TimerHandle | None = None

    def check_silence(was_silent: bool) -> None:
        nonlocal timer
        silent = is_silent()
        timer = loop.call_later(WATCH / SECOND, check_silence, silent)
        if silent and was_silent:
            leave()

    timer = loop.call_later(WATCH / SECOND, check_silence, False)
    try:
        yield
    finally:
        timer.cancel()
