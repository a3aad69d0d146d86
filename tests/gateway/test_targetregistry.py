"""Entries of targets beside what other routers announce of them, without a network."""

import itertools
import unittest

from anvilshift.core.loadmap import LoadMap
from anvilshift.gateway.datagrams import decode, encode
from anvilshift.gateway.messages import Leaving, Registered
from anvilshift.gateway.targetregistry import TargetRegistry
from anvilshift.objects.store import ObjectChange
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.wire.client import HttpClient
from tests.gateway.silent import SilentJournal
from tests.gateway.test_targethealth import ManualClock

NAME = "e1"


def make_entry(state: str = "ready", born: int = 1) -> dict:
    return {
        "service": "desk",
        "address": "127.0.0.1:80",
        "zone": "north",
        "slots": 8,
        "state": state,
        "born": born,
        "version": "v1",
    }


class SentMessages:
    """The connection to other routers, as what was sent on it."""

    def __init__(self) -> None:
        self.messages: list[object] = []

    def broadcast(self, message) -> None:
        self.messages += decode(encode(message))


class TargetRegistryTest(unittest.TestCase):
    """Guards against departures that never end, and returns that end later ones."""

    def setUp(self):
        self.peers = SentMessages()
        self.loads = LoadMap()
        self.registry = TargetRegistry(
            PlatformDialect(),
            self.loads,
            HttpClient(),
            self.peers,
            ManualClock(),
            SilentJournal(),
            lambda name: None,
        )

    def read(self, version: int, **entry) -> None:
        self.registry.apply_change(
            ObjectChange("servers", NAME, version, make_entry(**entry))
        )

    def read_removal(self, version: int) -> None:
        self.registry.apply_change(ObjectChange("servers", NAME, version, None))

    def hear(self, message) -> None:
        if isinstance(message, Leaving):
            self.registry.apply_leaving(message)
        else:
            self.registry.apply_registered(message)

    @property
    def is_used(self) -> bool:
        target = self.loads.targets.get(NAME)
        return target is not None and not target.info.leaving

    def test_departure_holds_for_the_entry_that_says_so_and_older_ones(self):
        self.read(5)
        self.hear(Leaving(NAME, 7))
        self.assertFalse(self.is_used)
        self.read(6)
        self.assertFalse(self.is_used)
        self.read(8)
        self.assertTrue(self.is_used)

    def test_departure_that_arrives_behind_a_later_entry_is_ignored(self):
        self.read(8)
        self.hear(Leaving(NAME, 7))
        self.assertTrue(self.is_used)

    def test_departure_that_arrives_before_any_entry_is_kept(self):
        self.hear(Leaving(NAME, 7))
        self.read(7)
        self.assertFalse(self.is_used)
        self.read(8)
        self.assertTrue(self.is_used)

    def test_target_that_says_itself_that_it_leaves_is_not_used_again(self):
        self.read(5)
        self.hear(Leaving(NAME))
        self.read(8)
        self.hear(Registered(NAME, 9, 1))
        self.assertFalse(self.is_used)
        self.read(10, born=2)
        self.assertTrue(self.is_used)

    def test_target_that_ceases_to_drain_is_used_again(self):
        self.read(5)
        self.read(6, state="draining")
        self.assertFalse(self.is_used)
        self.read(7)
        self.assertTrue(self.is_used)
        self.assertEqual(
            self.peers.messages, [Leaving(NAME, 6), Registered(NAME, 7, 1)]
        )

    def test_messages_of_a_lapse_may_arrive_in_any_order(self):
        """The same is known in the end, whichever of them comes first."""
        lapse = [Leaving(NAME, 5), Registered(NAME, 6, 1), Leaving(NAME, 6)]
        returned = [*lapse, Registered(NAME, 7, 1)]
        for messages, is_used in ((lapse, False), (returned, True)):
            for order in itertools.permutations(messages):
                with self.subTest(order):
                    self.setUp()
                    self.read(5)
                    for message in order:
                        self.hear(message)
                    self.assertEqual(self.is_used, is_used)

    def test_removal_and_return_are_told_with_their_entries(self):
        self.read(5)
        self.read_removal(5)
        self.read(7)
        self.assertTrue(self.is_used)
        self.assertEqual(
            self.peers.messages, [Leaving(NAME, 5), Registered(NAME, 7, 1)]
        )

    def test_return_that_another_router_told_is_not_told_again(self):
        """Guards against as many messages as pairs of routers for each return."""
        self.read(5)
        self.read_removal(5)
        self.hear(Registered(NAME, 7, 1))
        self.assertFalse(self.is_used)
        self.read(7)
        self.assertTrue(self.is_used)
        self.assertEqual(self.peers.messages, [Leaving(NAME, 5)])

    def test_return_of_another_or_an_unknown_start_is_left_to_the_entry(self):
        for born, told in ((1, 2), (0, 0)):
            with self.subTest(born=born, told=told):
                self.setUp()
                self.read(5, born=born)
                self.hear(Leaving(NAME, 5))
                self.hear(Registered(NAME, 7, told))
                self.assertFalse(self.is_used)
                self.read(7, born=told)
                self.assertTrue(self.is_used)

    def test_removal_of_an_older_entry_does_not_end_a_return(self):
        self.read(5)
        self.hear(Leaving(NAME, 5))
        self.hear(Registered(NAME, 7, 1))
        self.read_removal(5)
        self.assertTrue(self.is_used)

    def test_replaced_target_is_used_again_by_a_later_entry_only(self):
        self.read(5)
        self.registry.handle_replaced(NAME)
        self.read(5)
        self.assertFalse(self.is_used)
        self.read(6)
        self.assertTrue(self.is_used)
        self.assertEqual(
            self.peers.messages, [Leaving(NAME, 5), Registered(NAME, 6, 1)]
        )

    def test_replaced_target_without_an_entry_is_not_announced(self):
        """Guards against an announcement that no entry ends."""
        self.read(5)
        self.read_removal(5)
        self.registry.handle_replaced(NAME)
        self.assertEqual(self.peers.messages, [Leaving(NAME, 5)])


if __name__ == "__main__":
    unittest.main()
