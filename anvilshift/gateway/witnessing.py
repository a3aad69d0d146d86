"""Tell a witness what this router spends, and be one for others.

Datagrams carry the promises: one that is lost leaves the one before in force, which
allows less.
"""

import asyncio
import contextlib
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.usage import Spent, Use
from anvilshift.core.wallet import Wallet
from anvilshift.core.witness import (
    UNKNOWN,
    Testimony,
    WitnessBook,
    choose_witness,
)
from anvilshift.gateway.journal import Journal
from anvilshift.gateway.messages import (
    Beat,
    Message,
    Promised,
    Testified,
    Witnessed,
)
from anvilshift.gateway.peers import Peer

_PERIOD: Millis = 400.0
"""Between two rounds of promises while nothing waits for one."""
_SPACING: Millis = 20.0
"""Least time between two rounds: requests that wait are promised for together."""
_ORGANISATIONS = 12
"""Organisations in one message, so that it fits a datagram."""


def read_boot_clock() -> Millis:
    """Return the time since the host's start; it goes on while the host is suspended.

    A witness that was suspended would otherwise take a promise for younger than it is.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME) * SECOND


class Others(Protocol):
    """The other routers, as far as witnessing needs them."""

    def send(self, message: Message, ip: str) -> None:
        """Send a message to one router at once."""

    def list_present(self) -> Sequence[Peer]:
        """Return the routers that were heard lately."""


@dataclass
class Witnessing:
    """Promise what this router spends no more than, and hold others' promises.

    Parameters
    ----------
    name, incarnation, ip, domain
        This router, its process, its host's address and its failure domain.
    note_answer
        Called when the witness holds a promise: requests may wait for that.
    take_testimony
        Called with what a witness proves of a former process of this host.
    """

    name: str
    incarnation: str
    ip: str
    domain: str
    others: Others
    wallet: Wallet
    clock: Clock
    journal: Journal
    note_answer: Callable[[], None] = lambda: None
    take_testimony: Callable[[str, list[Testimony]], None] = lambda holder, found: None
    read_stamp: Callable[[], Millis] = read_boot_clock
    book: WitnessBook = field(default_factory=WitnessBook)
    number: int = 0
    _witness: Peer | None = None
    _since: Millis = UNKNOWN
    _sent: dict[int, tuple[str, ...]] = field(default_factory=dict)
    _wake: asyncio.Event = field(default_factory=asyncio.Event)

    def hurry(self) -> None:
        """Promise soon: a request waits to spend."""
        self._wake.set()

    def count_promises(self) -> int:
        """Return the number of the newest promise."""
        return self.number

    async def run(self) -> None:
        """Promise for ever."""
        while True:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(_PERIOD / SECOND):
                    await self._wake.wait()
            self._wake.clear()
            self.book.expire(self.read_stamp())
            self._promise()
            await asyncio.sleep(_SPACING / SECOND)

    def _choose(self) -> Peer | None:
        """Return the router that is to witness now."""
        peers = {peer.beat.router: peer for peer in self.others.list_present()}
        places = [(name, one.beat.failure_domain) for name, one in peers.items()]
        chosen = choose_witness(self.name, self.domain, places)
        return None if chosen is None else peers[chosen]

    def _promise(self) -> None:
        chosen, known = self._choose(), self._witness
        if chosen is None:
            return
        witness = chosen.beat.incarnation
        if known is None or known.beat.incarnation != witness:
            # Another host's clock says nothing of this one's.
            self._since = UNKNOWN
            self._sent.clear()
            self.journal.write("witness_chosen", witness=witness)
        self._witness = chosen
        now = self.clock.now()
        uses = list(self.wallet.make_promises(witness, now).items())
        for start in range(0, len(uses), _ORGANISATIONS):
            self._send(dict(uses[start : start + _ORGANISATIONS]), chosen, now)

    def _send(self, uses: dict[str, Use], witness: Peer, now: Millis) -> None:
        self.number += 1
        self._sent[self.number] = tuple(uses)
        incarnation = witness.beat.incarnation
        # Kept to from before it is sent: it may arrive though its answer is lost.
        self.wallet.promise(incarnation, self.number, uses, now)
        rows = tuple((o, u.recorded, u.at_once, u.cushion) for o, u in uses.items())
        message = Promised(
            self.incarnation, self.ip, incarnation, self.number, self._since, rows
        )
        self.others.send(message, witness.beat.ip)

    def hear_witnessed(self, answer: Witnessed) -> None:
        """Take in that the witness holds a promise."""
        known = self._witness
        if answer.holder != self.incarnation or known is None:
            return
        if answer.witness != known.beat.incarnation:
            return
        self._since = max(self._since, answer.at)
        names = self._sent.pop(answer.number, ())
        self.wallet.note_witnessed(
            answer.witness, answer.number, names, self.clock.now()
        )
        self._sent = {n: orgs for n, orgs in self._sent.items() if n > answer.number}
        self.note_answer()

    def hear_promised(self, told: Promised) -> None:
        """Hold another router's promise, and tell it so."""
        if told.witness != self.incarnation:
            return
        uses = {name: Use(*figures) for name, *figures in told.uses}
        self.book.take(told.holder, told.ip, told.number, told.since, uses)
        answer = Witnessed(
            self.incarnation, told.holder, told.number, self.read_stamp()
        )
        self.others.send(answer, told.ip)

    def greet(self, beat: Beat) -> None:
        """Tell a router that has just started what its host's former one promised."""
        now = self.read_stamp()
        holders = self.book.list_holders(beat.router, beat.ip, beat.incarnation)
        for holder in holders:
            found = self.book.testify(holder, beat.ip, now)
            rows = [
                (one.organisation, one.number, one.spent.least, one.spent.most)
                for one in found
            ]
            for start in range(0, len(rows), _ORGANISATIONS):
                part = tuple(rows[start : start + _ORGANISATIONS])
                self.others.send(Testified(holder, part), beat.ip)

    def hear_testified(self, told: Testified) -> None:
        """Take in what a witness proves of a former process of this host."""
        holder = told.holder
        if holder.rpartition(".")[0] != self.name or holder == self.incarnation:
            return
        found = [
            Testimony(name, number, Spent(least, most))
            for name, number, least, most in told.spent
        ]
        self.journal.write("use_testified", holder=holder, organisations=len(found))
        self.take_testimony(holder, found)
