import heapq
import itertools
import random
import unittest

from anvilshift.core.admission.callershare import HostLimits
from anvilshift.core.admission.heldbytes import (
    HeldBytes,
    UnreadAnswer,
    Use,
    find_slowest,
)

LINK = 12_000_000 / 8 / 1_000
"""Bytes a millisecond that a link of 12 Mbit/s carries."""
SMALL, LONG = 4_000, 400_000
MEMORY_MB = 136


class HostTest(unittest.TestCase):
    def test_nothing_is_bounded_where_the_memory_is_not_known(self):
        self.assertIsNone(HeldBytes.from_limits(HostLimits(link=12.0)))

    def test_budget_is_a_part_of_the_memory(self):
        held = HeldBytes.from_limits(HostLimits(memory=200.0))
        self.assertAlmostEqual(held.limit, 60 * 1024 * 1024)

    def test_ready_answers_are_counted_and_never_refused(self):
        """Guards against an answer that is replaced by an error for want of memory."""
        held = HeldBytes(limit=1_000)
        held.change(Use.UNREAD, 1_300, now=0.0, count=1)
        self.assertFalse(held.is_above_ceiling)
        self.assertFalse(held.may_take(Use.BODY, 1))
        held.change(Use.UNREAD, 200, now=0.0, count=1)
        self.assertTrue(held.is_above_ceiling)

    def test_answer_without_end_leaves_room_to_others(self):
        held = HeldBytes(limit=800)
        held.change(Use.AHEAD, 300, now=0.0, count=1)
        self.assertFalse(held.may_take(Use.AHEAD, 301, before=300))
        self.assertTrue(held.may_take(Use.AHEAD, 100))

    def test_answers_whose_slowness_cost_most_are_cut_first(self):
        unread = [UnreadAnswer(n * 100, since=n * 100.0) for n in range(1, 10)]
        self.assertIs(find_slowest(unread, now=1_000.0), unread[4])
        self.assertIsNone(find_slowest([], now=0.0))


class SlowCallers:
    """Callers that send over a narrow link and read at a tenth of the rate.

    A part of the bodies is long.  Each answer is as long as its body, ready half a
    second after it, and read ahead as far as there is room.

    Attributes
    ----------
    most
        Most bytes held at one time.
    taken, refused
        Requests by size.
    returned
        For each refused one, whether it would have had room at the time told.
    """

    def __init__(self, seed: int, rate: float, seconds: float) -> None:
        self.rng = random.Random(seed)
        self.held = HeldBytes.from_limits(HostLimits(memory=MEMORY_MB))
        self.most = 0
        self.taken, self.refused = {SMALL: 0, LONG: 0}, {SMALL: 0, LONG: 0}
        self.returned = []
        self._order, self._events, self.now = itertools.count(), [], 0.0
        at = 0.0
        while at < seconds * 1_000:
            at += self.rng.expovariate(rate / 1_000)
            size = LONG if self.rng.random() < 0.3 else SMALL
            self._later(at, self._arrive, size)
        while self._events:
            self.now, _, act, arguments = heapq.heappop(self._events)
            act(*arguments)
            self.most = max(self.most, self.held.total)

    def _later(self, at: float, act, *arguments) -> None:
        heapq.heappush(self._events, (at, next(self._order), act, arguments))

    def _arrive(self, size: int) -> None:
        if not self.held.may_take(Use.BODY, size):
            self.refused[size] += 1
            wait = self.held.promise(Use.BODY, size, self.now)
            self._later(self.now + wait, self._come_back, size)
            return
        self._take(size)

    def _take(self, size: int) -> None:
        self.taken[size] += 1
        self.held.change(Use.BODY, size, self.now, count=1)
        ready = self.now + 20 * size / LINK + 500.0
        self._later(ready, self._answer, size)

    def _come_back(self, size: int) -> None:
        self.returned.append(self.held.may_take(Use.BODY, size))
        if self.returned[-1]:
            self._take(size)

    def _answer(self, size: int) -> None:
        """Read as much of the answer ahead as there is room for."""
        ahead = size if self.held.may_take(Use.AHEAD, size) else 0
        self.held.change(Use.AHEAD, ahead, self.now, count=bool(ahead))
        self._later(self.now + 10 * size / LINK, self._end, size, ahead)

    def _end(self, size: int, ahead: int) -> None:
        self.held.change(Use.AHEAD, -ahead, self.now, count=-bool(ahead))
        self.held.change(Use.BODY, -size, self.now, count=-1)


class SlowCallersTest(unittest.TestCase):
    def test_budget_is_kept_and_short_bodies_are_taken(self):
        """Guards against short requests that long ones leave no room."""
        for seed in range(3):
            play = SlowCallers(seed, rate=40.0, seconds=120)
            self.assertLessEqual(play.most, play.held.limit)
            self.assertEqual(play.refused[SMALL], 0)
            self.assertGreater(play.refused[LONG], 0)
            self.assertGreater(play.taken[LONG], 100)
            self.assertEqual(play.held.total, 0)

    def test_nobody_is_refused_while_there_is_room(self):
        play = SlowCallers(seed=1, rate=2.0, seconds=120)
        self.assertEqual(sum(play.refused.values()), 0)

    def test_callers_find_room_when_they_come_back_after_a_burst(self):
        """Guards against a time to come back at which there is no room yet."""
        for seed in range(5):
            play = SlowCallers(seed, rate=40.0, seconds=6)
            self.assertGreater(len(play.returned), 10)
            self.assertGreater(sum(play.returned) / len(play.returned), 0.9)

    def test_callers_are_told_to_come_back_within_seconds(self):
        held = HeldBytes(limit=2_000)
        held.change(Use.BODY, 1_000, now=0.0, count=1)
        for n in range(5):
            wait = held.promise(Use.BODY, 500, now=n * 1_000.0)
            self.assertTrue(0.0 < wait <= 10_000.0)
            held.change(Use.BODY, -50, now=n * 1_000.0)


if __name__ == "__main__":
    unittest.main()
