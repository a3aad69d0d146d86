"""Routers of one failure domain that share their watches, in virtual time."""

import asyncio
import random
import unittest
from collections import Counter
from dataclasses import replace

from anvilshift.gateway.following import find_interval_factor
from anvilshift.gateway.messages import Beat
from anvilshift.gateway.node import GatewayNode
from anvilshift.gateway.peers import LOST_AFTER_BEATS, Peer, find_beat_interval
from anvilshift.gateway.settings import GatewaySettings
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.platform.store import PlatformStore
from anvilshift.standins.virtual import VirtualClock, run_virtual
from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address
from tests.gateway.silent import SilentJournal
from tests.platform.gatewaycase import make_configuration
from tests.platform.memorynetwork import MemoryNetwork
from tests.platform.stubs import StoreStub

ROUTERS = 12
IN_FORCE_S = 3.0
"""Seconds in which a change has to be in force at routers in touch."""
IN_TOUCH_AFTER_S = 4.0
"""Seconds after which a silence excuses nothing any more in a grown fleet."""
_STORE = Address("10.0.1.0", 1)


class CountingStub(StoreStub):
    """A store that knows who calls, and turns some routers away.

    Attributes
    ----------
    callers
        Number of calls by address.
    refused
        Addresses that it turns away.
    """

    def __init__(self) -> None:
        super().__init__()
        self.callers: Counter[str] = Counter()
        self.refused: set[str] = set()

    async def handle(self, request, responder) -> None:
        self.callers[responder.peer_ip] += 1
        self.status = 503 if responder.peer_ip in self.refused else None
        await super().handle(request, responder)


class Links:
    """Connects one router to the others.

    Parameters
    ----------
    routers
        The nodes by address.
    dark
        Addresses of hosts that neither answer nor refuse.
    """

    def __init__(self, source, routers, dark) -> None:
        self._source, self._routers, self._dark = source, routers, dark
        self.made: list[MemoryNetwork] = []

    async def open(self, protocol, address: Address) -> None:
        if address.ip in self._dark or self._source in self._dark:
            await asyncio.Event().wait()
        server = self._routers[address.ip].shared_watches._server
        network = MemoryNetwork(server, self._source)
        self.made.append(network)
        await network.open(protocol, address)


class Fleet:
    """Routers that follow a store; of their other parts none runs."""

    def __init__(
        self, routers: int = ROUTERS, readers: int = 1, sparing: bool = True
    ) -> None:
        self.store = CountingStub()
        self.nodes: dict[str, GatewayNode] = {}
        self.links: dict[str, Links] = {}
        self.store_links: dict[str, MemoryNetwork] = {}
        self.dark: set[str] = set()
        self.clock = VirtualClock()
        self._tasks: list[asyncio.Task[None]] = []
        self.journals: dict[str, SilentJournal] = {}
        for number in range(routers):
            self._add(f"10.0.0.{number}", readers, sparing)

    def _add(self, ip: str, readers: int, sparing: bool) -> None:
        settings = GatewaySettings(
            f"n-{ip}", ip, "north", Address(ip, 1), None, None, 1, 2, _STORE
        )
        settings = replace(
            settings,
            watch_port=4,
            recovery=4_000.0,
            readers_per_domain=readers,
            spare_writes=sparing,
        )
        network = self.store_links[ip] = MemoryNetwork(self.store.server, ip)
        self.links[ip] = Links(ip, self.nodes, self.dark)
        self.journals[ip] = SilentJournal()
        self.nodes[ip] = GatewayNode(
            settings,
            PlatformDialect(),
            PlatformStore(HttpClient(network=network), _STORE),
            self.clock,
            self.journals[ip],
            random.Random(ip),
            network=self.links[ip],
        )

    async def start(self) -> None:
        """Let the routers follow the store until they have settled."""
        self.put(1)
        for node in self.nodes.values():
            followers = (node.configuration_follower, node.target_follower)
            for follower in followers:
                follower.interval_factor = find_interval_factor(len(self.nodes))
                self._tasks.append(asyncio.create_task(follower.run()))
        self._tasks.append(asyncio.create_task(self._beat()))
        await asyncio.sleep(12.0)

    async def stop(self) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _beat(self) -> None:
        """Let the routers hear each other's heartbeats, but for dark ones."""
        interval = find_beat_interval(len(self.nodes))
        while True:
            self.meet()
            for node in self.nodes.values():
                timeout = interval * LOST_AFTER_BEATS * 1.1
                for name, known in list(node.peers.routers.items()):
                    if self.clock.now() - known.heard > timeout:
                        del node.peers.routers[name]
            await asyncio.sleep(interval / 1_000.0)

    def meet(self) -> None:
        """Let each router hear a heartbeat of each other one, but for dark ones."""
        for ip, node in self.nodes.items():
            for other, peer in self.nodes.items():
                if ip != other and other not in self.dark and ip not in self.dark:
                    beat = self._make_beat(other, peer)
                    node.peers.routers[beat.router] = Peer(beat, self.clock.now())

    def _make_beat(self, ip: str, node: GatewayNode) -> Beat:
        fresh = node.messenger.is_fresh()
        return Beat(f"n-{ip}", "x", ip, f"{ip}:1", "north", 1, True, False, fresh)

    def find_reader(self) -> str:
        """Return the address of the only router that reads the store."""
        (reader,) = {
            ip
            for ip, node in self.nodes.items()
            if node.shared_watches.find_reader() is None
        }
        return reader

    async def ask(self, ip: str, other: str):
        """Let one router ask another for changes; return the answer, None if none."""
        watches = self.nodes[ip].shared_watches
        return await watches.ask(f"n-{other}", "config", self.store.revision)

    def put(self, version: int) -> None:
        self.store.put("config", "main", make_configuration(version))

    async def measure(self, version: int, but: set[str] = frozenset()) -> float:
        """Return the seconds until a version is in force at all routers but some."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        nodes = [node for ip, node in self.nodes.items() if ip not in but]
        while any(node.configurations.version < version for node in nodes):
            if loop.time() > began + 30.0:
                break
            await asyncio.sleep(0.01)
        return loop.time() - began


class SharedWatchTest(unittest.TestCase):
    def play(self, scenario, **options):
        """Run a scenario with a fleet in virtual time."""

        async def run():
            fleet = Fleet(**options)
            await fleet.start()
            try:
                return await scenario(fleet)
            finally:
                await fleet.stop()

        return run_virtual(run())

    def count_calls(self, **options) -> int:
        """Return the calls of a fleet in a calm minute."""

        async def scenario(fleet):
            fleet.store.callers.clear()
            await asyncio.sleep(60.0)
            return fleet.store.callers.total()

        return self.play(scenario, **options)

    def test_calm_fleet_makes_a_quarter_of_the_calls(self):
        """Guards against a fleet that pays for a watch of each router."""
        self.assertLessEqual(self.count_calls(), self.count_calls(readers=0) / 4)

    def test_small_fleet_calls_as_before(self):
        small = {"routers": 8}
        self.assertEqual(
            self.count_calls(**small), self.count_calls(**small, readers=0)
        )

    def test_change_is_in_force_at_all_routers_at_once(self):
        async def scenario(fleet):
            fleet.put(2)
            return await fleet.measure(2)

        self.assertLess(self.play(scenario), 0.5)

    def test_change_is_in_force_in_time_as_the_reader_loses_power(self):
        """Guards against a domain that waits for a reader that is gone."""

        async def scenario(fleet):
            reader = fleet.find_reader()
            fleet.dark.add(reader)
            for links in fleet.links.values():
                for network in links.made:
                    network.silence()
            fleet.put(2)
            return await fleet.measure(2, {reader})

        self.assertLess(self.play(scenario), IN_FORCE_S)

    def test_change_is_in_force_in_time_as_the_store_turns_the_reader_away(self):
        """Guards against a domain that hears nothing as its reader is turned away."""

        async def scenario(fleet):
            reader = fleet.find_reader()
            fleet.store.refused.add(reader)
            fleet.store_links[reader].silence()
            await asyncio.sleep(1.0)
            fleet.put(2)
            return await fleet.measure(2, {reader})

        self.assertLess(self.play(scenario), IN_FORCE_S)

    def test_change_is_in_force_in_time_as_all_connections_fall_silent(self):
        """Guards against a silence that lasts longer as routers wait for each other."""

        async def scenario(fleet, pause):
            await asyncio.sleep(pause)
            for network in fleet.store_links.values():
                network.silence()
            for links in fleet.links.values():
                for network in links.made:
                    network.silence()
            await asyncio.sleep(0.5)
            fleet.put(2)
            return 0.5 + await fleet.measure(2)

        for tenths in range(0, 30, 3):
            with self.subTest(pause=tenths / 10):
                took = self.play(lambda fleet, n=tenths: scenario(fleet, n / 10))
                self.assertLess(took, IN_TOUCH_AFTER_S)

    def test_change_is_in_force_in_time_as_the_readers_watch_is_silent(self):
        """Guards against routers in touch that a silent connection of another holds."""

        async def scenario(fleet, pause):
            await asyncio.sleep(pause)
            reader = fleet.find_reader()
            fleet.store_links[reader].silence()
            fleet.put(2)
            return await fleet.measure(2, {reader})

        for tenths in range(0, 30, 3):
            with self.subTest(pause=tenths / 10):
                took = self.play(lambda fleet, n=tenths: scenario(fleet, n / 10))
                self.assertLess(took, IN_FORCE_S)

    def test_router_that_the_store_turns_away_goes_on_by_its_reader(self):
        """Guards against a router that knows no targets though others do."""

        async def scenario(fleet):
            away = set(fleet.nodes) - {fleet.find_reader()}
            fleet.store.refused |= away
            fleet.put(2)
            return await fleet.measure(2)

        self.assertLess(self.play(scenario), IN_FORCE_S)

    def test_router_that_is_told_tells_nobody(self):
        """Guards against routers that believe each other for ever.

        Where routers see different ones, one may ask another that asks a third.
        """

        async def scenario(fleet):
            reader = fleet.find_reader()
            first, second = [ip for ip in fleet.nodes if ip != reader][:2]
            return await fleet.ask(first, second), await fleet.ask(first, reader)

        by_told, by_reader = self.play(scenario)
        self.assertIsNone(by_told)
        self.assertIsNotNone(by_reader)

    def test_reader_that_the_store_turns_away_tells_nobody(self):
        """Guards against a reader whose old knowledge is taken for the newest."""

        async def scenario(fleet):
            reader = fleet.find_reader()
            other = next(ip for ip in fleet.nodes if ip != reader)
            fleet.store.refused.add(reader)
            await asyncio.sleep(5.0)
            return await fleet.ask(other, reader)

        self.assertIsNone(self.play(scenario))

    def test_registration_and_removal_of_a_target_reach_all_routers(self):
        async def scenario(fleet):
            entry = {
                "service": "llm",
                "address": "10.0.2.1:80",
                "zone": "north",
                "slots": 8,
                "state": "ready",
                "version": "v1",
            }
            fleet.store.put("servers", "e1", entry)
            await asyncio.sleep(2.0)
            known = [set(node.loads.targets) for node in fleet.nodes.values()]
            fleet.store.remove("servers", "e1")
            await asyncio.sleep(2.5)
            left = [set(node.loads.targets) for node in fleet.nodes.values()]
            return known, left

        known, left = self.play(scenario)
        self.assertEqual(known, [{"e1"}] * ROUTERS)
        self.assertEqual(left, [set()] * ROUTERS)

    def test_what_a_router_is_told_is_not_taken_for_newer_than_it_is(self):
        """Guards against a reader that hears nothing and is believed for ever."""

        async def scenario(fleet):
            reader = fleet.find_reader()
            confirmed = fleet.nodes[reader].configuration_follower.confirmed
            await asyncio.sleep(1.0)
            told = [n.configuration_follower.confirmed for n in fleet.nodes.values()]
            newest = fleet.nodes[reader].configuration_follower.confirmed
            return confirmed, told, newest

        confirmed, told, newest = self.play(scenario)
        self.assertLessEqual(max(told), newest + 1.0)
        self.assertGreaterEqual(min(told), confirmed - 6_000.0)


if __name__ == "__main__":
    unittest.main()
