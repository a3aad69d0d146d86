import unittest

from anvilshift.core.entrances import Entrance, choose_entrances


def make_routers(north: int, south: int) -> list[Entrance]:
    routers = [Entrance(f"10.0.0.{n}:80", "north") for n in range(north)]
    return routers + [Entrance(f"10.1.0.{n}:80", "south") for n in range(south)]


class EntrancesTest(unittest.TestCase):
    def test_callers_stay_in_their_domain_where_it_has_routers_enough(self):
        found = choose_entrances(make_routers(4, 6), "north")
        self.assertEqual(found, tuple(f"10.0.0.{n}:80" for n in range(4)))

    def test_few_routers_are_not_left_alone_with_a_domain(self):
        """The only router of a domain is killed.

        Callers that knew no other address would fail until they asked again.
        """
        self.assertEqual(len(choose_entrances(make_routers(1, 3), "north")), 4)

    def test_a_caller_of_an_unknown_domain_is_told_of_all(self):
        self.assertEqual(len(choose_entrances(make_routers(5, 5), "")), 10)
