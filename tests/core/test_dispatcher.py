"""Tests of the dispatcher's decisions under load, by what callers receive."""

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
from anvilshift.core.failures import Failure
from anvilshift.core.work import (
    Cancel,
    DispatchSettings,
    LoadReport,
    Refuse,
    Send,
    Target,
    Work,
)


def make_work(identity, organisation="org", deadline=60_000.0, **rest):
    candidates = rest.pop("candidates", {"e1": 0})
    fields = {"prompt_tokens": 10, "answer_tokens": 10, "request_class": "advice"}
    fields |= rest
    return Work(
        identity, organisation, candidates=candidates, deadline=deadline, **fields
    )


class Harness:
    """A dispatcher with engines that complete each answer after a fixed time."""

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
        return self.take(self.dispatcher.add_request(work, self.now))

    def finish(self, identity, span=100.0, tokens=10):
        del self.sent[identity]
        self.take(self.dispatcher.first_token(identity, self.now + span / 10))
        self.now += span
        self.take(self.dispatcher.done(identity, tokens, self.now))

    def learn_durations(self, answers=30, span=100.0):
        """Let the dispatcher observe answers that take a given time."""
        for index in range(answers):
            self.arrive(f"t{index}", "teacher", deadline=self.now + 60_000)
            self.finish(f"t{index}", span)
        self.order.clear()


class OverloadTest(unittest.TestCase):
    def test_work_that_cannot_be_in_time_is_refused_on_arrival_with_a_retry_delay(self):
        """Guards against requests that wait although they can't be answered in time.

        Fifty requests with 400 ms left arrive at an engine that answers ten a
        second.  Those that can't be answered in time must be refused on arrival,
        with differing retry delays of at least 250 ms; what is sent must still end
        in time.
        """
        harness = Harness()
        harness.learn_durations()
        for index in range(50):
            harness.arrive(f"r{index}", deadline=harness.now + 400)
        self.assertGreaterEqual(len(harness.refused), 45)
        for refusal in harness.refused.values():
            self.assertIs(refusal.code, OVERLOADED)
            self.assertGreaterEqual(refusal.retry_after, 250.0)
        spans = {refusal.retry_after for refusal in harness.refused.values()}
        self.assertGreater(len(spans), 10)

    def test_work_that_waited_too_long_is_refused_before_its_deadline(self):
        harness = Harness()
        harness.learn_durations()
        harness.arrive("runs")
        harness.arrive("waits", deadline=harness.now + 1_000)
        due = harness.dispatcher.next_tick(harness.now)
        while due is not None and not harness.refused:
            harness.take(harness.dispatcher.tick(due))
            due = harness.dispatcher.next_tick(due)
        self.assertIs(harness.refused["waits"].code, OVERLOADED)
        self.assertGreater(due or 0.0, 0.0)

    def test_past_deadline_is_refused_with_a_retry_delay(self):
        harness = Harness()
        harness.arrive("late", deadline=0.0)
        self.assertIs(harness.refused["late"].code, PAST_DEADLINE)
        self.assertGreater(harness.refused["late"].retry_after, 0)

    def test_full_queue_drops_the_hot_organisations_longest_work(self):
        """Guards against refusing a quiet organisation for another one's backlog.

        One organisation fills the queue, then another sends its first request.  A
        queue that dropped the newest entry would refuse the quiet organisation.
        """
        harness = Harness(queue_length=3)
        harness.arrive("runs", "hot")
        for name, tokens in (("a", 10), ("b", 90), ("c", 20)):
            harness.arrive(name, "hot", answer_tokens=tokens)
        harness.arrive("quiet", "quiet")
        self.assertEqual(list(harness.refused), ["b"])

    def test_high_priority_is_served_first_and_dropped_last(self):
        harness = Harness(queue_length=2)
        harness.arrive("runs")
        harness.arrive("low", "low")
        for name in ("h1", "h2"):
            harness.arrive(name, "high", candidates={"e1": 9})
        self.assertEqual(list(harness.refused), ["low"])
        harness.finish("runs")
        self.assertEqual(harness.order, ["runs", "h1"])


class FairnessTest(unittest.TestCase):
    def test_burst_is_served_by_earliest_deadline(self):
        harness = Harness()
        harness.arrive("runs")
        for name, deadline in (("later", 9_000.0), ("soon", 5_000.0)):
            harness.arrive(name, f"org-{name}", deadline=deadline)
        harness.finish("runs")
        self.assertEqual(harness.order, ["runs", "soon"])

    def test_hot_organisation_gets_its_share_and_no_more(self):
        """Guards against one organisation taking nearly all of an engine.

        It sends ten times as many requests as another, with earlier deadlines, so
        ordering by arrival or by deadline alone would serve almost only its own.
        """
        harness = Harness()
        for index in range(200):
            for _ in range(10):
                name = f"h{index}-{_}"
                harness.arrive(name, "hot", prompt_tokens=1_000, deadline=50_000.0)
            harness.arrive(f"q{index}", "quiet", prompt_tokens=1_000)
        served = Counter()
        for _ in range(100):
            identity = next(iter(harness.sent))
            served[identity[0]] += 1
            harness.finish(identity, span=1.0)
        self.assertLessEqual(abs(served["h"] - served["q"]), 8)

    def test_weight_gives_a_larger_share(self):
        harness = Harness()
        for index in range(200):
            for name, weight in (("a", 1.0), ("b", 3.0)):
                identity = f"{name}{index}"
                harness.arrive(identity, name, weight=weight, prompt_tokens=10_000)
        served = Counter()
        for _ in range(80):
            identity = next(iter(harness.sent))
            served[identity[0]] += 1
            harness.finish(identity, span=1.0)
        self.assertLessEqual(abs(served["b"] - 60), 3)

    def test_long_jobs_leave_slots_to_short_ones(self):
        """Guards against short work that waits for long jobs to end.

        Long jobs arrive first on a nearly idle fleet; the short request that follows
        must find a free slot.
        """
        harness = Harness(engines=5, slots=2)
        harness.learn_durations()
        for index in range(15):
            harness.arrive(f"long{index}", "batch", answer_tokens=1_000)
        self.assertEqual(len(harness.sent), 7)
        harness.arrive("short", "clerk", deadline=harness.now + 500)
        self.assertIn("short", harness.sent)


class TargetTest(unittest.TestCase):
    def test_slow_target_gets_no_more_work_and_is_probed_later(self):
        """Guards against sending work to an engine that is slow but doesn't fail.

        One engine of five becomes ten times slower.  Requests placed there would
        wait until their deadlines.
        """
        harness = Harness(engines=5, slots=8)
        harness.learn_durations()
        for index in range(20):
            harness.arrive(f"r{index}")
        slow = [name for name, send in harness.sent.items() if send.target == "e1"]
        for index, name in enumerate(slow):
            at = harness.now + 1_000 + index
            harness.take(harness.dispatcher.first_token(name, at))
        before = set(harness.sent)
        for index in range(16):
            harness.arrive(f"s{index}")
        new = [s for name, s in harness.sent.items() if name not in before]
        self.assertEqual(len(new), 16)
        self.assertNotIn("e1", {send.target for send in new})
        harness.take(harness.dispatcher.tick(harness.now + 5_000))
        for name in list(harness.sent):
            harness.finish(name)
        for index in range(20):
            harness.arrive(f"p{index}", deadline=harness.now + 60_000)
        targets = Counter(send.target for send in harness.sent.values())
        self.assertEqual(targets["e1"], 1)

    def test_target_that_is_slow_after_its_first_token_gets_no_more_work(self):
        """Guards against an engine judged by its first tokens alone, which are late by
        less than a caller notices: a burst would fill it and wait for its answers.
        """
        harness = Harness(engines=3, slots=8)
        for index in range(40):
            name = f"r{index}"
            harness.arrive(name, deadline=harness.now + 10_000)
            is_slow = harness.sent[name].target == "e1"
            harness.finish(name, 400.0 if is_slow else 20.0)
        harness.order.clear()
        for index in range(48):
            harness.arrive(f"s{index}", deadline=harness.now + 10_000)
        self.assertEqual(len(harness.sent), 16)
        self.assertNotIn("e1", {send.target for send in harness.sent.values()})

    def test_work_at_a_hung_target_is_sent_elsewhere(self):
        """Guards against waiting for a hung engine while others are idle.

        An engine accepts a request and never sends a token.  The request must be
        sent to another engine, unless it is not idempotent.
        """
        harness = Harness(engines=3, slots=4)
        harness.learn_durations()
        harness.arrive("asks", deadline=harness.now + 5_000)
        harness.arrive("orders", deadline=harness.now + 5_000, idempotent=False)
        first = harness.sent["asks"].target
        actions = harness.take(harness.dispatcher.tick(harness.now + 1_000))
        self.assertEqual([a.identity for a in actions], ["asks", "asks"])
        self.assertIsInstance(actions[0], Cancel)
        self.assertNotEqual(harness.sent["asks"].target, first)
        self.assertEqual(harness.sent["asks"].attempt, 2)

    def test_failing_target_is_avoided_and_its_work_answered_elsewhere(self):
        harness = Harness(engines=4, slots=8)
        for index in range(40):
            harness.arrive(f"r{index}", content=f"c{index}")
            while (
                harness.sent.get(f"r{index}")
                and harness.sent[f"r{index}"].target == "e1"
            ):
                harness.now += 1
                name = f"r{index}"
                harness.take(
                    harness.dispatcher.failed(name, Failure.NOT_SENT, harness.now)
                )
            harness.finish(f"r{index}", span=10.0)
        self.assertEqual(harness.refused, {})
        attempts = Counter(harness.order)
        self.assertLessEqual(sum(count - 1 for count in attempts.values()), 3)

    def test_only_target_is_never_ejected(self):
        harness = Harness()
        for index in range(5):
            harness.arrive(f"r{index}", idempotent=False)
            harness.dispatcher.failed(f"r{index}", Failure.BROKE_OFF, harness.now)
        harness.arrive("next")
        self.assertIn("next", harness.sent)

    def test_work_waiting_for_a_leaving_target_is_refused_at_once(self):
        harness = Harness()
        harness.arrive("runs")
        harness.arrive("waits")
        harness.take(harness.dispatcher.leaving("e1", 0.0))
        self.assertIs(harness.refused["waits"].code, NO_ENGINE)

    def test_forty_routers_do_not_overfill_an_engine(self):
        """Guards against forty routers that each fill the same engine.

        All of them receive the report that an engine with eight slots is idle.  If
        each filled it, 320 requests would queue there and time out.
        """
        sent = 0
        for seed in range(40):
            settings = DispatchSettings(routers=40)
            router = Dispatcher(settings, random.Random(seed))
            router.configure([Target("e1", "north", 8)], 0.0)
            router.load_report(LoadReport("e1", 0, 0, as_of=1.0), 2.0)
            for index in range(8):
                actions = router.add_request(make_work(f"r{index}"), 3.0)
                sent += sum(isinstance(action, Send) for action in actions)
        self.assertLessEqual(sent, 16)
        self.assertGreaterEqual(sent, 4)


class PoisonTest(unittest.TestCase):
    def test_poison_crashes_two_engines_and_other_work_is_still_answered(self):
        """Guards against a request that crashes engine after engine.

        The request crashes each engine that runs it, and its caller retries it.
        Other requests that ran on those engines fail too and must be answered
        elsewhere.
        """
        harness = Harness(engines=6, slots=4)
        for index in range(12):
            harness.arrive(f"r{index}", content=f"c{index}")
        lost = Counter()
        for index in range(10):
            name = f"poison{index}"
            harness.arrive(name, content="poison")
            while name in harness.sent and name not in harness.refused:
                target = harness.sent[name].target
                lost[target] += 1
                harness.now += 1
                neighbours = [n for n, s in harness.sent.items() if s.target == target]
                for other in neighbours:
                    del harness.sent[other]
                for other in neighbours:
                    failure = Failure.BROKE_OFF
                    harness.take(harness.dispatcher.failed(other, failure, harness.now))
        self.assertEqual(lost.total(), 2)
        self.assertIs(harness.refused["poison9"].code, QUARANTINED)
        self.assertEqual({n[0] for n in harness.refused}, {"p"})
        for name in [n for n in harness.order if n.startswith("r")]:
            if name in harness.sent:
                harness.finish(name)
        self.assertEqual(harness.sent, {})

    def test_waiting_poison_is_refused_once_it_is_quarantined(self):
        harness = Harness(engines=1)
        harness.arrive("runs")
        harness.arrive("waits", content="poison")
        for target in ("e8", "e9"):
            harness.dispatcher.crashed("poison", target, 1.0)
        harness.finish("runs")
        self.assertIs(harness.refused["waits"].code, QUARANTINED)

    def test_targets_change_while_work_waits(self):
        harness = Harness()
        harness.arrive("runs")
        candidates = {"e1": 0, "e2": 0}
        harness.arrive("waits", candidates=candidates)
        targets = [Target("e2", "north", 1)]
        harness.take(harness.dispatcher.configure(targets, 1.0))
        self.assertEqual(harness.sent["waits"].target, "e2")
        harness.take(harness.dispatcher.failed("runs", Failure.BROKE_OFF, 2.0))
        self.assertIs(harness.refused["runs"].code, ENGINE_FAILED)

    def test_crashes_reported_by_other_routers_lead_to_quarantine(self):
        harness = Harness(engines=3)
        harness.dispatcher.crashed("poison", "e1", 0.0)
        harness.dispatcher.crashed("poison", "e2", 10_000.0)
        harness.now = 11_000.0
        harness.arrive("again", content="poison")
        self.assertIs(harness.refused["again"].code, QUARANTINED)


if __name__ == "__main__":
    unittest.main()
