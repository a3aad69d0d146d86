"""A megabyte of each kind is checked in under a second of processor time."""

import gc
import json
import pathlib
import tempfile
import time
import unittest

import yaml

from anvilshift.operator.checking import check_path
from tests.operator.checks.test_configurations import BODY, LARGE, LARGE_IN_S, ROUTE


def fill(make):
    """Return entries that take a megabyte as JSON."""
    size = len(json.dumps(make(1_000)))
    return [make(number) for number in range(1_000, 1_000 + LARGE // size)]


class LargeTest(unittest.TestCase):
    """Guards against work that grows faster than the file."""

    def check(self, name: str, text: str) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, name)
            path.write_text(text)
            # The command does so too.
            gc.disable()
            self.addCleanup(gc.enable)
            begun = time.process_time()
            check_path(str(path), "", "")
            self.assertLess(time.process_time() - begun, LARGE_IN_S)

    def test_organisations_without_a_credential(self):
        tenants = fill(lambda number: {"name": f"t{number}"})
        self.check("f.json", json.dumps({**BODY, "tenants": tenants}))

    def test_services_without_a_route(self):
        services = fill(lambda number: {"name": f"s{number}"})
        self.check("f.json", json.dumps({**BODY, "services": services}))

    def test_routes_that_are_no_routes(self):
        routes = fill(lambda number: {"x": number})
        self.check("f.json", json.dumps({**BODY, "routes": routes}))

    def test_routes_as_yaml(self):
        routes = fill(lambda number: {**ROUTE, "pathPrefix": f"/{number}/"})
        body = {**BODY, "routes": routes}
        self.check("f.yaml", yaml.dump(body, Dumper=yaml.CSafeDumper))

    def test_policies_over_as_many_organisations(self):
        def select(number):
            return {"match_labels": {"n": str(number)}}

        documents = [{"kind": "Budget", "name": "b"}]
        for number in range(LARGE // 450):
            name, labels = f"n{number}", {"n": str(number)}
            group = {"name": name, "target": "service", "labels": labels}
            documents += [
                {
                    "kind": "Organisation",
                    "name": name,
                    "budget": "b",
                    "labels": labels,
                    "credentials": [f"{number:064x}"],
                },
                {"kind": "EngineGroup", **group, "engines": []},
                {"kind": "Policy", "name": name, "organisations": select(number)},
            ]
        text = yaml.dump_all(documents, Dumper=yaml.CSafeDumper)
        self.check("f.yaml", text)
