"""Ask the other routers for unused tokens, once for all requests that wait."""

import asyncio

from anvilshift.router.hooks import Hooks


class PeerRequests:
    """Calls to the other routers that are under way, one an account at most.

    All waiting requests of an account share one call, because each call costs every
    peer a commit.
    """

    def __init__(self, hooks: Hooks) -> None:
        self._hooks = hooks
        self._requests: dict[str, asyncio.Future[None]] = {}

    async def ask(self, account: str) -> None:
        """Ask for unused tokens of an account and wait until the peers answered."""
        if account not in self._requests:
            request = asyncio.ensure_future(self._hooks.ask_peers(account))
            request.add_done_callback(lambda _: self._requests.pop(account, None))
            self._requests[account] = request
        await asyncio.wait([self._requests[account]])
