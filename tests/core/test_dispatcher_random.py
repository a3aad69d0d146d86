"""Property test: under random events every request ends exactly once."""

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.failures import Failure
from anvilshift.core.work import (
    CacheEvent,
    Cancel,
    CrashAnnouncement,
    DispatchSettings,
    LoadReport,
    Refuse,
    Send,
    Target,
    Work,
)

NAMES = ("e1", "e2", "e3", "e4")
CANDIDATES = ({"e1": 0, "e2": 0}, {"e2": 5, "e3": 5}, dict.fromkeys(NAMES, 0))


class Simulation:
    """A dispatcher under random events, and the expected state of its requests."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.dispatcher = Dispatcher(DispatchSettings(queue_length=6), self.rng)
        self.now, self.count = 0.0, 0
        self.declared, self.leaving = set(NAMES), set()
        self.waiting, self.running, self.ended = set(), {}, set()
        self.configure()

    def configure(self):
        targets = [Target(name, "north", 2) for name in sorted(self.declared)]
        self.take(self.dispatcher.configure(targets, self.now))

    def take(self, actions):
        for action in actions:
            if isinstance(action, CrashAnnouncement):
                continue
            name = action.identity
            if isinstance(action, Cancel):
                assert self.running.pop(name) == action.target
                self.waiting.add(name)
                continue
            assert name in self.waiting, f"{action} for {name}, which is not waiting"
            self.waiting.discard(name)
            if isinstance(action, Refuse):
                assert action.retry_after and action.retry_after > 0
                self.ended.add(name)
            else:
                assert isinstance(action, Send)
                assert action.target in self.declared - self.leaving
                assert action.attempt <= 3
                self.running[name] = action.target

    def step(self):
        rng, dispatcher = self.rng, self.dispatcher
        self.now += rng.expovariate(1 / 50)
        kind = rng.choice("aaaaffddddxxcrketls")
        target = rng.choice(NAMES)
        if kind == "a":
            self.arrive()
        elif kind == "e":
            self.declared ^= {target} if len(self.declared) > 1 else set()
            self.declared = self.declared or {target}
            self.leaving &= self.declared
            self.configure()
        elif kind == "l" and target in self.declared:
            self.leaving.add(target)
            self.take(dispatcher.leaving(target, self.now))
        elif kind == "s" and target in self.declared:
            self.leaving.discard(target)
            self.take(dispatcher.staying(target, self.now))
        elif kind == "r":
            report = LoadReport(target, rng.randint(0, 2), rng.randint(0, 2), self.now)
            self.take(dispatcher.load_report(report, self.now))
        elif kind == "k":
            event = CacheEvent(target, rng.randint(1, 50), ("p",), ("q",))
            self.take(dispatcher.cache_event(event, self.now))
        elif kind == "t":
            self.take(dispatcher.tick(self.now))
        elif kind == "c" and self.waiting | set(self.running):
            self.cancel(rng.choice(sorted(self.waiting | set(self.running))))
        elif self.running:
            self.finish(kind, rng.choice(sorted(self.running)))

    def arrive(self):
        self.count += 1
        name, rng = f"r{self.count}", self.rng
        work = Work(
            name,
            rng.choice(("a", "b", "c")),
            rng.choice(("x", "y")),
            rng.choice(CANDIDATES),
            rng.randint(1, 500),
            rng.choice((0, 5, 20, 400)),
            self.now + rng.uniform(-10, 3_000),
            prefixes=rng.choice(((), ("p",), ("p", "q"))),
            content=rng.choice(("", f"c{rng.randint(0, 9)}")),
            idempotent=rng.random() < 0.7,
        )
        self.waiting.add(name)
        self.take(self.dispatcher.add_request(work, self.now))

    def cancel(self, name):
        self.waiting.discard(name)
        self.running.pop(name, None)
        self.ended.add(name)
        self.take(self.dispatcher.cancel(name, self.now))

    def finish(self, kind, name):
        if kind == "f":
            self.take(self.dispatcher.first_token(name, self.now))
            return
        del self.running[name]
        if kind == "d":
            self.ended.add(name)
            self.take(self.dispatcher.done(name, 5, self.now))
            return
        self.waiting.add(name)
        failure = self.rng.choice(list(Failure))
        self.take(self.dispatcher.failed(name, failure, self.now))

    def drain_queue(self):
        for _ in range(10_000):
            due = self.dispatcher.next_tick(self.now)
            if not self.waiting or due is None:
                return
            self.now = max(self.now, due)
            self.take(self.dispatcher.tick(self.now))


class RandomTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1_000_000))
    def test_every_request_ends_once_and_is_sent_only_to_allowed_targets(self, seed):
        simulation = Simulation(seed)
        for _ in range(400):
            simulation.step()
        simulation.drain_queue()
        self.assertEqual(simulation.waiting, set())
        self.assertEqual(simulation.dispatcher.waiting, 0)
        arrived = {f"r{index + 1}" for index in range(simulation.count)}
        self.assertEqual(simulation.ended | set(simulation.running), arrived)
        for name in list(simulation.running):
            simulation.cancel(name)
        running = [v.limit.own for v in simulation.dispatcher._state.views.values()]
        self.assertEqual(sum(running), 0)


if __name__ == "__main__":
    unittest.main()
