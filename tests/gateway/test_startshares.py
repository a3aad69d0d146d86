"""Forty routers whose service has a single target, which starts or comes back."""

import asyncio
import unittest

from anvilshift.core.ejection import HealthState
from anvilshift.core.failures import Failure
from anvilshift.core.health.slowstart import Outcome
from anvilshift.gateway.startmessages import StartShareAnswer
from tests.gateway.startfleet import SLOTS, StartFleet
from tests.gateway.virtualtime import run

MOST = 1.25 * SLOTS
NAMES = [f"r{n}" for n in range(40)]


class SingleTargetTest(unittest.TestCase):
    def play(self, arrivals, **fleet) -> StartFleet:
        played = StartFleet(**fleet)
        run(played.loop, played.play(arrivals))
        self.assertEqual(len(played.served) + len(played.refused), len(arrivals))
        return played

    def test_forty_routers_do_not_flood_a_single_target(self):
        """Guards against a herd at the only target of a service."""
        for seed in range(3):
            fleet = self.play([(0.0, name) for name in NAMES * 2], seed=seed)
            self.assertLessEqual(fleet.most, MOST)
            self.assertGreater(len(fleet.served), 40)

    def test_bound_holds_though_messages_are_lost(self):
        """Guards against shares that are lent twice."""
        for seed in range(3):
            fleet = self.play(
                [(n * 5.0, NAMES[n % 40]) for n in range(200)], lost=0.1, seed=seed
            )
            self.assertLessEqual(fleet.most, MOST)

    def test_rare_requests_are_served_by_any_router(self):
        """Guards against refusals although the target is idle."""
        fleet = self.play([(n * 200.0, name) for n, name in enumerate(NAMES)])
        self.assertEqual(fleet.refused, [])
        # A share is one message there and back away.
        self.assertLess(max(fleet.served), 200.0)

    def test_nothing_waits_for_a_target_that_never_becomes_fast(self):
        """Guards against requests that are kept until it is too late for them."""
        fleet = self.play([(n * 2.0, NAMES[n % 40]) for n in range(400)], took=5_000.0)
        self.assertLessEqual(fleet.most, 4)
        self.assertLessEqual(max(fleet.refused), 645.0)

    def test_router_that_is_cut_off_sends_one_at_a_time(self):
        """Guards against callers who are refused by a router that nobody answers."""
        fleet = StartFleet()
        fleet.cut = {"r7"}
        run(fleet.loop, fleet.play([(n * 10.0, "r7") for n in range(8)]))
        self.assertGreaterEqual(len(fleet.served), 2)
        self.assertLessEqual(fleet.most, 1)

    def test_share_that_comes_too_late_is_given_back(self):
        """Guards against a share that stays lent to a request that has left."""
        fleet = StartFleet()

        async def leave() -> int:
            await fleet.start_target()
            ranks = fleet.routers["r0"].starts._find_lenders("new").addresses
            lender = fleet.routers[ranks[0]]
            asker = next(n for n in NAMES if n not in ranks and n != lender.name)
            task = asyncio.ensure_future(fleet.routers[asker].ask_for_share())
            await asyncio.sleep(0.001)
            task.cancel()
            answer = StartShareAnswer(f"{asker}/1", "new", lender.name, granted=True)
            fleet.routers[asker].receive(answer)
            await asyncio.sleep(0.1)
            lenders = [fleet.routers[name].starts for name in NAMES]
            return sum(one.shares.count_used("new", ()) for one in lenders)

        self.assertEqual(run(fleet.loop, leave()), 0)


class ReturnTest(unittest.TestCase):
    def play(self, scenario) -> StartFleet:
        fleet = StartFleet()

        async def play() -> None:
            await fleet.start_target()
            await asyncio.sleep(5.0)
            for router in fleet.routers.values():
                router.read("old")
                router.read("late")
            await scenario(fleet)

        run(fleet.loop, play())
        return fleet

    def count_paced(self, fleet: StartFleet) -> int:
        return sum("old" in one.starts._paces for one in fleet.routers.values())

    def test_first_end_of_an_ejection_begins_the_pace_at_all_routers(self):
        """Guards against routers that flood what others have just taken back."""

        async def scenario(fleet: StartFleet) -> None:
            routers = fleet.routers.values()
            targets = [router.loads.targets["old"] for router in routers]
            for router, target in zip(routers, targets, strict=True):
                router.health._eject(target)
            starts = fleet.routers["r0"].starts
            starts.record_return(targets[0])
            await asyncio.sleep(0.05)
            self.assertEqual(self.count_paced(fleet), 40)
            # Those with a share try it, the others once it has answered.
            self.assertEqual(self.count_ejected(targets[1:]), 39 - 4)
            starts.record("old", "r0/1", Outcome.IN_TIME, fleet.loop.now(), False)
            await asyncio.sleep(0.05)
            self.assertEqual(self.count_ejected(targets[1:]), 0)

        self.play(scenario)

    def count_ejected(self, targets) -> int:
        return sum(one.health.state is HealthState.EJECTED for one in targets)

    def test_target_that_others_use_is_not_paced(self):
        """Guards against one router's broken path that takes a target from all."""

        async def scenario(fleet: StartFleet) -> None:
            for name in NAMES[1:]:
                fleet.routers[name].starts.record_answer("old")
            starts = fleet.routers["r0"].starts
            sent = fleet.sent
            starts.record_return(fleet.routers["r0"].loads.targets["old"])
            await asyncio.sleep(0.1)
            self.assertEqual(self.count_paced(fleet), 0)
            # Four routers say so to all, not all of them.
            self.assertLessEqual(fleet.sent - sent, 39 + 4 * 39)

        self.play(scenario)

    def test_open_target_with_others_needs_no_share(self):
        """Guards against requests that wait for a target which takes any of them."""

        async def scenario(fleet: StartFleet) -> None:
            starts = fleet.routers["r0"].starts
            info = starts.loads.targets["late"].info
            for _ in range(11):
                starts.record("late", "r0/1", Outcome.IN_TIME, fleet.loop.now(), False)
            self.assertFalse(starts.is_shared(info))
            for name in ("old", "new"):
                starts.loads.remove(name, fleet.loop.now())
            self.assertTrue(starts.is_shared(info))
            await asyncio.sleep(3.1)
            self.assertFalse(starts.is_shared(info))

        self.play(scenario)

    def test_failed_attempts_close_a_target_for_all_routers(self):
        """Guards against a returning target that is ejected before it is spared."""

        async def scenario(fleet: StartFleet) -> None:
            router = fleet.routers["r0"]
            target = router.loads.targets["late"]
            router.health.record_failure(target, Failure.BROKE_OFF, "content", True)
            self.assertEqual(router.starts._paces["late"].window, 2.0)
            # Another one in the same moment tells nothing new.
            router.health.record_failure(target, Failure.BROKE_OFF, "other", True)
            self.assertEqual(router.starts._paces["late"].window, 2.0)

        self.play(scenario)


if __name__ == "__main__":
    unittest.main()
