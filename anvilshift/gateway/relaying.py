"""Pass a target's answer on to its caller, and keep account of what came."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.work import Failure
from anvilshift.gateway.attempts import Answer, AttemptError
from anvilshift.gateway.splitting import EventSplitter
from anvilshift.wire.client import ExchangeError
from anvilshift.wire.messages import Fields, list_hop_headers
from anvilshift.wire.server import Responder

WHOLE = "whole"
_ANSWER_BYTES = 8 * 1024 * 1024
"""Largest answer that is read whole before it goes on."""
_FRAMING = frozenset(
    {"content-length", "transfer-encoding", "connection", "keep-alive", "trailer"}
)


@dataclass
class AnswerRelay:
    """One answer on its way to its caller, over all attempts that make it.

    Attributes
    ----------
    events
        Whole events that came.
    last_id
        Id of the last one; a run that goes on elsewhere begins behind it.
    first
        When the answer began.
    longest_pause
        Longest time between two pieces.
    broken
        Whether a target may have made more of the answer than came.
    outcome
        How it ended, for the log.
    """

    responder: Responder
    clock: Clock
    events: int = 0
    last_id: str | None = None
    first: Millis | None = None
    longest_pause: Millis = 0.0
    broken: bool = False
    outcome: str = "gone"
    _passed: Millis = 0.0

    @property
    def started(self) -> bool:
        """Tell whether the caller has the answer's head."""
        return self.responder.started

    async def read_whole(self, answer: Answer) -> bytes:
        """Return the body of a short answer."""
        body = await answer.response.read(_ANSWER_BYTES)
        self.first = self.clock.now()
        return body

    async def send_whole(self, answer: Answer, body: bytes) -> None:
        """Send a short answer that is here in full."""
        self.outcome = f"status {answer.status}"
        length = ("content-length", str(len(body)))
        headers = [*_keep_headers(answer), length]
        await self.responder.start(answer.status, headers, hold=True)
        await self.responder.finish(body)

    async def stream(
        self,
        answer: Answer,
        bound: asyncio.Timeout,
        silence: Millis | None,
        begin: Callable[[], None],
    ) -> None:
        """Send a stream on event by event.

        Parameters
        ----------
        bound
            The attempt's time; it is put off with each event.
        silence
            Longest time without an event; None is no bound.
        begin
            Called at the attempt's first event.

        Raises
        ------
        AttemptError
            When the stream breaks off; what came in part is held back.
        """
        splitter = EventSplitter()
        received = self.events
        loop = asyncio.get_running_loop()
        try:
            async for chunk in answer.response.chunks():
                whole = splitter.feed(chunk)
                if not whole:
                    continue
                if not self.events - received:
                    begin()
                self.last_id = splitter.last_id or self.last_id
                self.events = received + splitter.count
                until = None if silence is None else loop.time() + silence / SECOND
                bound.reschedule(until)
                self._note_event()
                await self._start(answer)
                await self.responder.write(whole)
        except ExchangeError as error:
            raise AttemptError(Failure.BROKE_OFF, str(error)) from error
        await self._start(answer)
        self.outcome = "whole after a break" if self.broken else WHOLE
        await self.responder.finish(splitter.rest)

    async def _start(self, answer: Answer) -> None:
        """Send the head of the first target's answer, once."""
        if not self.started:
            headers = _keep_headers(answer)
            await self.responder.start(answer.status, headers, hold=True)

    def _note_event(self) -> None:
        now = self.clock.now()
        if self.first is None:
            self.first = now
        else:
            self.longest_pause = max(self.longest_pause, now - self._passed)
        self._passed = now


def _keep_headers(answer: Answer) -> Fields:
    """Return a target's headers without those of its own connection."""
    drop = _FRAMING | list_hop_headers(answer.headers)
    return [(n, v) for n, v in answer.headers.pairs if n not in drop]
