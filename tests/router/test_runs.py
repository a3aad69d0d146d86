"""Tests that an answer reaches its caller only, complete and without repetition."""

import asyncio
import contextlib
import json
import time
import unittest
from unittest import mock

from anvilshift.client.client import Conversation
from anvilshift.core.errors import BUDGET_UNREACHABLE, AnvilshiftError
from anvilshift.engines.engine import AnswerPart, Usage
from anvilshift.router import registry, runs
from anvilshift.standins.engine import make_answer
from anvilshift.wire.events import EventReader
from anvilshift.wire.messages import HttpResponse
from anvilshift.wire.responder import Responder
from bench.fleet import wait_until
from tests.router.fleetlet import Fleetlet, make_chat, read_code

KEY = ("idempotency-key", "k")
LONG_PAUSE_S = 4.0
"""Longer than the time after which a request leaves a silent engine."""


def read_events(answer: HttpResponse) -> tuple[str, list[str], bool]:
    """Return a stream's text, the ids of its events, and whether it ended."""
    events = EventReader().feed(answer.body)
    parts = [json.loads(e.data) for e in events if e.data != "[DONE]"]
    texts = [c["delta"].get("content", "") for p in parts for c in p.get("choices", ())]
    return "".join(texts), [e.id for e in events if e.id], events[-1].data == "[DONE]"


class RunsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleetlet(routers=2, engines=2)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()

    def set_faults(self, **faults):
        for engine in self.fleet.engines:
            for name, value in faults.items():
                setattr(engine.faults, name, value)

    def replace_pieces(self, *batches):
        """Let every engine answer with the given pieces instead of its own."""

        async def read(response):
            for batch in batches:
                yield batch
            await response.read()

        return mock.patch("anvilshift.engines.http._read_pieces", read)

    async def stream(self, *headers, **rest):
        extra = {"stream": True, **rest.pop("extra", {})}
        return await self.fleet.chat("tank", *headers, extra=extra, **rest)

    async def test_stream_continues_at_another_engine(self):
        self.fleet.engines[0].faults.break_after = 5
        self.fleet.engines[1].faults.break_after = 5
        text, _, ended = read_events(await self.stream(tokens=12))
        self.assertEqual(text, make_answer("tank", 12))
        self.assertTrue(ended)

    async def test_request_moves_from_a_silent_engine_to_another(self):
        """An engine is paused during an answer, and its connection stays open.

        Guards against a request that waits there until its deadline: it must
        continue at another engine once the paused one's polls go unanswered too.
        """
        self.set_faults(slow=10.0)
        asking = asyncio.create_task(self.stream(tokens=20))
        engines = self.fleet.engines
        await wait_until(lambda: any(r.tokens for e in engines for r in e.runs))
        paused = next(engine for engine in engines if engine.runs)

        async def hang(request, responder):
            await asyncio.Event().wait()

        paused.faults.slow = 1e6
        with mock.patch.object(paused._server, "handler", hang):
            text, _, ended = read_events(await asking)
        self.assertEqual(text, make_answer("tank", 20))
        self.assertTrue(ended)

    async def test_stream_stays_at_a_silent_engine_while_the_others_are_silent(self):
        """Guards against an answer that is given up, and begun anew at an engine that
        is as silent, while its own engine only pauses.
        """
        engines, awake = self.fleet.engines, asyncio.Event()
        self.set_faults(slow=10.0)
        asking = asyncio.create_task(self.stream(tokens=20))
        await wait_until(lambda: any(r.tokens for e in engines for r in e.runs))

        async def pause(*arguments):
            await awake.wait()

        with contextlib.ExitStack() as pauses:
            for engine in engines:
                pauses.enter_context(mock.patch.object(engine, "_sleep", pause))
                pauses.enter_context(
                    mock.patch.object(engine._server, "handler", pause)
                )
            await asyncio.sleep(LONG_PAUSE_S)
        awake.set()
        text, _, ended = read_events(await asking)
        self.assertEqual(text, make_answer("tank", 20))
        self.assertTrue(ended)
        self.assertEqual(sum(len(engine.runs) for engine in engines), 1)

    async def test_broken_stream_has_no_end_marker(self):
        self.set_faults(break_after=1)
        answer = await self.stream(tokens=20)
        text, _, ended = read_events(answer)
        self.assertTrue(make_answer("tank", 20).startswith(text))
        self.assertFalse(ended)

    async def test_resume_by_event_id_counts_characters(self):
        """A caller resumes by event id after text that isn't ASCII.

        Guards against offsets in bytes, which would resume at a wrong character.
        """
        pieces = [
            AnswerPart("ták é🦞 "),
            AnswerPart("dobrý"),
            AnswerPart("", 0, "stop", Usage(5, 2)),
        ]
        with self.replace_pieces(pieces[:1], pieces[1:]):
            text, ids, _ = read_events(await self.stream(KEY))
        self.assertEqual(text, "ták é🦞 dobrý")
        tag = ids[0].partition("-")[0]
        again = await self.stream(KEY, ("last-event-id", f"{tag}-5"))
        self.assertEqual(read_events(again)[0], "🦞 dobrý")

    async def test_resume_does_not_mix_two_answers(self):
        """Two routers have generated different answers to the same request.

        The caller has received the beginning of one and resumes at the router with
        the other.  Guards against resuming by offset alone, which would join parts
        of two answers.
        """
        with self.replace_pieces([AnswerPart("all tanks are well")]):
            await self.stream(KEY, router=1)
        received = {"anvilshift": {"received": "two tanks"}}
        answer = await self.stream(KEY, extra=received, router=1)
        self.assertEqual(read_events(answer)[0], make_answer("tank", 8)[12:])

    async def test_resume_with_unknown_event_id_is_refused(self):
        await self.stream(KEY)
        for forged in ("4", "00000000-4", "-4", "00000000-999999"):
            answer = await self.stream(KEY, ("last-event-id", forged))
            self.assertEqual(read_code(answer), (1009, "not run"), forged)
        for wrong in ("x", "-", "٣", "1" * 40):
            raw = ("last-event-id", wrong.encode().decode("latin-1"))
            self.assertEqual(read_code(await self.stream(KEY, raw))[0], 1009)

    async def test_resumes_that_differ_replace_one_another(self):
        """A client resumes three times at once, each time with a different text.

        Each run replaces the one before and begins only when all earlier ones have
        ended.  Otherwise, an earlier run that ends late would release the
        reservation and the queue position of the last.
        """
        self.set_faults(slow=10.0)
        runs = self.fleet.nodes[0].callers.runs
        received = ("", "one ", "two ", "three ")
        asking = []
        for text in received:
            extra = {"anvilshift": {"received": text}}
            asking.append(asyncio.create_task(self.stream(KEY, extra=extra)))
            await wait_until(
                lambda: runs.in_flight + len(runs._finished) >= len(asking)
            )
        answers = await asyncio.gather(*asking)
        text, _, ended = read_events(answers[-1])
        self.assertEqual(text, make_answer("tank", 8)[6:])
        self.assertTrue(ended)
        self.assertEqual(self.fleet.nodes[0].callers.in_flight, 0)
        self.assertEqual(self.fleet.nodes[0].dispatch.waiting, 0)

    async def test_received_and_offset_must_agree(self):
        extra = {"anvilshift": {"received": "abc"}}
        answer = await self.stream(KEY, ("last-event-id", "7"), extra=extra)
        self.assertEqual(read_code(answer)[0], 1009)

    async def test_organisations_with_the_same_key_are_kept_apart(self):
        """Another organisation sends the same key, body and event id.

        It must get and pay for an answer of its own, and must not read, join or
        stop the run of the first organisation.
        """
        self.set_faults(slow=10.0)
        first = asyncio.create_task(self.stream(KEY, tokens=30))
        await wait_until(lambda: self.fleet.nodes[0].callers.runs.in_flight)
        run = next(iter(self.fleet.nodes[0].callers.runs._runs.values()))
        forged = ("last-event-id", f"{run.tag}-6")
        refused = await self.stream(KEY, forged, tokens=30, token="rival")
        self.assertEqual(read_code(refused)[0], 1009)
        rival = asyncio.create_task(self.stream(KEY, tokens=30, token="rival"))
        await wait_until(lambda: self.fleet.nodes[0].callers.runs.in_flight == 2)
        rival.cancel()
        await asyncio.gather(rival, return_exceptions=True)
        text, _, ended = read_events(await first)
        self.assertEqual(text, make_answer("tank", 30))
        self.assertTrue(ended)

    async def test_run_without_a_key_stops_when_its_caller_disconnects(self):
        self.set_faults(slow=20.0)
        task = asyncio.create_task(self.stream(tokens=500))
        engines = self.fleet.engines
        await wait_until(lambda: any(r.tokens for e in engines for r in e.runs))
        task.cancel()
        await wait_until(lambda: not any(e._live for e in engines))
        self.assertLess(sum(r.tokens for e in engines for r in e.runs), 100)
        self.assertEqual(self.fleet.nodes[0].callers.in_flight, 0)
        self.assertEqual(self.fleet.spent, 0)

    async def test_run_with_a_key_stops_after_the_resume_grace(self):
        self.set_faults(slow=20.0)
        with mock.patch.object(runs, "RESUME_GRACE", 300.0):
            for _ in range(2):
                task = asyncio.create_task(self.stream(KEY, tokens=100))
                await wait_until(lambda: self.fleet.nodes[0].callers.calls)
                task.cancel()
                await wait_until(lambda: not self.fleet.nodes[0].callers.calls)
            self.assertEqual(self.fleet.nodes[0].callers.runs.in_flight, 1)
            await wait_until(lambda: not self.fleet.nodes[0].callers.in_flight)
        started = sum(len(e.runs) for e in self.fleet.engines)
        self.assertEqual(started, 1)

    async def test_router_that_stood_still_goes_on_where_it_was(self):
        """A pause of the router itself must not make it abandon a healthy engine."""
        for n in range(12):
            await self.fleet.chat(f"teach {n}", tokens=2)
        write = Responder.write

        async def write_and_block(responder, data):
            patched.stop()
            await write(responder, data)
            # The engine has sent the first token; this router hasn't read it yet.
            time.sleep(1.5)  # noqa: ASYNC251

        patched = mock.patch.object(Responder, "write", write_and_block)
        patched.start()
        text, _, ended = read_events(await self.stream(tokens=4))
        self.assertEqual((text, ended), (make_answer("tank", 4), True))
        events = self.fleet.nodes[0].world.telemetry.events
        self.assertNotIn("attempt_abandoned", events)

    async def test_late_answer_of_another_attempt_is_discarded_and_counted(self):
        """An answer to another attempt must not reach the caller, from any engine."""
        with self.send_another_first(1):
            answers = [await self.stream(tokens=4) for _ in range(4)]
        for answer in answers:
            self.assertEqual(read_events(answer)[0], make_answer("tank", 4))
        events = self.fleet.nodes[0].world.telemetry.events
        self.assertEqual(events.count("late_answer"), 1)

    async def test_engines_that_answer_wrongly_are_not_taken_for_crashed(self):
        """Work must not be refused as crashing because engines mix up their answers."""
        with self.send_another_first(2):
            answers = [await self.stream(tokens=4) for _ in range(2)]
        for answer in answers:
            self.assertEqual(read_events(answer)[0], make_answer("tank", 4))
        events = self.fleet.nodes[0].world.telemetry.events
        self.assertEqual(events.count("late_answer"), 2)

    @contextlib.contextmanager
    def send_another_first(self, count):
        """Let the first attempts, at any engine, get the answer of another attempt."""
        left = [None] * count

        def patch(engine):
            generate = engine._generate

            async def answer(body, run, responder):
                if left:
                    left.pop()
                    await self.send_another_attempt(body, run, responder)
                else:
                    await generate(body, run, responder)

            return mock.patch.object(engine, "_generate", answer)

        with contextlib.ExitStack() as stack:
            for engine in self.fleet.engines:
                stack.enter_context(patch(engine))
            yield

    async def send_another_attempt(self, body, run, responder):
        await responder.start(200, [("x-request-id", "another")])
        await responder.write(b'data: {"choices":[{"delta":{"content":"no"}}]}\n\n')
        await responder.finish()

    async def test_absurd_usage_is_billed_within_the_bounds(self):
        """An engine reports a negative or far too large number of tokens."""
        bound = len("tank") + len("user") + 64 + 8
        for usage, billed in (
            (Usage(-500, 2), 2),
            (Usage(10, -9), 10),
            (Usage(10**9, 10**9), bound + 8),
        ):
            before = self.fleet.spent
            with self.replace_pieces([AnswerPart("ok", 1, "stop", usage)]):
                self.assertEqual((await self.fleet.chat("tank")).status, 200)
            self.assertEqual(self.fleet.spent - before, billed)

    async def test_answer_is_cut_off_at_the_reserved_tokens(self):
        pieces = [AnswerPart(f"{n} ") for n in range(50)]
        with self.replace_pieces(pieces):
            text, _, ended = read_events(await self.stream(tokens=3))
        self.assertEqual((text, ended), ("0 1 2 ", True))

    async def test_refusal_after_a_sent_attempt_has_fate_unknown(self):
        """The first attempt fails after it was sent; no engine is left for a second.

        Guards against a refusal that says *not run* although the first attempt may
        have run.
        """
        for engine in self.fleet.engines:
            engine.faults.fail = True
        answer = await self.fleet.chat("tank")
        self.assertEqual(read_code(answer)[1], "unknown")

    async def test_complete_answer_with_failed_bill_has_fate_ran(self):
        failing = AnvilshiftError(BUDGET_UNREACHABLE)
        budgets = self.fleet.nodes[0].budgets
        with mock.patch.object(budgets, "settle", side_effect=failing):
            answer = await self.fleet.chat("tank")
        self.assertEqual(read_code(answer), (4005, "ran"))

    async def test_finished_answers_are_kept_up_to_a_limit(self):
        with mock.patch.object(registry, "_MAX_FINISHED_CHARS", 200):
            for number in range(10):
                await self.fleet.chat(f"tank {number}", tokens=10)
            kept = self.fleet.nodes[0].callers.runs._runs.values()
            self.assertLessEqual(sum(len(run.text) for run in kept), 200)
        self.assertGreater(len(kept), 0)

    async def test_client_continues_after_its_router_is_lost(self):
        self.set_faults(slow=5.0)
        client = self.fleet.client()
        client.look_up = self.look_up
        conversation = Conversation("m", json.loads(make_chat("tank"))["messages"], 30)
        text = ""
        async for piece in client.stream(conversation):
            text += piece
            if len(text) == 30:
                busy = [n for n in (0, 1) if self.fleet.nodes[n].callers.calls]
                await self.fleet.cut(busy[0])
        client.close()
        self.assertEqual(text, make_answer("tank", 30))

    async def look_up(self):
        return self.fleet.addresses
