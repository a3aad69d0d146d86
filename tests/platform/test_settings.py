import contextlib
import io
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from anvilshift.core.errors import AnvilshiftError
from anvilshift.platform.main import run
from anvilshift.platform.settings import read_settings

TEXT = """
nodeName = "edge-zilina-1"
ip = "10.1.0.40"
zone = "zilina"
internalPorts = [7340,7355]
seeds = ["10.1.0.40:8229","10.2.0.29:8229"]
somethingNew = true
[listen]
front = "10.1.0.40:8227"
ready = "10.1.0.40:8220"
directory = "10.1.0.40:8224"
[bounds]
graceS = 8
retryAllowance = 58
[platform]
address = "10.200.1.7:8223"
"""


class SettingsTest(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.path = str(pathlib.Path(self.folder.name) / "local.toml")

    def write(self, text: str) -> str:
        pathlib.Path(self.path).write_text(text)
        return self.path

    def test_history_is_none_unless_the_settings_state_it(self):
        """Guards against a guessed duration of the store's history.

        With a guess that is too short, a router would take an old usage record for
        a new one, and spent tokens would be granted again.
        """
        self.assertIsNone(read_settings(self.write(TEXT)).history)
        stated = read_settings(self.write(TEXT + "historyS = 20\n"))
        self.assertEqual(stated.history, 20_000.0)

    def test_the_file_is_decoded_and_unknown_fields_are_ignored(self):
        found = read_settings(self.write(TEXT))
        self.assertEqual(
            (found.name, found.failure_domain), ("edge-zilina-1", "zilina")
        )
        self.assertEqual((found.peer_port, found.grace), (7340, 8_000.0))
        self.assertEqual(found.seeds, ("10.1.0.40", "10.2.0.29"))
        self.assertEqual(str(found.store), "10.200.1.7:8223")
        self.assertEqual(found.find_retry_reserve(4), 58 / 2 / 4)
        self.assertEqual(found.find_retry_reserve(10), 58 / 2 / 10)

    def test_a_wrong_field_is_named_with_its_file(self):
        for old, new, field in (
            ('nodeName = "edge-zilina-1"\n', "", "nodeName"),
            ("internalPorts = [7340,7355]", "internalPorts = 7", "internalPorts"),
            ('address = "10.200.1.7:8223"', 'address = "x"', "x"),
            ("graceS = 8", 'graceS = "soon"', "graceS"),
        ):
            with self.subTest(field):
                path = self.write(TEXT.replace(old, new))
                with self.assertRaises(AnvilshiftError) as caught:
                    read_settings(path)
                self.assertEqual(caught.exception.code.number, 6001)
                self.assertIn(field, caught.exception.detail)
                self.assertIn(path, caught.exception.detail)

    def test_a_process_with_wrong_settings_ends_with_two_and_one_line(self):
        path = self.write("nodeName = 7")
        errors = io.StringIO()
        with (
            mock.patch.dict(os.environ, {"ANVILSHIFT_BOOT": path}),
            contextlib.redirect_stderr(errors),
        ):
            self.assertEqual(run(), 2)
        self.assertEqual(len(errors.getvalue().splitlines()), 1)
        self.assertIn(path, errors.getvalue())

    def test_a_missing_file_is_named_in_the_error(self):
        with self.assertRaises(AnvilshiftError) as caught:
            read_settings(self.path)
        self.assertIn(self.path, caught.exception.detail)
