"""Agree with the other routers that a content goes elsewhere than to its homes.

The question is decided in `core.relocation`; this carries it to every other router
and back.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from absl import logging

from anvilshift.core.clock import Clock
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.membership import Roster
from anvilshift.core.work import Ask
from anvilshift.peers.generated.peers_pb2 import RelocateReply, RelocateRequest
from anvilshift.peers.link import PeerError, PeerLink
from anvilshift.router.dispatching import DispatchLoop


class Step(Enum):
    """Steps of a two-phase commit."""

    PREPARE = "prepare"
    COMMIT = "commit"
    ABORT = "abort"


@dataclass
class Relocating:
    """One router's part in agreeing where contents go.

    Parameters
    ----------
    read_roster
        Returns the other routers as this one sees them now.
    """

    dispatch: DispatchLoop
    dispatcher: Dispatcher
    link: PeerLink
    clock: Clock
    read_roster: Callable[[], Roster]
    _known: dict[str, str] = field(default_factory=dict)
    _tasks: set[asyncio.Task[bool]] = field(default_factory=set)

    def note_routers(self) -> None:
        """Take in which routers there are; one that is gone unannounced is lost."""
        sightings = self.read_roster().sightings.values()
        staying = {s.member.name: s.member for s in sightings if not s.member.leaving}
        leaving = {s.member.name for s in sightings if s.member.leaving}
        for name, incarnation in self._known.items():
            member = staying.get(name)
            replaced = member is not None and member.incarnation != incarnation
            if replaced or (member is None and name not in leaving):
                logging.info("router lost name=%s incarnation=%s", name, incarnation)
                self.dispatcher.note_lost_router(self.clock.now())
        self._known = {name: member.incarnation for name, member in staying.items()}

    async def ask(self, ask: Ask) -> bool:
        """Return whether a content may go to a target, which all others now know."""
        self.note_routers()
        before = self._list_incarnations()
        answers = await asyncio.gather(
            *(self._call(address, ask, Step.PREPARE) for address in before.values())
        )
        # One that came meanwhile was not asked.
        agreed = all(answers) and self._list_incarnations() == before
        logging.info(
            "content relocated content=%s engine=%s agreed=%s prepared=%d of %d",
            ask.content,
            ask.target,
            agreed,
            sum(answers),
            len(answers),
        )
        for address in before.values():
            self._tell(address, ask, Step.COMMIT if agreed else Step.ABORT)
        return agreed

    def _list_incarnations(self) -> dict[str, str]:
        """Return the peer address of each router's incarnation."""
        members = [s.member for s in self.read_roster().sightings.values()]
        return {member.incarnation: member.peer_address for member in members}

    def _tell(self, address: str, ask: Ask, step: Step) -> None:
        task = asyncio.get_running_loop().create_task(self._call(address, ask, step))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _call(self, address: str, ask: Ask, step: Step) -> bool:
        request = RelocateRequest(
            step=step.value, content=ask.content, target=ask.target, ticket=ask.ticket
        )
        try:
            reply = await self.link.relocate(address, request)
        except PeerError as error:
            logging.info("no reply to step=%s router=%s %s", step.value, address, error)
            return False
        return reply.prepared

    def take(self, request: RelocateRequest) -> RelocateReply:
        """Take a step that another router asks for."""
        ask, now = (
            Ask(request.content, request.target, request.ticket),
            self.clock.now(),
        )
        if request.step == Step.PREPARE.value:
            return RelocateReply(prepared=self.dispatcher.prepare(ask, now))
        agreed = request.step == Step.COMMIT.value
        self.dispatch.act(self.dispatcher.settle(ask, agreed, now))
        return RelocateReply(prepared=False)

    def close(self) -> None:
        """Stop telling others."""
        for task in self._tasks:
            task.cancel()
