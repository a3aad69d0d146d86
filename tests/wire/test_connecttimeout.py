import asyncio
import unittest

from anvilshift.wire.client import HttpClient
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError
from tests.gateway.virtualtime import VirtualLoop, run

TARGET = Address("10.0.0.1", 80)
TIMEOUT = 200.0
TURN_S = 0.15


class TurnsNetwork:
    """Opens connections within some turns of the loop; never if there are none."""

    def __init__(self, turns: int) -> None:
        self.turns = turns

    async def open(self, protocol, address: Address) -> None:
        if not self.turns:
            await asyncio.get_running_loop().create_future()
        for _ in range(self.turns):
            await asyncio.sleep(0)


class BusyLoop(VirtualLoop):
    """A loop each turn of which takes long."""

    def _run_once(self) -> None:
        self._virtual.waited += TURN_S
        super()._run_once()


class BusyLoopTest(unittest.TestCase):
    def open(self, loop: VirtualLoop, turns: int) -> None:
        client = HttpClient(network=TurnsNetwork(turns))
        run(loop, client.open(TARGET, TIMEOUT))

    def test_connection_that_the_network_has_opened_is_used(self):
        """Guards against a busy router that gives up each connection as it opens."""
        self.open(BusyLoop(), turns=5)

    def test_connection_that_never_opens_is_given_up(self):
        """Guards against a busy router that waits for a host which has gone."""
        with self.assertRaises(ExchangeError) as caught:
            self.open(BusyLoop(), turns=0)
        self.assertTrue(caught.exception.hung)

    def test_turns_of_an_idle_loop_take_no_time(self):
        """Guards against a dead host that is found later by a router with time."""
        loop = VirtualLoop()
        with self.assertRaises(ExchangeError):
            self.open(loop, turns=0)
        self.assertAlmostEqual(loop.time(), TIMEOUT / 1_000, places=6)
