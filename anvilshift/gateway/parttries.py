"""Send one request with suspect parts only as a try."""

import asyncio
from collections.abc import Set

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import OVERLOADED, AnvilshiftError
from anvilshift.core.targetload import TargetInfo
from anvilshift.core.tries import Try
from anvilshift.gateway.partwatch import MAX_LISTED_PARTS, find_scope
from anvilshift.gateway.routed import RoutedRequest
from anvilshift.gateway.shared import RouterContext
from anvilshift.gateway.targetchoice import TargetChooser

_ASK_INTERVAL: Millis = 50.0
"""Interval at which a request that waits asks for a try: a try takes a few of these."""
_MAX_WAIT: Millis = 2 * SECOND
"""How long a request waits for its try: several tries, or the loss of the router that
grants them."""
_RETURN_AFTER: Millis = 500.0
"""Retry delay for a request that got no try."""


class PartTry:
    """The try of one request; none while no part of its prompt is suspect."""

    def __init__(
        self, shared: RouterContext, routed: RoutedRequest, chooser: TargetChooser
    ) -> None:
        self._shared = shared
        self._routed = routed
        self._chooser = chooser
        self._try: Try | None = None
        self._run = ""
        self._waits_since: Millis | None = None

    @property
    def is_granted(self) -> bool:
        """Return whether the request may be sent as a try."""
        return self._try is not None

    def list_suspects(self) -> list[str]:
        """Return the parts of the request's prompt that are suspect."""
        return self._shared.parts.list_suspects(self._routed)

    async def admit(self, failed_targets: Set[str]) -> Choice | None:
        """Wait until the request may be sent.

        Returns
        -------
        Choice or None
            The target of its try; None if it isn't suspect and may be sent anywhere, or
            if there is no target for a try.

        Raises
        ------
        AnvilshiftError
            When a part of its prompt is proven to end engines, or it got no try.
        """
        while True:
            suspects = self.list_suspects()
            if not suspects:
                self.end()
                return None
            self._shared.parts.check(self._routed)
            choice = self._chooser.choose_spare(failed_targets)
            if choice is None:
                self.end()
                return None
            if await self._ask(suspects, choice):
                # What was learned while the answer was on its way decides.
                self._shared.parts.check(self._routed)
                return choice
            await self._wait()

    async def _ask(self, suspects: list[str], choice: Choice) -> bool:
        # An answer may come too late; asked for again, the same try is granted again.
        self._run = self._run or self._shared.next_run()
        scope = find_scope(self._routed)
        some = frozenset(suspects[:MAX_LISTED_PARTS])
        wanted = Try(self._run, scope, some, choice.target.info.name)
        if not await self._shared.tries.ask(wanted):
            return False
        self._try = wanted
        self._shared.tries.start(wanted)
        return True

    async def _wait(self) -> None:
        now = self._shared.clock.now()
        if self._waits_since is None:
            self._waits_since = now
        until = min(self._waits_since + _MAX_WAIT, self._routed.end - _ASK_INTERVAL)
        if now >= until:
            detail = "requests with a part of its prompt are tried one at a time"
            raise AnvilshiftError(OVERLOADED, detail, _RETURN_AFTER)
        await asyncio.sleep(_ASK_INTERVAL / SECOND)

    async def record_failure(self, info: TargetInfo) -> str:
        """Find out whether a target ended on the request, and end its try.

        Returns
        -------
        str
            The start of the target that has ended, empty if none has.
        """
        crashed = await self._shared.parts.record_failure(
            self._routed, info, self.is_granted
        )
        self.end(crashed)
        return crashed

    def end(self, crashed: str = "") -> None:
        """End the try, if there is one.

        Parameters
        ----------
        crashed
            The start of the target that has ended on it; empty if none has.
        """
        if self._try is not None:
            self._shared.tries.end(self._try, crashed)
            self._try, self._run = None, ""
