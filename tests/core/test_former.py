"""Homes of contents during a change of the declared targets."""

import random
import unittest
from dataclasses import replace

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.former import FormerTargets
from anvilshift.core.homes import choose_homes
from anvilshift.core.work import DispatchSettings, Send, Target, Work

NAMES = tuple(f"e{n}" for n in range(1, 7))
OLD, NEW = NAMES[:-1], NAMES


def make_targets(names):
    return [Target(name, "north", 4) for name in names]


def make_work(identity, content, names):
    candidates = dict.fromkeys(names, 0)
    return Work(identity, "org", "x", candidates, 10, 10, 1e9, content=content)


def find_homes(content, names):
    return set(choose_homes(content, dict.fromkeys(names, "north")))


class FormerTargetsTest(unittest.TestCase):
    def test_removed_target_is_former_only_in_pools_that_it_may_have_served(self):
        former = FormerTargets()
        old = {
            "e1": Target("e1", "north", serves=frozenset({"small"})),
            "e2": Target("e2", "south", serves=frozenset({"large"})),
            "e3": Target("e3", "east", serves=frozenset({"small"})),
        }
        new = {"e1": old["e1"]}
        former.record_change(old, new, revision=5, now=0.0)
        self.assertEqual(former.list_domains(new), [{"e1": "north", "e3": "east"}])

    def test_change_completes_once_all_routers_have_it_in_force(self):
        former = FormerTargets()
        first, second = {"e1": Target("e1", "north")}, {"e2": Target("e2", "north")}
        former.record_change(first, second, revision=5, now=0.0)
        former.record_change(second, first, revision=8, now=0.0)
        self.assertFalse(former.confirm_revision(4, 1.0))
        self.assertTrue(former.confirm_revision(5, 1.0))
        self.assertEqual(len(former.list_domains(first)), 1)
        self.assertTrue(former.confirm_revision(8, 1.0))
        self.assertEqual(former.list_domains(first), [])

    def test_change_completes_after_a_time_limit_without_one_router(self):
        """Guards against contents without any engine during a release."""
        former = FormerTargets()
        old, new = {"e1": Target("e1", "north")}, {"e2": Target("e2", "north")}
        former.record_change(old, new, revision=5, now=0.0)
        self.assertFalse(former.confirm_revision(4, 60_000.0))
        self.assertTrue(former.confirm_revision(4, 60_001.0))
        self.assertEqual(former.list_domains(new), [])


class ChangeTest(unittest.TestCase):
    def setUp(self):
        settings = DispatchSettings(routers=2)
        self.dispatcher = Dispatcher(settings, random.Random(1))
        self.dispatcher.configure(make_targets(OLD), 0.0, revision=1)
        content_with_new_homes = next(
            f"c{n}"
            for n in range(100)
            if find_homes(f"c{n}", OLD) != find_homes(f"c{n}", NEW)
        )
        self.content = content_with_new_homes
        self.count = 0

    def send(self, names):
        self.count += 1
        work = make_work(f"r{self.count}", self.content, names)
        return self.dispatcher.add_request(work, 0.0)

    def list_used(self, names):
        sent = [self.send(names) for _ in range(6)]
        return {a.target for actions in sent for a in actions if isinstance(a, Send)}

    def test_content_uses_only_common_homes_until_all_routers_have_a_change(self):
        """Guards against losing a third engine while a declaration spreads."""
        common = find_homes(self.content, OLD) & find_homes(self.content, NEW)
        self.dispatcher.configure(make_targets(NEW), 0.0, revision=2)
        self.assertEqual(self.list_used(NEW), common)
        self.dispatcher.confirm_revision(1, 0.0)
        self.assertLessEqual(self.list_used(NEW), common)
        self.dispatcher.confirm_revision(2, 0.0)
        self.assertLessEqual(self.list_used(NEW), find_homes(self.content, NEW))
        self.assertIn("e6", self.list_used(NEW) | find_homes(self.content, NEW))

    def test_work_queued_during_a_change_is_sent_to_the_new_engines(self):
        """Guards against queued work that is sent by outdated declarations."""
        for n in range(100):
            self.dispatcher.add_request(make_work(f"w{n}", f"other{n}", OLD), 0.0)
        self.assertEqual(self.send(OLD), [])
        renewed = dict.fromkeys(NEW, 0)
        self.dispatcher.renew = lambda work: replace(work, candidates=renewed)
        self.dispatcher.configure(make_targets(NEW), 0.0, revision=2)
        actions = self.dispatcher.confirm_revision(2, 0.0)
        sent = {a.identity: a.target for a in actions if isinstance(a, Send)}
        self.assertEqual(set(sent.values()), {"e6"})
        for identity in sent:
            content = self.content if identity == "r1" else f"other{identity[1:]}"
            self.assertIn("e6", find_homes(content, NEW))


if __name__ == "__main__":
    unittest.main()
