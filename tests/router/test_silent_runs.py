"""Tests of answers at engines that fall silent beside other events."""

import asyncio
import contextlib
import json
import unittest
from unittest import mock

from anvilshift.core.ejection import Health
from anvilshift.core.failures import Failure
from anvilshift.engines import http
from anvilshift.engines.http import TargetError
from anvilshift.standins.engine import make_answer
from bench.fleet import wait_until
from tests.router.fleetlet import Fleetlet
from tests.router.test_runs import read_events

TOKENS = 20
_SLOW = 10.0
"""Slows an engine's tokens down, so that an answer takes a while."""


def read_text(answer):
    """Return the text of an answer that isn't a stream."""
    return json.loads(answer.body)["choices"][0]["message"]["content"]


class SilentRunsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, engines=2):
        self.fleet = Fleetlet(engines=engines)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()
        for engine in self.fleet.engines:
            engine.faults.slow = _SLOW
        self.awake = asyncio.Event()

    async def begin(self, stream=True):
        """Send a request; return its task and the engine that runs it."""
        extra = {"stream": True} if stream else None
        work = self.fleet.chat("tank", tokens=TOKENS, extra=extra)
        asking = asyncio.create_task(work)
        engines = self.fleet.engines
        await wait_until(lambda: any(r.tokens for e in engines for r in e.runs))
        return asking, next(engine for engine in engines if engine.runs)

    @contextlib.contextmanager
    def silence(self, *engines):
        """Let engines neither read nor write until `awake` is set."""

        async def pause(*arguments):
            await self.awake.wait()

        with contextlib.ExitStack() as pauses:
            for engine in engines:
                pauses.enter_context(mock.patch.object(engine, "_sleep", pause))
                server = engine._server
                pauses.enter_context(mock.patch.object(server, "handler", pause))
            yield

    async def remove(self, engine):
        """Take an engine out of the declarations."""
        store, index = self.fleet.store, self.fleet.engines.index(engine)
        found = await store.get("EngineGroup", "es")
        left = [e for e in found.body["engines"] if e["name"] != f"es{index}"]
        body = {**found.body, "engines": left}
        await store.put("EngineGroup", "es", body, found.version)
        targets = self.fleet.nodes[0].targets
        await wait_until(lambda: targets.engine(f"es{index}") is None)

    async def test_stream_leaves_a_hung_engine_that_is_no_longer_declared(self):
        """Guards against a stream that waits until its deadline at a hung engine, as
        the operator has removed the engine.
        """
        await self.start()
        asking, hung = await self.begin()
        with self.silence(hung):
            await self.remove(hung)
            async with asyncio.timeout(6):
                text, _, ended = read_events(await asking)
        self.assertEqual(text, make_answer("tank", TOKENS))
        self.assertTrue(ended)

    async def test_stream_stays_at_a_removed_engine_that_only_pauses(self):
        """Guards against an answer that is given up as its engine was removed."""
        await self.start()
        asking, engine = await self.begin()
        with self.silence(engine):
            await self.remove(engine)
            await asyncio.sleep(1.0)
        self.awake.set()
        text, _, ended = read_events(await asking)
        self.assertEqual(text, make_answer("tank", TOKENS))
        self.assertTrue(ended)
        self.assertEqual(sum(len(engine.runs) for engine in self.fleet.engines), 1)

    async def move_at_end(self, end):
        """Move a request in the moment in which its engine ends the answer.

        Parameters
        ----------
        end
            Called after the move; it may raise the engine's failure.
        """
        node, read = self.fleet.nodes[0], http._read_pieces
        moved = []

        async def read_and_move(response):
            async for batch in read(response):
                yield batch
                if not moved and any(piece.finish for piece in batch):
                    [identity] = node.dispatcher._sender.running
                    node.dispatch.leave(identity, [])
                    moved.append(identity)
                    end()

        with mock.patch.object(http, "_read_pieces", read_and_move):
            answer = await self.fleet.chat("tank", tokens=TOKENS)
        self.assertEqual(len(moved), 1)
        return answer

    async def test_answer_that_ends_as_it_is_moved_is_whole(self):
        """Guards against an answer that is lost as its engine ends it in the moment in
        which the work is moved.
        """
        await self.start()
        answer = await self.move_at_end(lambda: None)
        self.assertEqual(read_text(answer), make_answer("tank", TOKENS))
        self.assertEqual(self.fleet.nodes[0].dispatch.waiting, 0)

    def check_moved(self, answer):
        """Check that work went on at the other engine."""
        self.assertEqual(read_text(answer), make_answer("tank", TOKENS))
        self.assertEqual([len(engine.runs) for engine in self.fleet.engines], [1, 1])

    async def test_work_that_fails_as_it_is_moved_goes_on(self):
        """Guards against work that is refused as its engine fails in the moment in
        which it is moved.
        """
        await self.start()

        def break_off():
            raise TargetError(Failure.BROKE_OFF, "the stream broke off")

        self.check_moved(await self.move_at_end(break_off))

    async def test_failure_of_work_that_was_moved_blames_no_other_engine(self):
        """Guards against an engine that is blamed for the failure of the engine that
        the work has left, as the failure is reported after the move.
        """
        await self.start()
        for engine in self.fleet.engines:
            engine.faults.break_after = 5
        dispatch = self.fleet.nodes[0].dispatch
        retry = dispatch.retry

        def move_and_retry(identity, *rest):
            for engine in self.fleet.engines:
                engine.faults.break_after = 0
            dispatch.leave(identity, [])
            return retry(identity, *rest)

        with (
            mock.patch.object(dispatch, "retry", move_and_retry),
            mock.patch.object(Health, "add_failure") as add_failure,
        ):
            answer = await self.fleet.chat("tank", tokens=TOKENS)
        self.check_moved(answer)
        add_failure.assert_not_called()

    async def test_work_that_was_moved_as_it_ended_waits_no_longer(self):
        """Guards against requests that count as waiting for ever, as their answers
        were complete before they could be moved.
        """
        await self.start()
        dispatch = self.fleet.nodes[0].dispatch
        done = dispatch.done

        def move_and_end(identity, tokens):
            dispatch.leave(identity, [])
            done(identity, tokens)

        with mock.patch.object(dispatch, "done", move_and_end):
            answer = await self.fleet.chat("tank", tokens=TOKENS)
        self.assertEqual(read_text(answer), make_answer("tank", TOKENS))
        self.assertEqual(dispatch.waiting, 0)


if __name__ == "__main__":
    unittest.main()
