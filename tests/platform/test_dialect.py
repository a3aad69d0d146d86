import math
import unittest

from anvilshift.core.errors import AnvilshiftError
from anvilshift.core.placement.toldload import ToldLoad
from anvilshift.core.routing import RequestKind
from anvilshift.gateway.border import TargetFields
from anvilshift.platform.dialect import PlatformDialect
from anvilshift.wire.messages import Headers, HttpRequest

ENTRY = {
    "service": "huvo11a",
    "address": "10.128.0.9:8080",
    "zone": "zilina",
    "version": "v1",
    "slots": 64,
    "state": "ready",
    "coldLeftMs": 0,
    "sequence": 4,
    "born": 1_700_000_000_000,
}
CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            "name": "r-1",
            "hostname": "ficu95.example",
            "pathPrefix": "/lohu930/",
            "routeKind": "streaming",
            "timeoutMs": 15000,
            "latencyGoalMs": 1000,
            "priority": 1,
            "split": [
                {"service": "huvo11a", "weight": 90},
                {"service": "wuno96b", "weight": 10},
            ],
            "maxAttempts": 1,
            "anonymous": False,
            "sticky": True,
            "resumable": False,
            "itlTargetMs": 300,
        },
        {
            "hostname": "ficu95.example",
            "pathPrefix": "/x/",
            "routeKind": "something new",
            "timeoutMs": 1000,
            "service": "wuno96b",
        },
    ],
    "services": [
        {
            "name": "huvo11a",
            "maxConns": 370,
            "engineId": {"slots": 64, "kvCapacity": 428428, "stride": 5, "most": 12},
        },
        {"name": "wuno96b", "maxConns": 110},
    ],
    "limits": {
        "maxHeaderBytes": 16384,
        "maxBodyBytes": 4194304,
        "headerTimeoutMs": 3000,
        "idleTimeoutMs": 15000,
    },
    "tenants": [
        {"name": "hule930", "apiKeys": ["k1", "k2"], "priority": 1, "reserved": 2654915}
    ],
}
HEADERS = [
    ("Host", "ficu95.example"),
    ("Anvilshift-Attempt-Id", "9c41"),
    ("Anvilshift-Model", "m"),
    ("Anvilshift-Token-Usage", "1460,80"),
    ("Anvilshift-Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"),
    ("Anvilshift-Deadline-Ms", "15000"),
    ("Authorization", "Bearer k1"),
    ("Connection", "keep-alive, X-Hop"),
    ("X-Hop", "1"),
    ("X-Other", "kept"),
    ("Kv-From", "10.0.0.1:1/7"),
    ("Anvilshift-Pin-Ms", "5"),
    ("Anvilshift-Tenant", "somebody-else"),
]


def make_request(headers=HEADERS) -> HttpRequest:
    return HttpRequest("POST", "/lohu930/2f?a=1", Headers(headers), b"body")


class DialectTest(unittest.TestCase):
    def setUp(self):
        self.dialect = PlatformDialect()

    def test_prompt_has_its_model_and_the_parts_that_others_share(self):
        headers = [
            ("host", "shop.example"),
            ("anvilshift-attempt-id", "9c41"),
            ("anvilshift-model", "m"),
            ("anvilshift-token-usage", "1460,80"),
            ("anvilshift-prefix-hash", "5c1e:800,91bd:410,e440:250"),
        ]
        prompt = self.dialect.read_call(make_request(headers)).prompt
        self.assertEqual(prompt.model, "m")
        self.assertEqual(prompt.shared_parts, ["5c1e", "91bd"])

    def test_a_configuration_is_decoded(self):
        found = self.dialect.read_configuration(CONFIGURATION)
        rule = found.rules[0]
        self.assertEqual((found.version, rule.kind), (7, RequestKind.STREAMING))
        self.assertEqual(rule.services, (("huvo11a", 90.0), ("wuno96b", 10.0)))
        self.assertEqual((rule.timeout, rule.objective), (15_000.0, 1_000.0))
        self.assertEqual(
            (rule.pause_objective, rule.max_targets_per_request), (300.0, 1)
        )
        self.assertEqual(found.services["huvo11a"].model.cache_tokens, 428_428)
        self.assertEqual(found.services["huvo11a"].model.tokens_per_event, 5)
        self.assertIsNone(found.services["wuno96b"].model)
        self.assertEqual(found.organisations["hule930"].reserved, 2_654_915)
        self.assertEqual(found.limits.idle_timeout, 15_000.0)

    def test_an_unknown_kind_of_route_is_treated_as_non_idempotent(self):
        found = self.dialect.read_configuration(CONFIGURATION)
        self.assertEqual(found.rules[1].kind, RequestKind.NON_IDEMPOTENT)
        self.assertFalse(found.rules[1].repeatable)

    def test_an_invalid_configuration_is_refused_with_the_field(self):
        with self.assertRaises(AnvilshiftError) as caught:
            self.dialect.read_configuration({"version": "x"})
        self.assertIn("version", caught.exception.detail)

    def test_configuration_without_routes_or_services_is_unreadable(self):
        """Guards against a part of a configuration that refuses every request."""
        for missing in ("routes", "services"):
            part = {k: v for k, v in CONFIGURATION.items() if k != missing}
            with self.assertRaises(AnvilshiftError) as caught:
                self.dialect.read_configuration(part)
            self.assertIn(missing, caught.exception.detail)

    def test_an_entry_is_decoded(self):
        found = self.dialect.read_target("i-1", ENTRY, 0.0)
        self.assertEqual(
            (found.name, found.service, found.slots), ("i-1", "huvo11a", 64)
        )
        self.assertEqual((found.leaving, found.born), (False, 1_700_000_000_000))
        leaving = self.dialect.read_target("i-1", {**ENTRY, "state": "draining"}, 0.0)
        self.assertTrue(leaving.leaving)

    def test_an_invalid_entry_is_no_target(self):
        for change in (
            {"state": "resting"},
            {"slots": "many"},
            {"address": "nowhere"},
            {"address": None},
            {"service": 7},
        ):
            with self.subTest(change):
                entry = {**ENTRY, **change}
                self.assertIsNone(self.dialect.read_target("i-1", entry, 0.0))
        self.assertIsNone(self.dialect.read_target("i-1", {}, 0.0))

    def test_a_call_is_decoded(self):
        call = self.dialect.read_call(make_request())
        self.assertEqual((call.identity, call.host), ("9c41", "ficu95.example"))
        self.assertEqual((call.credential, call.patience), ("k1", 15_000.0))
        self.assertEqual((call.prompt.tokens, call.prompt.most_answer), (1460, 80))
        self.assertEqual(call.prompt.parts[1], ("91bd3f06", 410))

    def test_malformed_headers_are_refused_with_an_error_code(self):
        for name, value in (
            ("Anvilshift-Deadline-Ms", "soon"),
            ("Anvilshift-Deadline-Ms", "-5"),
            ("Anvilshift-Deadline-Ms", "nan"),
            ("Anvilshift-Token-Usage", "many"),
            ("Anvilshift-Token-Usage", "1,2,3"),
        ):
            with self.subTest(value):
                headers = [(n, v) for n, v in HEADERS if n != name] + [(name, value)]
                with self.assertRaises(AnvilshiftError) as caught:
                    self.dialect.read_call(make_request(headers))
                self.assertEqual(caught.exception.code.number, 1009)

    def test_reserved_and_hop_headers_are_replaced_when_forwarding(self):
        delivery = TargetFields("i-1", "hule930", 1234.9, 3, "10.0.0.2:80", "17")
        fields = self.dialect.write_target_fields(make_request(), delivery)
        found = dict(fields)
        self.assertEqual(len(found), len(fields))
        self.assertEqual(found["x-other"], "kept")
        self.assertEqual(found["anvilshift-attempt-id"], "9c41")
        self.assertEqual(found["anvilshift-tenant"], "hule930")
        self.assertEqual(found["anvilshift-deadline-ms"], "1234")
        self.assertEqual(found["anvilshift-expect-instance"], "i-1")
        self.assertEqual(found["kv-fetch"], "10.0.0.2:80")
        self.assertEqual(found["last-event-id"], "17")
        for name in ("authorization", "kv-from", "anvilshift-pin-ms", "x-hop", "host"):
            self.assertNotIn(name, found)

    def test_an_anonymous_request_names_no_organisation(self):
        fields = self.dialect.write_target_fields(
            make_request(), TargetFields("i-1", None, 5.0)
        )
        self.assertNotIn("anvilshift-tenant", dict(fields))

    def test_an_answer_is_decoded(self):
        signed = Headers(
            [("Anvilshift-Attempt-Id", "9c41"), ("Anvilshift-Engine-Signature", "s")]
        )
        notes = self.dialect.read_answer_fields(200, signed)
        self.assertEqual(
            (notes.identity, notes.signed, notes.not_run), ("9c41", True, False)
        )
        shed = self.dialect.read_answer_fields(
            503, Headers([("Anvilshift-Not-Executed", "1")])
        )
        self.assertTrue(shed.not_run)
        self.assertTrue(self.dialect.read_answer_fields(421, Headers()).misdirected)

    def test_a_limit_is_a_number_of_requests_a_second(self):
        def read(value: str) -> float | None:
            return self.dialect.read_answer_fields(
                200, Headers([("Server-Limit", value)])
            ).limit

        self.assertIsNone(self.dialect.read_answer_fields(200, Headers()).limit)
        self.assertEqual((read("1.6"), read(" 20 "), read("0")), (1.6, 20.0, 0.0))
        for value in ("", "soon", "-1", "inf", "nan", "1,2"):
            self.assertTrue(math.isnan(read(value)), value)

    def test_the_load_that_a_target_tells_is_read(self):
        def read(value: str) -> tuple[ToldLoad | None, bool]:
            headers = Headers([("Anvilshift-Engine-Load", value)])
            notes = self.dialect.read_answer_fields(200, headers)
            return notes.load, notes.has_bad_load

        self.assertEqual(read("3,0,8"), (ToldLoad(3, 0, 8), False))
        self.assertEqual(read(" 3, 1,8,250"), (ToldLoad(3, 1, 8, 2.5), False))
        none = self.dialect.read_answer_fields(200, Headers())
        self.assertEqual((none.load, none.has_bad_load), (None, False))
        for value in ("", "3", "3,0", "a,b,c", "3,0,8,", "-1,0,8", "1,0,8,nan"):
            self.assertEqual(read(value), (None, True), value)
        self.assertEqual(read("1," * 99 + "1"), (None, True))

    def test_retry_after_is_read_in_seconds(self):
        def read(value: str) -> float | None:
            return self.dialect.read_answer_fields(
                503, Headers([("Retry-After", value)])
            ).pause

        self.assertEqual((read("2"), read("0.25")), (2_000.0, 250.0))
        for value in ("soon", "-1", "Wed, 21 Oct 2015 07:28:00 GMT"):
            self.assertIsNone(read(value), value)


class OddTargetTest(unittest.TestCase):
    """Guards against what a target says oddly and that costs more than itself."""

    def test_report_that_can_not_be_read_tells_no_start(self):
        bodies = (
            b'{"born":' + b"9" * 5_000 + b"}",
            b'{"born":1e400}',
            b'{"born":1,"x":' + b"[" * 5_000 + b"]" * 5_000 + b"}",
            b'{"born":"\xff"}',
            b"[" * 100_000,
            b"",
        )
        for body in bodies:
            with self.subTest(body[:20]):
                self.assertIsNone(PlatformDialect().read_start(200, body))

    def test_headers_that_can_not_be_read_announce_nothing(self):
        for value in ("9" * 400, "1e400", "nan", "-1", "1" * 5_000, ",,"):
            pairs = [
                ("anvilshift-engine-load", value),
                ("anvilshift-engine-load", f"{value},0,8"),
                ("retry-after", value),
                ("server-limit", value),
                ("server-brittle", value),
            ]
            for pair in pairs:
                with self.subTest(pair):
                    fields = PlatformDialect().read_answer_fields(503, Headers([pair]))
                    self.assertIsNone(fields.load)
                    self.assertIn(fields.pause, (None, 3_000.0))
                    limits = (fields.limit, fields.brittle)
                    self.assertTrue(
                        all(x is None or x != x or x == 3.0 for x in limits)
                    )


class OddCallerTest(unittest.TestCase):
    """Guards against token counts that no arithmetic of the router bears."""

    def test_counts_that_are_too_large_are_refused_as_malformed(self):
        sound = {"anvilshift-token-usage": "7,3", "anvilshift-prefix-hash": "a:7"}
        for name, value in (
            ("anvilshift-token-usage", "9" * 400 + ",3"),
            ("anvilshift-token-usage", "7," + "9" * 400),
            ("anvilshift-prefix-hash", "a:" + "9" * 400),
        ):
            headers = {"host": "h", "anvilshift-attempt-id": "a", **sound, name: value}
            request = HttpRequest("POST", "/x", Headers(list(headers.items())), b"")
            with self.subTest(value[:5]), self.assertRaises(AnvilshiftError) as caught:
                PlatformDialect().read_call(request)
            self.assertEqual(caught.exception.code.number, 1009)


if __name__ == "__main__":
    unittest.main()
