"""Detect that an engine no longer answers at all."""

import asyncio
import contextlib
from collections.abc import Callable, Iterator

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.work import Failure
from anvilshift.engines.http import TargetError

WATCH: Millis = 500.0
"""Interval between two checks whether an engine is silent.  Together with the time
after which polls count as unanswered, a request leaves a silent engine within three
seconds."""


@contextlib.contextmanager
def watch(is_silent: Callable[[], bool]) -> Iterator[asyncio.Timeout]:
    """Abort an attempt when its engine has become silent.

    Connections stay open when an engine is paused or a network drops all packets.
    Without this check the request would wait until its deadline.  An engine that is
    only slow still answers its polls.  Two consecutive checks must find the engine
    silent, because a router that was paused itself has received no answers either.

    Parameters
    ----------
    is_silent
        Tells whether neither the attempt nor the polls of its engine were answered
        recently.

    Raises
    ------
    TargetError
        When two consecutive checks found the engine silent.
    """
    loop = asyncio.get_running_loop()
    timeout_scope = asyncio.timeout(None)
    timer: asyncio.TimerHandle | None = None

    def check_silence(was_silent: bool) -> None:
        nonlocal timer
        silent = is_silent()
        if silent and was_silent:
            timeout_scope.reschedule(loop.time())
        else:
            timer = loop.call_later(WATCH / SECOND, check_silence, silent)

    timer = loop.call_later(WATCH / SECOND, check_silence, False)
    try:
        yield timeout_scope
    except TimeoutError as error:
        if not timeout_scope.expired():
            raise
        detail = "the engine stopped answering"
        raise TargetError(Failure.TIMED_OUT, detail) from error
    finally:
        timer.cancel()
