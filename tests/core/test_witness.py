import unittest

from anvilshift.core.usage import Spent, Use
from anvilshift.core.witness import (
    UNKNOWN,
    Promise,
    WitnessBook,
    choose_witness,
)

USE = Use(recorded=100, at_once=20, cushion=90)


class PromiseTest(unittest.TestCase):
    def test_its_router_counts_it_as_run_out_later_than_the_witness(self):
        promise = Promise("r2.a", 1, 0.0, USE)
        book = WitnessBook()
        book.take("r1.a", "ip", 1, 0.0, {"pounds": USE})
        for now in (4_999.0, 5_000.0, 5_099.0, 5_100.0):
            with self.subTest(now):
                proved = book.testify("r1.a", "ip", now)[0].spent.most
                self.assertLessEqual(promise.most_at(now), proved)

    def test_the_wait_ends_when_it_runs_out(self):
        promise = Promise("r2.a", 1, 1_000.0, USE)
        self.assertEqual(promise.find_wait(120, 2_000.0), 0.0)
        self.assertEqual(promise.find_wait(121, 2_000.0), 4_100.0)
        self.assertIsNone(promise.find_wait(191, 2_000.0))


class WitnessBookTest(unittest.TestCase):
    def setUp(self):
        self.book = WitnessBook()

    def take(self, number: int, since: float, recorded: int) -> None:
        use = Use(recorded, 20, 90)
        self.book.take("r1.a", "ip", number, since, {"pounds": use})

    def test_a_promise_that_was_held_up_replaces_no_newer_one(self):
        self.take(2, 1_000.0, recorded=200)
        self.take(1, 500.0, recorded=100)
        (found,) = self.book.testify("r1.a", "ip", 2_000.0)
        self.assertEqual((found.number, found.spent), (2, Spent(200, 220)))

    def test_one_of_unknown_age_may_have_run_out(self):
        self.take(1, UNKNOWN, recorded=100)
        (found,) = self.book.testify("r1.a", "ip", 2_000.0)
        self.assertEqual(found.spent, Spent(100, 190))

    def test_a_host_at_another_address_is_another_host(self):
        self.take(1, 0.0, recorded=100)
        self.assertEqual(self.book.list_holders("r1", "ip", "r1.b"), ["r1.a"])
        self.assertEqual(self.book.list_holders("r1", "elsewhere", "r1.b"), [])
        self.assertEqual(self.book.list_holders("r1", "ip", "r1.a"), [])

    def test_routers_that_fell_silent_are_forgotten(self):
        self.take(1, 0.0, recorded=100)
        self.book.expire(59_000.0)
        self.assertEqual(self.book.list_holders("r1", "ip", "r1.b"), ["r1.a"])
        self.book.expire(61_000.0)
        self.assertEqual(self.book.list_holders("r1", "ip", "r1.b"), [])


class ChoiceTest(unittest.TestCase):
    def test_a_lone_router_has_none(self):
        self.assertIsNone(choose_witness("a", "north", []))

    def test_routers_of_one_domain_witness_in_turn(self):
        names = ["a", "b", "c"]
        chosen = [
            choose_witness(own, "north", [(n, "north") for n in names if n != own])
            for own in names
        ]
        self.assertEqual(chosen, ["b", "c", "a"])
