import unittest

from tests.plan import WORKERS_VARIABLE, Company, count_workers, make_units


class Plain(unittest.TestCase):
    def check_one(self):
        pass

    def check_two(self):
        pass


class Prepared(Plain):
    @classmethod
    def setUpClass(cls):
        pass


class Inheriting(Prepared):
    pass


class Cleared(Plain):
    @classmethod
    def tearDownClass(cls):
        pass


def make_tests(kind, module=__name__):
    named = type(kind.__name__, (kind,), {"__module__": module})
    return [named("check_one"), named("check_two")]


class UnitTest(unittest.TestCase):
    def test_tests_of_a_plain_class_are_split(self):
        units = make_units(make_tests(Plain))
        self.assertEqual([len(unit.tests) for unit in units], [1, 1])

    def test_tests_that_share_a_class_fixture_stay_together(self):
        """Guards against playing a class's fixture once in each worker."""
        for kind in (Prepared, Inheriting, Cleared):
            with self.subTest(kind.__name__):
                units = make_units(make_tests(kind))
                self.assertEqual([len(unit.tests) for unit in units], [2])

    def test_tests_that_share_a_module_fixture_stay_together(self):
        global setUpModule
        self.addCleanup(globals().pop, "setUpModule")

        def setUpModule():
            pass

        units = make_units(make_tests(Plain) + make_tests(Cleared))
        self.assertEqual([len(unit.tests) for unit in units], [4])

    def test_two_classes_with_fixtures_are_two_units(self):
        units = make_units(make_tests(Prepared) + make_tests(Cleared))
        self.assertEqual([len(unit.tests) for unit in units], [2, 2])

    def test_every_test_is_in_one_unit(self):
        kinds = (Plain, Prepared, Inheriting, Cleared)
        tests = [test for kind in kinds for test in make_tests(kind)]
        planned = [name for unit in make_units(tests) for name in unit.tests]
        self.assertEqual(sorted(planned), sorted(test.id() for test in tests))

    def test_slow_packages_come_first(self):
        """Guards against a run that waits at its end for one long test."""
        modules = ("tests.core.a", "tests.platform.a", "tests.bench.a")
        tests = [test for name in modules for test in make_tests(Plain, name)]
        firsts = [unit.tests[0].rsplit(".", 3)[0] for unit in make_units(tests)]
        expected = ["tests.bench", "tests.platform", "tests.core"]
        self.assertEqual(firsts, [name for name in expected for _ in range(2)])

    def test_company_of_tests_that_start_fleets(self):
        expected = {
            "tests.core.a": Company.ANY,
            "tests.integrations.a": Company.ANY,
            "tests.integration.test_a": Company.NO_OTHER_FLEET,
            "tests.integration.test_overload": Company.NONE,
        }
        for module, company in expected.items():
            with self.subTest(module):
                units = make_units(make_tests(Plain, module))
                self.assertEqual({unit.company for unit in units}, {company})


class WorkerCountTest(unittest.TestCase):
    def test_about_half_of_the_cores_are_used(self):
        for cores, workers in ((1, 1), (2, 2), (4, 3), (8, 5)):
            self.assertEqual(count_workers({}, cores), workers)

    def test_a_set_count_goes_first(self):
        self.assertEqual(count_workers({WORKERS_VARIABLE: "2"}, 8), 2)

    def test_a_count_that_is_no_positive_number_is_refused(self):
        for text in ("0", "-1", "many"):
            with self.subTest(text), self.assertRaises(ValueError):
                count_workers({WORKERS_VARIABLE: text}, 8)
