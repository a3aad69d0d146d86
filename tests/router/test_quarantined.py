"""Quarantined contents stay known after every router that saw the crashes stopped."""

from anvilshift.core.exposure import CHARGE_LIFETIME
from anvilshift.core.work import CrashAnnouncement
from anvilshift.objects.records import encode
from anvilshift.router.quarantined import QUARANTINE_KIND, QuarantineRecord
from tests.router.nodes import InProcessFleet, VirtualTestCase, wait_until


class QuarantineRecordsTest(VirtualTestCase):
    async def asyncSetUp(self):
        self.fleet = InProcessFleet()
        self.addAsyncCleanup(self.fleet.close)

    def crash(self, name, *targets):
        node = self.fleet.nodes[name]
        for target in targets:
            node.dispatcher.crashed("poison", target, self.fleet.clock.now())
            node.dispatch.announce(CrashAnnouncement("poison", target))

    def is_stored(self):
        return (
            self.fleet.platform.read_ignoring_faults(QUARANTINE_KIND, "poison")
            is not None
        )

    def is_known(self, name):
        dispatcher = self.fleet.nodes[name].dispatcher
        return dispatcher.list_only_targets("poison") == ["e1", "e2"]

    async def test_fleet_that_is_replaced_at_once_knows_what_the_former_lost(self):
        """Routers that replace the whole fleet must know the quarantined contents.

        Otherwise a content crashes two more engines, for example after a power
        failure.
        """
        await self.fleet.start("r1", "r2")
        self.crash("r1", "e1", "e2")
        await wait_until(self.is_stored)
        for name in ("r1", "r2"):
            await self.fleet.nodes.pop(name).close()
        await self.fleet.start("r3")
        self.assertTrue(self.is_known("r3"))

    async def test_one_crash_alone_is_not_recorded(self):
        await self.fleet.start("r1")
        self.crash("r1", "e1")
        await wait_until(lambda: self.fleet.nodes["r1"].crashes.list_reports_to_send())
        self.assertFalse(self.is_stored())

    async def test_record_is_written_once_the_platform_is_back(self):
        await self.fleet.start("r1")
        self.fleet.platform.faults.outage = True
        self.crash("r1", "e1", "e2")
        await wait_until(lambda: self.fleet.clock.now() > 10_000.0)
        self.assertFalse(self.is_stored())
        self.fleet.platform.faults.outage = False
        await wait_until(self.is_stored)

    async def test_old_record_is_deleted_and_an_unreadable_one_passed_over(self):
        await self.fleet.start("r1")
        old = encode(QuarantineRecord("poison", ("e1", "e2"), 0))
        await self.fleet.platform.put(QUARANTINE_KIND, "poison", old, 0)
        await self.fleet.platform.put(QUARANTINE_KIND, "other", {"at": "x"}, 0)
        await wait_until(
            lambda: self.fleet.clock.now() > CHARGE_LIFETIME + 2_000.0, timeout=900.0
        )
        await self.fleet.start("r2")
        self.assertFalse(self.is_known("r2"))
        self.assertFalse(self.is_stored())
