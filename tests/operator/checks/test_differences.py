import unittest

from anvilshift.core.routing import (
    Configuration,
    OrganisationBudget,
    RequestKind,
    Rule,
    Service,
)
from anvilshift.operator.checks.differences import compare_configurations


def make_rule(prefix: str, timeout: float = 1e3) -> Rule:
    kind = RequestKind.IDEMPOTENT
    return Rule("", "shop", prefix, kind, (("desk", 1.0),), timeout, 200.0)


def make_configuration(rules, *organisations) -> Configuration:
    named = {one.name: one for one in organisations}
    return Configuration(1, tuple(rules), {"desk": Service("desk", 8)}, named)


class DifferenceTest(unittest.TestCase):
    def test_what_is_taken_away_comes_first(self):
        old = make_configuration(
            [make_rule("/a/"), make_rule("/b/")],
            OrganisationBudget("pound", ("secret-1", "secret-2"), reserved=5000),
            OrganisationBudget("gone", ("secret-3",)),
        )
        new = make_configuration(
            [make_rule("/b/", timeout=500.0), make_rule("/c/")],
            OrganisationBudget("pound", ("secret-2", "secret-4"), reserved=4000),
        )
        lines = [str(one) for one in compare_configurations(new, old)]
        self.assertEqual(
            lines,
            [
                "takes away: organisation gone: its credentials: 1",
                "takes away: organisation pound: its credentials: 1",
                "takes away: organisation pound: tokens in all: 5,000 -> 4,000",
                "takes away: route shop/a/: requests go nowhere",
                "changes: route shop/b/: timeout: 1000.0 -> 500.0",
                "adds: organisation pound: credentials: 1",
                "adds: route shop/c/: route shop/c/",
            ],
        )
        self.assertNotIn("secret", "".join(lines))

    def test_no_difference_to_itself(self):
        same = make_configuration([make_rule("/a/")])
        self.assertEqual(compare_configurations(same, same), [])

    def test_limit_on_an_organisation_that_had_none_takes_away(self):
        old = make_configuration([], OrganisationBudget("pound", ("k",)))
        new = make_configuration([], OrganisationBudget("pound", ("k",), reserved=9))
        (one,) = compare_configurations(new, old)
        expected = "takes away: organisation pound: tokens in all: no limit -> 9"
        self.assertEqual(str(one), expected)
