"""How full a router is: processor, link, memory and descriptors."""

import unittest

from anvilshift.core.placement.routeruse import RouterLimits, UseMeter, UseSample

LIMITS = RouterLimits(cores=1.0, memory=200.0, descriptors=1_000, link=8.0)


def measure(count: int = 20, **each: float) -> UseMeter:
    """Return a meter after samples every half a second, each with the same use."""
    meter = UseMeter(LIMITS)
    for n in range(count):
        meter.add(
            UseSample(
                n * 500.0,
                idle=n * 500.0 * (1.0 - each.get("busy", 0.0)),
                moved=int(n * each.get("moved", 0)),
                memory=each.get("memory", 0.0),
                descriptors=int(each.get("descriptors", 0)),
                late=each.get("late", 0.0),
            )
        )
    return meter


class UseMeterTest(unittest.TestCase):
    def test_the_scarcest_resource_counts(self):
        """Guards against a router whose link is full while its processor idles."""
        self.assertAlmostEqual(measure(busy=0.3, moved=400_000).used, 0.8, places=2)
        self.assertAlmostEqual(measure(busy=0.9, moved=100_000).used, 0.9, places=2)

    def test_work_that_waits_counts_beyond_the_whole(self):
        """Guards against two full routers that look alike, one far behind."""
        self.assertGreater(measure(busy=1.0, late=800.0).used, 1.5)
        self.assertLess(measure(busy=0.2, late=800.0).used, 0.5)

    def test_memory_of_an_idle_router_doesnt_count(self):
        """Guards against work that is moved for what a process always holds."""
        self.assertEqual(measure(memory=120.0).used, 0.0)
        self.assertFalse(measure(memory=150.0).is_full)

    def test_scarce_memory_and_descriptors_fill_a_router(self):
        """Guards against callers who end a router that can hold no more."""
        self.assertTrue(measure(memory=185.0).is_full)
        self.assertTrue(measure(descriptors=950).is_full)
