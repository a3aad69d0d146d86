"""Tries are granted by one router, whatever happens to messages and routers."""

import asyncio
import unittest

from anvilshift.core.permits import choose_issuer
from anvilshift.core.tries import RENEWAL_INTERVAL, TAKEOVER_DELAY, TRY_TIMEOUT, Try
from anvilshift.gateway.partmessages import TryAnswer, TryAsk, TryEnded
from anvilshift.gateway.partwatch import find_issuer_key
from anvilshift.gateway.tries import Tries
from anvilshift.standins.virtual import VirtualClock, run_virtual
from tests.gateway.partrouter import SCOPE, PartRouter

FIRST = Try("r2.x/1", SCOPE, frozenset({"bad"}), "e1")
SECOND = Try("r3.x/1", SCOPE, frozenset({"bad"}), "e2")


class TriesTest(unittest.TestCase):
    def run_scenario(self, scenario, **router):
        async def run():
            self.clock = VirtualClock()
            self.router = PartRouter(self.clock, **router)
            self.router.watch.note_informed()
            self.tries = Tries(
                "10.0.0.1", self.router.watch, self.router.peers, self.clock
            )
            try:
                await scenario()
            finally:
                self.tries.close()

        run_virtual(run())

    def ask(self, wanted, is_running=False):
        """Return whether another router's ask is granted."""
        self.router.sent.clear()
        ask = TryAsk(
            wanted.run,
            "10.0.0.2",
            wanted.scope,
            tuple(wanted.suspects),
            wanted.target,
            is_running,
        )
        self.tries.handle_ask(ask)
        return [m.granted for m, _ in self.router.sent if isinstance(m, TryAnswer)]

    def test_second_try_of_a_part_waits_for_the_end_of_the_first(self):
        async def scenario():
            self.assertEqual(self.ask(FIRST), [True])
            self.assertEqual(self.ask(SECOND), [False])
            self.assertFalse(await self.tries.ask(SECOND))
            self.tries.handle_end(TryEnded(FIRST.run, SCOPE, ("bad",), ""))
            self.assertEqual(self.ask(SECOND), [True])

        self.run_scenario(scenario)

    def test_end_that_a_try_caused_is_known_before_the_next_try(self):
        """Guards against a try too many because the crash's own message was lost."""

        async def scenario():
            for number in range(4):
                wanted = Try(f"r2.x/{number}", SCOPE, frozenset({"bad"}), "e1")
                self.assertEqual(self.ask(wanted), [True])
                start = f"e{number}/1"
                self.tries.handle_end(TryEnded(wanted.run, SCOPE, ("bad",), start))
                await asyncio.sleep(0.2)
            watch = self.router.watch
            now = self.clock.now()
            self.assertTrue(watch.blame.is_refused(SCOPE, ["bad"], now))

        self.run_scenario(scenario)

    def test_place_of_a_router_that_is_gone_is_free_again(self):
        async def scenario():
            self.assertEqual(self.ask(FIRST), [True])
            self.tries.end_router("r2.x")
            self.assertEqual(self.ask(SECOND), [True])
            await asyncio.sleep((TRY_TIMEOUT + 10) / 1_000)
            self.assertEqual(self.ask(FIRST), [True])

        self.run_scenario(scenario)

    def test_new_granting_router_learns_of_tries_that_run(self):
        """Guards against a second try while the first runs, as the router that granted
        it was lost.
        """

        async def scenario():
            self.tries.update_routers(frozenset({"r1", "r2"}))
            self.assertEqual(self.ask(SECOND), [False])
            self.ask(FIRST, is_running=True)
            await asyncio.sleep((TAKEOVER_DELAY + 10) / 1_000)
            self.assertEqual(self.ask(SECOND), [False])

        self.run_scenario(scenario)

    def test_routers_that_come_and_go_hold_up_no_tries(self):
        """Guards against a large fleet in which some router always starts or is lost,
        so that no try is ever granted.
        """

        async def scenario():
            key = find_issuer_key(SCOPE)
            others = {f"x{n}" for n in range(60)}
            later = {
                name for name in others if choose_issuer(key, {"r1", name}) == "r1"
            }
            routers = {"r1"}
            self.tries.update_routers(frozenset(routers))
            await asyncio.sleep((TAKEOVER_DELAY + 10) / 1_000)
            for number, name in enumerate(later):
                routers.add(name)
                self.tries.update_routers(frozenset(routers))
                wanted = Try(f"r2.x/{number}", SCOPE, frozenset({"bad"}), "e1")
                self.assertEqual(self.ask(wanted), [True])
                self.tries.handle_end(TryEnded(wanted.run, SCOPE, ("bad",), ""))
                await asyncio.sleep(0.05)

        self.run_scenario(scenario)

    def test_router_that_does_not_know_the_parts_yet_grants_nothing(self):
        async def scenario():
            self.router.watch.is_informed = False
            self.assertEqual(self.ask(FIRST), [False])

        self.run_scenario(scenario)

    def test_try_without_an_answer_is_not_granted(self):
        """Guards against a try that nobody granted, as all messages were lost."""

        async def scenario():
            began = self.clock.now()
            self.assertFalse(await self.tries.ask(FIRST))
            self.assertLess(self.clock.now() - began, 100.0)

        self.run_scenario(scenario, issuer="r2")

    def test_running_try_is_renewed_until_it_ends(self):
        async def scenario():
            asking = asyncio.create_task(self.tries.ask(FIRST))
            await asyncio.sleep(0.01)
            self.tries.handle_answer(TryAnswer(FIRST.run, granted=True))
            self.assertTrue(await asking)
            self.router.sent.clear()
            self.tries.start(FIRST)
            await asyncio.sleep((3 * RENEWAL_INTERVAL + 10) / 1_000)
            self.tries.end(FIRST, "e1/1")
            await asyncio.sleep(1)
            kinds = [type(message) for message, _ in self.router.sent]
            self.assertEqual(kinds, [TryAsk] * 4 + [TryEnded])
            self.assertEqual(self.router.sent[-1][0].crashed, "e1/1")

        self.run_scenario(scenario, issuer="r2")
