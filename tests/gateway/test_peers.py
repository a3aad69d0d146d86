import asyncio
import socket
import time
import unittest

from anvilshift.core.clock import ManualClock
from anvilshift.gateway.datagrams import decode, encode
from anvilshift.gateway.messages import Beat, Ended, Held, Sent
from anvilshift.gateway.peers import PeerCallbacks, Peers, find_beat_interval
from bench.ports import take_free_port
from tests.gateway.silent import SilentJournal

DOMAINS = ("north", "south", "west")
OWN_IP = "10.0.0.200"


class RecordingTransport:
    """Records the datagrams that would be sent, each with its address."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, bytes]] = []

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        self.sent.append((address[0], data))

    def list_addresses(self, kind: str) -> list[str]:
        start = f'["{kind}"'.encode()
        return [ip for ip, data in self.sent if data.startswith(start)]


def make_beat(n: int, known: tuple[str, ...] = ()) -> Beat:
    ip, domain = f"10.0.0.{n}", DOMAINS[n % 3]
    entrance = f"{ip}:80"
    return Beat(f"r{n}", f"r{n}.1", ip, entrance, domain, 1, True, False, True, known)


class PeersTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.peers = Peers(OWN_IP, 7000, "north", self.clock, SilentJournal())
        self.transport = RecordingTransport()
        self.peers._transport = self.transport
        own = Beat("own", "own.1", OWN_IP, "x", "north", 1, True, False, True)
        self.peers.hooks = PeerCallbacks(make_beat=lambda: own)

    def hold_up(self) -> None:
        """Keep the event loop from its timers for a while."""
        time.sleep(0.03)

    def hear(self, n: int) -> None:
        beat = make_beat(n)
        self.peers.datagram_received(encode(beat), (beat.ip, 7000))

    async def test_a_small_fleet_gets_every_message_at_once(self):
        for n in range(4):
            self.hear(n)
        self.assertTrue(self.peers.small)
        self.peers.broadcast(Ended("own/1", "e1"))
        await asyncio.sleep(0.01)
        self.assertEqual(len(self.transport.list_addresses("Ended")), 4)

    async def test_in_a_larger_fleet_sends_are_announced_only_near_the_engine(self):
        """Each of thirty routers sent a message to all others for every send and end.

        A router with many requests filled its link with them, which delayed its
        answers.
        """
        for n in range(30):
            self.hear(n)
        sent = Sent("own/1", "e1", (), 10, 5, 0, False)
        self.peers.send_near(sent, "south")
        await asyncio.sleep(0.08)
        receivers = self.transport.list_addresses("Sent")
        near = [f"10.0.0.{n}" for n in range(30) if DOMAINS[n % 3] != "west"]
        self.assertCountEqual(receivers, near)

    async def test_messages_for_far_routers_go_only_to_them(self):
        for n in range(30):
            self.hear(n)
        self.peers.send_far(Held("e1", (("sheet", 9_000),)), "south")
        await asyncio.sleep(0.3)
        receivers = self.transport.list_addresses("Held")
        far = [f"10.0.0.{n}" for n in range(30) if DOMAINS[n % 3] == "west"]
        self.assertCountEqual(receivers, far)

    async def test_no_message_is_sent_if_no_router_is_far(self):
        self.hear(0)
        self.hear(1)
        self.peers.send_far(Held("e1", (("sheet", 9_000),)), "south")
        await asyncio.sleep(0.3)
        self.assertEqual(self.transport.list_addresses("Held"), [])

    async def test_the_end_of_a_run_shares_a_datagram_with_the_next_send(self):
        for n in range(30):
            self.hear(n)
        self.peers.send_near(Ended("own/1", "e1"), "north", soon=False)
        await asyncio.sleep(0.08)
        self.assertEqual(self.transport.list_addresses("Ended"), [])
        self.peers.send_near(Sent("own/2", "e1", (), 10, 5, 0, False), "north")
        await asyncio.sleep(0.08)
        datagrams = [d for _, d in self.transport.sent if d.startswith(b'["Ended"')]
        kinds = [type(message) for message in decode(datagrams[0])]
        self.assertEqual(kinds, [Ended, Sent])

    async def test_any_datagram_shows_that_a_router_is_running(self):
        """In a larger fleet heartbeats are infrequent, and links lose some of them.

        Other messages of a router also show that it is running.
        """
        self.hear(1)
        silence = find_beat_interval(2) * 4.3
        self.clock.advance(silence - 1.0)
        self.peers.datagram_received(encode(Ended("r1/1", "e1")), ("10.0.0.1", 7000))
        self.clock.advance(silence - 1.0)
        self.assertEqual(len(self.peers.list_present()), 1)
        self.clock.advance(2.0)
        self.assertEqual(self.peers.list_present(), [])

    async def test_a_discovered_router_gets_a_heartbeat_at_once(self):
        for n in range(20):
            self.hear(n)
        self.transport.sent.clear()
        self.hear(25)
        self.assertEqual(self.transport.list_addresses("Beat"), ["10.0.0.25"])

    async def test_addresses_from_elsewhere_get_a_heartbeat_at_once(self):
        """Guards against waiting for seeds that start later than the others."""
        self.hear(1)
        self.transport.sent.clear()
        self.peers.greet({"10.0.0.1", "10.0.0.2", OWN_IP})
        self.assertEqual(self.transport.list_addresses("Beat"), ["10.0.0.2"])
        self.assertIn("10.0.0.2", self.peers.addresses)

    async def test_far_routers_get_fewer_heartbeats(self):
        for n in range(30):
            self.hear(n)
        self.transport.sent.clear()
        for _ in range(4):
            self.peers.beat()
        counts = [
            self.transport.list_addresses("Beat").count(f"10.0.0.{n}") for n in (0, 1)
        ]
        self.assertEqual(counts, [4, 2])

    async def test_message_after_the_close_is_dropped(self):
        """Guards against an exception of a task that answers as its router ends."""
        peers = Peers("127.0.0.1", 0, "north", self.clock, SilentJournal())
        await peers.start()
        peers.close()
        await asyncio.sleep(0.01)
        peers.send(Ended("own/1", "e1"), "127.0.0.1")
        peers.close()

    async def test_a_message_that_waits_beyond_its_time_tells_of_late_timers(self):
        """Guards against routers on a busy host that take old news for fresh."""
        self.assertEqual(self.peers.find_lateness(), 0.0)
        self.peers.broadcast(Ended("own/1", "e1"))
        self.hold_up()
        self.assertGreater(self.peers.find_lateness(), 20.0)

    async def test_late_timers_are_remembered_once_the_message_is_sent(self):
        self.peers.broadcast(Ended("own/1", "e1"))
        self.hold_up()
        await asyncio.sleep(0.005)
        self.assertIsNone(self.peers._timer)
        self.assertGreater(self.peers.find_lateness(), 20.0)


class BusyRouterTest(unittest.IsolatedAsyncioTestCase):
    async def test_all_datagrams_that_wait_are_handled_in_one_turn(self):
        """Guards against news of the others that comes seconds late beside load."""
        heard = []
        port = take_free_port()
        hooks = PeerCallbacks(make_beat=lambda: None, on_message=heard.append)
        peers = Peers("127.0.0.1", port, "north", ManualClock(), SilentJournal())
        peers.hooks = hooks
        await peers.start()
        self.addCleanup(peers.close)
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for number in range(50):
                message = Ended(f"r1/{number}", "e1")
                sender.sendto(encode(message), ("127.0.0.1", port))
        turns = 0
        while len(heard) < 50 and turns < 5:
            await asyncio.sleep(0)
            turns += 1
        self.assertEqual([m.run for m in heard], [f"r1/{n}" for n in range(50)])
