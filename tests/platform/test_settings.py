import contextlib
import io
import os
import pathlib
import tempfile
import unittest
from unittest import mock

from anvilshift.core.admission.callershare import HostLimits
from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.health.coldtargets import ColdBounds
from anvilshift.core.retries import RetryLimits
from anvilshift.platform.main import GatewayProcess, run
from anvilshift.platform.settings import read_settings
from tests.gateway.silent import SilentJournal

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

    def test_returns_are_paced_where_the_settings_ask_for_it(self):
        """Guards against earlier deployments whose targets' returns change."""

        def read(lines: str) -> bool:
            return read_settings(self.write(lines + TEXT)).paces_returns

        self.assertFalse(read(""))
        self.assertFalse(read('contracts = ["base","drain"]'))
        self.assertFalse(read('contracts = ["base","health"]'))
        self.assertTrue(read("pacesReturns = true"))
        self.assertFalse(read("pacesReturns = false"))

    def test_history_is_none_unless_the_settings_state_it(self):
        """Guards against a guessed duration of the store's history.

        With a guess that is too short, a router would take an old usage record for
        a new one, and spent tokens would be granted again.
        """
        self.assertIsNone(read_settings(self.write(TEXT)).history)
        stated = read_settings(self.write(TEXT + "historyS = 20\n"))
        self.assertEqual(stated.history, 20_000.0)

    def test_time_of_recovery_is_read_and_a_short_one_is_no_error(self):
        """Guards against routers that don't start for a bound that they can't keep."""
        self.assertEqual(read_settings(self.write(TEXT)).recovery, 3_000.0)
        for stated, found in (("4000", 4_000.0), ("200", 200.0), ("0", 0.0)):
            text = TEXT.replace("graceS = 8", f"graceS = 8\nstableMs = {stated}")
            self.assertEqual(read_settings(self.write(text)).recovery, found)
        wrong = TEXT.replace("graceS = 8", "graceS = 8\nstableMs = nan")
        with self.assertRaises(AnvilshiftError) as caught:
            read_settings(self.write(wrong))
        self.assertIn("stableMs", caught.exception.detail)

    def test_limits_of_the_host_are_read_and_may_be_missing(self):
        self.assertEqual(read_settings(self.write(TEXT)).limits, HostLimits())
        limits = "[limits]\nlinkMbps = 12.0\nmemoryMb = 251\nmaxFds = 9840\n"
        found = read_settings(self.write(TEXT + limits)).limits
        self.assertEqual(found, HostLimits(12.0, 251.0, 9840))
        for wrong in ("linkMbps = 0", "memoryMb = -1", "maxFds = 1.5"):
            with self.assertRaises(AnvilshiftError):
                read_settings(self.write(TEXT + f"[limits]\n{wrong}\n"))

    def read_retries(self, **values: str) -> RetryLimits:
        bounds = "".join(f"{name} = {value}\n" for name, value in values.items())
        return read_settings(
            self.write(TEXT.replace("retryAllowance = 58\n", bounds))
        ).retries

    def test_rare_writes_are_switched_off_by_a_setting(self):
        """Guards against a fleet that can't go back to frequent records."""
        self.assertTrue(read_settings(self.write(TEXT)).spare_writes)
        path = self.write(f"spareStoreWrites = false\n{TEXT}")
        self.assertFalse(read_settings(path).spare_writes)

    def test_the_limits_of_retries_are_read_or_have_defaults(self):
        found = self.read_retries(
            retryRatio="0.5", retryWindowS="3", retryAllowance="0"
        )
        self.assertEqual(found, RetryLimits(0.5, 3_000.0, 0.0))
        self.assertEqual(self.read_retries(), RetryLimits(0.2, 10_000.0, 40.0))

    def test_the_bounds_of_cold_targets_are_read_or_have_defaults(self):
        bounds = "coldOverage = 2\ncoldAllowance = 0\n"
        path = self.write(TEXT.replace("retryAllowance = 58\n", bounds))
        self.assertEqual(read_settings(path).cold, ColdBounds(2.0, 0.0))
        self.assertEqual(read_settings(self.write(TEXT)).cold, ColdBounds(1.5, 5.0))

    def test_bounds_of_cold_targets_that_make_no_sense_are_refused(self):
        """Guards against a bound that a mistaken setting switches off."""
        for name in ("coldOverage", "coldAllowance"):
            for value in ("-1", "nan", "inf", "1e9", '"x"'):
                text = TEXT.replace("retryAllowance = 58\n", f"{name} = {value}\n")
                with (
                    self.subTest(name=name, value=value),
                    self.assertRaises(AnvilshiftError) as caught,
                ):
                    read_settings(self.write(text))
                self.assertIn(f"bounds.{name}", str(caught.exception))

    def test_limits_of_retries_that_make_no_sense_are_refused(self):
        """Guards against a bound that a mistaken setting switches off."""
        cases = {
            "retryRatio": ("-0.1", "nan", "inf", "1e9", '"x"'),
            "retryWindowS": ("0", "-1", "nan", "inf", "1e9", '"x"'),
            "retryAllowance": ("-1", "nan", "inf", "1e9", '"x"'),
        }
        for name, values in cases.items():
            for value in values:
                with (
                    self.subTest(name=name, value=value),
                    self.assertRaises(AnvilshiftError) as caught,
                ):
                    self.read_retries(**{name: value})
                self.assertIn(f"bounds.{name}", str(caught.exception))

    def test_the_file_is_decoded_and_unknown_fields_are_ignored(self):
        found = read_settings(self.write(TEXT))
        self.assertEqual(
            (found.name, found.failure_domain), ("edge-zilina-1", "zilina")
        )
        self.assertEqual((found.peer_port, found.grace), (7340, 8_000.0))
        self.assertEqual(found.seeds, ("10.1.0.40", "10.2.0.29"))
        self.assertEqual(str(found.store), "10.200.1.7:8223")
        self.assertEqual(found.retries, RetryLimits(allowance=58.0))

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


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "local.toml"
        environment = {"ANVILSHIFT_BOOT": str(self.path)}
        patches = (
            mock.patch.dict(os.environ, environment),
            mock.patch("anvilshift.platform.main.Journal", lambda *_: SilentJournal()),
        )
        for patch in patches:
            patch.start()
            self.addCleanup(patch.stop)
        self.path.write_text(TEXT)
        self.process = GatewayProcess(read_settings(str(self.path)))

    async def test_a_reload_puts_new_limits_of_retries_in_force(self):
        """Guards against operators who lower a bound that nobody reads again."""
        self.path.write_text(TEXT.replace("retryAllowance = 58", "retryAllowance = 3"))
        self.process._reload()
        limits = self.process.node.shared.retries.limits
        self.assertEqual(limits, RetryLimits(allowance=3.0))

    async def test_a_reload_of_a_wrong_file_changes_nothing(self):
        self.path.write_text(TEXT.replace("retryAllowance = 58", "retryAllowance = -3"))
        self.process._reload()
        limits = self.process.node.shared.retries.limits
        self.assertEqual(limits, RetryLimits(allowance=58.0))
