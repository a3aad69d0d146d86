"""Test the output and the exit codes of `anvilshift call`."""

import contextlib
import io
import unittest

from anvilshift.operator.calling import (
    EXIT_NOT_RUN,
    EXIT_UNKNOWN,
    make_conversation,
    print_answer,
)
from anvilshift.standins.engine import make_answer
from tests.router.fleetlet import Fleetlet


class CallingTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleetlet()
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()

    async def call(self, model="m", deadline=5_000.0, key="", non_idempotent=False):
        conversation = make_conversation(
            model, "tank", 4, deadline, key, non_idempotent
        )
        with (
            contextlib.redirect_stdout(io.StringIO()) as stdout,
            contextlib.redirect_stderr(io.StringIO()) as stderr,
        ):
            code = await print_answer(self.fleet.client(), conversation)
        return code, stdout.getvalue(), stderr.getvalue()

    async def test_answer_is_printed(self):
        self.assertEqual(await self.call(), (0, make_answer("tank", 4) + "\n", ""))

    async def test_refused_request_exits_with_not_run(self):
        code, _, errors = await self.call(model="other")
        self.assertEqual(code, EXIT_NOT_RUN)
        self.assertIn("1005", errors)

    async def test_interrupted_non_idempotent_call_is_unknown(self):
        self.fleet.engines[0].faults.break_after = 1
        code, _, _ = await self.call(key="k", non_idempotent=True)
        self.assertEqual(code, EXIT_UNKNOWN)

    async def test_repeat_with_same_key_runs_once_and_prints_the_same(self):
        first = await self.call(key="k", non_idempotent=True)
        self.assertEqual(first, await self.call(key="k", non_idempotent=True))
        self.assertEqual(first[1], make_answer("tank", 4) + "\n")
        self.assertEqual(len(self.fleet.engines[0].runs), 1)
