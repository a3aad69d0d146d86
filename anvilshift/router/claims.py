"""Store claims of non-idempotent work in the platform.

A claim is an object whose name is derived from the organisation and the idempotency
key.  Only the router that creates it may run the work; it then records how the work
ended.
"""

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from absl import logging

from anvilshift.core.claims import Claim, ClaimState, Decision, decide, end
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    KEY_REUSED,
    OUTCOME_UNKNOWN,
    PLATFORM_DOWN,
    AnvilshiftError,
)
from anvilshift.core.identity import make_identity
from anvilshift.objects.records import decode, encode
from anvilshift.objects.store import Body, ObjectStore, update
from anvilshift.router.following import ROUTER_KIND
from anvilshift.router.requests import Job
from anvilshift.wire.jsons import dump_json

CLAIM_KIND = "Claim"
MAX_CLAIM_BYTES = 900_000
"""Maximum size of a stored claim; the platform accepts values up to a megabyte."""
_POLL: Millis = 100.0
_POLL_LIMIT: Millis = 2_000.0
"""Longest interval between two reads of another router's claim.  The interval doubles
after each read until then, which limits the calls of routers that wait."""
_WRITE_TIMEOUT: Millis = 1_500.0
"""Timeout of writing one claim.  It is three hundred times the platform's usual delay;
waiting longer would only bring the caller closer to its deadline."""
_RETRY_PAUSE: Millis = 500.0
_RETRY_LIMIT: Millis = 8 * SECOND
_RETRY_AFTER: Millis = 2 * SECOND
_SWEEP_INTERVAL_S = 3_600.0
_DELETE_PAUSE_S = 0.5

IsRunning = Callable[[str], bool]
"""Tells, without a call, whether a router incarnation is known to be running."""


class ClaimStore:
    """Create claims and record how their work ended.

    Parameters
    ----------
    holder
        Incarnation of this router.
    is_running
        Tells whether this router knows another incarnation to be running.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        holder: str,
        rng: random.Random,
        is_running: IsRunning = lambda holder: False,
    ) -> None:
        self._store = store
        self._rng = rng
        self._clock = clock
        self._holder = holder
        self._is_running = is_running
        self._running: set[str] = set()
        self._unrecorded: dict[str, Claim] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def unrecorded(self) -> int:
        """Return the number of ended claims that the platform hasn't recorded yet."""
        return len(self._unrecorded)

    async def acquire(self, job: Job) -> Claim:
        """Claim a job, or wait for the outcome of an earlier claim of its key.

        Returns
        -------
        Claim
            An open claim when this router must run the work and record its end, or
            a finished claim of work that ran before.

        Raises
        ------
        AnvilshiftError
            Code 5001 when the platform is unreachable (the work is not run), 1007
            when the key was used with another body, 4003 when the work ran or may
            have run elsewhere.
        """
        found = await self._resolve_unrecorded(job)
        if found is not None:
            return found
        token = f"{self._holder}/{make_identity(self._rng)}"
        proposed = Claim(job.content, self._holder, token, self._clock.wall())
        pause = _POLL
        held_elsewhere = False
        while True:
            try:
                found = await self._claim(job.identity, proposed)
            except AnvilshiftError as error:
                if held_elsewhere:
                    raise AnvilshiftError(OUTCOME_UNKNOWN, error.detail) from error
                raise
            decision = decide(found, proposed)
            if decision is Decision.RUN:
                self._running.add(proposed.token)
                return proposed
            if decision is Decision.REUSED:
                raise AnvilshiftError(KEY_REUSED)
            if found is not None and decision is Decision.ANSWER:
                return found
            if found is None or not await self._may_still_end(found, job, pause):
                raise AnvilshiftError(OUTCOME_UNKNOWN)
            held_elsewhere = True
            await asyncio.sleep(pause / SECOND)
            pause = min(_POLL_LIMIT, 2 * pause)

    async def _resolve_unrecorded(self, job: Job) -> Claim | None:
        """Resolve this router's own ended claim of the key that isn't recorded yet.

        A void claim must be recorded before the key can be claimed again.
        """
        ended = self._unrecorded.get(job.identity)
        if ended is None:
            return None
        if ended.content != job.content:
            raise AnvilshiftError(KEY_REUSED)
        if ended.state is ClaimState.DONE:
            return ended
        if ended.state is ClaimState.LOST:
            raise AnvilshiftError(OUTCOME_UNKNOWN)
        if not await self._write(job.identity, ended):
            raise AnvilshiftError(PLATFORM_DOWN, "", _RETRY_AFTER)
        return None

    async def _claim(self, identity: str, proposed: Claim) -> Claim | None:
        """Write the claim if the key is free; return the claim found there before."""
        found: Claim | None = None

        def change(body: Body | None) -> Body | None:
            nonlocal found
            found = decode(Claim, body) if body else None
            free = found is None or found.state is ClaimState.VOID
            same = found is None or found.content == proposed.content
            return encode(proposed) if free and same else None

        try:
            async with asyncio.timeout(_WRITE_TIMEOUT / SECOND):
                await update(self._store, CLAIM_KIND, identity, change)
        except (AnvilshiftError, TimeoutError) as error:
            # The write may have taken effect although its answer was lost.  The work
            # was not sent, so the claim is voided as soon as the platform answers.
            # If it stayed open, the key would remain blocked.
            self.record_later(identity, proposed.void())
            detail = error.detail if isinstance(error, AnvilshiftError) else ""
            raise AnvilshiftError(PLATFORM_DOWN, detail, _RETRY_AFTER) from error
        return found

    async def _may_still_end(self, found: Claim, job: Job, pause: Millis) -> bool:
        """Tell whether an open claim may still be ended before the job's deadline.

        Only a running holder can end its claim.
        """
        if found.state is not ClaimState.OPEN:
            return False
        if self._clock.now() + pause >= job.deadline:
            return False
        if found.holder == self._holder:
            return found.token in self._running
        return self._is_running(found.holder) or await self._is_registered(found.holder)

    async def _is_registered(self, holder: str) -> bool:
        """Tell whether the platform has the record of a holder unknown to this router.

        This takes one read.  A holder counts as registered when that read fails.
        """
        name = holder.rpartition("-")[0]
        try:
            found = await self._store.get(ROUTER_KIND, name)
        except AnvilshiftError:
            return True
        return found is not None and found.body.get("incarnation") == holder

    async def record(self, identity: str, ended: Claim) -> bool:
        """Record how a claim ended; a failed write is retried in the background.

        Returns
        -------
        bool
            Whether the first write succeeded.
        """
        ended = _drop_large_answer(ended)
        self._running.discard(ended.token)
        self._unrecorded[identity] = ended
        if await self._write(identity, ended):
            return True
        self._spawn(self._retry_write(identity, ended))
        return False

    def record_later(self, identity: str, ended: Claim) -> None:
        """Record in the background how a claim ended."""
        ended = _drop_large_answer(ended)
        self._running.discard(ended.token)
        self._unrecorded[identity] = ended
        self._spawn(self._retry_write(identity, ended))

    async def _write(self, identity: str, ended: Claim) -> bool:
        def change(body: Body | None) -> Body | None:
            written = end(decode(Claim, body) if body else None, ended)
            return encode(written) if written is not None else None

        try:
            async with asyncio.timeout(_WRITE_TIMEOUT / SECOND):
                await update(self._store, CLAIM_KIND, identity, change)
        except (AnvilshiftError, TimeoutError) as error:
            logging.warning("claim not recorded request=%s %s", identity, error)
            return False
        if self._unrecorded.get(identity) is ended:
            del self._unrecorded[identity]
        return True

    async def _retry_write(self, identity: str, ended: Claim) -> None:
        pause = _RETRY_PAUSE
        while not await self._write(identity, ended):
            await asyncio.sleep(pause * self._rng.uniform(1.0, 2.0) / SECOND)
            pause = min(_RETRY_LIMIT, 2 * pause)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def keep_sweeping(self) -> None:
        """Delete expired claims at random intervals.

        The intervals differ between routers, so that they don't sweep together.
        """
        while True:
            interval = _SWEEP_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            await asyncio.sleep(interval)
            with contextlib.suppress(AnvilshiftError):
                await self.delete_expired()

    async def delete_expired(self, pause: float = _DELETE_PAUSE_S) -> int:
        """Delete expired claims and return their number.

        A pause in seconds after each claim limits the calls to the platform.
        """
        listing = await self._store.list([CLAIM_KIND])
        deleted = 0
        for item in listing.items:
            with contextlib.suppress(AnvilshiftError):
                if not decode(Claim, item.body).is_expired(self._clock.wall()):
                    continue
                await self._store.delete(CLAIM_KIND, item.name, item.version)
                deleted += 1
            await asyncio.sleep(pause)
        return deleted

    def close(self) -> None:
        """Cancel all writes that are being retried."""
        for task in list(self._tasks):
            task.cancel()


def _drop_large_answer(ended: Claim) -> Claim:
    """Return the claim, without its answer if that exceeds the platform's limit."""
    if ended.answer is None or len(dump_json(encode(ended))) <= MAX_CLAIM_BYTES:
        return ended
    return replace(ended, answer=None)
