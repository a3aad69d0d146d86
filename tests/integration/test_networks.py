"""A platform that is out or loses answers, and networks that fail one way."""

import asyncio
import signal
import time

from bench.fleet import wait_until
from tests.integration.fleetcase import OPTIONS, FleetCase


class PlatformOutageTest(FleetCase):
    async def test_answers_go_on_within_the_allowance_and_are_billed_once(self):
        """The platform is out for longer than every lease.

        Managers get their answers, an order is refused at once and truly not
        run, and afterwards each answer is billed once.
        """
        await asyncio.gather(*self.begin_streams(6, 10))
        await self.fleet.set_faults(self.fleet.platform, outage=True)
        end = time.monotonic() + 2 * OPTIONS["lease_ms"] / 1_000
        await asyncio.gather(*self.begin_streams(6, 10))
        await wait_until(lambda: time.monotonic() > end)
        await asyncio.gather(*self.begin_streams(6, 10))
        self.assertEqual(await self.order("refused", deadline=2_000.0), "not run")
        await self.fleet.set_faults(self.fleet.platform, outage=False)
        self.assertNotIn(await self.order("after"), ("not run", "unknown"))
        self.assertEqual(await self.count_orders(), {"after": 1})
        await self.check_spend("kosice", self.justified)

    async def test_callers_find_the_router_that_drew_tokens_before_the_outage(self):
        """Guards against refusals while another router may still spend."""
        await self.ask("tank 0", 10, self.client("kosice", "r1"))
        await self.fleet.set_faults(self.fleet.platform, outage=True)
        async with asyncio.timeout(6):
            await asyncio.gather(*self.begin_streams(12, 10))
        await self.fleet.set_faults(self.fleet.platform, outage=False)
        await self.check_spend("kosice", self.justified)

    async def test_lost_answers_double_neither_orders_nor_bills(self):
        """A third of the platform's answers are lost after the write took effect."""
        await self.fleet.set_faults(self.fleet.platform, lose_answers=0.33)
        streams = self.begin_streams(10, 20)
        keys = [f"order-{n}" for n in range(8)]
        calls = [self.order(key) for key in keys for _ in range(2)]
        answers = await asyncio.gather(*calls)
        await asyncio.gather(*streams)
        await self.fleet.set_faults(self.fleet.platform, lose_answers=0.0)
        ran = await self.count_orders()
        for key, first, second in zip(keys, answers[::2], answers[1::2], strict=True):
            self.assertEqual(first, second, key)
            self.assertEqual(ran.get(key, 0), 0 if first == "not run" else 1)
        await self.check_spend("kosice", self.justified)
        await self.check_spend("order-desk", 10 * sum(ran.values()))


class CutRouterTest(FleetCase):
    cut_off = ("r1",)
    relayed = ("advisor-1", "advisor-2")

    async def set_network(self, name: str, **faults) -> None:
        await self.fleet.set_faults(self.fleet.controls[f"net-{name}"], **faults)

    async def test_router_whose_answers_are_cut_off_books_nothing_twice(self):
        """What r1 writes arrives at the platform; no answer comes back.

        Its claim stands although it can't know.  The clerk hears *not run*
        and sends the order to another router, which may run it only once r1
        has given its claim up.
        """
        await self.set_network("r1", cut_back=True)
        first = await self.order("drums", "r1", deadline=2_500.0)
        self.assertIn(first, ("not run", "unknown"))
        self.assertEqual(await self.count_orders(), {})
        await self.set_network("r1", cut_back=False)
        await self.fleet.wait_ready("r1")

        async def is_free() -> bool:
            answer = await self.order("drums", "r2", deadline=3_000.0)
            return answer not in ("not run", "unknown")

        await wait_until(is_free)
        self.assertEqual(await self.count_orders(), {"drums": 1})

    async def test_streams_go_on_while_engines_networks_fail(self):
        """One engine's connections are reset, another's drip, a third is paused.

        Answers go on at whichever engine still answers, long before the paused
        one's callers reach their deadlines.
        """
        await self.set_network("advisor-2", drip=200)
        streams = self.begin_streams(9, 200)
        await self.wait_busy(2)
        self.send("advisor-3", signal.SIGSTOP)
        for _ in range(3):
            control = self.fleet.controls["net-advisor-1"]
            await self.fleet.http.call(control, "POST", "/control/reset")
        await asyncio.gather(*streams)
        await self.check_spend("kosice", self.justified)
