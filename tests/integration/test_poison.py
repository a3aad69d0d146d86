"""A request that kills what runs it, sent again and again under new ids."""

import signal

from anvilshift.client.client import CallError, Conversation
from tests.integration.fleetcase import FleetCase

POISON = "tank POISON"


class PoisonTest(FleetCase):
    async def test_poison_costs_two_engines_at_most_at_every_router(self):
        """One prompt ends the engine that runs it; its caller tries every router.

        Each router that learned only from its own losses would lose two more
        engines, and with three of them nobody is left to answer.  A router
        that was killed and starts anew must not have forgotten either.
        """
        codes = [
            await self.send_poison(n) for n in self.fleet.router_names for _ in "ab"
        ]
        self.assertLessEqual(self.count_dead(), 2)
        self.assertEqual(set(codes[2:]), {3003})
        await self.ask("tank POISO, an innocent look-alike", 10)
        self.send("r1", signal.SIGKILL)
        await self.fleet.processes["r1"].wait()
        self.fleet.start_router(0)
        await self.fleet.wait_ready("r1")
        self.assertEqual(await self.send_poison("r1"), 3003)
        self.assertLessEqual(self.count_dead(), 2)
        await self.check_spend("kosice", self.justified)

    async def send_poison(self, router: str) -> int:
        """Send the poison under a new id to one router; return its code."""
        message = {"role": "user", "content": POISON}
        asked = Conversation("tank-advisor", [message], 10, deadline=6_000.0)
        try:
            await self.client("kosice", router).ask(asked)
        except CallError as error:
            return error.number
        return 0

    def count_dead(self) -> int:
        engines = [n for n in self.fleet.processes if n.startswith("advisor")]
        codes = [self.fleet.processes[name].exit_code for name in engines]
        return sum(code is not None for code in codes)
