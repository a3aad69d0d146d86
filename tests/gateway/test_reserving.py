import asyncio
import unittest

from anvilshift.core.keepers import list_keepers
from tests.gateway.fleet import POUNDS, play

HOSTS = ("a", "b", "c", "d", "e", "f")
KEEPERS = list_keepers(POUNDS, HOSTS)
OTHERS = tuple(host for host in HOSTS if host not in KEEPERS)


async def start_all(fleet, total: int, seconds: float = 3.0) -> None:
    for node in HOSTS:
        fleet.start(node, total)
    await asyncio.sleep(seconds)


class ReservingTest(unittest.TestCase):
    def test_large_prompts_at_one_router_are_served_in_a_cut_of_all(self):
        """All routers lose the store, and one organisation's prompts of 2 % of its
        total come to routers that keep none of its tokens.

        Were the tokens spread over all routers, none of them would have as many.
        """

        async def course(fleet):
            await start_all(fleet, 100_000)
            fleet.store.faults.cut = set(HOSTS)
            served = [await fleet.spend(OTHERS[n % 3], str(n), 2_000) for n in range(4)]
            self.assertEqual(served, [True] * 4)
            self.assertLessEqual(fleet.count_spent(), 100_000)

        play(course)

    def test_a_burst_at_every_router_draws_only_at_the_keepers(self):
        """Sixty requests come at once to six routers.

        If each router drew for itself, they would meet one another's writes of the
        one object, and callers would wait for that.
        """

        async def course(fleet):
            await start_all(fleet, 100_000)
            keys = [(HOSTS[n % 6], str(n)) for n in range(60)]
            served = await asyncio.gather(*(fleet.spend(*key, 1_000) for key in keys))
            self.assertEqual(served, [True] * 60)
            self.assertEqual(
                set(fleet.read().shares), {f"{k}.{HOSTS.index(k) + 1}" for k in KEEPERS}
            )

        play(course)

    def test_a_killed_keeper_leaves_the_other_ones_half_in_reach(self):
        """The router that keeps most of a total is killed, and stays away.

        Callers of the others must find what the second keeper holds and what lies
        free, before the loss is even noticed.
        """

        async def course(fleet):
            await start_all(fleet, 100_000)
            fleet.kill(KEEPERS[0])
            served = [await fleet.spend(OTHERS[0], str(n), 500) for n in range(20)]
            self.assertEqual(served, [True] * 20)

        play(course)

    def test_with_both_keepers_gone_a_router_draws_for_itself(self):
        async def course(fleet):
            await start_all(fleet, 100_000)
            for keeper in KEEPERS:
                fleet.kill(keeper)
            self.assertTrue(await fleet.spend(OTHERS[0], "x", 500))

        play(course)

    def test_datagrams_that_come_twice_give_nothing_twice(self):
        """Every datagram between routers is delivered twice.

        A gift that counted twice would be tokens that nobody paid for; an ask
        answered twice would leave tokens lying at the asker.
        """

        async def course(fleet):
            fleet.copies = 2
            await start_all(fleet, 10_000)
            served = 0
            for n in range(60):
                served += await fleet.spend(HOSTS[n % 6], str(n), 250)
            self.assertLessEqual(fleet.count_spent(), 10_000)
            self.assertGreaterEqual(served, 38)

        play(course)

    def test_what_a_request_left_over_goes_back_to_a_keeper(self):
        async def course(fleet):
            await start_all(fleet, 10_000)
            router = fleet.reservations[OTHERS[0]]
            await router.reserve(POUNDS, "x", 90, fleet.clock.now() + 1_000.0)
            router.settle(POUNDS, "x", 10)
            self.assertEqual(router.wallet.purses[POUNDS].ready, 80)
            await asyncio.sleep(1.5)
            self.assertEqual(router.wallet.purses[POUNDS].ready, 0)
            self.assertEqual(fleet.count_spent(), 10)

        play(course)

    def test_an_exhausted_total_is_told_at_once_to_whoever_asks(self):
        """A total is spent, and a caller comes to a router that keeps none of it.

        Waiting for tokens that can't come would only keep the caller from knowing.
        """

        async def course(fleet):
            await start_all(fleet, 3_000)
            while await fleet.spend(KEEPERS[0], "x", 100):
                pass
            before = fleet.clock.now()
            self.assertFalse(await fleet.spend(OTHERS[0], "y", 3_000))
            self.assertLess(fleet.clock.now() - before, 600.0)
            refused = dict(fleet.journals[OTHERS[0]].lines)["budget_refused"]
            self.assertTrue(refused["certain"])

        play(course)

    def test_a_prompt_waits_for_its_record_rather_than_be_refused(self):
        """Prompts larger than what may be spent unrecorded come one after another.

        The store is there, so a record is a matter of milliseconds; the caller must
        not be sent away for it.
        """

        async def course(fleet):
            await start_all(fleet, 100_000, seconds=25.0)
            before = fleet.clock.now()
            served = [await fleet.spend(OTHERS[0], str(n), 9_000) for n in range(4)]
            self.assertEqual(served, [True] * 4)
            self.assertLess(fleet.clock.now() - before, 4 * 250.0)

        play(course, recording=True)
