import unittest

from anvilshift.core.loadmap import LoadMap
from anvilshift.core.placement.learnedspeeds import WorkKind
from anvilshift.core.placement.toldload import ToldLoad
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.border import AnswerFields
from anvilshift.gateway.datagrams import decode, encode
from anvilshift.gateway.runmessages import Ended
from anvilshift.gateway.toldloads import ToldLoads


def make_router() -> ToldLoads:
    loads = LoadMap()
    loads.declare(TargetInfo("e1", "advice", "10.0.0.1:80", "north", 8))
    return ToldLoads(loads)


def make_notes(load: ToldLoad | None, bad: bool = False) -> AnswerFields:
    return AnswerFields("id", True, False, False, load=load, has_bad_load=bad)


class ToldLoadsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.router, self.peer = make_router(), make_router()
        self.target = self.router.loads.targets["e1"]
        self.heard = self.peer.loads.targets["e1"]

    def tell(self, now: float) -> None:
        message = self.router.make_ended("r/1", self.target, now)
        [received] = decode(encode(message))
        self.peer.apply(received, now)

    def test_another_router_learns_load_and_pace_with_the_end_of_a_run(self):
        notes = make_notes(ToldLoad(3, 1, 8, 2.5))
        self.router.record_answer(self.target, notes, 0.0)
        self.router.add_sample(self.target, "r/1", WorkKind.PREFILL, 0.5, 0.0)
        self.tell(now=250.0)
        self.assertEqual(self.heard.report.load, notes.load)
        self.assertEqual(self.heard.report.at, 0.0)
        self.assertAlmostEqual(
            self.heard.learned_speeds.find(WorkKind.PREFILL, 9.0, 250.0), 0.5
        )

    def test_what_is_too_old_is_not_told(self):
        """Guards against a moment's slowness that goes round among routers."""
        self.router.record_answer(self.target, make_notes(ToldLoad(3, 1, 8, 2.5)), 0.0)
        message = self.router.make_ended("r/1", self.target, 1_000.0)
        self.assertEqual(message, Ended("r/1", "e1"))
        late = Ended("r/1", "e1", (3, 1, 8, 250.0), 60_000.0)
        self.peer.apply(late, 0.0)
        self.assertIsNone(self.heard.report)

    def test_where_no_slowness_is_told_messages_stay_as_they_were(self):
        """Guards against routers of the last version that can't read the messages."""
        self.router.record_answer(self.target, make_notes(ToldLoad(3, 1, 8)), 0.0)
        self.router.add_sample(self.target, "r/1", WorkKind.PREFILL, 0.5, 0.0)
        message = self.router.make_ended("r/1", self.target, 0.0)
        self.assertEqual(encode(message), b'["Ended","r/1","e1"]')
        self.assertEqual(self.router.list_gauges(), {})

    def test_all_are_told_of_a_target_that_has_become_slow_or_full(self):
        """Guards against routers that go on sending to a slow plain target."""
        for figures, expected in (
            ((1, 0, 8, 1.0), False),
            ((6, 0, 8, 1.0), True),
            ((1, 0, 8, 2.5), True),
            ((6, 0, 8), False),
        ):
            router = make_router()
            target = router.loads.targets["e1"]
            for n in range(9):
                target.record_told(ToldLoad(1, 0, 8, *figures[3:] and (1.0,)), n)
            router.record_answer(target, make_notes(ToldLoad(*figures)), 10.0)
            self.assertEqual(target.is_notable(10.0), expected, figures)

    def test_bad_figures_are_ignored_and_counted(self):
        self.router.record_answer(self.target, make_notes(None, bad=True), 0.0)
        self.router.apply(Ended("r/1", "e1", (1, 2), 0.0), 0.0)
        self.router.apply(Ended("r/1", "gone", (1, 2), 0.0), 0.0)
        self.assertIsNone(self.target.report)
        self.assertEqual(self.router.list_gauges()["anvilshift_told_loads_bad"], 2)

    def test_the_told_requests_contain_the_run_that_ended(self):
        """Guards against one request too many after each message of an end."""
        self.peer.loads.send("e1", "r/1", Prompt(), 0, 0.0, 0)
        self.peer.apply(Ended("r/1", "e1", (1, 0, 8, 100.0), 0.0), 1.0)
        self.peer.loads.end("e1", "r/1")
        self.assertEqual(self.heard.count_requests(1.0), 0)


if __name__ == "__main__":
    unittest.main()
