"""The router addresses that a caller receives."""

import unittest

from anvilshift.core.endpoints import Endpoint, choose_endpoints


def make_routers(north: int, south: int) -> list[Endpoint]:
    routers = [Endpoint(f"10.0.0.{n}:80", "north") for n in range(north)]
    return routers + [Endpoint(f"10.1.0.{n}:80", "south") for n in range(south)]


class EndpointsTest(unittest.TestCase):
    def test_callers_receive_only_local_routers_if_there_are_enough(self):
        chosen = choose_endpoints(make_routers(4, 6), "north")
        self.assertEqual(chosen, tuple(f"10.0.0.{n}:80" for n in range(4)))

    def test_callers_receive_all_routers_if_few_are_local(self):
        """Guards against failing calls after the only router of a domain is killed.

        Callers that know no other address fail until they request a new list.
        """
        self.assertEqual(len(choose_endpoints(make_routers(1, 3), "north")), 4)

    def test_callers_in_an_unknown_domain_receive_all_routers(self):
        self.assertEqual(len(choose_endpoints(make_routers(5, 5), "")), 10)
