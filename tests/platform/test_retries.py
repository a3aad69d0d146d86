"""Tests of requests that gateways send again, with services that reject them."""

from tests.platform.gatewaycase import GatewayCase


class RetryLogTest(GatewayCase):
    async def test_repeats_are_logged_by_service(self):
        """Guards against repeats beyond the bound that no line accounts for."""
        for number in range(3):
            target = await self.add_target(f"d{number}", "desk")
            target.refuses = True
        await self.start_node()
        status, _, _ = await self.call("/read/1")
        self.assertEqual(status, 503)
        await self.wait_for(lambda: "retries" in self.journal.list_events())
        lines = [rest for event, rest in self.journal.lines if event == "retries"]
        self.assertEqual(
            lines, [{"service": "desk", "requests": 1, "repeats": 2, "refused": 0}]
        )

    async def test_a_refused_repeat_is_logged(self):
        """Guards against a retry budget that is used up unseen."""
        for number in range(3):
            target = await self.add_target(f"d{number}", "desk")
            target.refuses = True
        await self.start_node()
        for _ in range(20):
            await self.call("/read/1")
        refused = [
            rest for event, rest in self.journal.lines if event == "retry_refused"
        ]
        self.assertTrue(refused)
        self.assertEqual(refused[0]["service"], "desk")
        self.assertGreaterEqual(refused[0]["sends"], 1)
