import unittest

from anvilshift.core.duties.storereaders import ReaderCandidate, choose_readers


def make_fleet(routers: int, domains: int = 3) -> list[ReaderCandidate]:
    return [ReaderCandidate(f"r{n}", f"d{n % domains}") for n in range(routers)]


class ReaderTest(unittest.TestCase):
    def test_each_domain_of_a_large_fleet_has_one_reader_of_its_own(self):
        fleet = make_fleet(90)
        for domain in ("d0", "d1", "d2"):
            (reader,) = choose_readers(fleet, domain, most=1)
            self.assertIn(ReaderCandidate(reader, domain), fleet)

    def test_all_routers_of_a_small_fleet_read_for_themselves(self):
        self.assertEqual(choose_readers(make_fleet(8), "d0", most=1), ())

    def test_domain_of_two_routers_has_no_reader(self):
        self.assertEqual(choose_readers(make_fleet(10, domains=5), "d0", most=1), ())

    def test_router_that_the_store_turns_away_reads_for_nobody(self):
        """Guards against a domain that hears nothing as its reader is turned away."""
        fleet = make_fleet(90)
        (first,) = choose_readers(fleet, "d0", most=1)
        cut = [
            ReaderCandidate(one.router, one.failure_domain, one.router != first)
            for one in fleet
        ]
        (second,) = choose_readers(cut, "d0", most=1)
        self.assertNotEqual(first, second)

    def test_loss_of_a_router_that_is_no_reader_changes_no_reader(self):
        fleet = make_fleet(90)
        (reader,) = choose_readers(fleet, "d0", most=1)
        left = [
            one for one in fleet if one.router in (reader, "r1") or one.router > "r3"
        ]
        self.assertEqual(choose_readers(left, "d0", most=1), (reader,))

    def test_setting_turns_it_off(self):
        self.assertEqual(choose_readers(make_fleet(90), "d0", most=0), ())
