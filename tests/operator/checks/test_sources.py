import json
import pathlib
import tempfile
import unittest

import yaml
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.errors import AnvilshiftError
from anvilshift.operator.checks.sources import Source

VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-9, 9)
    | st.text('a"\\{[]},: \n', max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text('ab"\\{ :', max_size=2), inner, max_size=3)
    ),
    max_leaves=12,
)


def list_paths(value, path=()):
    """Return the path of each value inside a value, with the value."""
    found = [(path, value)]
    members = value if isinstance(value, dict) else None
    if isinstance(value, list):
        members = dict(enumerate(value))
    for key, inner in (members or {}).items():
        found += list_paths(inner, (*path, key))
    return found


class LineTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(VALUES)
    def test_each_value_of_json_is_found_at_its_line(self, value):
        text = json.dumps(value, indent=1)
        source = Source("f.json", text, (value,), is_json=True)
        decoder = json.JSONDecoder()
        for path, inner in list_paths(value):
            offset = source._find_offset(path)
            self.assertEqual(decoder.raw_decode(text, offset)[0], inner)
            line = text[:offset].count("\n") + 1
            self.assertEqual(source.find_line(path), line)

    def test_value_of_yaml_is_found_in_its_document(self):
        text = "a: 1\n---\nb:\n- c: 2\n- d:\n    e: 3\n"
        documents = tuple(yaml.safe_load_all(text))
        source = Source("f.yaml", text, documents, is_json=False)
        self.assertEqual(source.find_line(["b", 1, "d", "e"], 1), 6)
        self.assertEqual(source.find_line(["b", 7], 1), 4)


class BadFileTest(unittest.TestCase):
    """Guards against a trace in place of an error for a file that can't be read."""

    def test_each_says_where(self):
        cases = {
            "f.json": (b'{"a": [1,\n 2', ":2: not JSON"),
            "g.json": (b"[" * 100_000, "not JSON"),
            "h.json": (b"1" * 5_000, "not JSON"),
            "f.yaml": (b"a: 1\nb: [2\n", ":3: not YAML"),
            "g.yaml": (b"a: *missing\n", ":1: not YAML"),
            "h.yaml": (b"\xff\xfe\x00", "utf-8"),
        }
        with tempfile.TemporaryDirectory() as folder:
            for name, (data, expected) in cases.items():
                path = pathlib.Path(folder, name)
                path.write_bytes(data)
                with self.subTest(name), self.assertRaises(AnvilshiftError) as caught:
                    Source.from_file(str(path))
                self.assertIn(expected, str(caught.exception))
                self.assertIn(str(path), str(caught.exception))
