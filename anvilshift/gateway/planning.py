"""Plan the attempts of one request: its target, permit, retry and connection.

A first attempt, and one that follows a failed attempt, may wait for these, and fails
with an error where one of them can't be had.  The attempt that follows a silent one is
planned ahead, while that one goes on: with all of them at once or not at all.
"""

import asyncio
import contextlib
from dataclasses import dataclass, field

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import (
    ENGINE_FAILED,
    NO_ENGINE,
    OVERLOADED,
    STREAM_NOT_RESUMABLE,
    AnvilshiftError,
    Code,
)
from anvilshift.core.pauses import LOOK_INTERVAL
from anvilshift.core.placement.targetmemory import MESSAGE_WAY
from anvilshift.core.timeouts import NO_ENGINE_RETRY, find_return, rank
from anvilshift.gateway.crashes import CrashTracker
from anvilshift.gateway.outgoing import AttemptError, PlannedAttempt
from anvilshift.gateway.parttries import PartTry
from anvilshift.gateway.permitsession import PermitSession
from anvilshift.gateway.relaying import AnswerRelay
from anvilshift.gateway.retrying import RequestRetries
from anvilshift.gateway.routed import RoutedRequest
from anvilshift.gateway.shared import RouterContext
from anvilshift.gateway.streambinding import StreamBinding
from anvilshift.gateway.targetchoice import TargetChooser
from anvilshift.wire.connection import Connection
from anvilshift.wire.response import ExchangeError

_MAX_SEARCH: Millis = 1 * SECOND
"""How long an answer that has begun waits for a target to go on at: an ejection or a
pause of its targets may end meanwhile."""


class _MemoryLackError(AnvilshiftError):
    """No target has memory for the request now."""


@dataclass
class RequestProgress:
    """How far one request has come.

    Attributes
    ----------
    may_have_run
        Whether any target may have run the request, or may still run it.
    targets
        Number of targets that may have run it.
    failed_targets
        Names of the targets at which an attempt failed; they get no further attempt.
    paused_targets
        Those that were left because they paused; others are preferred.
    """

    may_have_run: bool = False
    targets: int = 0
    failed_targets: set[str] = field(default_factory=set)
    paused_targets: set[str] = field(default_factory=set)


@dataclass
class AttemptPlanner:
    """Plan the attempts of one request."""

    shared: RouterContext
    routed: RoutedRequest
    relay: AnswerRelay
    turn: PermitSession
    retries: RequestRetries
    stream: StreamBinding
    chooser: TargetChooser
    part_try: PartTry
    crashes: CrashTracker
    progress: RequestProgress = field(default_factory=RequestProgress)
    share: tuple[str, str] | None = None
    _missing: str = ""

    def may_go_on(self, after: int | None = None) -> bool:
        """Return whether the request may be run at a further target.

        Parameters
        ----------
        after
            Number of targets that may have run it by then; as many as now if omitted.
        """
        targets = self.progress.targets if after is None else after
        if self.relay.events and self.relay.last_id is None:
            # Nothing says behind which event another target would have to go on.
            return False
        rule = self.routed.rule
        return rule.repeatable and targets < rule.max_targets_per_request

    # The first attempt, and one that follows a failed one

    async def plan(self) -> PlannedAttempt:
        """Plan the first attempt.

        Raises
        ------
        AnvilshiftError
            When no attempt is made.
        """
        while True:
            choice = await self._admit() or await self._choose_with_memory()
            self._check_predicted_wait(choice)
            run = await self._request_permit(choice)
            if run is not None:
                return PlannedAttempt(choice, run)

    async def plan_retry(self, error: AttemptError) -> PlannedAttempt:
        """Plan the attempt that follows a failed one.

        An answer that has begun waits a moment for what it needs if that may come: its
        caller would have to ask for the rest of it, and would need the same.

        Raises
        ------
        AnvilshiftError
            When no further attempt is made.
        """
        if not error.never_ran and not self.may_go_on():
            raise AnvilshiftError(ENGINE_FAILED, error.detail)
        until = min(self.shared.clock.now() + _MAX_SEARCH, self.routed.end)
        while True:
            try:
                await self._take_retry()
                return await self.plan()
            except AnvilshiftError as refusal:
                may_wait = self.relay.started and refusal.code is ENGINE_FAILED
                if not may_wait or self.shared.clock.now() >= until:
                    raise
                if not self.chooser.may_come(self.progress.failed_targets):
                    raise
            await asyncio.sleep(LOOK_INTERVAL / SECOND)

    async def _admit(self) -> Choice | None:
        """Wait for the request's try, if a part of its prompt is suspect.

        Returns
        -------
        Choice or None
            The target of the try; None if it may be sent anywhere.
        """
        try:
            return await self.part_try.admit(self.progress.failed_targets)
        except AnvilshiftError as error:
            if self.progress.may_have_run:
                raise AnvilshiftError(ENGINE_FAILED, error.detail) from error
            raise

    async def _choose_with_memory(self) -> Choice:
        """Choose a target; wait a moment for the news of what the others hold."""
        until = min(self.shared.clock.now() + MESSAGE_WAY, self.routed.end)
        while True:
            try:
                return self._choose()
            except _MemoryLackError:
                if self.shared.clock.now() >= until:
                    raise
            await asyncio.sleep(LOOK_INTERVAL / SECOND)

    def _choose(self) -> Choice:
        failed, paused = self.progress.failed_targets, self.progress.paused_targets
        choice = self.chooser.choose(failed | paused)
        if choice is None and paused:
            choice = self.chooser.choose(failed)
        if choice is None:
            turn = self.turn.find_return()
            if turn is not None:
                raise self._make_final_error(
                    OVERLOADED, turn, "no permit is expected before the deadline"
                )
            if self.stream.is_stranded():
                detail = "the version that began the stream serves no more"
                raise self._make_final_error(STREAM_NOT_RESUMABLE, 0.0, detail)
            if self.chooser.lacks_memory(failed):
                detail = "no target has memory for the prompt and its longest answer"
                error = self._make_final_error(OVERLOADED, NO_ENGINE_RETRY, detail)
                raise _MemoryLackError(error.code, detail, error.retry_after)
            raise self._make_final_error(
                NO_ENGINE, NO_ENGINE_RETRY, "no target is available"
            )
        return self._find_sooner(choice, failed | paused)

    def _find_sooner(self, choice: Choice, excluded: set[str]) -> Choice:
        """Return another choice if this one comes too late, and the other doesn't.

        A full target costs more than a wait for a permit, but may still be in time.
        """
        left = self.routed.end - self.shared.clock.now()
        if choice.turn <= left:
            return choice
        sooner = self.chooser.choose(excluded | self.chooser.list_late(left))
        if sooner is None or sooner.total_wait > left:
            return choice
        return sooner

    def _check_predicted_wait(self, choice: Choice) -> None:
        """Refuse a request at once if its predicted wait exceeds the time left."""
        left = self.routed.end - self.shared.clock.now()
        wait = choice.total_wait
        if wait > left and not self.progress.may_have_run:
            detail = f"a wait of {wait:.0f} ms is predicted"
            raise self._make_final_error(OVERLOADED, wait - left, detail)

    async def _request_permit(self, choice: Choice) -> str | None:
        elapsed = self.shared.clock.now() - self.routed.arrived
        place = rank(self.routed.rule, elapsed, choice.total_wait)
        run = await self.turn.request_permit(choice, place, self.routed.end)
        return run if run and await self._take_share(choice, run) else None

    async def _take_share(self, choice: Choice, run: str) -> bool:
        """Take a share of a target that starts or comes back, or wait a moment for one.

        Raises
        ------
        AnvilshiftError
            When none is expected while the request can be answered in time.
        """
        starts, name = self.shared.sender.slow_starts, choice.target.info.name
        if starts is None or not starts.is_shared(choice.target.info):
            return True
        if self.shared.permits.is_limited(choice.target):
            return True
        usual = choice.wait
        if self.routed.model is None:
            usual += self.shared.find_service_time(self.routed.service).value
        due = self.routed.arrived + self.routed.rule.objective - usual
        wait = starts.shares.predict_wait(name, usual)
        if not wait or self.shared.clock.now() + wait <= due:
            self.share = name, run
            if await starts.shares.take(name, run):
                return True
            self.share = None
        if self.shared.clock.now() + wait <= due:
            return False
        detail = "its target has just started, and has no room for it in time"
        raise self._make_final_error(OVERLOADED, max(wait, usual), detail)

    def give_back_share(self) -> None:
        """Give back the share of a run that may not have been sent."""
        starts = self.shared.sender.slow_starts
        if starts is not None and self.share is not None:
            starts.shares.end(*self.share)

    def _make_final_error(
        self, code: Code, wait: Millis, detail: str
    ) -> AnvilshiftError:
        """Return the error for a request that gets no further attempt.

        Parameters
        ----------
        code
            Code for a request that no target has run; one that may have run gets
            ENGINE_FAILED instead.
        wait
            Time after which a new request may succeed.
        """
        left = max(0.0, self.routed.end - self.shared.clock.now())
        after = find_return(wait, left, self.shared.rng)
        if self.progress.may_have_run:
            return AnvilshiftError(ENGINE_FAILED, detail, after)
        return AnvilshiftError(code, detail, after)

    async def _take_retry(self) -> None:
        """Take a retry from the budget.

        Raises
        ------
        AnvilshiftError
            When the budget is used up.
        """
        if await self._may_send():
            return
        self._record_refused_retry()
        detail = "the retry budget is used up"
        if self.relay.started:
            raise AnvilshiftError(ENGINE_FAILED, detail)
        raise self._make_final_error(NO_ENGINE, NO_ENGINE_RETRY, detail)

    async def _may_send(self) -> bool:
        if self.retries.may_send():
            return True
        await self.shared.wait_for_share()
        return self.retries.may_send()

    def _record_refused_retry(self) -> None:
        budget, service = self.shared.retries, self.routed.service
        budget.counts.find(service).refused += 1
        self.shared.journal.write(
            "retry_refused",
            id=self.routed.call.identity,
            service=service,
            sends=self.retries.sends,
            share=round(budget.share, 3),
            left=round(self.routed.end - self.shared.clock.now()),
        )

    # The attempt that follows a silent one

    async def plan_ahead(self, current: str) -> PlannedAttempt | None:
        """Plan the attempt that is to follow one which is still running.

        Parameters
        ----------
        current
            The target of that attempt.

        Returns
        -------
        PlannedAttempt or None
            None if anything that it needs can't be had now; nothing is kept then.
        """
        is_suspect = self.part_try.is_granted or self.part_try.list_suspects()
        if is_suspect or self.crashes.is_quarantined() or not self.may_go_on():
            self._record_missing("it may not be sent to another target")
            return None
        # That of the attempt before ends with its run.
        self.share = None
        with contextlib.ExitStack() as taken:
            taken.callback(self.give_back_share)
            taken.callback(self.retries.give_back)
            # Waits and refusals of a look in vain don't count for the next one.
            taken.callback(self.turn.restore, self.turn.save())
            try:
                planned = await self._take_all(current, taken)
            except (AnvilshiftError, AttemptError, ExchangeError) as error:
                self._record_missing(repr(error))
                return None
            if planned is None:
                return None
            choice, run, connection = planned
            release = taken.pop_all().close
            return PlannedAttempt(choice, run, connection, release)

    async def _take_all(
        self, current: str, taken: contextlib.ExitStack
    ) -> tuple[Choice, str, Connection] | None:
        choice = self._choose_next(current)
        if choice is None or not await self._may_send():
            self._record_missing("no target" if choice is None else "no retry")
            return None
        sender = self.shared.sender
        connection = await sender.connect(choice.target, self.routed.model is not None)
        taken.callback(sender.reach.client.return_unused, connection)
        # What was known when the target was chosen may have changed meanwhile.
        if not self._fits(choice, current):
            self._record_missing("the target fits no more")
            return None
        run = await self._request_permit(choice)
        if run is None or not self._fits(choice, current):
            self._record_missing("no permit")
            return None
        return choice, run, connection

    def _choose_next(self, current: str) -> Choice | None:
        choice = self.chooser.choose(self._list_unfit(current))
        if choice is None:
            return None
        left = self.routed.end - self.shared.clock.now()
        return choice if choice.total_wait < left else None

    def _fits(self, choice: Choice, current: str) -> bool:
        """Return whether a target may still be the next one."""
        target = choice.target
        known = self.shared.sender.loads.targets.get(target.info.name)
        if known is not target or target.info.leaving:
            return False
        unfit = self.chooser.list_excluded(self._list_unfit(current))
        return target.info.name not in unfit

    def _list_unfit(self, current: str) -> set[str]:
        """Return the targets at which a request can't go on from a silent one."""
        progress, running = self.progress, self.shared.sender.reach.running
        left = progress.failed_targets | progress.paused_targets
        return {*left, current, *running.list_silent(self.shared.clock.now())}

    def _record_missing(self, why: str) -> None:
        if why == self._missing:
            return
        self._missing = why
        self.shared.journal.write(
            "next_not_secured", id=self.routed.call.identity, why=why
        )
