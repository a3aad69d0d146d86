"""Any value is either a valid declaration or raises an error with its location."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.errors import AnvilshiftError
from anvilshift.settings.declarations import parse_declaration

KINDS = ["Budget", "Organisation", "Route", "EngineGroup", "Policy"]
LEAVES = st.sampled_from(
    [None, True, 0, -1, 5, 1.5, float("nan"), 10**400, "", "x", "a b", "\x00", [], {}]
)
KEYS = st.sampled_from(
    [
        "name",
        "labels",
        "budget",
        "target",
        "engines",
        "grant",
        "priority",
        "organisations",
        "match_labels",
        "match_expressions",
        "key",
        "operator",
        "values",
        "address",
        "desired",
    ]
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(KEYS, inner, max_size=4)
    ),
    max_leaves=10,
)


class DeclarationTest(unittest.TestCase):
    @settings(max_examples=300, deadline=None)
    @given(
        st.sampled_from(KINDS) | VALUES,
        st.dictionaries(KEYS, VALUES, max_size=6) | VALUES,
    )
    def test_any_value_is_read_or_raises_an_error_with_its_code(self, kind, rest):
        value = {**rest, "kind": kind} if isinstance(rest, dict) else rest
        try:
            parse_declaration(value, "here")
        except AnvilshiftError as error:
            self.assertEqual(error.code.number, 6002)
            self.assertTrue(error.detail.startswith("here: "))
