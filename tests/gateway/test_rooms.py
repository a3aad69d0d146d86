"""How requests wait for room at their services, and give their places back."""

import asyncio
import unittest
from types import SimpleNamespace

from anvilshift.core.admission.order import RoomState
from anvilshift.core.targetload import Prompt
from anvilshift.gateway.rooms import RequestRoom, ServiceRooms
from tests.gateway.silent import SilentJournal
from tests.gateway.virtualtime import VirtualLoop, run

OBJECTIVE, PATIENCE = 250.0, 8_000.0


class ServiceRoomsTest(unittest.TestCase):
    """Load: nothing that is sent to a service begins to be answered."""

    def setUp(self) -> None:
        self.loop = VirtualLoop()
        self.rooms = ServiceRooms(self.loop, SilentJournal())

    def open(self, content: str, patience: float = PATIENCE) -> RequestRoom:
        rule = SimpleNamespace(name="read", priority=1, objective=OBJECTIVE)
        routed = SimpleNamespace(
            call=SimpleNamespace(prompt=Prompt()),
            payer=None,
            rule=rule,
            service="desk",
            model=None,
            end=self.loop.now() + patience,
        )
        return self.rooms.open(routed, content)

    async def make_short(self, count: int = 12) -> list[RequestRoom]:
        """Send requests until room is short, and return those under way."""
        under_way = [self.open(f"first-{n}") for n in range(count)]
        for room in under_way:
            await room.ask(0.0)
            room.start(0.0)
        await asyncio.sleep(0.3)
        return under_way

    def find_limit(self) -> float:
        return self.rooms.find_order("desk").gauge.limit

    def test_request_is_sent_as_another_begins(self):
        """Guards against requests that wait although room was given back."""

        async def play() -> RoomState:
            under_way = await self.make_short()
            waiting = asyncio.create_task(self.open("next").ask(0.0))
            await asyncio.sleep(0.01)
            self.assertFalse(waiting.done())
            for room in under_way:
                room.begin()
            return (await waiting).state

        self.assertIs(run(self.loop, play()), RoomState.ADMITTED)

    def test_request_that_gives_up_leaves_no_place_taken(self):
        """Guards against room lost for good by callers that leave as they get it."""

        async def play() -> int:
            under_way = await self.make_short()
            waiting = asyncio.create_task(self.open("next").ask(0.0))
            await asyncio.sleep(0.01)
            for room in under_way:
                room.begin()
            waiting.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await waiting
            return self.rooms.find_order("desk").gauge.under_way

        self.assertEqual(run(self.loop, play()), 0)

    def test_request_is_told_before_its_deadline(self):
        """Guards against a request held to its end that could have been told."""

        async def play() -> tuple[RoomState, float]:
            await self.make_short()
            began = self.loop.now()
            answer = await self.open("next", patience=70.0).ask(0.0)
            return answer.state, self.loop.now() - began

        state, held = run(self.loop, play())
        self.assertIs(state, RoomState.REFUSED)
        self.assertLessEqual(held, 50.0)

    def test_places_of_requests_that_end_are_given_back(self):
        """Guards against a limit that is used up by requests long ended."""

        async def play() -> int:
            for room in await self.make_short():
                room.close(is_whole=False)
            return self.rooms.find_order("desk").gauge.under_way

        self.assertEqual(run(self.loop, play()), 0)

    def test_request_that_may_have_run_waits_for_no_room(self):
        """Guards against an answer that breaks off as its retry waits in a queue."""

        async def play() -> RoomState:
            await self.make_short()
            room = self.open("again")
            room.enter()
            return (await room.ask(0.0)).state

        self.assertIs(run(self.loop, play()), RoomState.ADMITTED)
