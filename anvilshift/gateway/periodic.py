"""The periodic work of a gateway, and how it notices that it was suspended."""

import asyncio
import time
from dataclasses import asdict

from anvilshift.core.clock import SECOND, Millis
from anvilshift.core.ejection import Health
from anvilshift.core.money.recordschedule import is_large_fleet
from anvilshift.gateway.assembly import GatewayParts
from anvilshift.gateway.following import find_interval_factor

TICK_INTERVAL: Millis = 100.0
_SUSPENDED_AFTER: Millis = 700.0
"""An event loop that was delayed for longer was frozen or suspended, not merely
busy."""
_RETRIES_INTERVAL: Millis = 1 * SECOND
"""Interval of the lines that say how often services were sent requests again."""


class PeriodicWork:
    """The work that one gateway does ten times a second."""

    def __init__(self, node: GatewayParts) -> None:
        self._node = node
        self._retries_due: Millis = 0.0

    async def run(self) -> None:
        """Run the periodic work, and detect that this process was suspended.

        A suspended host stops the steady clock, but not the boot-time clock.
        """
        clock = self._node.clock
        before = clock.now()
        boot = time.clock_gettime(time.CLOCK_BOOTTIME) * SECOND
        while True:
            await asyncio.sleep(TICK_INTERVAL / SECOND)
            now = clock.now()
            booted = time.clock_gettime(time.CLOCK_BOOTTIME) * SECOND
            if max(now - before, booted - boot) > _SUSPENDED_AFTER:
                self._discard(max(now - before, booted - boot))
            before, boot = now, booted
            self._work(now)

    def _discard(self, span: Millis) -> None:
        """Discard state that became stale while this process did not run."""
        node = self._node
        node.journal.write("stood_still", span=round(span))
        node.client.close()
        node.store.renew()
        node.shared.origins.history.restart()
        for target in node.loads.targets.values():
            # Connections that broke meanwhile are no evidence of unhealthy targets.
            target.health = Health()
        node.permits.handle_suspension()
        node.configuration_follower.restart()
        node.target_follower.restart()
        node.retry_shares.follower.restart()

    def _write_retries(self, now: Millis) -> None:
        """Write what each service was sent that got repeats or was refused some."""
        if now < self._retries_due:
            return
        self._retries_due = now + _RETRIES_INTERVAL
        counts = self._node.shared.retries.counts
        for service, span, numbers in counts.drain(now):
            self._node.journal.write(
                "retries", service=service, span=round(span), **asdict(numbers)
            )

    def _work(self, now: Millis) -> None:
        node = self._node
        self._write_retries(now)
        node.host_load.run_checks(now)
        is_fresh = node.target_follower.is_fresh()
        if not is_fresh:
            node.targets.entries.note_outage()
        node.targets.entries.remove_missing()
        node.messenger.update_routers()
        node.configurations.check(now)
        routers = 1 + len(node.peers.list_present())
        node.retry_shares.update()
        for follower in (node.configuration_follower, node.target_follower):
            follower.interval_factor = find_interval_factor(routers)
        node.recorder.routers = node.allocators.count_allocators()
        node.recorder.is_sparing = node.settings.spare_writes and is_large_fleet(
            routers
        )
        balances = node.allotter.balances
        balances.set_provable(node.recorder.can_prove_age())
        balances.set_sparing(
            node.recorder.is_sparing, node.recorder.find_schedule().hold
        )
        node.messenger.return_unused_tokens()
        node.loads.expire(now)
        node.permits.run_checks(now)
        node.shared.parts.run_checks(now)
        node.drains.run_checks(now)
        node.shared.health.probe_ejected(now)
        node.reach.watch(now)
        node.starts.expire(is_fresh)
        if is_fresh:
            targets = [one.info for one in node.loads.targets.values()]
            node.shared.origins.history.observe(targets, now)
