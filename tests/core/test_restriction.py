"""Targets that a content may be sent to, alone and beside other routers."""

import random
import unittest

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.homes import choose_homes
from anvilshift.core.work import CrashAnnouncement, DispatchSettings, Send, Target, Work

NAMES = tuple(f"e{n}" for n in range(1, 7))
HOMES = choose_homes("c", dict.fromkeys(NAMES, "north"))


class ReachTest(unittest.TestCase):
    def setUp(self):
        self.dispatcher = Dispatcher(DispatchSettings(), random.Random(1))
        self.dispatcher.configure([Target(n, "north", 1) for n in NAMES], 0.0)
        self.count = 0

    def send(self, content="c"):
        self.count += 1
        candidates = dict.fromkeys(NAMES, 0)
        work = Work(
            f"r{self.count}", "org", "x", candidates, 10, 10, 1e9, content=content
        )
        sent = self.dispatcher.add_request(work, 0.0)
        return [action.target for action in sent if isinstance(action, Send)]

    def test_single_router_sends_work_to_any_target_when_the_homes_are_full(self):
        used = {target for _ in range(3) for target in self.send(f"c{self.count}")}
        self.assertEqual(len(used), 3)
        self.assertEqual(sum(len(self.send(f"d{n}")) for n in range(6)), 3)

    def test_router_uses_only_the_homes_beside_one_that_does_not_serve_yet(self):
        """Guards against losing a third engine while a fleet starts."""
        self.dispatcher.set_has_others(True)
        used = [target for _ in range(4) for target in self.send()]
        self.assertEqual(sorted(used), sorted(HOMES))

    def test_joining_router_receives_the_work_that_a_single_router_runs(self):
        """Guards against a content that runs outside the homes, unknown to others."""
        (target,) = self.send()
        self.assertEqual(self.dispatcher.list_crashes(0.0), [])
        self.dispatcher.set_has_others(True)
        told = self.dispatcher.list_crashes(0.0)
        self.assertEqual(told, [CrashAnnouncement("c", target, times=0)])

    def test_content_with_a_complete_answer_may_be_sent_to_any_target(self):
        """Guards against sending a popular request to two engines only."""
        self.dispatcher.set_has_others(True)
        self.send()
        self.dispatcher.done("r1", 5, 1.0)
        used = {target for _ in range(4) for target in self.send()}
        self.assertEqual(len(used), 4)


if __name__ == "__main__":
    unittest.main()
