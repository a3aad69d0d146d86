"""How a router gets the configuration in force from another one."""

import asyncio
import json
import random
import unittest
from dataclasses import replace

from anvilshift.core.clock import ManualClock
from anvilshift.core.versionlag import ASK_AFTER, RENEW_AFTER, LagStep, VersionLag
from anvilshift.gateway.configurations import Configurations
from anvilshift.gateway.messages import Beat
from anvilshift.gateway.peers import Peer, Peers
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.objects.hedged import HedgedStore
from anvilshift.objects.store import ObjectChange
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.standins.memory import MemoryStore
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address, Reply
from anvilshift.wire.server import HttpServer
from bench.ports import take_free_port
from tests.gateway.silent import SilentJournal
from tests.platform.cutnetwork import CutNetwork
from tests.platform.gatewaycase import make_configuration

NOWHERE = Address("127.0.0.1", 0)


class VersionLagTest(unittest.TestCase):
    def observe(self, lag: VersionLag, steps) -> list[LagStep]:
        return [lag.observe(mine, newest, now) for mine, newest, now in steps]

    def test_router_that_stays_behind_renews_once_and_asks_again_and_again(self):
        times = [0.0, RENEW_AFTER, RENEW_AFTER + 100.0, ASK_AFTER, 2 * ASK_AFTER]
        steps = self.observe(VersionLag(), [(1, 2, now) for now in times])
        nothing, renew, ask = LagStep.NOTHING, LagStep.RENEW, LagStep.ASK
        self.assertEqual(steps, [nothing, renew, nothing, ask, ask])

    def test_router_that_receives_changes_is_not_taken_for_cut_off(self):
        """Guards against questions to others while versions come one on the other."""
        storm = [(n, n + 3, 100.0 * n) for n in range(1, 60)]
        self.assertEqual(set(self.observe(VersionLag(), storm)), {LagStep.NOTHING})

    def test_router_that_is_ahead_does_nothing(self):
        steps = self.observe(VersionLag(), [(5, 4, 1_000.0 * n) for n in range(5)])
        self.assertEqual(set(steps), {LagStep.NOTHING})


class ConfigurationsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.port = take_free_port()
        self.recovery = 3_000.0
        self.clock = ManualClock()
        self.journal = SilentJournal()
        self.made: list[Configurations] = []
        self.applied: dict[str, list[int]] = {}

    async def asyncTearDown(self):
        for one in self.made:
            await one.close()

    def make(self, ip: str, version: int) -> Configurations:
        """Return the configurations of a router that has a version in force."""
        settings = GatewaySettings(
            f"n-{ip}",
            ip,
            "north",
            NOWHERE,
            None,
            None,
            0,
            0,
            NOWHERE,
            configuration_port=self.port,
            recovery=self.recovery,
        )
        network = CutNetwork()
        network.source = ip
        applied = self.applied.setdefault(ip, [])
        peers = Peers(ip, 0, "north", self.clock, self.journal)
        one = Configurations(
            settings,
            PlatformDialect(),
            HedgedStore(MemoryStore(), self.clock),
            peers,
            self.clock,
            self.journal,
            random.Random(1),
            lambda configuration: applied.append(configuration.version),
            network,
        )
        self.made.append(one)
        if version:
            self.learn(one, version)
        return one

    def learn(self, one: Configurations, version: int) -> None:
        body = make_configuration(version)
        one.follower.change(ObjectChange("config", "main", version, body))

    def introduce(self, one: Configurations, ip: str, version: int) -> None:
        """Let a router hear the heartbeat of another one."""
        beat = Beat(
            f"n-{ip}", "x", ip, f"{ip}:1", "north", version, True, False, True, ()
        )
        one._peers.routers[beat.router] = Peer(beat, self.clock.now())

    async def fall_behind(self, one: Configurations) -> None:
        """Let a router be behind for long enough to ask, and wait for the answer."""
        for _ in range(8):
            one.check(self.clock.now())
            for peer in one._peers.routers.values():
                peer.heard = self.clock.now()
            self.clock.advance(100.0)
        self.assertIsNotNone(one._asking)
        await one._asking

    async def test_watch_fits_into_the_time_of_recovery(self):
        for recovery, wait in ((3_000.0, 1_900.0), (4_000.0, 2_900.0), (0.0, 300.0)):
            self.recovery = recovery
            one = self.make("127.0.0.2", 0)
            self.assertEqual(one.follower.max_wait, wait)

    async def start_pair(self) -> tuple[Configurations, Configurations]:
        behind, ahead = self.make("127.0.0.2", 3), self.make("127.0.0.3", 7)
        await ahead.start()
        self.introduce(behind, "127.0.0.3", 7)
        self.introduce(ahead, "127.0.0.2", 3)
        return behind, ahead

    async def test_router_that_is_behind_takes_the_version_of_another(self):
        behind, _ = await self.start_pair()
        await self.fall_behind(behind)
        self.assertEqual(self.applied["127.0.0.2"], [3, 7])
        _, last = self.journal.lines[-1]
        self.assertEqual((last["way"], last["version"]), ("peer", 7))

    async def test_older_version_than_heard_of_is_not_put_in_force(self):
        """Guards against a router that goes back to what another one still has."""
        behind, ahead = await self.start_pair()
        ahead._held = replace(ahead._held, body=make_configuration(2))
        await self.fall_behind(behind)
        self.assertEqual((self.applied["127.0.0.2"], behind.version), ([3], 3))

    async def test_newer_version_of_the_store_is_kept_over_a_late_answer(self):
        behind, _ = await self.start_pair()
        asking = asyncio.create_task(self.fall_behind(behind))
        await asyncio.sleep(0)
        self.learn(behind, 9)
        await asking
        self.assertEqual(self.applied["127.0.0.2"], [3, 9])

    async def test_configuration_is_told_to_known_routers_only(self):
        """Guards against credentials that anybody can read."""
        _, ahead = await self.start_pair()
        ahead._peers.routers.clear()
        client = HttpClient()
        answer = await client.call(
            Address("127.0.0.3", self.port), "GET", "/configuration", timeout=1_000.0
        )
        client.close()
        self.assertEqual(answer.status, 404)
        self.assertNotIn(b"k1", answer.body)

    async def check_garbage(self, reply: Reply) -> None:
        async def answer(request, responder) -> None:
            await responder.send(reply)

        server = HttpServer(answer)
        await server.start(Address("127.0.0.3", self.port))
        behind = self.make("127.0.0.2", 3)
        self.introduce(behind, "127.0.0.3", 7)
        try:
            await self.fall_behind(behind)
        finally:
            await server.close()
        self.assertEqual(self.applied["127.0.0.2"], [3])

    async def test_answer_that_is_no_configuration_changes_nothing(self):
        bodies = (
            b"{",
            b"[]",
            b"{}",
            json.dumps({"revision": "x", "body": {}}).encode(),
            json.dumps({"revision": 9, "body": {"version": 9}}).encode(),
        )
        for body in bodies:
            with self.subTest(body):
                self.applied.clear()
                await self.check_garbage(Reply(200, [], body))

    async def test_router_that_refuses_or_is_gone_changes_nothing(self):
        await self.check_garbage(Reply(404))
        self.applied.clear()
        behind = self.make("127.0.0.2", 3)
        self.introduce(behind, "127.0.0.9", 7)
        await self.fall_behind(behind)
        self.assertEqual(self.applied["127.0.0.2"], [3])
        self.assertIn("configuration_not_told", self.journal.list_events())


if __name__ == "__main__":
    unittest.main()
