"""Ask for tries of requests with suspect parts, and grant those of other routers."""

import asyncio
from collections import deque
from dataclasses import dataclass, field

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.permits import choose_issuer
from anvilshift.core.tries import RENEWAL_INTERVAL, TAKEOVER_DELAY, Try, TryTable
from anvilshift.gateway.partmessages import TryAnswer, TryAsk, TryEnded
from anvilshift.gateway.partwatch import PartWatch, find_issuer_key
from anvilshift.gateway.peers import Peers

_ANSWER_TIMEOUT: Millis = 60.0
"""Time for the answer of the router that grants tries; it is asked again then."""


@dataclass(eq=False)
class Tries:
    """The tries of this router, and those that it grants.

    Parameters
    ----------
    ip
        Address at which this router receives messages.
    """

    ip: str
    watch: PartWatch
    peers: Peers
    clock: Clock
    table: TryTable = field(default_factory=TryTable)
    _waiting: dict[str, asyncio.Future[bool]] = field(default_factory=dict)
    _renewals: dict[str, asyncio.Task[None]] = field(default_factory=dict)
    _routers: frozenset[str] = frozenset()
    _former: deque[tuple[Millis, frozenset[str]]] = field(default_factory=deque)

    # Tries of this router

    async def ask(self, wanted: Try) -> bool:
        """Ask for a try; return whether it is granted."""
        ip = self._find_issuer_ip(wanted.scope)
        if ip == self.ip:
            return self._decide(wanted)
        if ip is None:
            return False
        answer = asyncio.get_running_loop().create_future()
        self._waiting[wanted.run] = answer
        self.peers.send(self._make_ask(wanted, is_running=False), ip)
        try:
            async with asyncio.timeout(_ANSWER_TIMEOUT / SECOND):
                return await answer
        except TimeoutError:
            return False
        finally:
            del self._waiting[wanted.run]

    def start(self, granted: Try) -> None:
        """Renew a try until it ends, in place of what was renewed under its name."""
        self._stop_renewal(granted.run)
        task = asyncio.get_running_loop().create_task(self._renew(granted))
        self._renewals[granted.run] = task

    def _stop_renewal(self, run: str) -> None:
        renewal = self._renewals.pop(run, None)
        if renewal is not None:
            renewal.cancel()

    def end(self, granted: Try, crashed: str = "") -> None:
        """End a try, and tell whether it ended a target.

        Parameters
        ----------
        crashed
            The start of the target that has ended; empty if none has.
        """
        self._stop_renewal(granted.run)
        ip = self._find_issuer_ip(granted.scope)
        if ip == self.ip:
            self.table.end(granted.run)
        elif ip is not None:
            suspects = tuple(sorted(granted.suspects))
            ended = TryEnded(granted.run, granted.scope, suspects, crashed)
            self.peers.send(ended, ip)

    async def _renew(self, granted: Try) -> None:
        while True:
            ip = self._find_issuer_ip(granted.scope)
            if ip == self.ip:
                self.table.renew(granted, self.clock.now())
            elif ip is not None:
                self.peers.send(self._make_ask(granted, is_running=True), ip)
            await asyncio.sleep(RENEWAL_INTERVAL / SECOND)

    def _make_ask(self, wanted: Try, is_running: bool) -> TryAsk:
        suspects = tuple(sorted(wanted.suspects))
        return TryAsk(
            wanted.run, self.ip, wanted.scope, suspects, wanted.target, is_running
        )

    def _find_issuer_ip(self, scope: str) -> str | None:
        issuer = self.watch.find_issuer(scope)
        if issuer == self.watch.router:
            return self.ip
        return self.watch.limits.find_ip(issuer)

    # Tries of all routers, at the one that grants them

    def _decide(self, wanted: Try) -> bool:
        may_grant = self.watch.is_informed and not self._has_taken_over(wanted.scope)
        return may_grant and self.table.ask(wanted, self.clock.now())

    def _has_taken_over(self, scope: str) -> bool:
        """Return whether another router granted the tries of a scope a moment ago.

        Its tries may run; they are renewed here meanwhile.
        """
        now, key, own = self.clock.now(), find_issuer_key(scope), self.watch.router
        while self._former and now - self._former[0][0] > TAKEOVER_DELAY:
            self._former.popleft()
        return any(choose_issuer(key, routers) != own for _, routers in self._former)

    def handle_ask(self, ask: TryAsk) -> None:
        """Grant or renew another router's try, or refuse it for now."""
        wanted = Try(ask.run, ask.scope, frozenset(ask.suspects), ask.target)
        if ask.is_running:
            self.table.renew(wanted, self.clock.now())
        else:
            granted = self._decide(wanted)
            self.peers.send(TryAnswer(ask.run, granted), ask.ip)

    def handle_answer(self, answer: TryAnswer) -> None:
        """Pass the answer on to the request that waits for it."""
        waiting = self._waiting.get(answer.run)
        if waiting is not None and not waiting.done():
            waiting.set_result(answer.granted)

    def handle_end(self, ended: TryEnded) -> None:
        """End another router's try."""
        if ended.crashed:
            self.watch.record_tried_end(ended.scope, ended.suspects, ended.crashed)
        self.table.end(ended.run)

    def update_routers(self, routers: frozenset[str]) -> None:
        """Note which routers are present, and which were before."""
        if routers != self._routers:
            self._former.append((self.clock.now(), self._routers))
            self._routers = routers

    def end_router(self, incarnation: str) -> None:
        """End the tries of a router that is lost."""
        self.table.end_all_of(f"{incarnation}/")

    def close(self) -> None:
        """Stop renewing tries."""
        for task in self._renewals.values():
            task.cancel()
