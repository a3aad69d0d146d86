"""Keep claims of non-idempotent work in the platform."""

import asyncio
import contextlib
import random
from collections.abc import Callable, Coroutine
from dataclasses import replace
from typing import Any

from absl import logging

from anvilshift.core.claims import Claim, ClaimState, Verdict, end, judge
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
"""Largest claim that is written; the platform holds values up to a megabyte."""
_POLL: Millis = 100.0
_POLL_LIMIT: Millis = 2_000.0
"""A waiting router reads one object at most every two seconds in the long run."""
_PATIENCE: Millis = 1_500.0
"""How long one claim or record may take: a caller at its deadline gains nothing
from a platform that hasn't answered three hundred times its usual delay."""
_RETRY_PAUSE: Millis = 500.0
_RETRY_LIMIT: Millis = 8 * SECOND
_RETRY_AFTER: Millis = 2 * SECOND
_SWEEP_INTERVAL_S = 3_600.0
_DELETE_PAUSE_S = 0.5

Lives = Callable[[str], bool]
"""Tells, without a call, whether a router incarnation is known to live."""


class ClaimBook:
    """Take claims and record how they ended.

    Parameters
    ----------
    holder
        This router's incarnation.
    lives
        Tells what this router knows of other incarnations.
    """

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        holder: str,
        rng: random.Random,
        lives: Lives = lambda holder: False,
    ) -> None:
        self._store = store
        self._rng = rng
        self._clock = clock
        self._holder = holder
        self._lives = lives
        self._running: set[str] = set()
        self._unrecorded: dict[str, Claim] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def unrecorded(self) -> int:
        """Return how many claims have ended without a record in the platform."""
        return len(self._unrecorded)

    async def take(self, job: Job) -> Claim:
        """Claim a job.

        Returns
        -------
        Claim
            An open claim, whose work this router runs and then records, or
            a done one of work that ran before.

        Raises
        ------
        AnvilshiftError
            Code 5001 when the platform is out (the work is not run), 1007 for
            a key with another body, 4003 when it ran or may have run elsewhere.
        """
        found = await self._flush(job)
        if found is not None:
            return found
        token = f"{self._holder}/{make_identity(self._rng)}"
        wish = Claim(job.content, self._holder, token, self._clock.wall())
        pause = _POLL
        others = False
        while True:
            try:
                found = await self._claim(job.identity, wish)
            except AnvilshiftError as error:
                if others:
                    raise AnvilshiftError(OUTCOME_UNKNOWN, error.detail) from error
                raise
            verdict = judge(found, wish)
            if verdict is Verdict.RUN:
                self._running.add(wish.token)
                return wish
            if verdict is Verdict.REUSED:
                raise AnvilshiftError(KEY_REUSED)
            if found is not None and verdict is Verdict.ANSWER:
                return found
            if found is None or not await self._may_end(found, job, pause):
                raise AnvilshiftError(OUTCOME_UNKNOWN)
            others = True
            await asyncio.sleep(pause / SECOND)
            pause = min(_POLL_LIMIT, 2 * pause)

    async def _flush(self, job: Job) -> Claim | None:
        """Record first how this router's own earlier claim of the key ended."""
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

    async def _claim(self, identity: str, wish: Claim) -> Claim | None:
        """Write the claim if the key is free; return what stood there."""
        found: Claim | None = None

        def change(body: Body | None) -> Body | None:
            nonlocal found
            found = decode(Claim, body) if body else None
            free = found is None or found.state is ClaimState.VOID
            same = found is None or found.content == wish.content
            return encode(wish) if free and same else None

        try:
            async with asyncio.timeout(_PATIENCE / SECOND):
                await update(self._store, CLAIM_KIND, identity, change)
        except (AnvilshiftError, TimeoutError) as error:
            # The write may have taken effect although its answer was lost.
            # Nothing was sent, so the claim is given up as soon as the
            # platform answers; left open, the key would stay blocked.
            self.record_later(identity, wish.void())
            detail = error.detail if isinstance(error, AnvilshiftError) else ""
            raise AnvilshiftError(PLATFORM_DOWN, detail, _RETRY_AFTER) from error
        return found

    async def _may_end(self, found: Claim, job: Job, pause: Millis) -> bool:
        """Tell whether waiting for an open claim's outcome makes sense."""
        if found.state is not ClaimState.OPEN:
            return False
        if self._clock.now() + pause >= job.deadline:
            return False
        if found.holder == self._holder:
            return found.token in self._running
        return self._lives(found.holder) or await self._is_registered(found.holder)

    async def _is_registered(self, holder: str) -> bool:
        """Look a holder up that this router hasn't heard of, with one read."""
        name = holder.rpartition("-")[0]
        try:
            found = await self._store.get(ROUTER_KIND, name)
        except AnvilshiftError:
            return True
        return found is not None and found.body.get("incarnation") == holder

    async def record(self, identity: str, ended: Claim) -> bool:
        """Record how a claim ended; what fails now is tried again until it works.

        Returns
        -------
        bool
            Whether it stands in the platform by now.
        """
        ended = _bound(ended)
        self._running.discard(ended.token)
        self._unrecorded[identity] = ended
        if await self._write(identity, ended):
            return True
        self._spawn(self._keep_writing(identity, ended))
        return False

    def record_later(self, identity: str, ended: Claim) -> None:
        """Record how a claim ended without waiting for the platform."""
        ended = _bound(ended)
        self._running.discard(ended.token)
        self._unrecorded[identity] = ended
        self._spawn(self._keep_writing(identity, ended))

    async def _write(self, identity: str, ended: Claim) -> bool:
        def change(body: Body | None) -> Body | None:
            written = end(decode(Claim, body) if body else None, ended)
            return encode(written) if written is not None else None

        try:
            async with asyncio.timeout(_PATIENCE / SECOND):
                await update(self._store, CLAIM_KIND, identity, change)
        except (AnvilshiftError, TimeoutError) as error:
            logging.warning("claim not recorded request=%s %s", identity, error)
            return False
        if self._unrecorded.get(identity) is ended:
            del self._unrecorded[identity]
        return True

    async def _keep_writing(self, identity: str, ended: Claim) -> None:
        pause = _RETRY_PAUSE
        while not await self._write(identity, ended):
            await asyncio.sleep(pause * self._rng.uniform(1.0, 2.0) / SECOND)
            pause = min(_RETRY_LIMIT, 2 * pause)

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def keep_sweeping(self) -> None:
        """Delete expired claims now and then, each router at its own time."""
        while True:
            span = _SWEEP_INTERVAL_S * self._rng.uniform(0.5, 1.5)
            await asyncio.sleep(span)
            with contextlib.suppress(AnvilshiftError):
                await self.sweep()

    async def sweep(self, pause: float = _DELETE_PAUSE_S) -> int:
        """Delete expired claims, a few a second; return how many."""
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
        """Stop trying to record."""
        for task in list(self._tasks):
            task.cancel()


def _bound(ended: Claim) -> Claim:
    """Return the claim without an answer that the platform couldn't hold."""
    if ended.answer is None or len(dump_json(encode(ended))) <= MAX_CLAIM_BYTES:
        return ended
    return replace(ended, answer=None)
