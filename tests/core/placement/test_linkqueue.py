"""Load: requests come faster than a narrow link carries them on."""

import random
import unittest

from anvilshift.core.placement.linkqueue import MAX_DELAY, LinkQueue

RATE = 10.0
"""Megabits per second."""
LONG, SHORT = 60_000, 800
STEP, LENGTH = 5.0, 20_000.0
HEARD = 500.0
"""Milliseconds after a caller's close at which nothing more reaches a target."""


def send_time(length: int) -> float:
    return length * 8 / (RATE * 1_000)


class NarrowLinkTest(unittest.TestCase):
    def play(self, seed: int) -> tuple[float, list[tuple[int, float]]]:
        """Offer a link twice what it carries for some seconds.

        Returns
        -------
        tuple
            The longest time that anything written waited for the link, and the length
            and the wait of each request that was sent.
        """
        rng, queue = random.Random(seed), LinkQueue(RATE)
        waiting: list[tuple[float, int]] = []
        sent: list[tuple[int, float]] = []
        written, free_at, longest, now = 0, 0.0, 0.0, 0.0
        while now < LENGTH:
            if now < LENGTH / 2 and rng.random() < 2.0 * STEP / send_time(LONG):
                waiting.append((now, LONG))
            if rng.random() < 0.2:
                waiting.append((now, SHORT))
            for one in list(waiting):
                queue.update(written, now)
                if not queue.find_wait(one[1], now):
                    waiting.remove(one)
                    sent.append((one[1], now - one[0]))
                    written += one[1]
                    free_at = max(free_at, now) + send_time(one[1])
                    longest = max(longest, free_at - now)
            now += STEP
        return longest, sent

    def test_nothing_waits_on_the_link_for_long(self):
        """Guards against requests that a narrow link delivers after their callers left.

        A target gets nothing over half a second after the close.
        """
        for seed in range(3):
            longest, sent = self.play(seed)
            self.assertLessEqual(longest, HEARD / 2)
            self.assertTrue(any(length == LONG for length, _ in sent))

    def test_short_requests_pass_the_long_ones(self):
        """Guards against short questions that wait behind long prompts."""
        for seed in range(3):
            _, sent = self.play(seed)
            waits = sorted(wait for length, wait in sent if length == SHORT)
            self.assertLessEqual(waits[len(waits) * 95 // 100], MAX_DELAY)

    def test_an_idle_link_keeps_nothing_back(self):
        """Guards against waits where there is room."""
        queue = LinkQueue(RATE)
        for now in range(0, 2_000, 100):
            queue.update(now * 500, float(now))
            self.assertEqual(queue.find_wait(LONG, float(now)), 0.0)
