"""Agree with the other routers to send a content to a target that isn't its home.

`core.relocation` makes the decision.  This module sends the steps of the two-phase
commit to every other router and returns their replies.
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
    """Step of the two-phase commit that relocates a content."""

    PREPARE = "prepare"
    COMMIT = "commit"
    ABORT = "abort"


@dataclass
class RelocationProtocol:
    """Coordinator and participant of relocations at one router.

    Parameters
    ----------
    read_members
        Returns the current table of the other routers.
    """

    dispatch: DispatchLoop
    dispatcher: Dispatcher
    link: PeerLink
    clock: Clock
    read_members: Callable[[], Roster]
    _known_incarnations: dict[str, str] = field(default_factory=dict)
    _tasks: set[asyncio.Task[bool]] = field(default_factory=set)

    def update_routers(self) -> None:
        """Update the known routers, and report lost ones to the dispatcher.

        A router is lost when its record disappeared or names another incarnation,
        unless the router announced before that it was leaving.
        """
        member_statuses = self.read_members().member_statuses.values()
        staying = {
            status.member.name: status.member
            for status in member_statuses
            if not status.member.leaving
        }
        leaving = {
            status.member.name for status in member_statuses if status.member.leaving
        }
        for name, incarnation in self._known_incarnations.items():
            member = staying.get(name)
            replaced = member is not None and member.incarnation != incarnation
            if replaced or (member is None and name not in leaving):
                logging.info("router lost name=%s incarnation=%s", name, incarnation)
                self.dispatcher.record_lost_router(self.clock.now())
        self._known_incarnations = {
            name: member.incarnation for name, member in staying.items()
        }

    async def ask(self, ask: Ask) -> bool:
        """Ask all other routers whether a content may go to a target.

        Returns
        -------
        bool
            Whether every other router prepared the relocation.
        """
        self.update_routers()
        before = self._list_incarnations()
        answers = await asyncio.gather(
            *(
                self._send_step(address, ask, Step.PREPARE)
                for address in before.values()
            )
        )
        # A router that joined in the meantime was not asked, so nothing is agreed.
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
            self._send_decision(address, ask, Step.COMMIT if agreed else Step.ABORT)
        return agreed

    def _list_incarnations(self) -> dict[str, str]:
        """Return the peer address of each router's incarnation."""
        members = [
            status.member for status in self.read_members().member_statuses.values()
        ]
        return {member.incarnation: member.peer_address for member in members}

    def _send_decision(self, address: str, ask: Ask, step: Step) -> None:
        task = asyncio.get_running_loop().create_task(
            self._send_step(address, ask, step)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_step(self, address: str, ask: Ask, step: Step) -> bool:
        request = RelocateRequest(
            step=step.value, content=ask.content, target=ask.target, ticket=ask.ticket
        )
        try:
            reply = await self.link.relocate(address, request)
        except PeerError as error:
            logging.info("no reply to step=%s router=%s %s", step.value, address, error)
            return False
        return reply.prepared

    def handle_relocate(self, request: RelocateRequest) -> RelocateReply:
        """Carry out a step that another router requests."""
        ask, now = (
            Ask(request.content, request.target, request.ticket),
            self.clock.now(),
        )
        if request.step == Step.PREPARE.value:
            return RelocateReply(prepared=self.dispatcher.prepare(ask, now))
        agreed = request.step == Step.COMMIT.value
        self.dispatch.act(self.dispatcher.finish_relocation(ask, agreed, now))
        return RelocateReply(prepared=False)

    def close(self) -> None:
        """Cancel the decisions that are still being sent."""
        for task in self._tasks:
            task.cancel()
