import random
import unittest

from anvilshift.core.routing import (
    Configuration,
    OrganisationBudget,
    RequestKind,
    RouteTable,
    Rule,
)


def make_rule(name: str, prefix: str, **fields: object) -> Rule:
    defaults = {"services": (("s", 1.0),), "timeout": 1_000.0, "objective": 100.0}
    kind = fields.pop("kind", RequestKind.IDEMPOTENT)
    return Rule(name, "shop.example", prefix, kind, **{**defaults, **fields})


class RouteTableTest(unittest.TestCase):
    def make_table(self, *rules: Rule, **fields: object) -> RouteTable:
        return RouteTable(Configuration(1, rules, **fields))

    def test_the_longest_prefix_wins_whatever_the_order(self):
        short, long = make_rule("a", "/x/"), make_rule("b", "/x/y/")
        for rules in ((short, long), (long, short)):
            table = self.make_table(*rules)
            self.assertEqual(table.find("shop.example", "/x/y/1").name, "b")
            self.assertEqual(table.find("shop.example", "/x/z").name, "a")

    def test_a_prefix_with_a_slash_matches_only_paths_below_it(self):
        table = self.make_table(make_rule("a", "/x/"))
        self.assertIsNone(table.find("shop.example", "/xy"))
        self.assertIsNone(table.find("shop.example", "/x"))

    def test_the_first_rule_of_a_prefix_counts(self):
        """Guards against a rule that takes over the requests of one declared before."""
        table = self.make_table(make_rule("a", "/x/"), make_rule("b", "/x/"))
        self.assertEqual(table.find("shop.example", "/x/1").name, "a")

    def test_the_host_is_matched_without_its_port_and_case(self):
        table = self.make_table(make_rule("a", "/x/"))
        self.assertEqual(table.find("SHOP.example:8080", "/x/1").name, "a")
        self.assertIsNone(table.find("other.example", "/x/1"))

    def test_an_organisation_is_found_by_each_of_its_credentials(self):
        pounds = OrganisationBudget("pounds", ("k1", "k2"), reserved=10)
        table = self.make_table(organisations={"pounds": pounds})
        self.assertEqual(table.find_organisation("k2"), pounds)
        self.assertIsNone(table.find_organisation("k3"))

    def test_requests_are_split_by_weight(self):
        rule = make_rule("a", "/", services=(("s", 9.0), ("t", 1.0)))
        rng = random.Random(1)
        drawn = [rule.draw_service(rng) for _ in range(1_000)]
        self.assertTrue(60 < drawn.count("t") < 140, drawn.count("t"))

    def test_the_shortest_pause_objective_of_a_service_applies(self):
        rules = [
            make_rule("a", "/a/", pause_objective=300.0),
            make_rule("b", "/b/", pause_objective=200.0),
            make_rule("c", "/c/"),
        ]
        table = self.make_table(*rules)
        self.assertEqual(table.find_pause_objective("s"), 200.0)
        self.assertEqual(table.find_pause_objective("t"), float("inf"))

    def test_only_idempotent_and_resumable_requests_are_repeatable(self):
        streaming = RequestKind.STREAMING
        self.assertTrue(make_rule("a", "/").repeatable)
        self.assertFalse(
            make_rule("a", "/", kind=RequestKind.NON_IDEMPOTENT).repeatable
        )
        self.assertFalse(make_rule("a", "/", kind=streaming).repeatable)
        self.assertTrue(make_rule("a", "/", kind=streaming, resumable=True).repeatable)
