"""Record why an attempt of a request failed, and find out what it did to its target."""

from dataclasses import dataclass
from functools import partial

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import Millis
from anvilshift.core.failures import Failure
from anvilshift.core.targetload import TargetLoad
from anvilshift.gateway.crashes import CrashTracker
from anvilshift.gateway.outgoing import AttemptError
from anvilshift.gateway.parttries import PartTry
from anvilshift.gateway.relaying import AnswerRelay
from anvilshift.gateway.routed import RoutedRequest
from anvilshift.gateway.shared import RouterContext

_MAX_LOGGED_PARTS = 16
"""Shared parts of a prompt that are logged; prompts have a few."""


@dataclass(frozen=True)
class AttemptFailures:
    """The failed attempts of one request."""

    shared: RouterContext
    routed: RoutedRequest
    relay: AnswerRelay
    crashes: CrashTracker
    part_try: PartTry

    def record(self, choice: Choice, error: AttemptError, sent: Millis) -> bool:
        """Log a failed attempt, and count it against its target unless it may pause.

        Parameters
        ----------
        sent
            When the attempt was sent.

        Returns
        -------
        bool
            Whether the target may only pause.
        """
        paused = self._record_fault(choice, error)
        self.shared.journal.write(
            "attempt_failed",
            id=self.routed.call.identity,
            target=choice.target.info.name,
            failure=error.failure.value,
            why=error.detail,
            paused=paused,
            took=round(self.shared.clock.now() - sent, 1),
            reused=error.reused,
            events=self.relay.events,
            parts=self._list_logged_parts(error),
            **self.relay.describe_ending(),
        )
        return paused

    def _list_logged_parts(self, error: AttemptError) -> list[str]:
        """Return the shared parts of a prompt that a target may have ended on."""
        if not _may_have_ended(error):
            return []
        return self.routed.call.prompt.shared_parts[:_MAX_LOGGED_PARTS]

    def _record_fault(self, choice: Choice, error: AttemptError) -> bool:
        """Count a failed attempt against its target, unless the path to it is broken.

        Otherwise a router that loses its links would have the other routers eject
        targets that they reach.
        """
        shared, target = self.shared, choice.target
        if error.silence is not None:
            if not shared.sender.reach.paths.is_direct(target.info.name):
                return True
            if shared.health.add_silence(target, error.silence):
                return True
        record = partial(
            shared.health.record_failure,
            target,
            error.failure,
            self.routed.call.identity,
            error.answered,
            error.hung,
            shared.sender.reach.running.find_activity(target.info.name).heard,
        )
        if _may_have_ended(error):
            reach = shared.sender.reach
            reach.record_fault(target.info, shared.clock.now(), record)
        else:
            record()
        return error.hung and target.health.silence.is_pause(shared.clock.now())

    async def find_cause(
        self, target: TargetLoad, error: AttemptError, has_begun: bool
    ) -> None:
        """Find out whether the request, or a part of its prompt, ended its target.

        Parameters
        ----------
        has_begun
            Whether the target had begun to answer.

        Raises
        ------
        AnvilshiftError
            When the request is now quarantined.
        """
        crashed = ""
        if _may_have_ended(error) and not has_begun:
            crashed = await self.part_try.record_failure(target.info)
        await self.crashes.check_failure(target, error)
        if crashed:
            self.crashes.record_end(target.info.name)


def _may_have_ended(error: AttemptError) -> bool:
    """Return whether a target may have ended while it had the request."""
    return error.failure is Failure.BROKE_OFF and not error.answered
