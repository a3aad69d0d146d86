"""One request's wait for its turn at targets that have named limits."""

import asyncio

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.permits import State
from anvilshift.gateway.permits import Request
from anvilshift.gateway.shared import Shared

_LOOK_AGAIN: Millis = 250.0
"""How long a request waits for a paused target before others are weighed again."""
_SPREAD = 1.2
"""Requests that wait for one pause to end are sent apart by this part of it."""


class Turn:
    """One request's permits, and what it was told of them.

    Attributes
    ----------
    organisation
        Who pays; empty while it isn't known, and for an anonymous request.
    """

    def __init__(self, shared: Shared, identity: str, arrived: Millis) -> None:
        self._shared = shared
        self._identity = identity
        self.organisation = ""
        self._arrived = arrived
        self._expected: dict[str, Millis] = {}
        self._refused: dict[str, Millis] = {}
        self._bid: tuple[str, str] | None = None

    @property
    def refused(self) -> set[str]:
        """Return the targets that have no permit for this request in time."""
        return set(self._refused)

    def find_return(self) -> Millis | None:
        """Return the time until a refused request may find a permit."""
        now = self._shared.clock.now()
        return max(0.0, min(self._refused.values()) - now) if self._refused else None

    def list_turns(self) -> dict[str, Millis]:
        """Return the time until this request's turn, where it was told."""
        now = self._shared.clock.now()
        return {name: at - now for name, at in self._expected.items()}

    async def take(self, choice: Choice, rank: int, end: Millis) -> str | None:
        """Return the name of an attempt that may be sent now; None if none may.

        Then the request was told when its turn is, and other targets may be better.

        Parameters
        ----------
        end
            When the answer must have begun.
        """
        permits, name = self._shared.permits, choice.target.info.name
        if self._bid is not None and self._bid[1] != name:
            self.close()
        pause = choice.target.paused_until - self._shared.clock.now()
        if pause > 0:
            self.close()
            spread = self._shared.rng.uniform(1.0, _SPREAD)
            await asyncio.sleep(min(pause * spread, _LOOK_AGAIN) / SECOND)
            return None
        if not permits.is_limited(choice.target):
            self.close()
            return self._shared.next_run()
        first = self._bid is None
        run = self._bid[0] if self._bid else self._shared.next_run()
        self._bid = run, name
        request = Request(
            run,
            self._identity,
            self.organisation,
            rank,
            self._arrived,
            end - choice.wait,
        )
        verdict = await permits.ask(choice.target, request, first)
        now = self._shared.clock.now()
        if verdict.state is State.QUEUED:
            self._expected[name] = now + verdict.wait
            return None
        self._bid = None
        if verdict.state is State.REFUSED:
            self._refused[name] = now + verdict.wait
            return None
        return run

    def close(self) -> None:
        """Give up what this request still asks for."""
        if self._bid is not None:
            self._shared.permits.withdraw(*self._bid)
            self._bid = None
