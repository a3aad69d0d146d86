import inspect
import sys
import unittest

from tests.plan import discover
from tests.quick import LONG, is_quick
from tests.runner import ROOT


class QuickTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.tests = discover(str(ROOT))

    def test_each_long_beginning_is_that_of_a_test(self):
        """Guards against a long test that was renamed and runs in the quick check."""
        names = [test.id() for test in self.tests]
        stale = [one for one in LONG if not any(name.startswith(one) for name in names)]
        self.assertEqual(stale, [])

    def test_no_quick_module_starts_processes(self):
        modules = {type(test).__module__ for test in self.tests if is_quick(test.id())}
        self.assertGreater(len(modules), 50)
        starting = [
            name
            for name in sorted(modules - {__name__})
            if "subprocess" in inspect.getsource(sys.modules[name])
        ]
        self.assertEqual(starting, [])


if __name__ == "__main__":
    unittest.main()
