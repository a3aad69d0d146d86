"""A gateway whose targets have little memory for prompts."""

import asyncio
import json

from anvilshift.core.targetload import Prompt
from tests.platform.gatewaycase import GatewayCase

CAPACITY = 100_000
"""Tokens that a target holds in the tests' configuration."""
WAIT_S = 0.1


class TargetMemoryTest(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.target = await self.add_target("e1", "llm")
        await self.start_node()
        await self.warm_up(self.node)
        self.node.loads.learned_speeds["llm"].are_used = True
        self.ran = len(self.target.runs)

    def fill(self) -> None:
        """Let another router's request take the target's memory."""
        loads, now = self.node.loads, self.node.clock.now()
        prompt = Prompt((("other", CAPACITY),), CAPACITY, 30)
        loads.send("e1", "other/1", prompt, 0, now, CAPACITY, is_news=True)
        # Its prompt is read, so that nothing waits behind it.
        loads.begin("e1", "other/1", now)

    async def test_prompt_without_memory_anywhere_is_refused_and_not_run(self):
        """Guards against a target that ends under more than it has memory for."""
        self.fill()
        status, headers, body = await self.call("/chat/1")
        self.assertEqual(status, 503)
        self.assertIsNotNone(headers.get("retry-after"))
        error = json.loads(body)["error"]
        self.assertEqual(error["fate"], "not run")
        self.assertIn("memory", error["message"])
        self.assertEqual(len(self.target.runs), self.ran)

    async def test_prompt_waits_for_memory_that_is_given_up_soon(self):
        self.fill()
        loop = asyncio.get_running_loop()
        loop.call_later(WAIT_S, self.node.loads.end, "e1", "other/1")
        status, _, _ = await self.call("/chat/1")
        self.assertEqual((status, len(self.target.runs)), (200, self.ran + 1))

    async def test_memory_is_not_asked_for_where_targets_do_not_tell_their_load(self):
        self.node.loads.learned_speeds["llm"].are_used = False
        self.fill()
        status, _, _ = await self.call("/chat/1")
        self.assertEqual(status, 200)


if __name__ == "__main__":
    import unittest

    unittest.main()
