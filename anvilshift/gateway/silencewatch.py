"""Watch an attempt whose target is silent, and end it once the next one is planned.

Nothing that runs is given up for what may not come: the attempt goes on while another
target, its permit, a retry and an open connection are sought, and ends only when all
of them are there.  An answer that goes on meanwhile stays where it is.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.failures import Failure
from anvilshift.core.pauses import LOOK_INTERVAL, Silence, SilenceSign, TargetActivity
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.outgoing import AttemptError, PlannedAttempt


@dataclass(eq=False)
class SilenceWatch:
    """Watch one attempt for silence.

    Parameters
    ----------
    identity, target
        The request's id and the attempt's target, for the log.
    end
        Deadline of the request.
    find_activity
        Returns when the target sent anything.
    plan_ahead
        Plans the next attempt; returns None if there is none now.
    withdraw
        Gives up what looks in vain still wait for.

    Attributes
    ----------
    planned
        The attempt for which this one was ended.
    is_held
        Whether the answer waits for its caller, not for its target.
    """

    identity: str
    target: str
    end: Millis
    clock: Clock
    journal: Journal
    find_activity: Callable[[], TargetActivity]
    plan_ahead: Callable[[], Awaitable[PlannedAttempt | None]]
    withdraw: Callable[[], None]
    planned: PlannedAttempt | None = None
    is_held: bool = False
    _limit: Millis | None = None
    _since: Millis = 0.0
    _is_doubted: bool = False
    _sign: SilenceSign | None = None
    _due: Millis = 0.0
    _looks: int = 0
    _timeout: asyncio.Timeout | None = None
    _timer: asyncio.TimerHandle | None = None
    _look: asyncio.Task[None] | None = None

    @contextlib.asynccontextmanager
    async def guard(self) -> AsyncIterator[None]:
        """Run an attempt that ends once it is silent and another one is planned.

        Raises
        ------
        AttemptError
            When the attempt was ended; `planned` is the next one.
        """
        try:
            async with asyncio.timeout(None) as self._timeout:
                yield
        except TimeoutError as error:
            if self.planned is None:
                raise
            raise AttemptError(
                Failure.BROKE_OFF,
                "the target sent nothing for too long",
                silence=self._sign,
            ) from error
        except BaseException:
            self._release_planned()
            raise
        else:
            self._release_planned()
        finally:
            await self._stop()

    def _release_planned(self) -> None:
        """Give back what was planned just as the attempt ended otherwise."""
        if self.planned is not None:
            self.planned.release()
            self.planned = None

    async def _stop(self) -> None:
        self._clear_timer()
        if self._look is not None and not self._look.done():
            # What it has taken must be back before the next attempt is planned.
            self._look.cancel()
            await asyncio.wait([self._look])

    def start(self, limit: Millis | None) -> None:
        """Watch from now on.

        Parameters
        ----------
        limit
            How long the answer may be silent while its target answers others; None if
            nothing is to end it.
        """
        self._limit, self._since = limit, self.clock.now()
        self._set_timer(self._since)

    def record_event(self, limit: Millis | None) -> None:
        """Record that the answer goes on; the timer that runs finds it out."""
        self._limit, self._since = limit, self.clock.now()
        self._stop_looking()
        is_late = limit is not None and self._since + limit < self._due
        if self._timer is None or is_late:
            self._set_timer(self._since)

    def _stop_looking(self) -> None:
        self._is_doubted = False
        self._stay()
        if not self._looks:
            return
        self._looks = 0
        if self._look is not None:
            self._look.cancel()
        self.withdraw()

    def _stay(self) -> None:
        """Undo a departure that was decided as the answer came."""
        if self.planned is None or self._timeout is None or self._timeout.expired():
            return
        self._timeout.reschedule(None)
        self._release_planned()

    @contextlib.contextmanager
    def hold(self, limit: Millis | None) -> Iterator[None]:
        """Record that the answer goes on, and wait for its caller, not its target."""
        self.record_event(limit)
        self.is_held = True
        try:
            yield
        finally:
            self.is_held = False
            self._since = self.clock.now()

    def finish(self) -> None:
        """Watch no more: the answer has been received whole."""
        self._limit = None
        self._clear_timer()
        self._stop_looking()

    def doubt(self) -> None:
        """Look for another target now, as nothing may come on this connection."""
        self._is_doubted = True
        if self._limit is not None:
            self._check()

    def _describe_silence(self) -> Silence:
        assert self._limit is not None
        return Silence(self._since, self.find_activity(), self._limit, self.end)

    def _set_timer(self, now: Millis) -> None:
        self._clear_timer()
        if self._limit is None:
            return
        due = self._describe_silence().find_look(now)
        if now >= self._since + self._limit:
            # The target may answer others, or this request, at any moment.
            due = min(due, now + LOOK_INTERVAL)
        self._call_later(max(due - now, 1.0))

    def _clear_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _call_later(self, delay: Millis) -> None:
        self._clear_timer()
        loop = asyncio.get_running_loop()
        self._due = self.clock.now() + delay
        self._timer = loop.call_later(delay / SECOND, self._check)

    def _check(self) -> None:
        self._clear_timer()
        now = self.clock.now()
        if self._limit is None:
            return
        if self.is_held:
            self._call_later(LOOK_INTERVAL)
            return
        is_due = self._is_doubted or now >= self._describe_silence().find_look(now)
        is_looking = self._look is not None and not self._look.done()
        if is_due and not is_looking and self.planned is None:
            self._look = asyncio.get_running_loop().create_task(self._run_look())
        elif is_looking:
            self._call_later(LOOK_INTERVAL)
        else:
            self._set_timer(now)

    async def _run_look(self) -> None:
        since = self._since
        self._looks += 1
        try:
            planned = await self.plan_ahead()
        except Exception as error:
            # The attempt goes on; without another look it would stay for good.
            self.journal.write("look_failed", id=self.identity, why=repr(error))
            self._call_later(LOOK_INTERVAL)
            return
        if planned is None:
            if self._looks == 1:
                self.journal.write(
                    "silence_stayed", id=self.identity, target=self.target
                )
            self._call_later(LOOK_INTERVAL)
        elif since != self._since or self.is_held or self._limit is None:
            planned.release()
            self._set_timer(self.clock.now())
        else:
            assert self._timeout is not None
            self.planned = planned
            silence = self._describe_silence()
            self._sign = silence.find_sign(self.clock.now())
            self._timeout.reschedule(asyncio.get_running_loop().time())
