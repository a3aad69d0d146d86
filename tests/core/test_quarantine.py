"""Quarantine of work that crashes targets."""

import unittest

from anvilshift.core.quarantine import CHARGE_LIFETIME, Quarantine


class QuarantineTest(unittest.TestCase):
    def test_work_that_failed_at_a_faulty_engine_leaves_quarantine(self):
        """Guards against refusing harmless work because of a faulty engine.

        An engine crashes three times by itself, under different work.  A request
        that ran there once, and once at another engine when that crashed, would
        stay quarantined.
        """
        quarantine = Quarantine()
        quarantine.crashed("victim", "e1", sent=0.0, now=10.0)
        quarantine.crashed("victim", "e2", sent=20.0, now=30.0)
        self.assertTrue(quarantine.is_quarantined("victim", 40.0))
        quarantine.crashed("a", "e2", sent=1_000.0, now=1_010.0)
        quarantine.crashed("b", "e2", sent=2_000.0, now=2_010.0)
        self.assertFalse(quarantine.is_quarantined("victim", 2_020.0))

    def test_suspect_alone_is_blamed_for_the_second_crash(self):
        quarantine = Quarantine()
        quarantine.crashed("suspect", "e1", sent=0.0, now=10.0)
        quarantine.sent("suspect", "e2")
        self.assertFalse(quarantine.crashed("neighbour", "e2", sent=11.0, now=20.0))
        quarantine.record_end("suspect", "e2")
        self.assertTrue(quarantine.crashed("suspect", "e2", sent=12.0, now=20.0))
        self.assertFalse(quarantine.is_suspect("neighbour"))
        self.assertTrue(quarantine.is_quarantined("suspect", 21.0))

    def test_suspects_of_two_routers_at_one_engine_are_both_blamed(self):
        """Guards against losing a third engine to another router's suspect.

        Two routers each had a suspect at the engine that crashed second.  A router
        that blamed only its own suspect would run the other one, a poison request,
        once more.
        """
        quarantine = Quarantine()
        quarantine.crashed("own", "e1", sent=0.0, now=10.0)
        quarantine.record_crash_report("poison", "e1", now=11.0)
        quarantine.sent("own", "e2")
        quarantine.crashed("own", "e2", sent=12.0, now=20.0)
        for _ in range(2):
            quarantine.record_crash_report("poison", "e2", now=21.0)
        self.assertTrue(quarantine.is_quarantined("poison", 22.0))

    def test_target_with_a_suspect_is_not_free_for_a_second_one(self):
        quarantine = Quarantine()
        quarantine.sent("suspect", "e1")
        self.assertFalse(quarantine.is_free("e1", "other"))
        self.assertTrue(quarantine.is_free("e2", "other"))

    def test_streams_broken_off_midway_run_once_more_at_the_same_targets(self):
        quarantine = Quarantine()
        quarantine.crashed("long", "e1", sent=0.0, now=10.0, begun=True)
        quarantine.crashed("long", "e2", sent=11.0, now=20.0, begun=True)
        self.assertFalse(quarantine.is_quarantined("long", 21.0))
        self.assertTrue(quarantine.is_free("e1", "long"))
        self.assertFalse(quarantine.is_free("e3", "long"))
        quarantine.crashed("long", "e1", sent=21.0, now=30.0, begun=True)
        self.assertTrue(quarantine.is_quarantined("long", 31.0))

    def test_suspect_beside_another_is_blamed_as_well(self):
        """Guards against blaming only the harmless one of two suspects."""
        quarantine = Quarantine()
        for content in ("innocent", "poison"):
            quarantine.crashed(content, "e1", sent=0.0, now=10.0)
        quarantine.sent("innocent", "e2")
        self.assertTrue(quarantine.crashed("innocent", "e2", sent=11.0, now=20.0))
        self.assertTrue(quarantine.crashed("poison", "e2", sent=11.0, now=20.0))
        self.assertTrue(quarantine.is_quarantined("poison", 21.0))

    def test_crash_at_a_faulty_engine_grants_only_one_extra_attempt(self):
        """Guards against endless attempts of a poison request at a faulty engine."""
        quarantine = Quarantine()
        for n, content in enumerate("abc"):
            quarantine.crashed(content, "e1", sent=1_000.0 * n, now=1_000.0 * n + 10.0)
        for n in range(3):
            self.assertFalse(quarantine.is_quarantined("poison", 3_000.0))
            now = 4_000.0 + 1_000.0 * n
            quarantine.crashed("poison", ("e1", "e2")[n % 2], sent=now, now=now + 10.0)
        self.assertEqual(quarantine.list_only_targets("poison"), ["e1", "e2"])
        self.assertTrue(quarantine.is_quarantined("poison", 7_000.0))

    def test_work_beside_a_suspect_is_charged_but_not_suspect(self):
        """Guards against not counting a poison's first crash beside a suspect."""
        quarantine = Quarantine()
        quarantine.crashed("suspect", "e1", sent=0.0, now=10.0)
        quarantine.sent("suspect", "e2")
        quarantine.crashed("poison", "e2", sent=11.0, now=20.0)
        self.assertFalse(quarantine.is_suspect("poison"))
        quarantine.crashed("poison", "e3", sent=21.0, now=30.0)
        self.assertEqual(quarantine.list_only_targets("poison"), ["e2", "e3"])
        self.assertFalse(quarantine.is_free("e4", "poison"))

    def test_report_of_a_further_crash_uses_up_the_extra_attempt(self):
        """Guards against an extra attempt of a poison request at each router."""
        quarantine = Quarantine()
        for n, content in enumerate("abc"):
            quarantine.record_crash_report(content, "e1", now=3_000.0 * n)
        for target in ("e1", "e2"):
            quarantine.record_crash_report("poison", target, now=9_000.0)
        self.assertFalse(quarantine.is_quarantined("poison", 9_001.0))
        quarantine.record_crash_report("poison", "e1", now=10_000.0, times=2)
        self.assertTrue(quarantine.is_quarantined("poison", 10_001.0))

    def test_report_of_content_that_only_ran_there_counts_as_reached_target(self):
        quarantine = Quarantine()
        for target in ("e1", "e2"):
            quarantine.record_crash_report("neighbour", target, now=10.0, times=0)
        self.assertFalse(quarantine.is_suspect("neighbour"))
        self.assertFalse(quarantine.may_reach("neighbour", "e3"))

    def test_blame_ends_with_a_complete_answer_or_after_some_time(self):
        quarantine = Quarantine()
        for name in ("e1", "e2"):
            quarantine.crashed("p", name, sent=0.0, now=10.0)
        self.assertTrue(quarantine.is_quarantined("p", 20.0))
        self.assertFalse(quarantine.is_quarantined("p", 21.0 + CHARGE_LIFETIME))
        quarantine.crashed("q", "e3", sent=0.0, now=10.0)
        quarantine.clear("q")
        self.assertFalse(quarantine.is_suspect("q"))


if __name__ == "__main__":
    unittest.main()
