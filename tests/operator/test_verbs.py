"""Test the operator commands: output, exit codes and concurrent changes."""

import asyncio
import json
import pathlib
import unittest

import yaml

from anvilshift.objects.httpstore import HttpObjectStore
from anvilshift.objects.store import update
from anvilshift.operator.explanations import explain
from anvilshift.operator.validation import cross_check
from anvilshift.settings.declarations import parse_declaration
from bench.fleet import OPERATOR_TOKEN, LocalFleet, wait_until


def parse(*values):
    return [parse_declaration(value, "test") for value in values]


def make_policy(name, priority, **labels):
    selector = {"match_labels": labels}
    return {
        "kind": "Policy",
        "name": name,
        "priority": priority,
        "organisations": selector,
    }


GROUP = {
    "kind": "EngineGroup",
    "name": "advisors",
    "target": "model",
    "models": ["advice"],
    "engines": [
        {"name": "e1", "address": "127.0.0.1:1", "failure_domain": "north"},
        {"name": "e2", "address": "127.0.0.1:2", "failure_domain": "north"},
    ],
}
POUND = {
    "kind": "Organisation",
    "name": "pound",
    "budget": "pounds",
    "labels": {"size": "large"},
}


class ExplainTest(unittest.TestCase):
    def test_outcome_of_every_policy_is_explained(self):
        declarations = parse(
            GROUP,
            POUND,
            make_policy("large", 20, size="large"),
            make_policy("all", 10),
            make_policy("also", 20),
            make_policy("small", 90, size="small"),
        )
        (row,) = explain(declarations, "pound", "e2")
        self.assertEqual((row.engine, row.policy, row.priority), ("e2", "large", 20))
        self.assertEqual(
            [(item.policy, item.outcome) for item in row.policies],
            [
                ("large", "decides"),
                ("also", "lost to large by name"),
                ("all", "lost to large by priority"),
                ("small", "organisation lacks size=small"),
            ],
        )


class CrossCheckTest(unittest.TestCase):
    def find(self, *values):
        return [
            (item.severity, item.kind, item.name, item.message.split(":")[0])
            for item in cross_check(parse(*values))
        ]

    def test_valid_declarations_have_no_findings(self):
        budget = {"kind": "Budget", "name": "pounds"}
        route = {"kind": "Route", "name": "advice", "target": "model"}
        found = self.find(GROUP, POUND, budget, route, make_policy("all", 1))
        self.assertEqual(found, [])

    def test_inconsistent_declarations_are_found(self):
        duplicate = {**GROUP, "name": "more", "engines": GROUP["engines"][:1]}
        route = {"kind": "Route", "name": "other", "target": "model"}
        self.assertEqual(
            self.find(GROUP, POUND, route, duplicate),
            [
                ("error", "Organisation", "pound", "budget"),
                ("warning", "Organisation", "pound", "labels"),
                ("error", "Route", "other", "engines"),
                ("error", "EngineGroup", "advisors", "engines"),
                ("warning", "EngineGroup", "advisors", "engines"),
                ("error", "EngineGroup", "more", "engines"),
                ("warning", "EngineGroup", "more", "engines"),
            ],
        )


class CommandsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = LocalFleet(domains=("poprad",))
        self.addCleanup(self.fleet.stop)
        await self.fleet.start()
        self.platform = f"--platform={self.fleet.platform}"

    async def run_command(self, *arguments):
        code, output = await self.fleet.run_operator(*arguments, "--output=json")
        return code, output

    async def test_commands_from_check_to_status(self):
        directory = str(self.fleet.declarations)
        code, output = await self.run_command("check", directory)
        self.assertEqual((code, json.loads(output)["findings"]), (0, []))
        code, output = await self.run_command("diff", directory, self.platform)
        self.assertEqual((code, len(json.loads(output))), (0, 15))
        code, output = await self.run_command("apply", directory, self.platform)
        self.assertEqual((code, json.loads(output)["accepted"]), (0, True))
        code, output = await self.run_command("apply", directory, self.platform)
        summary = json.loads(output)
        self.assertEqual((code, summary["changes"]), (0, []))
        self.assertTrue(summary["accepted"])
        code, output = await self.run_command("diff", directory, self.platform)
        self.assertEqual((code, json.loads(output)), (0, []))
        for _ in range(2):
            code, output = await self.run_command(
                "topup", "kosice", "500", "--id=invoice-7", self.platform
            )
            self.assertEqual((code, json.loads(output)["total"]), (0, 500))
        code, output = await self.run_command("get", "--kind=Budget", self.platform)
        self.assertEqual(len(json.loads(output)), 3)
        code, output = await self.run_command("explain", "kosice", self.platform)
        self.assertEqual(json.loads(output)[0]["policy"], "large-first")
        code, output = await self.run_command("explain", "nobody", self.platform)
        self.assertEqual(code, 2)
        code, output = await self.run_command("status", self.platform)
        (row,) = json.loads(output)
        self.assertEqual((row["name"], row["newest_in_force"]), ("r1", True))

    async def test_router_commands_require_the_operator_credential(self):
        address = str(self.fleet.operators["r1"])
        for command in ("status", "drain"):
            code, output = await self.run_command(command, address, "--token=guess")
            self.assertEqual(code, 1)
            self.assertIn("5004", output)
        path = pathlib.Path(self.fleet.directory) / "operator.token"
        path.write_text(f"{OPERATOR_TOKEN}\n")
        code, output = await self.run_command("status", address, f"--token=@{path}")
        self.assertEqual((code, json.loads(output)["ready"]), (0, True))

    async def test_apply_lists_routers_that_have_not_acknowledged(self):
        """A terminated router blocks acceptance until its record is removed."""
        await self.run_command("apply", str(self.fleet.declarations), self.platform)
        self.fleet.processes["r1"].end()
        path = self.fleet.directory / "more" / "budget.yaml"
        path.parent.mkdir()
        path.write_text(yaml.safe_dump({"kind": "Budget", "name": "late"}))
        code, output = await self.run_command(
            "apply", str(path.parent), self.platform, "--timeout=0.5"
        )
        self.assertEqual((code, json.loads(output)["waiting_for"]), (4, ["r1"]))
        code, output = await self.run_command("forget", "r1", self.platform)
        self.assertEqual((code, json.loads(output)["forgotten"]), (0, True))
        code, output = await self.run_command("apply", str(path.parent), self.platform)
        self.assertEqual((code, json.loads(output)["accepted"]), (0, True))

    async def test_concurrent_change_is_reported_and_not_overwritten(self):
        """Guards against overwriting a concurrent change by another operator.

        One operator has read the stored declarations and is writing many
        changes when the other changes the last of those declarations.
        """
        directory = str(self.fleet.declarations)
        await self.run_command("apply", directory, self.platform)
        for path in self.fleet.declarations.rglob("*.yaml"):
            documents = list(yaml.safe_load_all(path.read_text()))
            for document in documents:
                document["labels"] = {**document.get("labels", {}), "round": "two"}
                if document["kind"] == "Policy":
                    del document["labels"]
            path.write_text(yaml.safe_dump_all(documents))
        lists_before = await self.count_lists()
        await self.fleet.set_faults(self.fleet.platform, delay_ms=150.0)
        applying = asyncio.create_task(
            self.run_command("apply", directory, self.platform)
        )

        async def has_listed():
            return await self.count_lists() > lists_before

        await wait_until(has_listed)
        store = HttpObjectStore(self.fleet.http, self.fleet.platform)
        concurrent_body = {"kind": "Route", "name": "tank-advisor", "target": "model"}
        await update(store, "Route", "tank-advisor", lambda _: concurrent_body)
        await self.fleet.set_faults(self.fleet.platform, delay_ms=0.0)
        code, output = await applying
        summary = json.loads(output)
        self.assertEqual((code, summary["accepted"]), (3, False))
        conflicting = [(item["kind"], item["name"]) for item in summary["lost_races"]]
        self.assertEqual(conflicting, [("Route", "tank-advisor")])
        self.assertEqual(
            (await store.get("Route", "tank-advisor")).body, concurrent_body
        )

    async def count_lists(self):
        """Return the number of list calls; a following router lists only once."""
        answer = await self.fleet.http.call(
            self.fleet.platform, "POST", "/control/calls", body=b"{}"
        )
        return json.loads(answer.body).get("list", 0)

    async def test_unreachable_platform_prints_one_line_and_exits_with_1(self):
        self.fleet.processes["platform"].end()
        code, output = await self.run_command("usage", self.platform)
        self.assertEqual((code, output.count("\n")), (1, 1))
        self.assertIn("5001", output)
