"""Silences drawn at random never cost an answer, and targets that hang are left."""

import asyncio
import random
import unittest

from anvilshift.core.clock import SECOND
from anvilshift.core.pauses import LOOK_INTERVAL, TargetActivity
from anvilshift.gateway.outgoing import AttemptError, PlannedAttempt
from anvilshift.gateway.silencewatch import SilenceWatch
from tests.gateway.silent import SilentJournal
from tests.gateway.virtualtime import VirtualLoop, run

EVENTS = 20
PACE_S = 0.04
LIMIT = 1_200.0
END = 15_000.0
LATEST_LEAVE = 2_600.0
"""When a target that hangs must have been left, if another one can be had."""


class Play:
    """One attempt at a target that is silent at times.

    Parameters
    ----------
    availability
        Chance that a look finds another target.

    Attributes
    ----------
    taken, given_back
        How often another attempt was planned, and given back unused.
    """

    def __init__(self, seed: int, availability: float, limit: float = LIMIT) -> None:
        self.rng = random.Random(seed)
        self.loop = VirtualLoop()
        self.journal = SilentJournal()
        self.availability = availability
        self.activity = TargetActivity()
        self.taken = self.given_back = self.events = 0
        self.watch = SilenceWatch(
            "id",
            "e1",
            END,
            self.loop,
            self.journal,
            self.find_activity,
            self.plan_ahead,
            self.withdraw,
        )
        self.withdrawn = 0
        self.limit = limit
        self.answers_others = False

    def find_activity(self) -> TargetActivity:
        if self.answers_others:
            self.activity.record(self.loop.now())
        return self.activity

    async def plan_ahead(self) -> PlannedAttempt | None:
        await asyncio.sleep(self.rng.uniform(0.0, 0.3))
        if self.rng.random() >= self.availability:
            return None
        self.taken += 1
        return PlannedAttempt(None, "run", release=self.release)

    def release(self) -> None:
        self.given_back += 1

    def withdraw(self) -> None:
        self.withdrawn += 1

    async def attempt(self, silences: dict[int, float]) -> bool:
        """Relay an answer; return whether it was left for another attempt.

        Parameters
        ----------
        silences
            Seconds of silence before events, by their numbers.
        """
        try:
            async with self.watch.guard():
                self.watch.start(self.limit)
                for number in range(EVENTS):
                    await asyncio.sleep(PACE_S + silences.get(number, 0.0))
                    self.activity.record(self.loop.now())
                    self.watch.record_event(self.limit)
                    self.events += 1
        except AttemptError:
            return True
        return False

    def run(self, silences: dict[int, float]) -> bool:
        return run(self.loop, self.attempt(silences))


class SilenceWatchTest(unittest.TestCase):
    def draw_silences(self, rng: random.Random) -> dict[int, float]:
        return {rng.randrange(EVENTS): rng.uniform(0.5, 2.0) for _ in range(3)}

    def test_no_answer_is_given_up_while_no_other_target_can_be_had(self):
        """Guards against a stream that is cut although its engine would finish it."""
        for seed in range(200):
            play = Play(seed, availability=0.0)
            left = play.run(self.draw_silences(random.Random(seed)))
            self.assertEqual((left, play.events), (False, EVENTS), seed)

    def test_answer_is_left_only_with_the_next_attempt_secured(self):
        """Guards against what is taken for an attempt that is then never sent."""
        left_in = 0
        for seed in range(400):
            play = Play(seed, availability=0.5)
            left = play.run(self.draw_silences(random.Random(seed)))
            kept = play.taken - play.given_back
            self.assertEqual(kept, int(left), seed)
            self.assertEqual(play.watch.planned is not None, left, seed)
            if not left:
                self.assertEqual(play.events, EVENTS, seed)
            left_in += left
        self.assertGreater(left_in, 0)

    def test_pause_of_a_second_is_waited_for(self):
        """Guards against repeats of what a paused target goes on with."""
        for seed in range(50):
            play = Play(seed, availability=1.0)
            self.assertFalse(play.run({seed % EVENTS: 1.0}), seed)
            self.assertEqual(play.taken, 0)

    def test_hung_target_is_left_in_time(self):
        """Guards against an answer that stays at a dead engine until its deadline."""
        for seed in range(50):
            play = Play(seed, availability=1.0)
            self.assertTrue(play.run({5: 60.0}), seed)
            self.assertLess(play.loop.now(), LATEST_LEAVE)

    def test_request_that_its_target_lost_is_left_at_its_limit(self):
        """Guards against the patience for pauses where a target answers others."""
        play = Play(1, availability=1.0, limit=800.0)
        play.answers_others = True
        self.assertTrue(play.run({0: 60.0}))
        self.assertLess(play.loop.now(), 800.0 + 300.0 + 2 * LOOK_INTERVAL)

    def test_hung_target_is_left_once_another_one_can_be_had(self):
        """Guards against a look for another target that is made only once."""
        play = Play(1, availability=0.0)

        async def recover() -> bool:
            running = asyncio.ensure_future(play.attempt({5: 60.0}))
            await asyncio.sleep(8.0)
            play.availability = 1.0
            return await running

        self.assertTrue(run(play.loop, recover()))
        self.assertLess(play.loop.now(), 8.0 * SECOND + 300.0 + 3 * LOOK_INTERVAL)

    def test_stream_that_hangs_is_left_at_its_shorter_limit(self):
        """Guards against a pause that is found only by the wait for a first event."""
        play = Play(1, availability=1.0, limit=8_000.0)

        async def attempt() -> bool:
            try:
                async with play.watch.guard():
                    play.watch.start(8_000.0)
                    await asyncio.sleep(0.2)
                    play.activity.record(play.loop.now())
                    play.watch.record_event(1_200.0)
                    await asyncio.sleep(60.0)
            except AttemptError:
                return True
            return False

        self.assertTrue(run(play.loop, attempt()))
        self.assertLess(play.loop.now(), LATEST_LEAVE)

    def test_event_whose_write_waits_for_the_caller_stops_a_look(self):
        """Guards against a move away from an answer that goes on."""
        play = Play(1, availability=1.0)

        async def find_slowly() -> PlannedAttempt:
            await asyncio.sleep(0.5)
            play.taken += 1
            return PlannedAttempt(None, "run", release=play.release)

        play.watch.plan_ahead = find_slowly

        async def attempt() -> None:
            async with play.watch.guard():
                play.watch.start(LIMIT)
                await asyncio.sleep(1.5)
                with play.watch.hold(LIMIT):
                    await asyncio.sleep(3.0)

        run(play.loop, attempt())
        self.assertEqual(play.taken, play.given_back)
        self.assertGreater(play.withdrawn, 0)

    def test_look_that_fails_is_logged_and_made_again(self):
        """Guards against a request that stays for good after an unforeseen error."""
        play, looks = Play(1, availability=1.0), []

        async def fail_once() -> PlannedAttempt | None:
            looks.append(play.loop.now())
            if len(looks) == 1:
                raise KeyError("unforeseen")
            return PlannedAttempt(None, "run")

        play.watch.plan_ahead = fail_once
        self.assertTrue(play.run({0: 60.0}))
        self.assertIn("look_failed", play.journal.list_events())

    def test_answer_that_comes_as_the_next_attempt_is_secured_stays(self):
        """Guards against a whole answer given up in the moment in which it came."""
        play = Play(1, availability=1.0)

        whole = play.loop.create_future()

        async def plan_as_it_comes() -> PlannedAttempt:
            play.taken += 1
            whole.set_result(None)
            return PlannedAttempt(None, "run", release=play.release)

        play.watch.plan_ahead = plan_as_it_comes

        async def attempt() -> None:
            async with play.watch.guard():
                play.watch.start(LIMIT)
                await whole
                play.watch.finish()
                await asyncio.sleep(1.0)

        run(play.loop, attempt())
        self.assertEqual((play.taken, play.given_back), (1, 1))

    def test_answer_that_was_received_whole_is_not_left(self):
        """Guards against a whole answer cut while its caller reads it slowly."""
        play = Play(1, availability=1.0)

        async def attempt() -> None:
            async with play.watch.guard():
                play.watch.start(LIMIT)
                await asyncio.sleep(0.1)
                play.watch.finish()
                await asyncio.sleep(10.0)

        run(play.loop, attempt())
        self.assertEqual(play.taken, 0)

    def test_answer_that_waits_for_its_caller_is_not_left(self):
        """Guards against an engine left because its caller reads slowly."""
        play = Play(1, availability=1.0)
        play.watch.is_held = True
        self.assertFalse(play.run({5: 4.0}))
