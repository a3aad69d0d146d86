"""Detection of leaving targets from sources that may be late or wrong."""

import asyncio
import random
import unittest

from anvilshift.core.clock import SECOND, ManualClock
from anvilshift.core.declarations import Catalogue, Engine, EngineGroup, TargetKind
from anvilshift.core.work import LoadReport
from anvilshift.objects.store import HostEntry
from anvilshift.router.leavingtargets import LeavingTargets
from anvilshift.standins.virtual import run_virtual


class DepartingTest(unittest.TestCase):
    def setUp(self):
        self.clock = ManualClock()
        self.told = []
        self.leaving_targets = LeavingTargets(
            lambda target, is_leaving: self.told.append((target, is_leaving)),
            self.clock,
        )
        engines = tuple(Engine(name, "127.0.0.1:1", "north") for name in ("e1", "e2"))
        group = EngineGroup("models", TargetKind.MODEL, engines)
        self.leaving_targets.configure(Catalogue(groups={"models": group}))

    def report(self, target, leaving=False):
        self.leaving_targets.apply_load_report(
            LoadReport(target, 0, 0, self.clock.now(), leaving=leaving)
        )

    def declare(self, *names):
        engines = tuple(Engine(name, "127.0.0.1:1", "north") for name in names)
        group = EngineGroup("models", TargetKind.MODEL, engines)
        self.leaving_targets.configure(Catalogue(groups={"models": group}))

    def test_engine_that_is_no_longer_declared_is_not_taken_for_leaving(self):
        """An engine that is no longer declared must not be reported as leaving.

        It isn't polled any more, so no report would ever clear its mark.
        """
        self.report("e1", leaving=True)
        for _ in range(2):
            self.leaving_targets.count_refusal("e2")
        self.assertEqual(self.leaving_targets.leaving, {"e1", "e2"})
        self.declare("e2")
        self.assertEqual(self.leaving_targets.leaving, {"e2"})
        self.assertEqual(self.leaving_targets.told, frozenset())
        self.declare()
        self.assertEqual(self.leaving_targets.leaving, frozenset())

    def test_poll_that_ends_after_its_engine_is_undeclared_says_nothing(self):
        """A poll that ends after the declaration was removed must change nothing.

        Otherwise an engine that is no longer polled would be leaving for ever.
        """
        self.leaving_targets.count_refusal("e1")
        self.declare("e2")
        self.leaving_targets.count_refusal("e1")
        self.report("e1", leaving=True)
        self.assertEqual(self.leaving_targets.leaving, frozenset())

    def list_hosts(self, *entries):
        self.leaving_targets.apply_host_list(entries)

    def test_engine_that_answers_on_off_the_list_is_used_again(self):
        """An engine that answers must be used again though its host isn't listed.

        Otherwise each entry that the list loses would take one engine out of use.
        """
        self.list_hosts(HostEntry("e1", True))
        self.list_hosts()
        self.clock.advance(9 * SECOND)
        self.report("e1")
        self.list_hosts()
        self.assertEqual(self.leaving_targets.leaving, {"e1"})
        self.clock.advance(2 * SECOND)
        self.report("e1")
        self.list_hosts()
        self.assertEqual(self.leaving_targets.leaving, frozenset())
        self.assertEqual(self.told, [("e1", True), ("e1", False)])

    def test_engine_that_vanished_and_is_silent_stays_away(self):
        self.list_hosts(HostEntry("e1", True))
        self.list_hosts()
        self.clock.advance(60 * SECOND)
        self.report("e2")
        self.list_hosts()
        self.assertEqual(self.leaving_targets.leaving, {"e1"})

    def test_engine_on_the_list_as_leaving_stays_away_though_it_answers(self):
        self.list_hosts(HostEntry("e1", True))
        self.clock.advance(60 * SECOND)
        self.report("e1")
        self.list_hosts(HostEntry("e1", True))
        self.assertEqual(self.leaving_targets.leaving, {"e1"})

    async def _follow(self, seed):
        await self.leaving_targets.follow(self, set, random.Random(seed))

    async def hosts(self):
        self.read.append(asyncio.get_running_loop().time())
        return ()

    def test_routers_that_start_together_read_the_list_at_other_instants(self):
        """Routers must read the list of hosts at different instants.

        Otherwise all of them would miss an entry that exists only briefly.
        """
        self.read = []

        async def follow_together():
            tasks = [asyncio.ensure_future(self._follow(seed)) for seed in range(4)]
            await asyncio.sleep(0.5)
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        run_virtual(follow_together())
        firsts = sorted(self.read)[:4]
        self.assertGreater(max(firsts) - min(firsts), 0.1)
        self.assertEqual(len({round(at, 3) for at in firsts}), 4)


if __name__ == "__main__":
    unittest.main()
