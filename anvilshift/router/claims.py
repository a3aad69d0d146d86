"""Keep claims of non-idempotent work in the platform."""

import asyncio
import random
from collections.abc import Callable

from anvilshift.core.claims import Answer, Claim, ClaimState, Verdict, judge
from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.errors import (
    KEY_REUSED,
    OUTCOME_UNKNOWN,
    PLATFORM_DOWN,
    AnvilshiftError,
)
from anvilshift.core.identity import make_identity
from anvilshift.platform.records import decode, encode
from anvilshift.platform.store import Body, ObjectStore, update
from anvilshift.router.requests import Job

CLAIM_KIND = "Claim"
_POLL: Millis = 100.0
_POLL_LIMIT: Millis = 1_000.0


class ClaimBook:
    """Take, finish and void claims.

    Parameters
    ----------
    holder
        This router's incarnation.
    """

    def __init__(
        self, store: ObjectStore, clock: Clock, holder: str, rng: random.Random
    ) -> None:
        self._store = store
        self._rng = rng
        self._clock = clock
        self._holder = holder

    async def take(self, job: Job) -> Answer | None:
        """Claim a job; None means that this router runs it.

        Returns
        -------
        Answer or None
            The recorded answer of work that ran before.

        Raises
        ------
        AnvilshiftError
            Code 5001 when the platform is out (the work is not run), 1007 for
            a key with another body, 4003 or 4004 when it runs or ran elsewhere.
        """
        wish = Claim(
            job.content, self._holder, make_identity(self._rng), self._clock.wall()
        )
        pause = _POLL
        while True:
            found = await self._try(job.identity, wish)
            verdict = judge(found, wish)
            if verdict is Verdict.RUN:
                return None
            if verdict is Verdict.ANSWER and found is not None:
                return found.answer
            if verdict is Verdict.REUSED:
                raise AnvilshiftError(KEY_REUSED)
            if self._clock.now() + pause >= job.deadline:
                raise AnvilshiftError(OUTCOME_UNKNOWN, "", pause)
            if found is not None and not await self._holder_lives(found.holder):
                raise AnvilshiftError(OUTCOME_UNKNOWN)
            await asyncio.sleep(pause / SECOND)
            pause = min(_POLL_LIMIT, 2 * pause)

    async def _holder_lives(self, holder: str) -> bool:
        listing = await self._store.list(["Router"])
        return any(item.body.get("incarnation") == holder for item in listing.items)

    async def _try(self, identity: str, wish: Claim) -> Claim | None:
        found: Claim | None = None

        def change(body: Body | None) -> Body | None:
            nonlocal found
            found = decode(Claim, body) if body else None
            free = found is None or found.state is ClaimState.VOID
            return encode(wish) if free and _same(found, wish) else None

        try:
            await update(self._store, CLAIM_KIND, identity, change)
        except AnvilshiftError as error:
            raise AnvilshiftError(PLATFORM_DOWN, error.detail, 2 * SECOND) from error
        return found

    async def finish(self, job: Job, answer: Answer) -> None:
        """Record the answer, so that whoever repeats the key receives it."""
        await self._change(job, lambda claim: claim.finish(answer))

    async def void(self, job: Job) -> None:
        """Let others claim work that provably never left this router."""
        await self._change(job, Claim.void)

    async def _change(self, job: Job, step: Callable[[Claim], Claim]) -> None:
        def change(body: Body | None) -> Body | None:
            claim = decode(Claim, body) if body else None
            if claim is None or claim.holder != self._holder:
                return None
            return encode(step(claim))

        await update(self._store, CLAIM_KIND, job.identity, change)


def _same(found: Claim | None, wish: Claim) -> bool:
    return found is None or found.content == wish.content
