"""Invalid settings are refused with file and key path, and no router starts."""

import pathlib
import subprocess
import sys
import tempfile
import unittest

import yaml

from anvilshift.core.errors import AnvilshiftError
from anvilshift.settings.router import RouterSettings

GOOD = {
    "name": "r1",
    "host": "host-1",
    "failure_domain": "poprad",
    "listen": "127.0.0.1:8080",
    "peer_listen": "127.0.0.1:8081",
    "operator_listen": "127.0.0.1:8082",
    "platform": {"address": "127.0.0.1:7000", "credential": "hidden"},
}


class RouterSettingsTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = str(pathlib.Path(directory.name) / "router.yaml")

    def write(self, **changes):
        value = {**GOOD, **changes}
        value = {k: v for k, v in value.items() if v is not None}
        pathlib.Path(self.path).write_text(yaml.safe_dump(value))

    def fail(self, **changes):
        self.write(**changes)
        with self.assertRaises(AnvilshiftError) as caught:
            RouterSettings.from_file(self.path)
        self.assertEqual(caught.exception.code.number, 6001)
        self.assertIn(self.path, caught.exception.detail)
        self.assertNotIn("hidden", caught.exception.detail)
        return caught.exception.detail.removeprefix(f"{self.path}: ")

    def test_good_settings_are_read(self):
        self.write()
        self.assertEqual(RouterSettings.from_file(self.path).lease, 5_000.0)

    def test_errors_name_key_path_and_what_was_expected(self):
        for changes, expected in (
            ({"lease": "5s"}, "lease: unknown key, expected lease_ms"),
            ({"lease_ms": "5s"}, "lease_ms: expected milliseconds as a number"),
            ({"limits": {"body": 1}}, "limits.body: unknown key, expected body_bytes"),
            ({"listen": None}, "listen: Field required"),
            (
                {"listen": "pound.example:80"},
                "listen: expected an IP number and a port",
            ),
            ({"peer_listen": "127.0.0.1:8080"}, "(top): peer_listen: expected another"),
            ({"lease_ms": 1000}, "(top): lease_ms: expected at least 4 times"),
            ({"grace_ms": 1000}, "(top): grace_ms: expected more than"),
            ({"platform": {}}, "platform.address: Field required"),
            ({"operator_credential": "plain"}, "operator_credential: String should"),
        ):
            with self.subTest(changes=changes):
                self.assertTrue(self.fail(**changes).startswith(expected))

    def test_command_starts_nothing_and_exits_with_2(self):
        self.write(lease="5s")
        for arguments in ([], ["--check"]):
            command = [sys.executable, "-m", "anvilshift.operator.main", "router"]
            done = subprocess.run(
                [*command, "--settings", self.path, *arguments],
                capture_output=True,
                text=True,
                timeout=30,
                check=False,
            )
            self.assertEqual(done.returncode, 2)
            self.assertIn("lease: unknown key", done.stderr)
            self.assertNotIn("listens", done.stderr)
