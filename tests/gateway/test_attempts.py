import unittest
from types import SimpleNamespace

from anvilshift.core.choosing import Choice
from anvilshift.core.clock import ManualClock
from anvilshift.core.loadmap import LoadMap, Prompt, TargetInfo
from anvilshift.gateway.attempts import Outgoing, Sender
from anvilshift.gateway.messages import Held
from anvilshift.wire.messages import Headers
from tests.gateway.silent import SilentJournal

SHEET = ("sheet", 9_000)
PROMPT = Prompt((SHEET, ("question", 100)), 9_100, 50)


class TellingPeers:
    """Keeps what would be told to routers far away."""

    def __init__(self, small: bool = False) -> None:
        self.small = small
        self.far = []

    def tell(self, message):
        pass

    def tell_near(self, message, domain, soon=True):
        pass

    def tell_far(self, message, domain):
        self.far.append((message, domain))


class HeldPartsTest(unittest.TestCase):
    def send(self, cached: int, fetched: bool = False, small: bool = False):
        loads = LoadMap()
        for name, domain in (("e1", "north"), ("e2", "south")):
            loads.declare(TargetInfo(name, "advice", "10.0.0.1:80", domain, 64))
        peers = TellingPeers(small)
        sender = Sender(None, None, loads, peers, ManualClock(), SilentJournal(), None)
        source = loads.targets["e2"] if fetched else None
        choice = Choice(loads.targets["e1"], 100.0, cached, source)
        request = SimpleNamespace()
        outgoing = Outgoing("r1/1", request, "a", "h", PROMPT, None, choice, 400_000)
        sender._note_send(outgoing)
        return peers.far

    def test_a_shared_part_that_is_read_is_told_to_far_routers(self):
        """Each router of a large fleet is told of runs near it only.

        What an engine elsewhere had read was read again at one near each of them.
        """
        self.assertEqual(self.send(cached=0), [(Held("e1", (SHEET,)), "north")])

    def test_one_that_is_fetched_is_told_as_well(self):
        told = self.send(cached=9_000, fetched=True)
        self.assertEqual(told, [(Held("e1", (SHEET,)), "north")])

    def test_one_that_the_engine_held_is_no_news(self):
        self.assertEqual(self.send(cached=9_000), [])

    def test_a_small_fleet_is_told_of_each_run_anyway(self):
        self.assertEqual(self.send(cached=0, small=True), [])


class AnswerFieldsTest(unittest.TestCase):
    def test_a_field_that_no_answer_bore_before_is_logged_once(self):
        """What an engine says of its need must not pass by without a trace."""
        journal = SilentJournal()
        sender = Sender(None, None, LoadMap(), None, ManualClock(), journal, None)
        target = SimpleNamespace(info=SimpleNamespace(name="e1"))
        outgoing = SimpleNamespace(identity="a", choice=SimpleNamespace(target=target))
        for value in ("1.2", "1.4"):
            sender._log_fields(outgoing, Headers([("X-Need", value)]))
        event, fields = journal.lines[0]
        self.assertEqual(len(journal.lines), 1)
        self.assertEqual((event, fields["name"]), ("answer_field", "x-need"))
        self.assertEqual((fields["value"], fields["target"]), ("1.2", "e1"))
