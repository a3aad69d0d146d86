"""Decisions under load, judged by what callers receive."""

import random
import unittest
from collections import Counter

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.errors import (
    ENGINE_FAILED,
    NO_ENGINE,
    OVERLOADED,
    PAST_DEADLINE,
    QUARANTINED,
)
from anvilshift.core.work import (
    Cancel,
    DispatchSettings,
    Failure,
    LoadReport,
    Refuse,
    Send,
    Target,
    Work,
)


def make_work(identity, organisation="org", deadline=60_000.0, **rest):
    candidates = rest.pop("candidates", {"e1": 0})
    given = {"prompt_tokens": 10, "answer_tokens": 10, "request_class": "advice"}
    given |= rest
    return Work(
        identity, organisation, candidates=candidates, deadline=deadline, **given
    )


class Bench:
    """Engines that answer each request whole after a fixed span."""

    def __init__(self, engines=1, slots=1, **settings):
        self.dispatcher = Dispatcher(DispatchSettings(**settings), random.Random(0))
        self.candidates = {f"e{index}": 0 for index in range(1, engines + 1)}
        targets = [Target(name, "north", slots) for name in self.candidates]
        self.dispatcher.configure(targets, 0.0)
        self.now = 0.0
        self.sent, self.refused = {}, {}
        self.order = []

    def take(self, actions):
        for action in actions:
            if isinstance(action, Send):
                self.sent[action.identity] = action
                self.order.append(action.identity)
            elif isinstance(action, Refuse):
                self.refused[action.identity] = action
        return actions

    def arrive(self, identity, organisation="org", **rest):
        rest.setdefault("candidates", self.candidates)
        work = make_work(identity, organisation, **rest)
        return self.take(self.dispatcher.arrive(work, self.now))

    def finish(self, identity, span=100.0, tokens=10):
        del self.sent[identity]
        self.take(self.dispatcher.first_token(identity, self.now + span / 10))
        self.now += span
        self.take(self.dispatcher.done(identity, tokens, self.now))

    def teach(self, answers=30, span=100.0):
        """Let the dispatcher learn that an answer takes a span."""
        for index in range(answers):
            self.arrive(f"t{index}", "teacher", deadline=self.now + 60_000)
            self.finish(f"t{index}", span)
        self.order.clear()


class OverloadTest(unittest.TestCase):
    def test_hopeless_work_is_refused_on_arrival_and_says_when_to_come_back(self):
        """Fifty callers send a second's work each has 400 ms for.

        One engine answers ten a second.  Those that can't be answered must
        hear it at once, and what is sent must still end in time.
        """
        bench = Bench()
        bench.teach()
        for index in range(50):
            bench.arrive(f"r{index}", deadline=bench.now + 400)
        self.assertGreaterEqual(len(bench.refused), 45)
        for refusal in bench.refused.values():
            self.assertIs(refusal.code, OVERLOADED)
            self.assertGreaterEqual(refusal.retry_after, 250.0)
        spans = {refusal.retry_after for refusal in bench.refused.values()}
        self.assertGreater(len(spans), 10)

    def test_work_that_waited_too_long_is_refused_before_its_deadline(self):
        bench = Bench()
        bench.teach()
        bench.arrive("runs")
        bench.arrive("waits", deadline=bench.now + 1_000)
        due = bench.dispatcher.next_tick(bench.now)
        while due is not None and not bench.refused:
            bench.take(bench.dispatcher.tick(due))
            due = bench.dispatcher.next_tick(due)
        self.assertIs(bench.refused["waits"].code, OVERLOADED)
        self.assertGreater(due or 0.0, 0.0)

    def test_past_deadline_is_refused_with_when_to_come_back(self):
        bench = Bench()
        bench.arrive("late", deadline=0.0)
        self.assertIs(bench.refused["late"].code, PAST_DEADLINE)
        self.assertGreater(bench.refused["late"].retry_after, 0)

    def test_full_queue_drops_the_hot_organisations_longest_work(self):
        """One organisation fills the queue, then another sends its first work.

        A queue that dropped the newest would refuse the quiet one.
        """
        bench = Bench(queue_length=3)
        bench.arrive("runs", "hot")
        for name, tokens in (("a", 10), ("b", 90), ("c", 20)):
            bench.arrive(name, "hot", answer_tokens=tokens)
        bench.arrive("quiet", "quiet")
        self.assertEqual(list(bench.refused), ["b"])

    def test_high_priority_is_served_first_and_dropped_last(self):
        bench = Bench(queue_length=2)
        bench.arrive("runs")
        bench.arrive("low", "low")
        for name in ("h1", "h2"):
            bench.arrive(name, "high", candidates={"e1": 9})
        self.assertEqual(list(bench.refused), ["low"])
        bench.finish("runs")
        self.assertEqual(bench.order, ["runs", "h1"])


class FairnessTest(unittest.TestCase):
    def test_burst_is_served_by_earliest_deadline(self):
        bench = Bench()
        bench.arrive("runs")
        for name, deadline in (("later", 9_000.0), ("soon", 5_000.0)):
            bench.arrive(name, f"org-{name}", deadline=deadline)
        bench.finish("runs")
        self.assertEqual(bench.order, ["runs", "soon"])

    def test_hot_caller_gets_its_share_and_no_more(self):
        """One organisation sends ten times as much, each with less time left.

        By arrival or by deadline alone it would take nearly all of the engine.
        """
        bench = Bench()
        for index in range(200):
            for _ in range(10):
                name = f"h{index}-{_}"
                bench.arrive(name, "hot", prompt_tokens=1_000, deadline=50_000.0)
            bench.arrive(f"q{index}", "quiet", prompt_tokens=1_000)
        served = Counter()
        for _ in range(100):
            identity = next(iter(bench.sent))
            served[identity[0]] += 1
            bench.finish(identity, span=1.0)
        self.assertLessEqual(abs(served["h"] - served["q"]), 8)

    def test_weight_gives_a_larger_share(self):
        bench = Bench()
        for index in range(200):
            for name, weight in (("a", 1.0), ("b", 3.0)):
                identity = f"{name}{index}"
                bench.arrive(identity, name, weight=weight, prompt_tokens=10_000)
        served = Counter()
        for _ in range(80):
            identity = next(iter(bench.sent))
            served[identity[0]] += 1
            bench.finish(identity, span=1.0)
        self.assertLessEqual(abs(served["b"] - 60), 3)

    def test_long_jobs_leave_slots_to_short_ones(self):
        """Long jobs arrive first on a nearly idle fleet, then short work comes.

        Short callers must not wait for the end of a long job.
        """
        bench = Bench(engines=5, slots=2)
        bench.teach()
        for index in range(15):
            bench.arrive(f"long{index}", "batch", answer_tokens=1_000)
        self.assertEqual(len(bench.sent), 7)
        bench.arrive("short", "clerk", deadline=bench.now + 500)
        self.assertIn("short", bench.sent)


class TargetTest(unittest.TestCase):
    def test_slow_target_gets_no_more_work_and_is_probed_later(self):
        """An engine of five turns ten times slower; nothing fails.

        Callers placed there would wait until their deadlines.
        """
        bench = Bench(engines=5, slots=8)
        bench.teach()
        for index in range(20):
            bench.arrive(f"r{index}")
        slow = [name for name, send in bench.sent.items() if send.target == "e1"]
        for index, name in enumerate(slow):
            at = bench.now + 1_000 + index
            bench.take(bench.dispatcher.first_token(name, at))
        before = set(bench.sent)
        for index in range(16):
            bench.arrive(f"s{index}")
        new = [s for name, s in bench.sent.items() if name not in before]
        self.assertEqual(len(new), 16)
        self.assertNotIn("e1", {send.target for send in new})
        bench.take(bench.dispatcher.tick(bench.now + 5_000))
        for name in list(bench.sent):
            bench.finish(name)
        for index in range(20):
            bench.arrive(f"p{index}", deadline=bench.now + 60_000)
        targets = Counter(send.target for send in bench.sent.values())
        self.assertEqual(targets["e1"], 1)

    def test_work_at_a_hung_target_is_sent_elsewhere(self):
        """An engine takes a request and never answers a token.

        Its caller would wait until the deadline while others are idle; work
        that may not run twice must wait all the same.
        """
        bench = Bench(engines=3, slots=4)
        bench.teach()
        bench.arrive("asks", deadline=bench.now + 5_000)
        bench.arrive("orders", deadline=bench.now + 5_000, idempotent=False)
        first = bench.sent["asks"].target
        actions = bench.take(bench.dispatcher.tick(bench.now + 1_000))
        self.assertEqual([a.identity for a in actions], ["asks", "asks"])
        self.assertIsInstance(actions[0], Cancel)
        self.assertNotEqual(bench.sent["asks"].target, first)
        self.assertEqual(bench.sent["asks"].attempt, 2)

    def test_failing_target_is_left_and_its_work_answered_elsewhere(self):
        bench = Bench(engines=4, slots=8)
        for index in range(40):
            bench.arrive(f"r{index}", content=f"c{index}")
            while (
                bench.sent.get(f"r{index}") and bench.sent[f"r{index}"].target == "e1"
            ):
                bench.now += 1
                name = f"r{index}"
                bench.take(bench.dispatcher.failed(name, Failure.NOT_SENT, bench.now))
            bench.finish(f"r{index}", span=10.0)
        self.assertEqual(bench.refused, {})
        attempts = Counter(bench.order)
        self.assertLessEqual(sum(count - 1 for count in attempts.values()), 3)

    def test_only_target_is_never_ejected(self):
        bench = Bench()
        for index in range(5):
            bench.arrive(f"r{index}", idempotent=False)
            bench.dispatcher.failed(f"r{index}", Failure.BROKE_OFF, bench.now)
        bench.arrive("next")
        self.assertIn("next", bench.sent)

    def test_leaving_targets_waiting_work_is_refused_at_once(self):
        bench = Bench()
        bench.arrive("runs")
        bench.arrive("waits")
        bench.take(bench.dispatcher.leaving("e1", 0.0))
        self.assertIs(bench.refused["waits"].code, NO_ENGINE)

    def test_forty_routers_do_not_overfill_an_engine(self):
        """Forty routers hear at once that an engine of eight slots is idle.

        If each filled it, 320 requests would stand there and time out.
        """
        sent = 0
        for seed in range(40):
            settings = DispatchSettings(routers=40)
            router = Dispatcher(settings, random.Random(seed))
            router.configure([Target("e1", "north", 8)], 0.0)
            router.load_report(LoadReport("e1", 0, 0, as_of=1.0), 2.0)
            for index in range(8):
                actions = router.arrive(make_work(f"r{index}"), 3.0)
                sent += sum(isinstance(action, Send) for action in actions)
        self.assertLessEqual(sent, 16)
        self.assertGreaterEqual(sent, 4)


class PoisonTest(unittest.TestCase):
    def test_poison_costs_two_engines_and_neighbours_are_still_answered(self):
        """A request crashes each engine that runs it; its caller sends it again.

        Work that ran beside it breaks off too and must be answered elsewhere.
        """
        bench = Bench(engines=6, slots=4)
        for index in range(12):
            bench.arrive(f"r{index}", content=f"c{index}")
        lost = Counter()
        for index in range(10):
            name = f"poison{index}"
            bench.arrive(name, content="poison")
            while name in bench.sent and name not in bench.refused:
                target = bench.sent[name].target
                lost[target] += 1
                bench.now += 1
                neighbours = [n for n, s in bench.sent.items() if s.target == target]
                for other in neighbours:
                    del bench.sent[other]
                for other in neighbours:
                    failure = Failure.BROKE_OFF
                    bench.take(bench.dispatcher.failed(other, failure, bench.now))
        self.assertEqual(lost.total(), 2)
        self.assertIs(bench.refused["poison9"].code, QUARANTINED)
        self.assertEqual({n[0] for n in bench.refused}, {"p"})
        for name in [n for n in bench.order if n.startswith("r")]:
            if name in bench.sent:
                bench.finish(name)
        self.assertEqual(bench.sent, {})

    def test_poison_that_waits_is_refused_when_it_is_found_out(self):
        bench = Bench(engines=1)
        bench.arrive("runs")
        bench.arrive("waits", content="poison")
        for target in ("e8", "e9"):
            bench.dispatcher.crashed("poison", target, 1.0)
        bench.finish("runs")
        self.assertIs(bench.refused["waits"].code, QUARANTINED)

    def test_targets_change_while_work_waits(self):
        bench = Bench()
        bench.arrive("runs")
        candidates = {"e1": 0, "e2": 0}
        bench.arrive("waits", candidates=candidates)
        targets = [Target("e2", "north", 1)]
        bench.take(bench.dispatcher.configure(targets, 1.0))
        self.assertEqual(bench.sent["waits"].target, "e2")
        bench.take(bench.dispatcher.failed("runs", Failure.BROKE_OFF, 2.0))
        self.assertIs(bench.refused["runs"].code, ENGINE_FAILED)

    def test_news_of_other_routers_quarantines_too(self):
        bench = Bench(engines=3)
        bench.dispatcher.crashed("poison", "e1", 0.0)
        bench.dispatcher.crashed("poison", "e2", 10_000.0)
        bench.now = 11_000.0
        bench.arrive("again", content="poison")
        self.assertIs(bench.refused["again"].code, QUARANTINED)


if __name__ == "__main__":
    unittest.main()
