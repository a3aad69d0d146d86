import asyncio
import unittest

from anvilshift.core.allocators import list_allocators, list_candidates
from anvilshift.core.clock import SECOND
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.tokensearch import ANSWER_TIMEOUT
from tests.gateway.fleet import POUNDS, run_scenario

HOSTS = ("a", "b", "c", "d", "e", "f")
ALLOCATORS = list_allocators(POUNDS, HOSTS)
OTHERS = tuple(host for host in HOSTS if host not in ALLOCATORS)
RUN_S = 0.02
"""How long a request runs."""
SLOW_CALL_S = 0.03
DISCOVERY_S = 0.05
"""Time after a start until a router hears of the others."""
FIRST_ANSWER = 0.6 * SECOND
"""Time after the start at which the allocators have begun, at the latest."""


async def run_request(fleet, node: str, key: str, tokens: int) -> bool:
    """Reserve tokens, use a tenth of them in a while, and return whether it could."""
    reservations, until = fleet.reservations[node], fleet.clock.now() + 5_000.0
    try:
        await reservations.reserve(POUNDS, key, tokens, until)
    except AnvilshiftError:
        return False
    await asyncio.sleep(RUN_S)
    reservations.settle(POUNDS, key, tokens // 10)
    return True


async def start_all(fleet, total: int, seconds: float = 3.0) -> None:
    for node in HOSTS:
        fleet.start(node, total)
    await asyncio.sleep(seconds)


class ReservingTest(unittest.TestCase):
    def test_large_prompts_are_served_while_no_router_reaches_the_store(self):
        """No router reaches the store, and prompts that cost 2 % of an organisation's
        total arrive at routers that aren't allocators of its tokens.

        If the tokens were spread over all routers, none would have enough for one.
        """

        async def scenario(fleet):
            await start_all(fleet, 100_000)
            fleet.store.faults.cut = set(HOSTS)
            served = [await fleet.spend(OTHERS[n % 3], str(n), 2_000) for n in range(4)]
            self.assertEqual(served, [True] * 4)
            self.assertLessEqual(fleet.count_spent(), 100_000)

        run_scenario(scenario)

    def test_in_a_burst_at_all_routers_only_allocators_draw(self):
        """Sixty requests arrive at six routers at once.

        If each router drew for itself, their writes to the shared object would
        conflict, and callers would wait.
        """

        async def scenario(fleet):
            await start_all(fleet, 100_000)
            keys = [(HOSTS[n % 6], str(n)) for n in range(60)]
            served = await asyncio.gather(*(fleet.spend(*key, 1_000) for key in keys))
            self.assertEqual(served, [True] * 60)
            self.assertEqual(
                set(fleet.read().shares),
                {f"{k}.{HOSTS.index(k) + 1}" for k in ALLOCATORS},
            )

        run_scenario(scenario)

    def test_the_other_allocators_tokens_are_available_after_a_kill(self):
        """The allocator of most of a total is killed and doesn't return.

        Requests at other routers must get the tokens of the second allocator and the
        free ones even before the kill is noticed.
        """

        async def scenario(fleet):
            await start_all(fleet, 100_000)
            fleet.kill(ALLOCATORS[0])
            served = [await fleet.spend(OTHERS[0], str(n), 500) for n in range(20)]
            self.assertEqual(served, [True] * 20)

        run_scenario(scenario)

    def test_a_router_draws_for_itself_after_both_allocators_are_killed(self):
        async def scenario(fleet):
            await start_all(fleet, 100_000)
            for allocator in ALLOCATORS:
                fleet.kill(allocator)
            self.assertTrue(await fleet.spend(OTHERS[0], "x", 500))

        run_scenario(scenario)

    def test_a_router_draws_for_itself_while_no_allocator_answers(self):
        """Guards against refusals for want of an answer while tokens are free."""

        async def scenario(fleet):
            await start_all(fleet, 100_000)
            fleet.silent = set(ALLOCATORS)
            served = [await fleet.spend(OTHERS[n % 3], str(n), 500) for n in range(6)]
            self.assertEqual(served, [True] * 6)
            self.assertLessEqual(fleet.count_spent(), 100_000)

        run_scenario(scenario)

    def test_only_deputies_draw_while_no_allocator_of_a_large_fleet_answers(self):
        """Guards against a fleet whose routers all write the shared object at once."""

        async def delay_call(caller: str, operation: str) -> None:
            await asyncio.sleep(SLOW_CALL_S)

        async def scenario(fleet):
            hosts = [f"r{n}" for n in range(30)]
            for node in hosts:
                fleet.start(node, 1_000_000)
            await asyncio.sleep(3.0)
            fleet.store.faults.before = delay_call
            allocators = list_allocators(POUNDS, hosts)
            fleet.silent = set(allocators)
            spending = []
            for n in range(120):
                node = hosts[n % len(hosts)]
                if node not in allocators:
                    spending.append(asyncio.create_task(fleet.spend(node, str(n), 500)))
                await asyncio.sleep(0.01)
            self.assertEqual(set(await asyncio.gather(*spending)), {True})
            holders = {holder.split(".")[0] for holder in fleet.read().shares}
            self.assertLessEqual(holders, set(list_candidates(POUNDS, hosts)))

        run_scenario(scenario)

    def test_requests_that_arrive_together_are_served_by_allocators(self):
        """Guards against a request that asks in vain as another took what came for it.

        Both reckon with the same tokens left over from an earlier request.  One that
        asks again waits as for a lost datagram, and gets the answer of before.
        """

        async def scenario(fleet):
            await start_all(fleet, 100_000)
            await run_request(fleet, OTHERS[0], "before", 200)
            together = [run_request(fleet, OTHERS[0], key, 200) for key in ("a", "b")]
            before = fleet.clock.now()
            self.assertEqual(await asyncio.gather(*together), [True, True])
            took = fleet.clock.now() - before - RUN_S * SECOND
            self.assertLess(took, ANSWER_TIMEOUT / 2)
            self.assertEqual(len(fleet.read().shares), len(ALLOCATORS))

        run_scenario(scenario)

    def test_request_before_the_fleet_is_known_asks_its_allocators(self):
        """Guards against a first request that asks nobody, since its router knew only
        itself, and draws for itself when the start is over.
        """

        async def scenario(fleet):
            for node in (*ALLOCATORS, OTHERS[0]):
                fleet.start(node, 100_000)
            allotter = fleet.allotters[OTHERS[0]]
            allocators = fleet.reservations[OTHERS[0]].allocators
            routers = allocators.routers
            allocators.set_routers({OTHERS[0]})
            allotter.has_no_peers = True
            request = asyncio.create_task(fleet.spend(OTHERS[0], "first", 500))
            await asyncio.sleep(DISCOVERY_S)
            allocators.set_routers(routers)
            allotter.has_no_peers, allotter.last_discovery = False, fleet.clock.now()
            self.assertTrue(await request)
            self.assertLess(fleet.clock.now(), FIRST_ANSWER)

        run_scenario(scenario)

    def test_duplicate_datagrams_transfer_no_tokens_twice(self):
        """Every datagram between routers is delivered twice.

        A gift counted twice would be tokens that nobody paid for.  An ask answered
        twice would leave unused tokens at the asking router.
        """

        async def scenario(fleet):
            fleet.copies = 2
            await start_all(fleet, 10_000)
            served = 0
            for n in range(60):
                served += await fleet.spend(HOSTS[n % 6], str(n), 250)
            self.assertLessEqual(fleet.count_spent(), 10_000)
            self.assertGreaterEqual(served, 38)

        run_scenario(scenario)

    def test_unused_tokens_of_a_request_return_to_an_allocator(self):
        async def scenario(fleet):
            await start_all(fleet, 10_000)
            router = fleet.reservations[OTHERS[0]]
            await router.reserve(POUNDS, "x", 90, fleet.clock.now() + 1_000.0)
            router.settle(POUNDS, "x", 10)
            self.assertEqual(router.balances.by_name[POUNDS].ready, 80)
            await asyncio.sleep(1.5)
            self.assertEqual(router.balances.by_name[POUNDS].ready, 0)
            self.assertEqual(fleet.count_spent(), 10)

        run_scenario(scenario)

    def test_refusal_without_an_answer_does_not_refuse_other_requests(self):
        """Guards against refusing a burst because one request ran out of time.

        No ask reaches the allocators for a moment, and no router reaches the store.
        """

        async def scenario(fleet):
            await start_all(fleet, 100_000)
            fleet.store.faults.cut = set(HOSTS)
            fleet.silent = set(ALLOCATORS)
            reservations = fleet.reservations[OTHERS[0]]
            with self.assertRaises(AnvilshiftError):
                until = fleet.clock.now() + 300.0
                await reservations.reserve(POUNDS, "first", 1_000, until)
            fleet.silent = set()
            self.assertTrue(await fleet.spend(OTHERS[0], "second", 1_000))

        run_scenario(scenario)

    def test_callers_of_a_dry_organisation_are_told_to_return_ever_later(self):
        """Guards against callers who come back every four seconds in vain.

        A router was killed with most of the total, which isn't known to be spent.
        """

        async def refuse(fleet, key: str) -> float:
            until = fleet.clock.now() + 5_000.0
            with self.assertRaises(AnvilshiftError) as caught:
                await fleet.reservations[OTHERS[0]].reserve(POUNDS, key, 40_000, until)
            return caught.exception.retry_after

        async def scenario(fleet):
            await start_all(fleet, 100_000)
            until = fleet.clock.now() + 5_000.0
            await fleet.reservations[ALLOCATORS[0]].reserve(POUNDS, "x", 70_000, until)
            fleet.kill(ALLOCATORS[0])
            await asyncio.sleep(3.0)
            delays = []
            for n in range(4):
                delays.append(await refuse(fleet, f"late/{n}"))
                await asyncio.sleep(4.0)
            self.assertEqual(delays[0], 4_000.0)
            self.assertGreater(delays[3], 9_000.0)
            for node in fleet.allotters:
                fleet.allotters[node].configure(2, {POUNDS: 200_000})
                fleet.reservations[node].forget_refusals()
            await asyncio.sleep(1.0)
            self.assertTrue(await fleet.spend(OTHERS[0], "after a top-up", 40_000))

        run_scenario(scenario)

    def test_an_exhausted_total_causes_an_immediate_refusal(self):
        """A total is spent, and a request arrives at a router that isn't an allocator.

        No tokens can become available, so a wait would only delay the refusal.
        """

        async def scenario(fleet):
            await start_all(fleet, 3_000)
            while await fleet.spend(ALLOCATORS[0], "x", 100):
                pass
            before = fleet.clock.now()
            self.assertFalse(await fleet.spend(OTHERS[0], "y", 3_000))
            self.assertLess(fleet.clock.now() - before, 600.0)
            refused = dict(fleet.journals[OTHERS[0]].lines)["budget_refused"]
            self.assertTrue(refused["certain"])

        run_scenario(scenario)

    def test_a_refusal_names_settled_reserved_lent_and_locked_tokens(self):
        """Guards against a refusal whose log lumps together what stands in its way."""

        async def scenario(fleet):
            await start_all(fleet, 10_000)
            allocator = fleet.reservations[ALLOCATORS[0]]
            until = fleet.clock.now() + 5_000.0
            self.assertTrue(await fleet.spend(ALLOCATORS[0], "ended", 100))
            await allocator.reserve(POUNDS, "running", 300, until)
            await fleet.reservations[OTHERS[0]].reserve(POUNDS, "lent", 200, until)
            self.assertFalse(await fleet.spend(ALLOCATORS[0], "large", 9_900))
            refused = dict(fleet.journals[ALLOCATORS[0]].lines)["budget_refused"]
            named = {
                key: refused[key] for key in ("settled", "reserved", "lent", "doubt")
            }
            self.assertEqual(
                named, {"settled": 100, "reserved": 300, "lent": 200, "doubt": 0}
            )
            self.assertEqual(refused["locked"], refused["ready"] - refused["available"])
            self.assertEqual(refused["spent"], 600)

        run_scenario(scenario)

    def test_a_prompt_waits_for_a_record_and_is_not_refused(self):
        """Each prompt costs more than a router may spend without a further record.

        The store is reachable, so a record takes milliseconds, and the request has to
        wait for it rather than be refused.
        """

        async def scenario(fleet):
            await start_all(fleet, 100_000, seconds=25.0)
            before = fleet.clock.now()
            served = [await fleet.spend(OTHERS[0], str(n), 9_000) for n in range(4)]
            self.assertEqual(served, [True] * 4)
            self.assertLess(fleet.clock.now() - before, 4 * 250.0)

        run_scenario(scenario, recording=True)
