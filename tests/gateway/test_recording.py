import asyncio
import random
import unittest

from anvilshift.core.allocators import list_allocators
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.retention import RETENTION_MARGIN
from anvilshift.core.usage import RELEASE_TIME
from tests.gateway.fleet import POUNDS, run_scenario

TOTAL = 1_000_000
SMALL = 700_000
"""Four hosts spend more than half of this before the history proves any bound."""
HOSTS = ("a", "b", "c", "d")
ALLOCATOR = list_allocators(POUNDS, HOSTS)[0]
"""The host that holds most of the total."""


async def use_evenly(fleet, seconds: float, tokens: int = 400) -> int:
    """Spend at every host ten times a second; return the number of refusals."""
    refused = 0
    for n in range(int(seconds * 10)):
        keys = [f"{node}/{fleet.clock.now()}/{n}" for node in fleet.allotters]
        spending = [fleet.spend(key[0], key, tokens) for key in keys]
        refused += (await asyncio.gather(*spending)).count(False)
        await asyncio.sleep(0.1)
    return refused


def start_all(fleet, total: int = TOTAL) -> None:
    for node in HOSTS:
        fleet.start(node, total)


async def restart_all(fleet, seconds: float) -> int:
    """Kill all hosts, restart them with the store reachable; return what was spent."""
    for node in HOSTS:
        fleet.kill(node)
    spent = fleet.spent
    await asyncio.sleep(seconds)
    fleet.store.faults.outage = False
    start_all(fleet, SMALL)
    await asyncio.sleep(1.0)
    return spent


class RecordingTest(unittest.TestCase):
    def test_a_power_failure_of_all_hosts_makes_few_tokens_unavailable(self):
        """All hosts lose power for a second while the store is reachable.

        The tokens that they held ready for an outage of the store would count as
        spent.  The organisation would be refused although it has tokens left.
        """
        doubt_by_recording = {}
        for recording in (False, True):

            async def scenario(fleet, recording=recording):
                start_all(fleet)
                await use_evenly(fleet, 25.0)
                for node in HOSTS:
                    fleet.kill(node)
                await asyncio.sleep(1.0)
                start_all(fleet)
                await asyncio.sleep(1.0)
                doubt_by_recording[recording] = fleet.read().doubt
                self.assertLessEqual(fleet.count_spent(), TOTAL)

            run_scenario(scenario, recording)
        self.assertLess(doubt_by_recording[True], doubt_by_recording[False] / 2)

    def test_a_restart_counts_little_more_time_than_has_passed(self):
        """All hosts lose power for a second, each between writes of the others.

        What a router may spend grows with the square of the time since its record.
        If another router's write made that time longer, a part of each total would
        be unavailable although nobody spent it.
        """

        async def scenario(fleet):
            start_all(fleet)
            await use_evenly(fleet, 25.0)
            await restart_all(fleet, 1.0)
            # The period of records, the time without power, the margin of the history,
            # and the spacing of marks and of bounds.
            most = 400.0 + 1_000.0 + RETENTION_MARGIN + 80.0 + 0.08 * 1_630.0
            for allocator in list_allocators(POUNDS, HOSTS):
                settled = dict(fleet.journals[allocator].lines)["use_settled"]
                self.assertLess(settled["elapsed"], most)

        run_scenario(scenario, recording=True)

    def test_requests_after_a_power_failure_wait_for_the_last_host(self):
        """All hosts lose power and restart 0.3 s apart.

        Each ends its own former share when it starts.  The first one found few free
        tokens and refused requests that the last host's tokens covered a moment later.
        """

        async def scenario(fleet):
            start_all(fleet, SMALL)
            await use_evenly(fleet, 25.0)
            for node in HOSTS:
                fleet.kill(node)
            await asyncio.sleep(1.0)
            spending = []
            for node in (*(node for node in HOSTS if node != ALLOCATOR), ALLOCATOR):
                fleet.start(node, SMALL)
                await asyncio.sleep(0.1)
                spending += [fleet.spend(node, f"{node}-{n}", 15_000) for n in range(2)]
                spending[-2:] = [asyncio.create_task(work) for work in spending[-2:]]
                await asyncio.sleep(0.2)
            self.assertEqual(await asyncio.gather(*spending), [True] * 8)

        run_scenario(scenario, recording=True)

    def test_a_fleet_can_prove_its_use_just_after_a_power_failure(self):
        """All hosts lose power, and again ten seconds later.

        They had no marks in the store's history from before the first power failure.
        So they held few tokens without a write, each request cost a write, and all
        that they held at the second failure counted as spent.
        """

        async def scenario(fleet):
            start_all(fleet, SMALL)
            await use_evenly(fleet, 25.0)
            await restart_all(fleet, 1.0)
            for _ in range(9):
                self.assertTrue(fleet.recorders[ALLOCATOR].can_prove_age())
                await asyncio.sleep(1.0)
            spent = await restart_all(fleet, 1.0)
            settled = dict(fleet.journals[ALLOCATOR].lines)["use_settled"]
            self.assertLess(settled["elapsed"], 4_000.0)
            self.assertGreaterEqual(fleet.read().closed, spent)

        run_scenario(scenario, recording=True)

    def test_requests_are_served_while_no_router_reaches_the_store(self):
        """No router reaches the store for 8 s, and all continue to serve requests."""

        async def scenario(fleet):
            start_all(fleet)
            await use_evenly(fleet, 25.0)
            fleet.store.faults.cut = set(HOSTS)
            self.assertEqual(await use_evenly(fleet, 8.0), 0)

        run_scenario(scenario, recording=True)

    async def empty_first_allocator(self, fleet) -> int:
        """Begin an outage; return tokens that the second allocator may spend soon."""
        start_all(fleet, SMALL)
        await use_evenly(fleet, 20.0)
        fleet.store.faults.cut = set(HOSTS)
        await asyncio.sleep(2.0)
        first, second = (
            fleet.allotters[node].balances.by_name[POUNDS]
            for node in list_allocators(POUNDS, HOSTS)
        )
        first.ceiling = first.spent
        now = fleet.clock.now()
        tokens = second.available(now) + 500
        self.assertGreater(second.find_wait(tokens, now), 60.0)
        self.assertLess(second.find_wait(tokens, now), 1_000.0)
        return tokens

    def test_an_empty_allocator_serves_from_the_other_one_in_an_outage(self):
        """Guards against refusing at one allocator what the other may spend soon.

        The first allocator has spent its share some seconds into an outage; the second
        has tokens, of which its record allows more and more.
        """

        async def scenario(fleet):
            tokens = await self.empty_first_allocator(fleet)
            self.assertTrue(await fleet.spend(ALLOCATOR, "x", tokens))
            self.assertLessEqual(fleet.count_spent(), SMALL)

        run_scenario(scenario, recording=True)

    def test_a_patient_request_waits_for_what_an_impatient_one_was_refused(self):
        """Guards against refusing a burst because one request had less time."""

        async def scenario(fleet):
            tokens = await self.empty_first_allocator(fleet)
            until = fleet.clock.now() + 50.0
            with self.assertRaises(AnvilshiftError):
                await fleet.reservations[ALLOCATOR].reserve(
                    POUNDS, "impatient", tokens, until
                )
            self.assertTrue(await fleet.spend(ALLOCATOR, "patient", tokens))

        run_scenario(scenario, recording=True)

    def test_tokens_spent_in_an_outage_are_counted(self):
        """All hosts lose power seconds after an outage of the store began.

        The records in the store are older than the outage.  If the restart were
        assumed to follow directly on them, tokens spent in the outage would be spent
        again.
        """

        async def scenario(fleet):
            start_all(fleet, SMALL)
            await use_evenly(fleet, 25.0)
            fleet.store.faults.outage = True
            await use_evenly(fleet, 5.0)
            spent = await restart_all(fleet, 0.7)
            settled = dict(fleet.journals[ALLOCATOR].lines)["use_settled"]
            self.assertGreater(settled["elapsed"], 5_000.0)
            self.assertGreaterEqual(fleet.read().closed, spent)

        run_scenario(scenario, recording=True)

    def test_what_was_spent_in_an_outage_is_recorded_at_once_behind_it(self):
        """Guards against counting all of an outage as spent after a kill behind it."""

        async def scenario(fleet):
            start_all(fleet, SMALL)
            await use_evenly(fleet, 25.0)
            fleet.store.faults.outage = True
            await use_evenly(fleet, 5.0)
            fleet.store.faults.outage = False
            while "use_recorded_again" not in fleet.journals[ALLOCATOR].list_events():
                await asyncio.sleep(0.01)
            await asyncio.sleep(0.05)
            spent = await restart_all(fleet, 0.7)
            settled = dict(fleet.journals[ALLOCATOR].lines)["use_settled"]
            self.assertLess(settled["elapsed"], 2_000.0)
            self.assertGreaterEqual(fleet.read().closed, spent)

        run_scenario(scenario, recording=True)

    def test_a_burst_in_an_outage_spends_no_more_than_a_restart_counts(self):
        """A burst arrives just after an outage began, then all hosts lose power.

        The restart proves a time of two seconds and counts what could be spent in
        that time.  A router that spends its whole cushion at once spends more.
        """

        async def scenario(fleet):
            start_all(fleet, SMALL)
            await use_evenly(fleet, 25.0)
            fleet.store.faults.outage = True
            await asyncio.sleep(0.5)
            # The requests wait until their tokens may be spent, some for seconds.
            burst = asyncio.create_task(use_evenly(fleet, 1.0, tokens=3_000))
            await asyncio.sleep(1.0)
            burst.cancel()
            spent = await restart_all(fleet, 0.3)
            settled = dict(fleet.journals[ALLOCATOR].lines)["use_settled"]
            self.assertLess(settled["elapsed"], RELEASE_TIME)
            self.assertGreaterEqual(fleet.read().closed, spent)

        run_scenario(scenario, recording=True)

    def test_the_hosts_that_kept_tokens_are_found_after_a_power_failure(self):
        """Guards against a fleet that finds itself only once its seeds have started."""

        async def scenario(fleet):
            start_all(fleet)
            await use_evenly(fleet, 5.0)
            keepers = set(list_allocators(POUNDS, HOSTS))
            for node in HOSTS:
                fleet.kill(node)
            fleet.start("a")
            found = await fleet.recorders["a"].list_hosts()
            self.assertEqual(found, keepers - {"a"})

        run_scenario(scenario, recording=True)

    def test_nothing_is_proved_after_the_history_is_lost(self):
        async def scenario(fleet):
            start_all(fleet)
            await use_evenly(fleet, 25.0)
            held = (
                fleet.read().shares[f"{ALLOCATOR}.{HOSTS.index(ALLOCATOR) + 1}"].ceiling
            )
            fleet.kill(ALLOCATOR)
            fleet.store.forget_history()
            fleet.start(ALLOCATOR, TOTAL)
            await asyncio.sleep(1.0)
            settled = dict(fleet.journals[ALLOCATOR].lines)["use_settled"]
            self.assertIsNone(settled["elapsed"])
            self.assertGreaterEqual(fleet.read().closed, held)

        run_scenario(scenario, recording=True)

    def test_a_host_of_the_same_name_at_another_address_proves_nothing(self):
        """A host is replaced by one of the same name while it still runs, isolated.

        It may continue to spend up to its ceiling, so all of that has to count.
        """

        async def scenario(fleet):
            start_all(fleet)
            await use_evenly(fleet, 25.0)
            held = (
                fleet.read().shares[f"{ALLOCATOR}.{HOSTS.index(ALLOCATOR) + 1}"].ceiling
            )
            fleet.kill(ALLOCATOR)
            fleet.start(ALLOCATOR, TOTAL, ip="elsewhere")
            await asyncio.sleep(1.0)
            self.assertNotIn("use_settled", fleet.journals[ALLOCATOR].list_events())
            self.assertGreaterEqual(fleet.read().closed, held)

        run_scenario(scenario, recording=True)

    def test_random_faults_cause_no_overspending(self):
        """Outages, lost answers, lost history, kills and power failures.

        They occur in random order and overlap while requests spend tokens.  If a
        part of the total is granted twice, more than the total is spent.
        """
        for seed in range(12):
            with self.subTest(seed=seed):
                rng = random.Random(seed)

                async def scenario(fleet, rng=rng):
                    start_all(fleet, SMALL)
                    await use_evenly(fleet, rng.uniform(18.0, 24.0))
                    for _ in range(8):
                        await self._inject_fault(fleet, rng)
                        await use_evenly(fleet, rng.uniform(0.1, 4.0), tokens=300)
                    fleet.store.faults.outage, fleet.store.faults.cut = False, set()
                    await use_evenly(fleet, 6.0, tokens=3_000)
                    self.assertLessEqual(fleet.count_spent(), SMALL)

                run_scenario(scenario, recording=True)

    async def _inject_fault(self, fleet, rng: random.Random) -> None:
        faults, event = fleet.store.faults, rng.randrange(9)
        if event < 3:
            faults.outage = not faults.outage
        elif event == 3:
            faults.cut = set(rng.sample(HOSTS, rng.randrange(5)))
        elif event == 4:
            faults.lose_answers = rng.randrange(4)
        elif event == 5:
            fleet.store.forget_history()
        else:
            killed = HOSTS if event > 6 else rng.sample(HOSTS, 1)
            for node in killed:
                fleet.kill(node)
            await asyncio.sleep(rng.uniform(0.1, 1.0))
            for node in killed:
                fleet.start(node, SMALL)
