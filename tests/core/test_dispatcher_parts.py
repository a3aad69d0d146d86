"""A message that several chat requests share ends each engine that runs them."""

import unittest

from anvilshift.core.work import Work
from tests.core.test_dispatcher_poison import NAMES, Fleet

MOST_ENDS = 5
"""The users' limit for a part of prompts that ends engines."""


class SharedMessageTest(unittest.TestCase):
    def test_message_that_requests_share_ends_engines_five_times_at_most(self):
        """Guards against engines that end one after the other on requests that are
        alike in one message only, since each is another content.
        """
        fleet = Fleet(seed=1, routers=2)
        for number in range(12):
            fleet.now += 1_000.0
            name = f"bad{number}"
            work = Work(
                name,
                "org",
                "x",
                dict.fromkeys(NAMES, 0),
                10,
                10,
                1e9,
                prefixes=("the same message",),
                content=f"question {number}",
            )
            router = number % 2
            fleet.take(router, fleet.routers[router].add_request(work, fleet.now))
            fleet.run_poison([name])
        self.assertLessEqual(len(fleet.lost), MOST_ENDS)
