"""Contents that never reached a target aren't blamed for its end."""

import asyncio

from tests.platform.silentfleet import SilentFleetCase

DARK_S = 4.0
BACK_S = 4.0
"""Time after which targets that were ejected are tried again."""
AFTER_S = 1.0


class DarkHostsTest(SilentFleetCase):
    hosts_fall_silent = True

    async def test_request_that_no_host_took_is_not_denied_when_they_are_back(self):
        """Guards against blame of a content that no target ever received."""
        _, after = await self.play_dark(plain=3, dark=3)
        self.assertEqual(set(after), {200})
        self.assertEqual(self.count_events("content_blamed"), 0)

    async def test_request_that_another_target_answers_is_not_denied(self):
        """Guards against blame of a content that others answer, for dark hosts."""
        during, after = await self.play_dark(plain=6, dark=3)
        self.assertEqual({*during, *after}, {200})
        self.assertEqual(self.count_events("content_blamed"), 0)

    async def play_dark(self, plain: int, dark: int) -> tuple[list[int], list[int]]:
        """Return what callers of one content get while hosts are dark, and after."""
        await self.start_play(routers=2, engines=3, plain=plain)
        hosts = [self.targets[f"d{n}"] for n in range(dark)]
        for host in hosts:
            host.fall_silent()
        during = await self.call_for(DARK_S)
        self.assertEqual([run for host in hosts for run in host.runs], [])
        for host in hosts:
            host.wake()
        await asyncio.sleep(BACK_S)
        return during, await self.call_for(AFTER_S)

    async def call_for(self, seconds: float) -> list[int]:
        """Call one router with the same content for a time; return the statuses."""
        loop, statuses = asyncio.get_running_loop(), []
        end = loop.time() + seconds
        while loop.time() < end:
            status, _, _ = await self.call_at(
                self.nodes[0], "/read/one", body=b"same", deadline=1_500
            )
            statuses.append(status)
            await asyncio.sleep(0.1)
        return statuses
