import unittest

from bench.fleet import take_free_port

_DRAWN = 3_000


class FreePortTest(unittest.TestCase):
    def test_no_port_is_given_out_twice(self):
        """Two processes of a fleet were given one port.

        A fleet draws some twenty ports before its processes listen on them.  Two
        equal ones passed the look for a listener, the first process took the
        port, and the second, a router, ended at once: address already in use.
        Whoever started the fleet waited 20 s for it in vain.
        """
        drawn = [take_free_port() for _ in range(_DRAWN)]
        self.assertEqual(_DRAWN, len(set(drawn)))
