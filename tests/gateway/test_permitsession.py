import math
import unittest
from types import SimpleNamespace

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import ManualClock, Millis
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.permitsession import PermitSession

PLACES = 6


class StubPeers:
    """Two other routers."""

    def __init__(self) -> None:
        self.late: Millis = 0.0
        self.small = True

    def list_present(self) -> list[str]:
        return ["r2", "r3"]

    def find_lateness(self) -> Millis:
        return self.late


class BrittleTargetTest(unittest.IsolatedAsyncioTestCase):
    """A target of six places, and three routers that use it."""

    def setUp(self):
        self.clock, self.loads, self.peers = ManualClock(), LoadMap(), StubPeers()
        info = TargetInfo("d1", "desk", "10.0.0.1:80", "north", PLACES)
        self.loads.declare(info)
        self.target = self.loads.targets["d1"]
        self.target.brittle = 4.0
        shared = SimpleNamespace(
            clock=self.clock,
            router="r1.1",
            rng=SimpleNamespace(random=lambda: 0.5),
            sender=SimpleNamespace(peers=self.peers),
            permits=SimpleNamespace(is_limited=lambda target: False),
            next_run=lambda: "r1.1/9",
        )
        self.session = PermitSession(shared, "id", arrived=0.0)

    def send(self, run: str) -> None:
        self.loads.send("d1", run, Prompt(), 0, self.clock.now(), 0)

    async def may_send(self) -> bool:
        choice = Choice(self.target, 0.0)
        return await self.session.request_permit(choice, 0, math.inf) is not None

    def send_two(self, ago: Millis) -> None:
        self.send("r1.1/1")
        self.send("r1.1/2")
        self.clock.advance(ago)

    async def test_a_router_that_just_sent_its_part_sends_no_more(self):
        self.send_two(ago=5.0)
        self.assertFalse(await self.may_send())

    async def test_the_others_know_of_a_request_some_milliseconds_later(self):
        self.send_two(ago=30.0)
        self.assertTrue(await self.may_send())

    async def test_late_timers_put_off_what_the_others_know(self):
        """Guards against routers on busy hosts that fill one target three times."""
        self.peers.late = 11.0  # 10 + 2 * 11 > 30
        self.send_two(ago=30.0)
        self.assertFalse(await self.may_send())

    async def test_what_has_ended_takes_no_place(self):
        self.peers.late = 11.0
        self.send_two(ago=30.0)
        self.loads.end("d1", "r1.1/1")
        self.loads.end("d1", "r1.1/2")
        self.assertTrue(await self.may_send())

    async def test_most_routers_of_a_larger_fleet_never_know(self):
        """Guards against a target that each of thirty routers fills by itself."""
        self.peers.small = False
        self.send_two(ago=5_000.0)
        self.assertFalse(await self.may_send())
