import unittest
from types import SimpleNamespace

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import ManualClock
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.messages import Held
from anvilshift.gateway.outgoing import Outgoing
from anvilshift.gateway.sending import Sender
from anvilshift.wire.messages import Headers
from tests.gateway.silent import SilentJournal

SHARED_PART = ("sheet", 9_000)
PROMPT = Prompt((SHARED_PART, ("question", 100)), 9_100, 50)


class RecordingPeers:
    """Records the messages that would be sent to distant routers."""

    def __init__(self, small: bool = False) -> None:
        self.small = small
        self.to_distant = []

    def broadcast(self, message):
        pass

    def send_near(self, message, domain, soon=True):
        pass

    def send_far(self, message, domain):
        self.to_distant.append((message, domain))


class CachedPartsTest(unittest.TestCase):
    def send(self, cached: int, fetched: bool = False, small: bool = False):
        loads = LoadMap()
        for name, domain in (("e1", "north"), ("e2", "south")):
            loads.declare(TargetInfo(name, "advice", "10.0.0.1:80", domain, 64))
        peers = RecordingPeers(small)
        clock, journal = ManualClock(), SilentJournal()
        sender = Sender(None, None, loads, peers, clock, journal, None, None, None)
        source = loads.targets["e2"] if fetched else None
        choice = Choice(loads.targets["e1"], 100.0, cached, source)
        request = SimpleNamespace()
        outgoing = Outgoing(
            "r1/1", request, "a", "h", PROMPT, None, choice, 400_000, lambda via: None
        )
        sender._record_send(outgoing)
        return peers.to_distant

    def test_distant_routers_are_told_of_a_newly_computed_shared_part(self):
        """Guards against a shared part that is computed once for each router.

        A router of a large fleet is told only of the runs near it.  Not knowing that a
        distant engine had a part cached, each router had it computed again by an
        engine near it.
        """
        self.assertEqual(self.send(cached=0), [(Held("e1", (SHARED_PART,)), "north")])

    def test_distant_routers_are_told_of_a_fetched_shared_part(self):
        told = self.send(cached=9_000, fetched=True)
        self.assertEqual(told, [(Held("e1", (SHARED_PART,)), "north")])

    def test_a_part_that_was_already_cached_is_not_reported(self):
        self.assertEqual(self.send(cached=9_000), [])

    def test_a_small_fleet_gets_no_separate_message_of_cached_parts(self):
        self.assertEqual(self.send(cached=0, small=True), [])


class LoggedHeaderFieldsTest(unittest.TestCase):
    def test_a_header_field_is_logged_once(self):
        """Guards against unknown header fields of engines that leave no trace.

        An engine may announce a requirement in a field that the router does not know.
        """
        journal = SilentJournal()
        sender = Sender(
            None, None, LoadMap(), None, ManualClock(), journal, None, None, None
        )
        target = SimpleNamespace(info=SimpleNamespace(name="e1"))
        outgoing = SimpleNamespace(identity="a", choice=SimpleNamespace(target=target))
        for value in ("1.2", "1.4"):
            sender._log_fields(outgoing, Headers([("X-Need", value)]))
        event, fields = journal.lines[0]
        self.assertEqual(len(journal.lines), 1)
        self.assertEqual((event, fields["name"]), ("answer_field", "x-need"))
        self.assertEqual((fields["value"], fields["target"]), ("1.2", "e1"))
