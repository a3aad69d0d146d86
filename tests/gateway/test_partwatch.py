"""What a router holds against parts, by what it sees and by what it is told."""

import asyncio
import unittest

from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.targetload import Prompt
from anvilshift.gateway.partmessages import PartRecorded, PartsAnswered, PartsTold
from anvilshift.standins.virtual import VirtualClock, run_virtual
from tests.gateway.partrouter import SCOPE, PartRouter


class PartWatchTest(unittest.TestCase):
    def run_scenario(self, scenario, **router):
        async def run():
            self.clock = VirtualClock()
            self.router = PartRouter(self.clock, **router)
            self.watch = self.router.watch
            await scenario()

        run_virtual(run())

    async def fail(self, name, *shared, is_try=False, **entry):
        info = self.router.declare(name, **entry)
        self.router.ended.add(name)
        routed = self.router.route(*shared)
        return await self.watch.record_failure(routed, info, is_try)

    async def prove(self, part="bad"):
        for number in range(4):
            await self.fail(f"e{number}", part, is_try=number > 0)
            await asyncio.sleep(0.2)

    def is_suspect(self, *shared):
        return bool(self.watch.list_suspects(self.router.route(*shared)))

    def list_sent(self, kind):
        return [m for m, _ in self.router.sent if isinstance(m, kind)]

    def test_part_of_a_request_on_an_engine_that_ended_is_suspect_and_told(self):
        async def scenario():
            self.assertEqual(await self.fail("e1", "a", "b"), "e1/1")
            self.assertTrue(self.is_suspect("b"))
            told = {message.part for message in self.list_sent(PartRecorded)}
            self.assertEqual(told, {"a", "b"})

        self.run_scenario(scenario)

    def test_crash_is_told_to_routers_that_were_not_heard_of_lately(self):
        """Guards against a crash that nobody is told, as its router stood still."""

        async def scenario():
            self.router.peers.list_present = list
            await self.fail("e1", "a")
            self.assertEqual(len(self.list_sent(PartRecorded)), 1)

        self.run_scenario(scenario)

    def test_broken_answer_of_an_engine_that_is_there_holds_nothing_against_parts(self):
        """Guards against parts blamed for connections that are reset."""

        async def scenario():
            info = self.router.declare("e1")
            routed = self.router.route("a")
            self.assertEqual(await self.watch.record_failure(routed, info, False), "")
            self.assertFalse(self.is_suspect("a"))

        self.run_scenario(scenario)

    def test_engine_that_leaves_as_planned_ends_on_nothing(self):
        async def scenario():
            self.assertEqual(await self.fail("e1", "a", leaving=True), "")
            self.assertFalse(self.is_suspect("a"))

        self.run_scenario(scenario)

    def test_crash_is_recorded_although_the_caller_leaves_meanwhile(self):
        """Guards against a crash that counts for nothing as its caller hung up."""

        async def scenario():
            task = asyncio.create_task(self.fail("e1", "a"))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.sleep(0.01)
            self.assertTrue(self.is_suspect("a"))

        self.run_scenario(scenario)

    def test_proven_part_is_refused_and_its_engines_are_forgiven(self):
        async def scenario():
            await self.prove()
            with self.assertRaises(AnvilshiftError) as caught:
                self.watch.check(self.router.route("x", "bad"))
            self.assertEqual(caught.exception.code.number, 3003)
            self.assertIsNone(caught.exception.retry_after)
            self.watch.check(self.router.route("x"))
            self.assertEqual(sorted(self.router.forgiven), ["e0", "e1", "e2", "e3"])

        self.run_scenario(scenario)

    def test_part_is_refused_for_the_model_alone_that_ended_on_it(self):
        """Guards against a part refused to models that read it without harm."""

        async def scenario():
            await self.prove()
            self.watch.check(self.router.route("bad", model="other"))

        self.run_scenario(scenario)

    def test_answer_clears_a_part_here_and_at_the_others(self):
        async def scenario():
            await self.fail("e1", "a")
            self.watch.record_answer(self.router.route("a"))
            self.assertFalse(self.is_suspect("a"))
            self.assertEqual(
                self.list_sent(PartsAnswered), [PartsAnswered(SCOPE, ("a",))]
            )

        self.run_scenario(scenario)

    def test_end_is_taken_back_once_the_same_start_begins_an_answer(self):
        """Guards against parts refused for the ends that a cut router believed in."""

        async def scenario():
            await self.fail("e1", "a")
            await self.begin_answer("e1")
            self.assertFalse(self.is_suspect("a"))

        self.run_scenario(scenario)

    def test_end_stands_where_an_answer_from_before_it_is_heard_of_late(self):
        """Guards against one engine more that ends as a busy router forgets an end."""

        async def scenario():
            loads = self.router.loads
            self.router.declare("e1")
            loads.send("e1", "run", Prompt(), 0, self.clock.now(), 100)
            await self.fail("e1", "a")
            await asyncio.sleep(0.5)
            loads.begin("e1", "run", self.clock.now())
            self.watch.run_checks(self.clock.now())
            self.assertTrue(self.is_suspect("a"))

        self.run_scenario(scenario)

    def test_end_stands_that_is_heard_of_late_together_with_an_older_answer(self):
        """Guards against an end that a router forgets which stood still meanwhile."""

        async def scenario():
            loads = self.router.loads
            self.router.declare("e1")
            await asyncio.sleep(1.0)
            loads.send("e1", "run", Prompt(), 0, self.clock.now(), 100)
            loads.begin("e1", "run", self.clock.now())
            crashes = (("e1/1", 800.0, False),)
            self.watch.apply_record(PartRecorded(SCOPE, "a", crashes, ()))
            self.watch.run_checks(self.clock.now())
            self.assertTrue(self.is_suspect("a"))

        self.run_scenario(scenario)

    def test_end_stands_where_the_engine_may_have_started_anew_under_its_name(self):
        """Guards against a bad part that each new start of its engine clears."""

        async def scenario():
            await self.fail("e1", "a", born=0)
            await self.begin_answer("e1")
            self.assertTrue(self.is_suspect("a"))

        self.run_scenario(scenario)

    async def begin_answer(self, name):
        await asyncio.sleep(0.5)
        loads, now = self.router.loads, self.clock.now()
        loads.send(name, "run", Prompt(), 0, now, 100)
        loads.begin(name, "run", now)
        self.watch.run_checks(now)

    def test_router_that_starts_waits_half_a_second_at_the_most(self):
        async def scenario():
            self.assertFalse(self.watch.is_informed)
            await asyncio.sleep(0.6)
            self.watch.run_checks(self.clock.now())
            self.assertTrue(self.watch.is_informed)

        self.run_scenario(scenario)

    def test_router_that_knows_nothing_yet_tells_a_new_one_nothing(self):
        """Guards against routers that start together and inform each other."""

        async def scenario():
            self.watch.tell_new_router("10.0.0.3")
            self.assertEqual(self.list_sent(PartsTold), [])
            self.watch.note_informed()
            await self.prove()
            self.router.sent.clear()
            self.watch.tell_new_router("10.0.0.3")
            kinds = [type(message) for message, _ in self.router.sent]
            self.assertEqual(kinds, [PartRecorded, PartsTold])

        self.run_scenario(scenario)

    def test_what_is_held_against_a_part_is_told_again_for_a_minute(self):
        """Guards against a part that a router doesn't know since a message was lost."""

        async def scenario():
            await self.prove()
            self.router.sent.clear()
            for _ in range(700):
                await asyncio.sleep(0.1)
                self.watch.run_checks(self.clock.now())
            self.assertIn(len(self.list_sent(PartRecorded)), range(55, 62))

        self.run_scenario(scenario)

    def test_record_of_another_router_is_merged(self):
        async def scenario():
            crashes = tuple((f"e{n}/1", 1_000.0 * n, n > 1) for n in range(4))
            self.watch.apply_record(PartRecorded(SCOPE, "bad", crashes, ("bad",)))
            with self.assertRaises(AnvilshiftError):
                self.watch.check(self.router.route("bad"))
            self.watch.apply_answer(PartsAnswered(SCOPE, ("bad",)))
            self.watch.check(self.router.route("bad"))

        self.run_scenario(scenario)
