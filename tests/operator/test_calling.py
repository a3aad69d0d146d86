"""`anvilshift call` prints the answer and says by its exit code what became of it."""

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

    async def call(self, model="m", deadline=5_000.0, key="", once=False):
        asked = make_conversation(model, "tank", 4, deadline, key, once)
        with (
            contextlib.redirect_stdout(io.StringIO()) as out,
            contextlib.redirect_stderr(io.StringIO()) as errors,
        ):
            code = await print_answer(self.fleet.client(), asked)
        return code, out.getvalue(), errors.getvalue()

    async def test_answer_is_printed(self):
        self.assertEqual(await self.call(), (0, make_answer("tank", 4) + "\n", ""))

    async def test_refusal_says_that_nothing_ran(self):
        code, _, errors = await self.call(model="other")
        self.assertEqual(code, EXIT_NOT_RUN)
        self.assertIn("1005", errors)

    async def test_order_that_broke_off_is_unknown(self):
        self.fleet.engines[0].faults.break_after = 1
        code, _, _ = await self.call(key="k", once=True)
        self.assertEqual(code, EXIT_UNKNOWN)

    async def test_order_runs_once_and_its_repeat_prints_the_same(self):
        first = await self.call(key="k", once=True)
        self.assertEqual(first, await self.call(key="k", once=True))
        self.assertEqual(first[1], make_answer("tank", 4) + "\n")
        self.assertEqual(len(self.fleet.engines[0].runs), 1)
