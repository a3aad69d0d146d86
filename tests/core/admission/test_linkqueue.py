"""Which requests wait in the router, on a link that is offered more than it carries."""

import unittest

from anvilshift.core.admission.linkqueue import MAX_DELAY, LinkQueue
from anvilshift.core.clock import Millis

RATE = 12.0
BYTES_PER_MS = 1_500
REQUEST = 5_000


class FullLinkPlay:
    """Requests come every 2 ms, which a link of 12 Mbit/s carries every 3.3 ms.

    Each third is urgent, due after 300 ms; the others are due after 2 s.
    """

    def __init__(self) -> None:
        self.queue = LinkQueue(RATE)
        self.queue.update(0, 0.0)
        self.written = 0
        self.waits: dict[bool, list[Millis]] = {True: [], False: []}
        self.most_delay: Millis = 0.0
        self._came: dict[int, tuple[Millis, bool]] = {}

    def run(self, span: int) -> None:
        """Let requests come for some milliseconds."""
        for now in range(0, span, 2):
            is_urgent = now % 6 == 0
            due = now + (300.0 if is_urgent else 2_000.0)
            number = self.queue.add(due, REQUEST)
            self._came[number] = (float(now), is_urgent)
            self.send(float(now))

    def send(self, now: Millis) -> None:
        self.queue.update(self.written, now)
        for number in self.queue.take(now):
            came, is_urgent = self._came[number]
            self.waits[is_urgent].append(now - came)
            self.written += REQUEST
        self.queue.update(self.written, now)
        self.most_delay = max(self.most_delay, self.queue.find_delay(now))


class LinkQueueTest(unittest.TestCase):
    def test_little_is_written_ahead_of_the_link(self):
        """Guards against requests that reach targets after their callers have left."""
        play = FullLinkPlay()
        play.run(3_000)
        self.assertLessEqual(play.most_delay, MAX_DELAY + REQUEST / BYTES_PER_MS)

    def test_urgent_requests_pass_the_others(self):
        play = FullLinkPlay()
        play.run(1_500)
        self.assertLess(max(play.waits[True]), 20.0)
        self.assertGreater(max(play.waits[False]), 100.0)

    def test_request_whose_caller_has_left_takes_no_room(self):
        queue = LinkQueue(RATE)
        queue.update(0, 0.0)
        queue.update(500_000, 0.0)
        gone, there = queue.add(100.0, REQUEST), queue.add(200.0, REQUEST)
        queue.remove(gone)
        self.assertEqual(queue.take(300.0), [there])
        self.assertEqual(len(queue), 0)

    def test_idle_link_keeps_nothing_back(self):
        queue = LinkQueue(RATE)
        queue.update(0, 0.0)
        number = queue.add(100.0, REQUEST)
        self.assertEqual(queue.find_expected(100.0, REQUEST, 0.0), 0.0)
        self.assertEqual(queue.take(0.0), [number])
