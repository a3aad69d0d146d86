"""Bound what one request's content costs, and find out which targets it crashed."""

import hashlib

from anvilshift.core.clock import Millis
from anvilshift.core.errors import QUARANTINED, AnvilshiftError
from anvilshift.core.loadmap import TargetLoad
from anvilshift.core.work import Failure
from anvilshift.gateway.attempts import AttemptError
from anvilshift.gateway.shared import Shared
from anvilshift.wire.messages import Address, HttpRequest

_CHECK: Millis = 300.0
"""How long a target may take to accept a connection, which takes 4 ms."""


def digest_request(request: HttpRequest, organisation: str) -> str:
    """Return what names a request however often it is sent."""
    hasher = hashlib.sha256(request.target.encode("latin-1"))
    hasher.update(organisation.encode())
    hasher.update(request.body)
    return hasher.hexdigest()[:24]


class CrashWatch:
    """One request's content, and the targets that it may have crashed.

    Parameters
    ----------
    content
        Names the request however often it is sent.
    """

    def __init__(self, shared: Shared, content: str) -> None:
        self._shared = shared
        self._book = shared.blame
        self._content = content

    def check(self) -> None:
        """Refuse content that crashes its targets.

        Raises
        ------
        AnvilshiftError
            When it must not run any more.
        """
        if self._book.is_poison(self._content, self._shared.clock.now()):
            raise AnvilshiftError(QUARANTINED)

    def list_barred(self, service: str) -> set[str]:
        """Return the targets of a service that the content may not reach."""
        confined = self._book.exposure.list_confined(self._content)
        if not confined:
            return set()
        targets = self._shared.sender.loads.of_service(service)
        return {target.info.name for target in targets} - set(confined)

    def begin(self, target: str) -> None:
        """Charge a target that the content is about to be sent to."""
        self._book.exposure.charge(self._content, target, self._shared.clock.now())

    def end(self, target: str, ran: bool) -> None:
        """Take in that an attempt ended, and whether it may have run."""
        self._book.exposure.end(self._content, target, ran)

    def clear(self) -> None:
        """Take in that the content was answered whole."""
        self._book.clear(self._content)

    async def look(self, target: TargetLoad, error: AttemptError) -> None:
        """Blame the content for the targets that it broke off at and that are gone.

        Raises
        ------
        AnvilshiftError
            When it must not run any more.
        """
        shared, info = self._shared, target.info
        if error.replaced:
            shared.note_replaced(info.name)
        elif error.failure is Failure.NOT_SENT:
            shared.note_lost(info.name)
        elif error.failure is Failure.BROKE_OFF and not error.answered:
            now = shared.clock.now()
            for name in self._book.broke(self._content, info.name, now):
                await self._probe(name)
        self.check()

    async def _probe(self, name: str) -> None:
        """Find out whether a target still accepts connections."""
        shared = self._shared
        known = shared.sender.loads.targets.get(name)
        if known is None:
            shared.note_lost(name)
            return
        address = Address.parse(known.info.address)
        if not await shared.sender.client.check(address, _CHECK):
            shared.note_lost(name)
