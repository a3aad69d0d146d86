import random
import unittest

from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.failures import Failure
from anvilshift.core.work import DispatchSettings, Send, Target, Work


class RetryLimitTest(unittest.TestCase):
    """Work that is rejected is sent again within a window of its own targets."""

    def setUp(self):
        settings = DispatchSettings(attempts=2, routers=4)
        self.dispatcher = Dispatcher(settings, random.Random(1))
        self.targets = {
            "chat": [f"c{number}" for number in range(4)],
            "desk": [f"d{number}" for number in range(4)],
        }
        self.dispatcher.configure(
            [
                Target(name, "north", slots=50, serves=frozenset({service}))
                for service, names in self.targets.items()
                for name in names
            ],
            now=0.0,
        )
        self.count = 0

    def send(self, service: str, now: float) -> list[Send]:
        """Add a request for a service, and return where it was sent."""
        self.count += 1
        candidates = dict.fromkeys(self.targets[service], 0)
        work = Work(
            f"w{self.count}", "pounds", service, candidates, 1, 1, now + 60_000.0
        )
        actions = self.dispatcher.add_request(work, now)
        return [action for action in actions if isinstance(action, Send)]

    def reject_all(self, service: str, number: int, now: float) -> int:
        """Return how often rejected requests for a service were sent again."""
        repeats = 0
        for _ in range(number):
            for sent in self.send(service, now):
                actions = self.dispatcher.failed(sent.identity, Failure.REJECTED, now)
                again = [one for one in actions if isinstance(one, Send)]
                repeats += len(again)
                for one in again:
                    self.dispatcher.failed(one.identity, Failure.REJECTED, now)
        return repeats

    def test_rejected_work_is_repeated_up_to_a_bound(self):
        """Guards against a burst of repeats that no request has earned."""
        repeats = self.reject_all("desk", 100, now=1_000.0)
        # 30, and half of a fifth of the requests at once.
        self.assertGreaterEqual(repeats, 38)
        self.assertLessEqual(repeats, 40)

    def test_requests_for_other_targets_earn_nothing(self):
        """Guards against one budget for all kinds of targets."""
        repeats = 0
        for _ in range(200):
            for _ in range(5):
                for sent in self.send("chat", now=1_000.0):
                    self.dispatcher.done(sent.identity, 1, now=1_000.0)
            repeats += self.reject_all("desk", 1, now=1_000.0)
        self.assertLessEqual(repeats, 30 + 0.2 * 200)

    def test_a_change_of_targets_refills_nothing(self):
        """Guards against repeats that are forgotten when targets are declared anew."""
        first = self.reject_all("desk", 60, now=1_000.0)
        names = [*self.targets["desk"], "d4"]
        self.targets["desk"] = names
        self.dispatcher.configure(
            [Target(name, "north", slots=50, serves=frozenset()) for name in names],
            now=1_000.0,
        )
        second = self.reject_all("desk", 60, now=1_000.0)
        self.assertLessEqual(first + second, 30 + 0.2 * 120)

    def test_targets_that_become_interchangeable_keep_what_they_were_sent(self):
        """Guards against repeats that are forgotten when kinds of targets merge."""
        self.targets["chat"].append("c4")
        self.dispatcher.configure(
            [
                Target(name, "north", slots=50, serves=frozenset())
                for names in self.targets.values()
                for name in names
            ],
            now=1_000.0,
        )
        for sent in self.send("chat", now=1_000.0):
            self.dispatcher.done(sent.identity, 1, now=1_000.0)
        first = self.reject_all("desk", 60, now=1_000.0)
        self.targets["both"] = [*self.targets["chat"], *self.targets["desk"]]
        second = self.reject_all("both", 60, now=1_000.0)
        self.assertLessEqual(first + second, 30 + 0.2 * 120)
