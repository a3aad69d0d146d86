import unittest

from anvilshift.objects.changelog import _MAX_CHANGES, ChangeLog
from anvilshift.objects.store import ObjectChange


def put(name: str, version: int) -> ObjectChange:
    return ObjectChange("servers", name, version, {})


def remove(name: str, version: int) -> ObjectChange:
    return ObjectChange("servers", name, version, None)


class ChangeLogTest(unittest.TestCase):
    def test_reader_that_is_up_to_date_is_told_nothing(self):
        log = ChangeLog()
        log.restart(5)
        self.assertEqual(log.list_since(5), ())
        self.assertEqual(log.list_since(9), ())

    def test_reader_behind_a_list_is_told_so(self):
        """Guards against changes before a list that are never told."""
        log = ChangeLog()
        log.restart(5)
        self.assertIsNone(log.list_since(4))

    def test_object_removed_and_added_again_is_not_removed_at_who_knows_it(self):
        """Guards against a part of a batch, told alone, that undoes what came later."""
        log = ChangeLog()
        log.restart(5)
        log.add(13, [remove("e1", 10), put("e1", 11), put("e2", 13)])
        self.assertEqual(log.list_since(12), (put("e2", 13),))
        self.assertEqual(len(log.list_since(5)), 3)

    def test_what_is_no_longer_kept_is_not_passed_over(self):
        """Guards against changes that are dropped without a word."""
        log = ChangeLog()
        log.restart(0)
        for number in range(1, _MAX_CHANGES + 2):
            log.add(number, [put("e1", number)])
        self.assertIsNone(log.list_since(0))
        self.assertEqual(len(log.list_since(1)), _MAX_CHANGES)
