"""The `check` verb as an operator runs it: output, exit codes, comparisons."""

import asyncio
import contextlib
import copy
import io
import json
import pathlib
import tempfile
import unittest

import yaml

from anvilshift.core.errors import AnvilshiftError
from anvilshift.operator.checking import CheckCommand, check_path
from anvilshift.operator.checks.findings import Kind
from anvilshift.operator.checks.reports import Report
from bench.ports import take_free_port
from tests.operator.checks.test_configurations import BODY, ROUTE
from tests.platform.gatewaycase import GatewayCase

DECLARATIONS = [
    {"kind": "Budget", "name": "pounds"},
    {
        "kind": "Organisation",
        "name": "pound",
        "budget": "pounds",
        "labels": {"size": "large"},
        "credentials": ["a" * 64],
    },
    {
        "kind": "EngineGroup",
        "name": "advisors",
        "target": "model",
        "models": ["advice"],
        "engines": [
            {"name": "e1", "address": "127.0.0.1:1", "failure_domain": "north"},
        ],
    },
    {"kind": "Policy", "name": "all"},
]


class CheckCase(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name: str, value) -> str:
        path = self.folder / name
        if name.endswith(".json"):
            path.write_text(json.dumps(value, indent=1))
        else:
            path.write_text(yaml.safe_dump_all(value, sort_keys=False))
        return str(path)

    def run_check(self, path: str, **options) -> tuple[int, list[str]]:
        output = io.StringIO()
        with contextlib.redirect_stdout(output), self.assertRaises(SystemExit) as end:
            CheckCommand().check(path, **options)
        return end.exception.code, output.getvalue().splitlines()


class ConfigurationTest(CheckCase):
    def test_exit_codes_are_those_of_the_worst_finding(self):
        path = self.write("new.json", BODY)
        self.assertEqual(self.run_check(path), (0, ["1 entries, 0 findings"]))
        changed = {**BODY, "routes": [{**ROUTE, "timeoutMs": 100}]}
        code, lines = self.run_check(self.write("new.json", changed))
        self.assertEqual((code, len(lines)), (1, 2))
        self.assertTrue(lines[0].startswith(f"{path}:10: warning contradiction: "))
        del changed["version"]
        code, lines = self.run_check(self.write("new.json", changed))
        self.assertEqual((code, len(lines)), (2, 2))
        self.assertIn(": error invalid: version: ", lines[0])

    def test_differences_and_json(self):
        old = self.write("old.json", BODY)
        changed = copy.deepcopy({**BODY, "version": 9})
        changed["tenants"][0]["apiKeys"] = []
        new = self.write("new.yaml", [changed])
        code, lines = self.run_check(new, against=old)
        self.assertEqual(code, 1)
        self.assertIn("takes away: organisation pound: its credentials: 1", lines)
        code, lines = self.run_check(new, against=old, json=True)
        told = json.loads("\n".join(lines))
        self.assertEqual(code, 1)
        self.assertEqual(told["differences"][0]["effect"], "takes-away")
        self.assertEqual(told["findings"][0]["kind"], "never-matches")

    def test_comparison_with_another_kind_of_file_is_refused(self):
        new = self.write("new.json", BODY)
        other = self.write("other.yaml", DECLARATIONS)
        closed = f"127.0.0.1:{take_free_port()}"
        for options in (
            {"against": other},
            {"against": "no.json"},
            {"platform": closed},
        ):
            with contextlib.redirect_stderr(io.StringIO()) as errors:
                self.assertEqual(self.run_check(new, **options), (2, []))
            self.assertEqual(len(errors.getvalue().splitlines()), 1)


class DeclarationsTest(CheckCase):
    def test_findings_name_file_and_line(self):
        path = self.write("all.yaml", DECLARATIONS)
        self.assertEqual(self.run_check(path), (0, ["4 entries, 0 findings"]))
        selector = {"match_labels": {"size": "small"}}
        unmet = {"kind": "Policy", "name": "some", "organisations": selector}
        self.write("all.yaml", [*DECLARATIONS, unmet])
        code, lines = self.run_check(str(self.folder))
        self.assertEqual((code, len(lines)), (1, 2))
        self.assertIn("Policy some: organisations: no organisation has", lines[0])
        text = pathlib.Path(path).read_text().splitlines()
        number = int(lines[0].split(":")[1])
        self.assertIn("match_labels", text[number - 1])

    def test_all_invalid_ones_are_told(self):
        wrong = [{**DECLARATIONS[0], "grant": 0}, {"kind": "Fish"}, DECLARATIONS[0]]
        path = self.write("all.yaml", [*wrong, DECLARATIONS[0]])
        code, lines = self.run_check(path)
        self.assertEqual((code, len(lines)), (2, 4))
        for line, expected in zip(lines, ("grant", "kind", "twice"), strict=False):
            self.assertIn(expected, line)

    def test_what_a_change_takes_away(self):
        old = self.write("old.yaml", DECLARATIONS)
        changed = copy.deepcopy(DECLARATIONS[:3])
        changed[1]["credentials"] = ["b" * 64]
        changed[0]["grant"] = 9
        new = self.write("new.yaml", changed)
        _, lines = self.run_check(new, against=old)
        told = [line for line in lines if " " in line and "warning" not in line][:-1]
        self.assertEqual(
            told,
            [
                "takes away: Organisation pound: credentials: 1",
                "takes away: Policy all: with --prune; it stays without",
                "changes: Budget pounds: grant: None -> 9",
                "adds: Organisation pound: credentials: 1",
            ],
        )


class StoredTest(GatewayCase):
    """Comparison with the configuration in force, over the platform's protocol."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name, "new.json")
        routes = [{**ROUTE, "pathPrefix": "/crab/"}]
        self.path.write_text(json.dumps({**BODY, "routes": routes}))

    def check(self, against: str) -> Report:
        return check_path(str(self.path), against, str(self.store_address), "")

    async def test_version_in_force_is_compared_with(self):
        self.store_stub.put("config", "main", BODY)
        report = await asyncio.to_thread(self.check, "7")
        few, outdated = report.findings
        self.assertIn("desk has 0", few.message)
        self.assertEqual(outdated.kind, Kind.OUTDATED)
        self.assertIn("route shop.example/fish/", report.differences[0].subject)
        with self.assertRaises(AnvilshiftError) as caught:
            await asyncio.to_thread(self.check, "8")
        self.assertIn("version 7 is in force", str(caught.exception))
