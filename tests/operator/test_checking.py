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
from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.errors import AnvilshiftError
from anvilshift.operator.checking import CheckCommand, check_path
from anvilshift.operator.checks.findings import Kind
from anvilshift.operator.checks.reports import Report
from anvilshift.settings.declarations import read_documents
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


class OddInputTest(CheckCase):
    """Guards against a trace, or a mistake that nobody is told of."""

    def run_text(self, name: str, text: str, **options) -> tuple[int, str]:
        (self.folder / name).write_text(text)
        with contextlib.redirect_stderr(io.StringIO()) as errors:
            code, lines = self.run_check(str(self.folder / name), **options)
        return code, "\n".join([*lines, errors.getvalue()])

    def test_yaml_that_the_library_fails_on(self):
        aliases = "a: &a [x, x, x, x, x, x, x, x, x, x]\n"
        for this, following in zip("abcdef", "bcdefg", strict=True):
            aliases += f"{following}: &{following} [{', '.join([f'*{this}'] * 10)}]\n"
        cases = {
            "a: !!timestamp x": "doesn't fit its tag",
            "a: !!bool x": "doesn't fit its tag",
            'a: !!int ""': "doesn't fit its tag",
            "a: &a [*a]": "holds itself",
            aliases: "with its aliases",
            "[" * 100_000: "nesting",
        }
        for text, expected in cases.items():
            with self.subTest(text=text[:20]):
                code, told = self.run_text("f.yaml", text)
                self.assertEqual(code, 2)
                self.assertIn(expected, told)

    def test_odd_paths_and_options(self):
        good = self.write("new.json", BODY)
        path = str(self.folder / ("a" * 5_000))
        for name, options in (
            (path, {}),
            (good, {"against": 17}),
            (good, {"platform": 5}),
            (good, {"settings": 5}),
        ):
            with contextlib.redirect_stderr(io.StringIO()) as errors:
                self.assertEqual(self.run_check(name, **options), (2, []))
            self.assertTrue(errors.getvalue())

    def test_file_without_a_declaration(self):
        for text in ("", "# nothing\n", "---\n---\n"):
            code, told = self.run_text("f.yaml", text)
            self.assertEqual(code, 1)
            self.assertIn("no declaration", told)
        self.assertEqual(self.run_text("f.json", "null")[0], 2)

    def test_error_is_told_with_its_code_also_as_json(self):
        code, told = self.run_text("f.json", '{"routes": 5}')
        self.assertEqual(code, 2)
        self.assertIn("(5003)", told)
        code, told = self.run_text("f.json", "{", json=True)
        self.assertEqual(code, 2)
        self.assertIn('"error": "6002', told)

    def test_figures_that_are_no_numbers_and_names_that_are_no_text(self):
        route = {**ROUTE, "name": "a\n\x1b[31m\ud800", "timeoutMs": float("nan")}
        code, told = self.run_text("f.json", json.dumps({**BODY, "routes": [route]}))
        self.assertEqual((code, len(told.splitlines())), (1, 2))
        self.assertIn(r"a\n\x1b[31m\ud800", told)
        self.assertIn("no request fits into a timeout of nan", told)
        split = [{"service": "desk", "weight": float("inf")}]
        route = {**ROUTE, "split": split}
        code, told = self.run_text("f.json", json.dumps({**BODY, "routes": [route]}))
        self.assertIn("no sum that is a number", told)

    def test_entries_whose_name_a_later_one_has(self):
        twice = {"services": BODY["services"] * 2, "tenants": BODY["tenants"] * 2}
        path = self.write("new.json", {**BODY, **twice})
        code, lines = self.run_check(path)
        self.assertEqual((code, len(lines)), (1, 3))
        for line in lines[:2]:
            self.assertIn("a later entry has the same name", line)

    def test_reference_that_leads_nowhere_is_taken_by_the_fleet(self):
        path = self.write("all.yaml", DECLARATIONS[1:])
        code, lines = self.run_check(path)
        self.assertEqual((code, len(lines)), (1, 2))
        self.assertIn("warning reference: Organisation pound: budget", lines[0])


DECLARED = st.sampled_from([*DECLARATIONS, {"kind": "Route", "name": "r"}])
ODD = st.none() | st.booleans() | st.integers(-2, 9) | st.text("a/5", max_size=3)
ODD |= st.lists(st.text("a"), max_size=1) | st.just({}) | st.floats()
FIELDS = ["kind", "name", "budget", "labels", "credentials", "engines", "weight"]
FIELDS += ["target", "models", "grant", "cost", "timeout_ms", "priority", "x"]


class DeclarationRefusalTest(CheckCase):
    """Guards against errors that `apply` wouldn't refuse, and the other way round."""

    @settings(max_examples=150, deadline=None)
    @given(st.lists(st.tuples(DECLARED, st.sampled_from(FIELDS), ODD), max_size=4))
    def test_errors_are_what_apply_refuses(self, changes):
        values = [{**one, field: value} for one, field, value in changes]
        path = self.write("f.yaml", values)
        try:
            read_documents(str(self.folder))
            refused = False
        except AnvilshiftError:
            refused = True
        if values and all("kind" in one for one in values):
            report = check_path(path, "", "")
            errors = [one for one in report.findings if one.code is not None]
            self.assertEqual(bool(errors), refused)
