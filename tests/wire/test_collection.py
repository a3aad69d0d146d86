import gc
import unittest

from anvilshift.wire.collection import configure_collection

_OBJECTS = 5_000
"""More than the interpreter's own threshold, fewer than fifty requests create."""


class CollectionTest(unittest.TestCase):
    def setUp(self):
        self.addCleanup(gc.set_threshold, *gc.get_threshold())
        self.addCleanup(gc.unfreeze)
        self.begun: list[int] = []
        gc.callbacks.append(self.note)
        self.addCleanup(gc.callbacks.remove, self.note)

    def note(self, phase: str, info: dict[str, int]) -> None:
        if phase == "start":
            self.begun.append(info["generation"])

    def test_new_objects_of_some_requests_start_no_collection(self):
        """Guards against a loop that stands still for garbage every few requests."""
        configure_collection()
        self.begun.clear()
        kept = [[index] for index in range(_OBJECTS)]
        self.assertEqual((len(kept), self.begun), (_OBJECTS, []))

    def test_start_waits_for_no_collection(self):
        """Guards against a start that traverses every object before it serves."""
        configure_collection()
        self.assertEqual(self.begun, [])
