"""Bound the number of targets that one request's content can crash.

Requests are identified by a digest of their content, and targets that stop accepting
connections after a broken answer are attributed to the content that ran there.
"""

import hashlib

from anvilshift.core.blame import MAX_CRASHES
from anvilshift.core.ejection import HealthState
from anvilshift.core.errors import QUARANTINED, AnvilshiftError
from anvilshift.core.failures import Failure
from anvilshift.core.homes import choose_homes
from anvilshift.core.targetload import Prompt, TargetInfo, TargetLoad
from anvilshift.gateway.outgoing import AttemptError
from anvilshift.gateway.reach import Reached
from anvilshift.gateway.shared import RouterContext
from anvilshift.wire.messages import HttpRequest


def digest_request(request: HttpRequest, organisation: str) -> str:
    """Return a digest that is the same for each repetition of a request.

    It covers the request target, the organisation and the body, but no headers, since
    each attempt has an id of its own.
    """
    hasher = hashlib.sha256(request.target.encode("latin-1"))
    hasher.update(organisation.encode())
    hasher.update(request.body)
    return hasher.hexdigest()[:24]


def is_only_silent(target: TargetLoad, error: AttemptError) -> bool:
    """Tell whether a target that can't be connected to may be sound all the same."""
    return error.hung and target.health.state is not HealthState.EJECTED


class CrashTracker:
    """Track the targets that one request's content may have crashed.

    Parameters
    ----------
    content
        Digest of the request, the same for each repetition.
    """

    def __init__(self, shared: RouterContext, content: str) -> None:
        self._shared = shared
        self._blame = shared.blame
        self._content = content

    def check(self) -> None:
        """Refuse content that crashes its targets.

        Raises
        ------
        AnvilshiftError
            When the content is quarantined.
        """
        if self._blame.is_poison(self._content, self._shared.clock.now()):
            raise AnvilshiftError(QUARANTINED)

    def list_forbidden(
        self, service: str, prompt: Prompt, version: str | None = None
    ) -> set[str]:
        """Return the targets of a service to which the content may not be sent.

        Until it has been answered completely, the content may be sent only to its
        home targets, which every router computes alike.  Routers that can't exchange
        messages may send copies of it, and would otherwise each choose other targets.

        Parameters
        ----------
        version
            Version at which the content's stream began; None for a new one.  It goes on
            at homes among the targets of that version, since few of the others are.
        """
        loads, exposure = self._shared.sender.loads, self._blame.exposure
        if exposure.is_harmless(self._content):
            return set()
        recent = self._list_candidates(service, prompt)
        if version is not None:
            recent = [info for info in recent if info.version == version]
        domains = {info.name: info.failure_domain for info in recent}
        homes = choose_homes(self._get_home_key(prompt), domains, MAX_CRASHES)
        reached = exposure.list_charged_targets(self._content)
        allowed = [*reached, *(name for name in homes if name not in reached)]
        present = {target.info.name for target in loads.list_service_targets(service)}
        return present - set(allowed[: max(MAX_CRASHES, len(reached))])

    def _list_candidates(self, service: str, prompt: Prompt) -> list[TargetInfo]:
        """Return the targets among which the homes are chosen.

        Homes of one content alone keep their places when they are lost: it is likely
        to be what ended them.  Those of a family are replaced.
        """
        loads, now = self._shared.sender.loads, self._shared.clock.now()
        if not prompt.shared_parts:
            return loads.list_recent(service, now)
        return loads.list_home_candidates(service, now, self._blame.silences.may_hide)

    def list_beyond_bound(self, service: str) -> set[str]:
        """Return the targets that the content may not reach, homes or not."""
        loads, exposure = self._shared.sender.loads, self._blame.exposure
        present = {target.info.name for target in loads.list_service_targets(service)}
        return {name for name in present if not exposure.may_reach(self._content, name)}

    def _get_home_key(self, prompt: Prompt) -> str:
        """Return the key from which the content's home targets are computed.

        Prompts that share all parts but the last get the same home targets, so the
        shared parts are cached there.
        """
        shared_parts = prompt.shared_parts
        return shared_parts[-1] if shared_parts else self._content

    def charge_target(self, target: str) -> None:
        """Charge the content with a target to which it is about to be sent."""
        self._blame.exposure.charge(self._content, target, self._shared.clock.now())

    def end(self, target: str, ran: bool) -> None:
        """Record that an attempt ended, and whether the target may have run it."""
        self._blame.exposure.end(self._content, target, ran)

    def clear(self) -> None:
        """Clear the content of suspicion, since it was answered completely."""
        self._blame.clear(self._content)

    async def check_failure(self, target: TargetLoad, error: AttemptError) -> None:
        """Find out whether a failed attempt crashed its target.

        A broken answer alone proves nothing, so the targets at which the content
        broke off are checked for whether they still accept connections.  The content
        is blamed for those that do not.

        Raises
        ------
        AnvilshiftError
            When the content is now quarantined.
        """
        shared, info = self._shared, target.info
        if error.replaced:
            shared.on_target_replaced(info.name)
        elif error.failure is Failure.NOT_SENT and not is_only_silent(target, error):
            self._report_lost(info.name)
        elif error.failure is Failure.BROKE_OFF and not error.answered:
            now = shared.clock.now()
            for name in self._blame.record_broken_answer(self._content, info.name, now):
                await self._probe(name)
        self.check()

    def record_pause(self, name: str, may_have_run: bool) -> None:
        """Record that a target fell silent on the content, which may mean nothing.

        If it breaks off again, this target is checked as well.

        Parameters
        ----------
        may_have_run
            Whether the content may have reached the target; else it isn't to blame.

        Raises
        ------
        AnvilshiftError
            When the content is quarantined by now.
        """
        now = self._shared.clock.now()
        if may_have_run:
            self._blame.record_broken_answer(self._content, name, now)
        self.check()

    def is_quarantined(self) -> bool:
        """Return whether the content may not be sent again."""
        return self._blame.is_poison(self._content, self._shared.clock.now())

    def record_end(self, name: str) -> None:
        """Record that a target has ended, and blame the contents that broke off there.

        Raises
        ------
        AnvilshiftError
            When the content is now quarantined.
        """
        self._report_lost(name)
        self.check()

    async def _probe(self, name: str) -> None:
        """Check whether a target accepts connections, and report it as lost if not."""
        shared = self._shared
        known = shared.sender.loads.targets.get(name)
        if known is None:
            self._report_lost(name)
            return
        if await shared.sender.reach.check(known.info) is Reached.NOT_AT_ALL:
            self._report_lost(name)

    def _report_lost(self, name: str) -> None:
        """Report a target that accepts no connection.

        Once it does again it may be another start than its entry describes.
        """
        self._shared.on_target_lost(name)
        target = self._shared.sender.loads.targets.get(name)
        if target is not None:
            self._shared.sender.starts.doubt(target)
