"""What a watch of a silent target gives back, and when it begins anew."""

import asyncio
import unittest

from anvilshift.core.clock import SECOND
from anvilshift.gateway.outgoing import AttemptError, PlannedAttempt
from tests.gateway.test_silencewatch import LIMIT, Play
from tests.gateway.virtualtime import run

SLOW_LOOK_S = 10.0
HOLD_S = 1.1
PAUSE_S = 0.5


class WatchEndTest(unittest.TestCase):
    def make_play(self, availability: float = 1.0) -> Play:
        return Play(1, availability=availability)

    async def end_with_planned(self, play: Play, error: Exception | None) -> None:
        """End an attempt of itself as the next one has just been planned."""
        async with play.watch.guard():
            play.watch.start(LIMIT)
            play.watch.planned = PlannedAttempt(None, "run", release=play.release)
            if error is not None:
                raise error

    def test_next_attempt_is_given_back_as_the_answer_ends(self):
        """Guards against permits and retries that are lost beside a whole answer."""
        play = self.make_play()
        run(play.loop, self.end_with_planned(play, None))
        self.assertEqual((play.given_back, play.watch.planned), (1, None))

    def test_next_attempt_is_given_back_as_the_attempt_fails(self):
        """Guards against permits and retries that are lost beside a failure."""
        play = self.make_play()
        with self.assertRaises(ValueError):
            run(play.loop, self.end_with_planned(play, ValueError()))
        self.assertEqual((play.given_back, play.watch.planned), (1, None))

    def test_look_has_ended_when_its_attempt_has(self):
        """Guards against an attempt planned while a look still holds what it took."""
        play, ended = self.make_play(), []

        async def plan_ahead() -> None:
            try:
                await asyncio.sleep(SLOW_LOOK_S)
            finally:
                ended.append(play.loop.now())

        async def attempt() -> None:
            async with play.watch.guard():
                play.watch.start(LIMIT)
                await asyncio.sleep(2 * LIMIT / SECOND)
            self.assertEqual(ended, [play.loop.now()])

        play.watch.plan_ahead = plan_ahead
        run(play.loop, attempt())
        self.assertLess(ended[0], SLOW_LOOK_S * SECOND)

    def test_doubted_answer_is_left_before_its_target_is_silent_for_long(self):
        """Guards against a request that waits on a path that is known to be broken."""
        play = self.make_play()

        async def attempt() -> None:
            async with play.watch.guard():
                play.watch.start(LIMIT)
                await asyncio.sleep(PAUSE_S)
                play.watch.doubt()
                await asyncio.sleep(SLOW_LOOK_S)

        with self.assertRaises(AttemptError):
            run(play.loop, attempt())
        self.assertLess(play.loop.now(), LIMIT)

    def test_wait_for_the_caller_is_no_silence_of_the_target(self):
        """Guards against an answer left as its slow caller has just taken an event."""
        play = self.make_play()
        play.answers_others = True

        async def attempt() -> None:
            async with play.watch.guard():
                play.watch.start(LIMIT)
                with play.watch.hold(LIMIT):
                    await asyncio.sleep(HOLD_S)
                await asyncio.sleep(PAUSE_S)
                play.watch.finish()

        run(play.loop, attempt())
        self.assertEqual(play.taken - play.given_back, 0)

    def test_error_says_since_when_the_target_was_silent(self):
        """Guards against a hung target that is never found to fail."""
        play = self.make_play()

        async def attempt() -> None:
            async with play.watch.guard():
                play.watch.start(LIMIT)
                await asyncio.sleep(SLOW_LOOK_S)

        with self.assertRaises(AttemptError) as caught:
            run(play.loop, attempt())
        self.assertEqual(caught.exception.silence.since, 0.0)
