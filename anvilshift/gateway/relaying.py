"""Relay a target's answer to the caller, and count the events that were received."""

from collections.abc import Callable
from dataclasses import dataclass

from anvilshift.core.answerbuffers import AnswerBuffer, AnswerBuffers
from anvilshift.core.clock import Clock, Millis
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.failures import Failure
from anvilshift.gateway.outgoing import Answer, AttemptError
from anvilshift.gateway.silencewatch import SilenceWatch
from anvilshift.gateway.splitting import EventSplitter
from anvilshift.wire.endings import Ending, Framing, judge_stream
from anvilshift.wire.messages import HeaderFields, list_connection_options
from anvilshift.wire.responder import Responder
from anvilshift.wire.response import ExchangeError

COMPLETE = "whole"
_MAX_ANSWER_BYTES = 8 * 1024 * 1024
"""Size limit of an answer that is read completely before it is sent to the caller."""
_FRAMING_HEADERS = frozenset(
    {"content-length", "transfer-encoding", "connection", "keep-alive", "trailer"}
)


@dataclass
class AnswerRelay:
    """Relay one answer to the caller, over all attempts that contribute to it.

    Parameters
    ----------
    buffers
        The bytes of unfinished answers that this router holds.

    Attributes
    ----------
    events
        Number of complete events received.
    last_id
        Id of the last of these that had one; an attempt that resumes the stream at
        another target starts after it.
    first
        When the first event or the complete short answer arrived.
    longest_pause
        Longest time between two pieces of the stream, each of which completed at
        least one event.
    broken
        Whether a target may have generated more of the answer than was received.
    outcome
        How the answer ended, for the log.
    framing, ending
        How the last target's answer was framed, and how its body ended.
    rest
        Bytes received behind the last complete event of the last target's stream.
    """

    responder: Responder
    clock: Clock
    buffers: AnswerBuffers
    events: int = 0
    last_id: str | None = None
    first: Millis | None = None
    longest_pause: Millis = 0.0
    broken: bool = False
    outcome: str = ""
    framing: Framing | None = None
    ending: Ending | None = None
    rest: int = 0
    _last_event_at: Millis = 0.0
    _is_framed: bool = True

    @property
    def started(self) -> bool:
        """Return whether the headers of the answer were sent to the caller."""
        return self.responder.started

    @property
    def is_cut(self) -> bool:
        """Return whether the answer began and did not reach its end."""
        return self.started and not self.responder.finished

    def start_attempt(self) -> None:
        """Forget how the answer of the attempt before was framed and ended."""
        self.framing, self.ending, self.rest = None, None, 0

    def describe_ending(self) -> dict[str, str | int | None]:
        """Return how the last target's answer was framed and ended, for the log."""
        return {
            "framing": self.framing.value if self.framing else None,
            "ending": self.ending.value if self.ending else None,
            "rest": self.rest,
        }

    async def read_complete(self, answer: Answer, on_part: Callable[[], None]) -> bytes:
        """Read and return the body of a short answer.

        Parameters
        ----------
        on_part
            Called as the head and each part of the body has arrived.
        """
        on_part()
        try:
            with self.buffers.begin() as held:

                def note_part(size: int) -> None:
                    on_part()
                    _hold(held, size)

                body = await answer.response.read(_MAX_ANSWER_BYTES, note_part)
        finally:
            self._record_ending(answer)
        self.first = self.clock.now()
        return body

    async def send_complete(self, answer: Answer, body: bytes) -> None:
        """Send a short answer whose body was read completely."""
        self.outcome = f"status {answer.status}"
        headers = [*_filter_headers(answer), *_list_length(answer, body)]
        await self._start(answer, headers)
        await self.responder.finish(body)

    async def stream(
        self,
        answer: Answer,
        watch: SilenceWatch,
        find_max_silence: Callable[[], Millis | None],
        on_first_event: Callable[[], None],
        is_resumed: bool = False,
    ) -> None:
        """Relay a stream, one or more complete events at a time.

        Parameters
        ----------
        watch
            Watches the attempt for silence; it is told of each event.
        find_max_silence
            Returns the time without an event after which another target is sought;
            None if no other may go on.
        on_first_event
            Called at the first event of the attempt.
        is_resumed
            Whether the caller takes a stream up, so that no event may be left.

        Raises
        ------
        AttemptError
            When the stream breaks off.  An incomplete event is not sent to the caller.
        """
        splitter = EventSplitter(resumed=self.started)
        received = self.events
        try:
            with self.buffers.begin() as held:
                async for chunk in answer.response.chunks():
                    whole = _split(splitter, chunk)
                    _hold(held, splitter.held)
                    if not whole:
                        continue
                    if not self.events - received:
                        on_first_event()
                    self.last_id = splitter.last_id or self.last_id
                    self.events = received + splitter.count
                    self._record_event_time()
                    with watch.hold(find_max_silence()):
                        await self._send_headers(answer)
                        await self.responder.write(whole)
        except ExchangeError as error:
            raise AttemptError(
                Failure.BROKE_OFF, str(error), reused=error.reused
            ) from error
        finally:
            self.rest = len(splitter.rest)
            self._record_ending(answer)
        watch.finish()
        self._check_stream(splitter)
        if not (is_resumed or self.events):
            self._check_empty()
        await self._send_headers(answer)
        if self._is_framed and self.ending is Ending.CLOSED:
            # The chunks that another target's answer began with would vouch for the
            # end of this one; the caller can still take up what it has received.
            self.outcome = "end not shown"
            self.responder.abort()
            return
        self.outcome = "whole after a break" if self.broken else COMPLETE
        await self.responder.finish(splitter.rest)

    def _check_stream(self, splitter: EventSplitter) -> None:
        """Check that a stream whose body has ended is complete.

        Raises
        ------
        AttemptError
            When the stream ended inside an event.
        """
        assert self.ending is not None
        answered = self.ending is Ending.FRAMED
        self.ending = judge_stream(self.ending, splitter.is_inside_event)
        if not self.ending.is_complete:
            # A target that framed the end is there; one that closed may have crashed.
            detail = f"the stream ended {self.ending.value}"
            raise AttemptError(Failure.BROKE_OFF, detail, answered=answered)

    def _check_empty(self) -> None:
        """Check that a stream without any event is one, and not the target's end.

        A target that ends before its first event closes its connection as well.

        Raises
        ------
        AttemptError
            When only the end of the connection shows the end of the stream.
        """
        if self.ending is Ending.CLOSED:
            detail = "the stream ended with its connection, without an event"
            raise AttemptError(Failure.BROKE_OFF, detail)

    def _record_ending(self, answer: Answer) -> None:
        self.framing = answer.response.framing
        self.ending = answer.response.ending

    async def _send_headers(self, answer: Answer) -> None:
        """Send the headers of the first target's answer, unless they were sent."""
        if not self.started:
            await self._start(answer, _filter_headers(answer))

    async def _start(self, answer: Answer, headers: HeaderFields) -> None:
        """Send the head of an answer, which is framed only if the target's own is.

        A length or chunks would vouch for the end of an answer that its target may
        have broken off.
        """
        self._is_framed = answer.response.framing is not Framing.CONNECTION
        await self.responder.start(
            answer.status, headers, hold=True, framed=self._is_framed
        )

    def _record_event_time(self) -> None:
        now = self.clock.now()
        if self.first is None:
            self.first = now
        else:
            self.longest_pause = max(self.longest_pause, now - self._last_event_at)
        self._last_event_at = now


def _split(splitter: EventSplitter, chunk: bytes) -> bytes:
    """Return the events that a part of a stream completes.

    Raises
    ------
    AttemptError
        When an event exceeds the size limit.
    """
    try:
        return splitter.feed(chunk)
    except AnvilshiftError as error:
        raise AttemptError(Failure.BROKE_OFF, error.detail, answered=True) from error


def _hold(held: AnswerBuffer, size: int) -> None:
    """Hold more bytes of an answer that isn't complete.

    Raises
    ------
    ExchangeError
        When this router holds too many for all answers, and most of them for this one.
    """
    if not held.hold(size):
        raise ExchangeError("too many bytes of unfinished answers", True)


def _filter_headers(answer: Answer) -> HeaderFields:
    """Return an answer's headers without those that concern the target's connection."""
    removed = _FRAMING_HEADERS | list_connection_options(answer.headers)
    return [(n, v) for n, v in answer.headers.pairs if n not in removed]


def _list_length(answer: Answer, body: bytes) -> HeaderFields:
    """Return the content length of a short answer that was read completely.

    One without a body keeps the length that its target says a body would have.
    """
    if answer.response.framing is Framing.NO_BODY:
        return [(n, v) for n, v in answer.headers.pairs if n == "content-length"]
    if answer.response.framing is Framing.CONNECTION:
        return []
    return [("content-length", str(len(body)))]
