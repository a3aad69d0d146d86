import asyncio
import unittest

from anvilshift.core.allocators import list_allocators
from anvilshift.core.errors import (
    BUDGET_EXHAUSTED,
    BUDGET_UNREACHABLE,
    AnvilshiftError,
)
from anvilshift.gateway.messages import Settled
from tests.gateway.fleet import POUNDS, run_scenario

HOSTS = ("a", "b", "c", "d", "e", "f")
ALLOCATORS = list_allocators(POUNDS, HOSTS)
OTHERS = tuple(host for host in HOSTS if host not in ALLOCATORS)
TOTAL = 10_000


async def start_all(fleet, total: int = TOTAL) -> None:
    for node in HOSTS:
        fleet.start(node, total)
    await asyncio.sleep(3.0)


async def refuse(fleet, node: str, key: str, tokens: int) -> AnvilshiftError | None:
    """Return why tokens are refused; None if they are reserved."""
    until = fleet.clock.now() + 1_000.0
    try:
        await fleet.reservations[node].reserve(POUNDS, key, tokens, until)
    except AnvilshiftError as error:
        return error
    return None


class ExhaustionTest(unittest.TestCase):
    def test_reserved_and_lent_tokens_are_no_reason_for_a_final_refusal(self):
        """Guards against 402 for tokens that running requests give back.

        At an allocator and at another router, and for the requests that meet a
        remembered refusal.
        """

        async def scenario(fleet):
            await start_all(fleet)
            self.assertIsNone(await refuse(fleet, ALLOCATORS[0], "x", 4_000))
            self.assertIsNone(await refuse(fleet, OTHERS[0], "y", 4_000))
            await asyncio.sleep(1.5)
            for node in (*ALLOCATORS, *OTHERS):
                for key in ("first", "second"):
                    error = await refuse(fleet, node, f"{node}/{key}", 6_000)
                    self.assertIs(error.code, BUDGET_UNREACHABLE)
            fleet.reservations[ALLOCATORS[0]].settle(POUNDS, "x", 100)
            fleet.reservations[OTHERS[0]].settle(POUNDS, "y", 100)
            await asyncio.sleep(1.5)
            self.assertIsNone(await refuse(fleet, OTHERS[1], "later", 5_000))

        run_scenario(scenario)

    def test_tokens_settled_at_other_routers_exhaust_a_total_everywhere(self):
        """Guards against callers of a spent total who are told to return for ever."""

        async def scenario(fleet):
            await start_all(fleet)
            for n in range(50):
                await fleet.spend(OTHERS[n % len(OTHERS)], str(n), 200)
            await asyncio.sleep(1.5)
            for n in range(3):
                await refuse(fleet, OTHERS[n], f"early/{n}", 2_000)
                await asyncio.sleep(2.0)
            for node in (*ALLOCATORS, *OTHERS):
                error = await refuse(fleet, node, node, 2_000)
                self.assertIs(error.code, BUDGET_EXHAUSTED)

        run_scenario(scenario)

    def test_tokens_reserved_as_all_routers_are_killed_may_be_unspent(self):
        """Guards against 402 for tokens of requests that a loss of all broke off."""

        async def scenario(fleet):
            await start_all(fleet)
            self.assertIsNone(await refuse(fleet, ALLOCATORS[0], "x", 4_000))
            await asyncio.sleep(2.0)
            for node in HOSTS:
                fleet.kill(node)
            await start_all(fleet)
            for node in (*ALLOCATORS, *OTHERS):
                error = await refuse(fleet, node, node, 9_000)
                self.assertIs(error.code, BUDGET_UNREACHABLE)

        run_scenario(scenario, recording=True)

    def test_callers_return_when_running_requests_should_end(self):
        """Guards against a fixed retry delay where the wait can be told."""

        async def scenario(fleet):
            await start_all(fleet)
            node = ALLOCATORS[0]
            for n in range(3):
                self.assertIsNone(await refuse(fleet, node, f"short/{n}", 10))
                await asyncio.sleep(1.5)
                fleet.reservations[node].settle(POUNDS, f"short/{n}", 1)
            self.assertIsNone(await refuse(fleet, node, "long", 9_000))
            error = await refuse(fleet, node, "refused", 5_000)
            self.assertIs(error.code, BUDGET_UNREACHABLE)
            self.assertGreater(error.retry_after, 500.0)
            self.assertLess(error.retry_after, 1_500.0)

        run_scenario(scenario)


class ReportTest(unittest.TestCase):
    def test_a_report_counts_once_and_only_at_its_receiver(self):
        """Guards against tokens that two incarnations count as settled."""

        async def scenario(fleet):
            await start_all(fleet)
            node = ALLOCATORS[0]
            balance = fleet.allotters[node].balances.by_name[POUNDS]
            holder = fleet.allotters[node].holder
            for receiver, expected in (("a.99", 0), (holder, 70), (holder, 70)):
                report = Settled("z.1", receiver, ((POUNDS, 70),))
                fleet.reservations[node].settlements.apply(report)
                self.assertEqual(balance.delivered, expected)

        run_scenario(scenario)

    def test_lost_reports_are_made_up_for_and_repeated_ones_count_once(self):
        async def scenario(fleet):
            fleet.copies = 2
            await start_all(fleet)
            await fleet.spend(OTHERS[0], "x", 500)
            send, fleet.tells = fleet._send, 0

            def lose_first(node, answer):
                fleet.tells += isinstance(answer, Settled)
                if not isinstance(answer, Settled) or fleet.tells > 1:
                    send(node, answer)

            fleet._send = lose_first
            await asyncio.sleep(4.0)
            known = [
                fleet.allotters[node].balances.by_name[POUNDS].delivered
                for node in HOSTS
            ]
            self.assertEqual(sorted(known)[-2:], [0, 500])
            self.assertGreater(fleet.tells, 1)

        run_scenario(scenario)


if __name__ == "__main__":
    unittest.main()
