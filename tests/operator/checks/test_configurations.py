import copy
import json
import time
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.retries import RetryLimits
from anvilshift.core.routing import RouteTable
from anvilshift.operator.checks.configurations import Surroundings, find_warnings
from anvilshift.operator.checks.findings import Kind, Severity, find_exit_code
from anvilshift.operator.checks.reports import check_configuration
from anvilshift.operator.checks.sources import Source
from anvilshift.platform.checking import find_invalid
from anvilshift.platform.dialect import PlatformDialect

ROUTE = {
    "name": "r1",
    "hostname": "shop.example",
    "pathPrefix": "/fish/",
    "routeKind": "idempotent",
    "timeoutMs": 1000,
    "latencyGoalMs": 200,
    "service": "desk",
    "maxAttempts": 2,
}
BODY = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "desk"}],
    "tenants": [{"name": "pound", "apiKeys": ["k1"], "reserved": 1000}],
}
LARGE = 1_000_000
LARGE_IN_S = 1.0


def make_source(body) -> Source:
    text = json.dumps(body, indent=1)
    return Source("new.json", text, (body,), is_json=True)


def change(path, value) -> dict:
    body = copy.deepcopy(BODY)
    inner = body
    for key in path[:-1]:
        inner = inner[key]
    inner[path[-1]] = value
    return body


def list_kinds(body) -> list[tuple[Kind, str]]:
    found = check_configuration(make_source(body)).findings
    return [(one.kind, one.message) for one in found]


class WarningTest(unittest.TestCase):
    def test_sound_configuration_has_no_findings(self):
        report = check_configuration(make_source(BODY), BODY)
        self.assertEqual((report.findings, report.differences), ([], []))
        self.assertEqual((report.checked, find_exit_code(report.findings)), (1, 0))

    def test_each_mistake_is_found_once(self):
        second = {**ROUTE, "name": "r2", "hostname": "SHOP.example"}
        model = {"name": "desk", "engineId": {"stride": 5}}
        cases = [
            (("routes",), [ROUTE, second], Kind.NEVER_MATCHES, "same prefix"),
            (("routes", 0, "pathPrefix"), "fish/", Kind.NEVER_MATCHES, "slash"),
            (("routes", 0, "hostname"), "a:80", Kind.NEVER_MATCHES, "ports"),
            (("services",), [{"name": "desk"}, {"name": "b"}], Kind.UNUSED, "no route"),
            (("routes", 0, "timeoutMs"), 100, Kind.CONTRADICTION, "over the timeout"),
            (("routes", 0, "maxAttempts"), 0, Kind.CONTRADICTION, "at none"),
            (("routes", 0, "maxAttempts"), 1, Kind.CONTRADICTION, "no retries"),
            (("routes", 0, "itlTargetMs"), 9, Kind.CONTRADICTION, "only streams"),
            (("routes", 0, "resumable"), True, Kind.CONTRADICTION, "only streams"),
            (("tenants", 0, "apiKeys"), [], Kind.NEVER_MATCHES, "no credential"),
            (("limits",), {"maxBodyBytes": 0}, Kind.CONTRADICTION, "with a body"),
        ]
        for path, value, kind, message in cases:
            with self.subTest(path=path, value=value):
                ((found, text),) = list_kinds(change(path, value))
                self.assertEqual(found, kind)
                self.assertIn(message, text)
        body = change(("tenants", 0, "reserved"), 4)
        body["services"] = [model]
        ((found, text),) = list_kinds(body)
        self.assertIn("no model request fits", text)

    def test_service_that_is_not_there_or_gets_nothing(self):
        split = [{"service": "desk", "weight": 0}, {"service": "gone", "weight": 1}]
        found = list_kinds(change(("routes", 0, "split"), split))
        self.assertEqual(
            [kind for kind, _ in found],
            [Kind.NEVER_MATCHES, Kind.REFERENCE, Kind.UNUSED],
        )
        split = [{"service": "desk", "weight": 0}]
        found = list_kinds(change(("routes", 0, "split"), split))
        self.assertIn("each request fails", found[0][1])

    def test_retries_that_the_fleet_has_no_room_for(self):
        configuration = PlatformDialect().read_configuration(BODY)
        for known, message in (
            (Surroundings(retries=RetryLimits(ratio=0.0, allowance=0.0)), "allow none"),
            (Surroundings(targets={"desk": 1}), "2 targets for a request"),
            (Surroundings(targets={}), "desk has 0"),
        ):
            (found,) = find_warnings(configuration, known)
            self.assertEqual(found.kind, Kind.CONTRADICTION)
            self.assertIn(message, found.message)
        enough = Surroundings(RetryLimits(ratio=0.1), {"desk": 2})
        self.assertEqual(find_warnings(configuration, enough), [])

    def test_line_is_that_of_the_field(self):
        source = make_source(change(("routes", 0, "timeoutMs"), 100))
        (finding,) = check_configuration(source).findings
        line = source.text.splitlines()[finding.line - 1]
        self.assertIn("latencyGoalMs", line)

    def test_object_as_the_store_holds_it_is_read(self):
        body = {
            "metadata": {"name": "main"},
            "spec": change(("routes", 0, "service"), 5),
        }
        (finding,) = check_configuration(make_source(body)).findings
        self.assertEqual(finding.severity, Severity.ERROR)
        line = make_source(body).text.splitlines()[finding.line - 1]
        self.assertIn('"service": 5', line)

    def test_megabyte_takes_less_than_a_second(self):
        route = {**ROUTE, "latencyGoalMs": 2000}
        prefixes = range(LARGE // len(json.dumps(route)))
        body = {
            **BODY,
            "routes": [{**route, "pathPrefix": f"/p{number}/"} for number in prefixes],
        }
        source = make_source(body)
        self.assertGreater(len(source.text), LARGE)
        begun = time.process_time()
        report = check_configuration(source, BODY)
        self.assertLess(time.process_time() - begun, LARGE_IN_S)
        self.assertEqual(len(report.findings), len(prefixes) + 1)


ODD = st.none() | st.booleans() | st.integers(-2, 9) | st.text("a/5", max_size=3)
ODD |= st.lists(st.integers(0, 1), max_size=1) | st.just({})
FIELDS = st.sampled_from(
    [("version",), ("routes",), ("services",), ("tenants",), ("limits",)]
    + [("routes", 0, name) for name in (*ROUTE, "split", "priority", "itlTargetMs")]
    + [("services", 0, name) for name in ("name", "engineId", "maxConns")]
    + [("tenants", 0, name) for name in ("name", "apiKeys", "reserved", "priority")]
)


class RefusalTest(unittest.TestCase):
    """Guards against errors that the fleet wouldn't refuse, and the other way round."""

    @settings(max_examples=300, deadline=None)
    @given(FIELDS, ODD)
    def test_errors_are_what_the_gateways_refuse(self, path, value):
        body = change(path, value)
        try:
            PlatformDialect().read_configuration(body)
            refused = False
        except AnvilshiftError:
            refused = True
        report = check_configuration(make_source(body))
        errors = [one for one in report.findings if one.severity is Severity.ERROR]
        self.assertEqual(bool(errors), refused)
        self.assertEqual(bool(find_invalid(body)), refused)

    @settings(max_examples=200, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(["a", "A", "b", "a:1", ""]),
                st.sampled_from(["/", "/x/", "/x/y/", "x/", ""]),
            ),
            max_size=5,
        )
    )
    def test_route_that_never_matches_is_never_found(self, pairs):
        routes = [{**ROUTE, "hostname": h, "pathPrefix": p} for h, p in pairs]
        configuration = PlatformDialect().read_configuration({**BODY, "routes": routes})
        table = RouteTable(configuration)
        hosts, paths = ("a", "A", "b", "a:1", "b:2"), ("/", "/x/", "/x/y/", "/z")
        found = [table.find(host, path) for host in hosts for path in paths]
        warned = {
            one.name
            for one in find_warnings(configuration)
            if one.kind is Kind.NEVER_MATCHES and one.section == "rules"
        }
        for index, rule in enumerate(configuration.rules):
            self.assertEqual(any(one is rule for one in found), index not in warned)


class OutdatedTest(unittest.TestCase):
    def test_version_that_gateways_would_ignore_is_an_error(self):
        newer = {**change(("routes", 0, "timeoutMs"), 900), "version": 7}
        (finding,) = check_configuration(make_source(newer), BODY).findings
        self.assertEqual(finding.kind, Kind.OUTDATED)
        self.assertEqual(find_exit_code([finding]), 2)
        newer["version"] = 8
        self.assertEqual(check_configuration(make_source(newer), BODY).findings, [])
