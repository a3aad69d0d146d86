"""Routers that try a store which answers nobody in turn, in virtual time."""

import asyncio
import unittest

from anvilshift.standins.virtual import run_virtual
from tests.gateway.test_sharedwatches import IN_FORCE_S, IN_TOUCH_AFTER_S, Fleet

OUTAGE_S = 8.0
CALLS_LEFT = 1 / 3
"""Part of the calls in vain that routers may make in turn."""
FLEETS = (12, 28)


def cut(fleet: Fleet) -> None:
    """Cut all routers off from the store and from each other."""
    fail(fleet, is_silent=True)
    silence_routers(fleet)
    fleet.dark |= set(fleet.nodes)


def fail(fleet: Fleet, is_silent: bool) -> None:
    """Let the store answer nobody, by refusals or by silence."""
    if not is_silent:
        fleet.store.refused |= set(fleet.nodes)
        return
    for network in fleet.store_links.values():
        network.silence()
        network.is_down = True


def mend(fleet: Fleet, but: frozenset[str] = frozenset()) -> None:
    """Let the store answer all routers but some."""
    fleet.store.refused &= but
    for ip, network in fleet.store_links.items():
        network.is_down = network.is_down and ip in but


def count_tries(fleet: Fleet) -> int:
    """Return the calls that arrived at the store or found no connection to it."""
    down = [one.opened for one in fleet.store_links.values() if one.is_down]
    return fleet.store.callers.total() + sum(map(len, down))


def list_next(fleet: Fleet) -> list[str]:
    """Return the routers in the order in which their turns come."""

    def find_due(ip: str) -> float:
        node = fleet.nodes[ip]
        turns, tries = node.shared_watches.turns, node.shared_watches._tries
        plan = turns.find_turns(tries, turns.list_others())
        return plan.find_due(tries.tried, tries.failed, tries.count, False)

    return sorted(fleet.nodes, key=find_due)


def silence_routers(fleet: Fleet, ip: str | None = None) -> None:
    """Silence all connections among routers, or those of one router."""
    server = fleet.nodes[ip].shared_watches._server if ip else None
    for source, links in fleet.links.items():
        for network in links.made:
            if ip in (None, source) or network._server is server:
                network.silence()


def lose_router(fleet: Fleet, ip: str, way: str) -> None:
    """Take a router away: its process is killed, or it is cut off from all."""
    number = list(fleet.nodes).index(ip)
    fleet.dark.add(ip)
    silence_routers(fleet, ip)
    if way == "killed":
        for task in fleet._tasks[2 * number : 2 * number + 2]:
            task.cancel()


class StoreTurnTest(unittest.TestCase):
    def play(self, scenario, **options):
        """Run a scenario with a fleet in virtual time."""

        async def run():
            fleet = Fleet(**options)
            await fleet.start()
            try:
                return await scenario(fleet)
            finally:
                await fleet.stop()

        return run_virtual(run())

    def count_in_outage(self, is_silent: bool, **options) -> int:
        async def scenario(fleet):
            fail(fleet, is_silent)
            before = count_tries(fleet)
            await asyncio.sleep(OUTAGE_S)
            return count_tries(fleet) - before

        return self.play(scenario, **options)

    def check_calls(self, is_silent: bool) -> None:
        for routers in FLEETS:
            with self.subTest(routers=routers):
                alone = self.count_in_outage(is_silent, routers=routers, sparing=False)
                turns = self.count_in_outage(is_silent, routers=routers)
                self.assertLessEqual(turns, alone * CALLS_LEFT)

    def test_store_that_refuses_is_called_a_third_as_often(self):
        """Guards against a fleet that pays for each router's calls in vain."""
        self.check_calls(is_silent=False)

    def test_store_that_is_silent_is_called_a_third_as_often(self):
        """Guards against a fleet that pays for each router's calls in vain."""
        self.check_calls(is_silent=True)

    def test_routers_that_are_cut_off_call_a_third_as_often(self):
        """Guards against calls in vain of a router that nothing reaches."""

        async def scenario(fleet):
            cut(fleet)
            before = count_tries(fleet)
            await asyncio.sleep(OUTAGE_S)
            return count_tries(fleet) - before

        for routers in FLEETS:
            with self.subTest(routers=routers):
                alone = self.play(scenario, routers=routers, sparing=False)
                turns = self.play(scenario, routers=routers)
                self.assertLessEqual(turns, alone * CALLS_LEFT)

    def test_change_is_in_force_in_time_as_all_are_connected_again(self):
        """Guards against routers that wait for their turns though they hear others."""

        async def scenario(fleet, outage):
            cut(fleet)
            await asyncio.sleep(outage)
            mend(fleet)
            fleet.dark.clear()
            fleet.put(2)
            return await fleet.measure(2)

        for routers in FLEETS:
            for outage in (2.0, 5.0, 8.0, 9.3):
                with self.subTest(routers=routers, outage=outage):
                    took = self.play(
                        lambda fleet, s=outage: scenario(fleet, s), routers=routers
                    )
                    self.assertLess(took, IN_FORCE_S)

    def test_router_that_hears_another_again_tries_at_once(self):
        """Guards against a router that waits for its turn though its link is back."""

        async def scenario(fleet):
            cut(fleet)
            await asyncio.sleep(6.5)
            watches = [node.shared_watches for node in fleet.nodes.values()]
            before = {one.turns.has_cause(one._tries) for one in watches[:3]}
            fleet.dark.clear()
            fleet.meet()
            return before, {one.turns.has_cause(one._tries) for one in watches[:3]}

        self.assertEqual(self.play(scenario), ({False}, {True}))

    def test_small_fleet_tries_as_before(self):
        alone = self.count_in_outage(False, routers=8, sparing=False)
        self.assertEqual(self.count_in_outage(False, routers=8), alone)

    def measure_end(self, lose, is_silent=False, routers=12, outage=OUTAGE_S) -> float:
        """Return the seconds until a change at an outage's end is in force."""

        async def scenario(fleet):
            fail(fleet, is_silent)
            await asyncio.sleep(outage)
            away, lost = lose(fleet)
            mend(fleet, frozenset(away))
            fleet.put(2)
            return await fleet.measure(2, set(lost))

        return self.play(scenario, routers=routers)

    def check_ends(self, lose, bound_s: float = IN_FORCE_S) -> None:
        for routers in FLEETS:
            for is_silent in (False, True):
                took = [
                    self.measure_end(lose, is_silent, routers, OUTAGE_S + tenths / 10)
                    for tenths in range(0, 30, 12)
                ]
                with self.subTest(routers=routers, silent=is_silent):
                    self.assertLess(max(took), bound_s)

    def test_change_at_the_outages_end_is_in_force_in_time(self):
        """Guards against routers that wait for each other as the store is back."""
        self.check_ends(lambda fleet: ((), ()))

    def test_change_is_in_force_in_time_as_who_would_try_is_lost(self):
        """Guards against a domain that waits for the router whose turn it is."""
        for way in ("killed", "cut off"):

            def lose(fleet, way=way):
                lost = list_next(fleet)[:2]
                for ip in lost:
                    lose_router(fleet, ip, way)
                return (lost if way == "cut off" else ()), lost

            self.check_ends(lose)

    def test_change_is_in_force_in_time_as_routers_fall_silent_too(self):
        """Guards against routers that wait for a silent one to tell them."""

        def lose(fleet):
            silence_routers(fleet)
            return (), ()

        self.check_ends(lose, IN_TOUCH_AFTER_S)

    def test_change_is_in_force_in_time_as_the_store_turns_some_away(self):
        """Guards against routers left behind that are served."""

        def lose(fleet):
            return list_next(fleet)[: len(fleet.nodes) // 2], ()

        self.check_ends(lose)

    def test_router_that_alone_is_answered_finds_that_by_itself(self):
        """Guards against a router in touch that waits for others to try."""

        def lose(fleet):
            others = list_next(fleet)[:-1]
            return others, others

        self.check_ends(lose)

    def test_router_that_starts_in_the_outage_is_served_at_its_end(self):
        """Guards against a router that begins, and waits for turns that none takes."""

        async def scenario(fleet):
            starter = "10.0.0.3"
            node = fleet.nodes[starter]
            fail(fleet, is_silent=False)
            await asyncio.sleep(2.0)
            follower = node.configuration_follower
            follower.revision = 0
            follower.restart()
            await asyncio.sleep(OUTAGE_S)
            mend(fleet)
            fleet.put(2)
            return await fleet.measure(2)

        self.assertLess(self.play(scenario), IN_FORCE_S)


if __name__ == "__main__":
    unittest.main()
