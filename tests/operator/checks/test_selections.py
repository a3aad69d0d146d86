import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.declarations import Catalogue
from anvilshift.operator.checks.selections import Decisions, Servers
from anvilshift.settings.declarations import parse_declaration

LABELS = st.dictionaries(st.sampled_from("ab"), st.sampled_from("12"))
REQUIREMENTS = st.one_of(
    st.builds(
        lambda key, operator, values: {
            "key": key,
            "operator": operator,
            "values": values,
        },
        st.sampled_from("ab"),
        st.sampled_from(["In", "NotIn"]),
        st.lists(st.sampled_from("12"), min_size=1, max_size=2),
    ),
    st.builds(
        lambda key, operator: {"key": key, "operator": operator},
        st.sampled_from("ab"),
        st.sampled_from(["Exists", "DoesNotExist"]),
    ),
)
SELECTORS = st.fixed_dictionaries(
    {"match_labels": LABELS, "match_expressions": st.lists(REQUIREMENTS, max_size=2)}
)


def list_kind(kind, **fields):
    made = st.lists(st.fixed_dictionaries(fields), max_size=4)
    return made.map(
        lambda found: [
            {"kind": kind, "name": f"n{number}", **one}
            for number, one in enumerate(found)
        ]
    )


TARGETS = st.sampled_from(["model", "service"])


class SelectionTest(unittest.TestCase):
    """Guards against a faster way that decides otherwise than the routers do."""

    @settings(max_examples=200, deadline=None)
    @given(
        list_kind("Organisation", budget=st.just("b"), labels=LABELS),
        list_kind(
            "EngineGroup",
            target=TARGETS,
            labels=LABELS,
            engines=st.just([]),
            models=st.lists(st.sampled_from(["n0", "n1"])),
        ),
        list_kind(
            "Policy",
            organisations=SELECTORS,
            engines=SELECTORS,
            priority=st.integers(0, 2),
        ),
        list_kind("Route", target=TARGETS, engines=SELECTORS),
    )
    def test_decisions_are_those_of_the_catalogue(
        self, organisations, engine_groups, policies, routes
    ):
        lists = (organisations, engine_groups, policies, routes)
        parsed = [parse_declaration(one, "") for found in lists for one in found]
        catalogue = Catalogue.from_declarations(parsed)
        groups = catalogue.groups.values()
        expected = {
            (one.name, policy.name)
            for one in catalogue.organisations.values()
            for group in groups
            if (policy := catalogue.decide(one, group)) is not None
        }
        decisions = Decisions.from_catalogue(catalogue)
        self.assertEqual(decisions.allowed, {name for name, _ in expected})
        self.assertEqual(decisions.deciding, {name for _, name in expected})
        servers = Servers(catalogue)
        for route in catalogue.routes.values():
            served = any(group.serves(route) for group in groups)
            self.assertEqual(servers.serve(route), served)
