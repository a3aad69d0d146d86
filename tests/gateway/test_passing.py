"""How a request ends as its deadline passes."""

import asyncio
import unittest
from types import SimpleNamespace

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.errors import ANSWER_LATE, OVERLOADED, AnvilshiftError
from anvilshift.gateway.passing import RequestHandler
from tests.gateway.virtualtime import VirtualLoop, run

END = 1_000.0


class _Attempts:
    """An answer that arrives after a time, from a target that may have run it."""

    def __init__(self, takes: Millis, may_have_run: bool = True) -> None:
        self.takes, self.may_have_run = takes, may_have_run
        self.is_answered = False

    async def run(self) -> None:
        await asyncio.sleep(self.takes / SECOND)
        self.is_answered = True


class DeadlineTest(unittest.TestCase):
    """Load: a full link holds the answers of targets that end just in time."""

    def setUp(self) -> None:
        self.loop = VirtualLoop()

    def end(self, attempts: _Attempts, caller_end: Millis) -> Millis:
        """Run a request to its end, and return when it ended."""
        relay = SimpleNamespace(outcome="", broken=False, started=False)
        handler = SimpleNamespace(
            shared=SimpleNamespace(clock=self.loop), relay=relay, attempts=attempts
        )
        routed = SimpleNamespace(end=END, caller_end=caller_end)

        async def play() -> Millis:
            try:
                await RequestHandler._run_until_deadline(handler, attempts, routed)
            finally:
                self.ended = self.loop.now()
            return self.ended

        return run(self.loop, play())

    def test_answer_on_its_way_at_the_deadline_is_delivered(self):
        """Guards against an answer that a target made being replaced by a failure."""
        attempts = _Attempts(takes=END + 150.0)
        self.end(attempts, caller_end=3 * END)
        self.assertTrue(attempts.is_answered)

    def test_caller_is_told_a_moment_after_the_deadline_if_no_answer_comes(self):
        """Guards against a caller held past its route's time."""
        with self.assertRaises(AnvilshiftError) as raised:
            self.end(_Attempts(takes=5 * END), caller_end=3 * END)
        self.assertIs(raised.exception.code, ANSWER_LATE)
        self.assertLessEqual(self.ended, END + 250.0)

    def test_request_that_no_target_runs_ends_at_its_deadline(self):
        """Guards against a wait for an answer that nobody makes."""
        with self.assertRaises(AnvilshiftError) as raised:
            self.end(_Attempts(5 * END, may_have_run=False), caller_end=3 * END)
        self.assertIs(raised.exception.code, OVERLOADED)
        self.assertLessEqual(self.ended, END + 1.0)

    def test_nothing_is_waited_for_when_its_caller_has_left(self):
        """Guards against work that goes on for a caller whose own time is over."""
        with self.assertRaises(AnvilshiftError):
            self.end(_Attempts(takes=5 * END), caller_end=END)
        self.assertLessEqual(self.ended, END + 1.0)
