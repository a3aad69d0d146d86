import unittest

from bench.fleet import take_free_port

_DRAWN_PORTS = 3_000


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
