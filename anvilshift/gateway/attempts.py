"""Send a request to one target, and say what became of it.

Every send, first byte and end goes into this router's load map and to the
other routers, whatever comes of the attempt.
"""

import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import Clock, Millis
from anvilshift.core.loadmap import LoadMap, Prompt
from anvilshift.core.work import Failure
from anvilshift.gateway.border import Delivery, Dialect, Notes
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.limits import LimitBook
from anvilshift.gateway.messages import Begun, Ended, Held, Sent
from anvilshift.gateway.peers import Peers
from anvilshift.wire.client import ExchangeError, HttpClient, Response
from anvilshift.wire.messages import Address, Headers, HttpRequest

_MOST_FIELDS = 64
"""Names of answers' fields that are logged once each; more would be noise."""
_MOST_VALUE = 80
"""Characters of such a field's value in the log."""


class AttemptError(Exception):
    """An attempt failed before anything of it could be used.

    Parameters
    ----------
    failure
        Whether the target may have run the request.
    detail
        What happened.
    replaced
        Whether another target was found at the address.
    answered
        Whether the target answered, though with nothing that can be used.
    """

    def __init__(
        self,
        failure: Failure,
        detail: str,
        replaced: bool = False,
        answered: bool = False,
    ) -> None:
        super().__init__(f"{failure.value}: {detail}")
        self.failure = failure
        self.detail = detail
        self.replaced = replaced
        self.answered = answered

    @property
    def never_ran(self) -> bool:
        """Tell whether the target certainly did not run the request."""
        return self.failure in (Failure.NOT_SENT, Failure.REJECTED)


@dataclass(frozen=True)
class Outgoing:
    """One request as it goes to one target.

    Parameters
    ----------
    run
        Names the attempt among all routers'.
    capacity
        Tokens that the target's memory holds; 0 for a plain service.
    """

    run: str
    request: HttpRequest
    identity: str
    host: str
    prompt: Prompt
    delivery: Delivery
    choice: Choice
    capacity: int


@dataclass
class Answer:
    """A target's answer whose body is still arriving."""

    status: int
    headers: Headers
    notes: Notes
    response: Response


@dataclass
class Sender:
    """Send attempts of this router."""

    client: HttpClient
    dialect: Dialect
    loads: LoadMap
    peers: Peers
    clock: Clock
    journal: Journal
    limits: LimitBook
    _fields: set[str] = field(default_factory=set)

    @contextlib.asynccontextmanager
    async def send(self, outgoing: Outgoing) -> AsyncIterator[Answer]:
        """Send a request and give its answer once the head has arrived.

        Raises
        ------
        AttemptError
            When there is no answer to this request, or the target states that
            it did not run it.
        """
        self._note_send(outgoing)
        sent = self.clock.now()
        try:
            async with self._exchange(outgoing) as response:
                self._log_fields(outgoing, response.headers)
                notes = self.dialect.read_notes(response.status, response.headers)
                self._note_limit(outgoing, notes, sent)
                _check(outgoing, notes)
                yield Answer(response.status, response.headers, notes, response)
        except ExchangeError as error:
            failure = Failure.BROKE_OFF if error.sent else Failure.NOT_SENT
            raise AttemptError(failure, str(error)) from error
        finally:
            self._note_end(outgoing)

    def _log_fields(self, outgoing: Outgoing, headers: Headers) -> None:
        """Log each field that no answer bore before: what targets say of themselves."""
        for name, value in headers.pairs:
            if name not in self._fields and len(self._fields) < _MOST_FIELDS:
                self._fields.add(name)
                self.journal.write(
                    "answer_field",
                    name=name,
                    value=value[:_MOST_VALUE],
                    id=outgoing.identity,
                    target=outgoing.choice.target.info.name,
                )

    def _note_limit(self, outgoing: Outgoing, notes: Notes, sent: Millis) -> None:
        """Take in what a target names, or no longer names, of its own need."""
        ours = notes.identity in (None, outgoing.identity) and not notes.misdirected
        if not ours:
            return
        name = outgoing.choice.target.info.name
        if notes.signed or notes.limit is not None:
            self.limits.note_answer(name, notes.limit, sent, outgoing.identity)
        if notes.not_run and notes.pause:
            self.limits.note_refusal(name, notes.pause, outgoing.identity)

    def _exchange(
        self, outgoing: Outgoing
    ) -> contextlib.AbstractAsyncContextManager[Response]:
        request = outgoing.request
        headers = self.dialect.write_delivery(request, outgoing.delivery)
        address = Address.parse(outgoing.choice.target.info.address)
        return self.client.exchange(
            address,
            request.method,
            request.target,
            headers,
            request.body,
            host=outgoing.host,
        )

    def _note_send(self, outgoing: Outgoing) -> None:
        info, prompt = outgoing.choice.target.info, outgoing.prompt
        name = info.name
        cached, now = outgoing.choice.cached, self.clock.now()
        disturbing = outgoing.choice.disturbing
        self.loads.send(
            name, outgoing.run, prompt, cached, now, outgoing.capacity, disturbing
        )
        sent = Sent(
            outgoing.run,
            name,
            prompt.parts,
            prompt.tokens,
            prompt.most_answer,
            cached,
            disturbing,
        )
        self._tell(sent, outgoing)
        self._tell_held(outgoing)

    def _tell_held(self, outgoing: Outgoing) -> None:
        """Tell routers far away what a target's memory did not hold before.

        They are not told of the run.  Each would have the part read again at a target
        of its own, although it could be fetched, or the prompt be sent there.
        """
        choice, shared = outgoing.choice, outgoing.prompt.parts[:-1]
        fetched = choice.fetch_from is not None
        news = fetched or choice.cached < sum(tokens for _, tokens in shared)
        if shared and news and not self.peers.small:
            info = choice.target.info
            self.peers.tell_far(Held(info.name, shared), info.failure_domain)

    def note_begin(self, outgoing: Outgoing) -> None:
        """Take in that the target began to answer."""
        name = outgoing.choice.target.info.name
        self.loads.begin(name, outgoing.run, self.clock.now())
        if self.peers.small:
            self.peers.tell(Begun(outgoing.run, name))

    def _note_end(self, outgoing: Outgoing) -> None:
        name = outgoing.choice.target.info.name
        self.loads.end(name, outgoing.run)
        self._tell(Ended(outgoing.run, name), outgoing)

    def _tell(self, message: Sent | Ended, outgoing: Outgoing) -> None:
        """Tell the routers that may send work to the same target.

        In a larger fleet only those near it, and only of model engines: a request at
        a plain service has ended about as soon as it was told of.
        """
        if self.peers.small:
            self.peers.tell(message)
        elif outgoing.capacity:
            domain = outgoing.choice.target.info.failure_domain
            self.peers.tell_near(message, domain, soon=isinstance(message, Sent))


def _check(outgoing: Outgoing, notes: Notes) -> None:
    """Refuse what isn't the answer to this request."""
    if notes.identity is not None and notes.identity != outgoing.identity:
        # A second answer to an earlier request came late on a kept connection.
        # Taken for this one's, a caller would get another's answer.
        detail = "an answer to another request"
        raise AttemptError(Failure.BROKE_OFF, detail, answered=True)
    if notes.misdirected:
        detail = "another target has the address"
        raise AttemptError(Failure.REJECTED, detail, replaced=True)
    if notes.not_run:
        raise AttemptError(Failure.REJECTED, "the target did not run it")
