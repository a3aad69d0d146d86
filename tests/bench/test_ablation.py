import ast
import pathlib
import tempfile
import unittest

from bench.ablation import PATCHES, make_copy


class AblationTest(unittest.TestCase):
    def test_every_mechanism_can_still_be_switched_off(self):
        with tempfile.TemporaryDirectory() as folder:
            for name, patches in PATCHES.items():
                with self.subTest(name):
                    copy = make_copy(name, pathlib.Path(folder))
                    for patch in patches:
                        source = (copy / "anvilshift" / patch.path).read_text()
                        self.assertIn(patch.new, source)
                        ast.parse(source)
