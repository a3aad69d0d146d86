"""Bound what one request's content costs, and find out which targets it crashed."""

import hashlib

from anvilshift.core.blame import CRASHES
from anvilshift.core.clock import Millis
from anvilshift.core.errors import QUARANTINED, AnvilshiftError
from anvilshift.core.homes import choose_homes
from anvilshift.core.loadmap import Prompt, TargetLoad
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

    def list_barred(self, service: str, prompt: Prompt) -> set[str]:
        """Return the targets of a service that the content may not reach.

        Until it was answered whole it may reach its homes only, whatever this router
        knows: others that can't be told send copies of it as well.
        """
        loads, exposure = self._shared.sender.loads, self._book.exposure
        if exposure.is_harmless(self._content):
            return set()
        domains = loads.list_domains(service, self._shared.clock.now())
        homes = choose_homes(self._find_key(prompt), domains, CRASHES)
        reached = exposure.list_reached(self._content)
        allowed = [*reached, *(name for name in homes if name not in reached)]
        present = {target.info.name for target in loads.of_service(service)}
        return present - set(allowed[: max(CRASHES, len(reached))])

    def _find_key(self, prompt: Prompt) -> str:
        """Return what fixes the content's homes.

        Prompts that share all parts but the last meet where these are cached.
        """
        shared = prompt.parts[:-1]
        return shared[-1][0] if shared else self._content

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
