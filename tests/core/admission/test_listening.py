"""How callers fare that prefer one router, whose link is full."""

import unittest

from anvilshift.core.admission.listening import Listening
from anvilshift.core.clock import SECOND, Millis

ROOM, USUAL, WANTED = 100.0, 60.0, 220.0
"""Requests per second that a router's link carries, that come before, and that come in
the rush."""
OBJECTIVE: Millis = 400.0
TICK: Millis = 100.0
RUSH: Millis = 6 * SECOND


def play(refuses: bool) -> list[Millis]:
    """Return how long each request of a rush waits that prefers one router of six.

    A caller that is refused goes to another router, whose link has room.
    """
    listening, waits = Listening(), []
    waiting, now, listens = 0.0, 0.0, True
    while now < 3 * RUSH:
        is_rush = RUSH <= now < 2 * RUSH
        coming = (WANTED if is_rush else USUAL) * TICK / SECOND
        taken = coming if listens or not refuses else 0.0
        waits += [waiting / ROOM * SECOND] * int(taken)
        waits += [0.0] * int(coming - taken)
        carried = min(waiting + taken, ROOM * TICK / SECOND)
        waiting += taken - carried
        link = carried / (ROOM * TICK / SECOND) + (0.1 if waiting else 0.0)
        now += TICK
        listens = listening.update(link, full_part=0.0, now=now)
    return waits


class ListeningTest(unittest.TestCase):
    def test_callers_that_prefer_a_full_router_are_served_in_time(self):
        """Guards against requests that wait for seconds behind a full link."""
        late = [wait > OBJECTIVE for wait in play(refuses=True)]
        self.assertLess(sum(late), 0.05 * len(late))
        without = [wait > OBJECTIVE for wait in play(refuses=False)]
        self.assertGreater(sum(without), 0.5 * len(without))

    def test_full_router_takes_some_in_any_second(self):
        """Guards against a router that says it is ready and takes nobody."""
        for tick in (100, 130, 270):
            listening, last = Listening(), 0.0
            for now in range(tick, 60_000, tick):
                if listening.update(link=1.2, full_part=0.1, now=now):
                    last = now
                self.assertLess(now - last, 1 * SECOND + tick)

    def test_nobody_is_refused_while_most_routers_are_full(self):
        """Guards against callers that find no router at all."""
        listening = Listening()
        for now in range(100, 10_000, 100):
            self.assertTrue(listening.update(link=1.2, full_part=0.6, now=now))
