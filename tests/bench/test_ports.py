import socket
import subprocess
import sys
import unittest
from unittest import mock

from bench import ports
from bench.fleet import ROOT
from bench.ports import _CLAIM_IP, _SLICE_PORTS, PortSlices, take_free_port

_DRAWN_PORTS = 3_000
_PROCESSES = 4
_ADJACENT_PORTS = 4
_PROCESS_PORTS = 300
_DRAW = f"""
import sys
from bench.ports import take_free_port
print(*(take_free_port() for _ in range({_PROCESS_PORTS})), flush=True)
sys.stdin.read()
"""


class FreePortTest(unittest.TestCase):
    def test_no_port_is_given_out_twice(self):
        """Guards against giving one port to two processes of a fleet.

        A fleet draws about twenty ports before its processes listen on them, so
        the check for a listener accepts the same port twice.  The second process,
        a router, then exits (address already in use), and starting the fleet
        fails after a wait of 20 s.
        """
        drawn = [take_free_port() for _ in range(_DRAWN_PORTS)]
        self.assertEqual(_DRAWN_PORTS, len(set(drawn)))

    def test_processes_draw_different_ports(self):
        """Guards against two checks at once that start routers on one port.

        The draws were random in each process, so now and then two of them gave a
        port to a process or a fleet of gateways at the same moment, and the second
        one could not listen.
        """
        processes = [self.start_drawing() for _ in range(_PROCESSES)]
        drawn = [port for one in processes for port in one.stdout.readline().split()]
        self.assertEqual(len(drawn), _PROCESSES * _PROCESS_PORTS)
        self.assertEqual(len(set(drawn)), len(drawn))

    def start_drawing(self):
        process = subprocess.Popen(
            [sys.executable, "-c", _DRAW],
            cwd=ROOT,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.addCleanup(process.communicate)
        return process

    def test_port_in_use_on_any_loopback_address_is_passed_over(self):
        """Guards against fleets whose routers share a port on several addresses."""
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
            slices = PortSlices()
            used, free = slices.draw(), slices.draw()
            with socket.socket(socket.AF_INET, kind) as other:
                other.bind(("127.0.0.3", used))
                draws = mock.Mock(side_effect=(used, free))
                with mock.patch.object(ports._SLICES, "draw", draws):
                    self.assertEqual(take_free_port(), free)

    def test_adjacent_ports_are_given_out_once(self):
        """Guards against gateways that listen on a port beside the one they drew.

        A gateway listens on four ports that follow each other.  Its test drew the
        first of them alone, so that now and then another one was the port for its
        callers: every gateway of the fleet exits, address already in use.
        """
        slices = PortSlices()
        drawn = []
        for _ in range(3 * _SLICE_PORTS):
            drawn.append(slices.draw())
            found = slices.draw_adjacent(_ADJACENT_PORTS)
            self.assertEqual(len(found), _ADJACENT_PORTS)
            drawn.extend(found)
        self.assertEqual(len(set(drawn)), len(drawn))

    def test_claim_ends_with_its_process(self):
        """Guards against a machine that runs out of ports after many checks."""
        process = self.start_drawing()
        first = min(int(port) for port in process.stdout.readline().split())
        claimed = first - first % _SLICE_PORTS
        with socket.socket() as claim:
            with self.assertRaises(OSError):
                claim.bind((_CLAIM_IP, claimed))
            process.communicate()
            claim.bind((_CLAIM_IP, claimed))
