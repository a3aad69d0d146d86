"""Invalid input gets a numbered error and costs nothing; the router keeps serving."""

import asyncio
import json
import unittest
from unittest import mock

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from anvilshift.core.errors import AnvilshiftError
from anvilshift.engines.http import TargetError, _feed, _read_piece
from anvilshift.router.requests import parse_chat_request, parse_service_call
from anvilshift.wire.events import EventReader
from anvilshift.wire.messages import Headers, HttpRequest
from tests.router.fleetlet import Fleetlet, make_chat, read_code

CHAT = "/v1/chat/completions"
WORD = st.text(max_size=8)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | WORD,
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(WORD, inner, max_size=3)
    ),
    max_leaves=8,
)
CHAT_FIELDS = st.sampled_from(
    ["model", "messages", "max_tokens", "stream", "n", "anvilshift", "tools"]
)


class BadInputTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = Fleetlet(engines=2)
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.start()

    async def check_still_serves(self):
        """Check that nothing was billed and that valid requests are still served."""
        self.assertEqual(self.fleet.spent, 0)
        self.assertEqual(self.fleet.nodes[0].callers.in_flight, 0)
        self.assertEqual((await self.fleet.chat("good work")).status, 200)

    async def send_raw(self, data: bytes) -> bytes:
        address = self.fleet.addresses[0]
        reader, writer = await asyncio.open_connection(address.ip, address.port)
        writer.write(data)
        async with asyncio.timeout(5):
            answer = await reader.readuntil(b"\r\n\r\n")
            answer += await reader.read(4_096)
        writer.close()
        return answer

    async def test_bodies(self):
        deep = b'{"model":"m","messages":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        shallow = b"[" * 900 + b"]" * 900
        nested = make_chat("tank")[:-1] + b',"x":' + shallow + b"}"
        for body, codes in (
            (b"", (1001,)),
            (b"\xff\xfe\x00", (1001,)),
            (b'{"model": NaN}', (1001,)),
            (deep, (1001,)),
            (nested, (0, 1001)),
            (b'[{"model":"m"}]', (1001,)),
            (b'{"model":"m","messages":[]}', (1009,)),
            (
                b'{"model":"m","messages":[{"role":"user","content":"\\ud800"}]}',
                (1009,),
            ),
            (make_chat("tank", extra={"model": "other"}), (1005,)),
            (make_chat("tank", tokens=0), (1009,)),
            (make_chat("tank", tokens=-5), (1009,)),
            (make_chat("tank", tokens=10**30), (1009,)),
            (make_chat("tank", tokens=1e9), (1009,)),
            (make_chat("tank", extra={"max_completion_tokens": -1}), (1009,)),
            (make_chat("tank", extra={"n": 2}), (1009,)),
            (make_chat("tank", extra={"best_of": 5}), (1009,)),
            (make_chat("tank", extra={"anvilshift": {"received": 1}}), (1009,)),
            (make_chat("tank", tokens=900_000), (2001,)),
        ):
            answer = await self.fleet.post(CHAT, body)
            number = 0 if answer.status == 200 else read_code(answer)[0]
            self.assertIn(number, codes, body[:80])
        self.assertLessEqual(self.fleet.spent, 2_000)
        self.assertEqual((await self.fleet.chat("tank")).status, 200)

    async def test_headers(self):
        for header, value, code in (
            ("anvilshift-deadline-ms", "NaN", 1009),
            ("anvilshift-deadline-ms", "inf", 1009),
            ("anvilshift-deadline-ms", "soon", 1009),
            ("anvilshift-deadline-ms", "-1", 1008),
            ("anvilshift-deadline-ms", "0", 1008),
            ("idempotency-key", "k" * 201, 1009),
            ("idempotency-key", "", 1009),
            ("last-event-id", "1e3", 1009),
            ("anvilshift-non-idempotent", "true", 1006),
            ("authorization", "Bearer pound", 1001),
        ):
            answer = await self.fleet.chat("tank", (header, value))
            self.assertEqual(read_code(answer), (code, "not run"), (header, value))
        await self.check_still_serves()

    async def test_duplicate_headers(self):
        for name in ("idempotency-key", "anvilshift-deadline-ms", "last-event-id"):
            answer = await self.fleet.chat("tank", (name, "5"), (name, "6"))
            self.assertEqual(read_code(answer)[0], 1001, name)
        await self.check_still_serves()

    async def test_credentials(self):
        for token in ("nobody", "é", "x" * 10_000):
            answer = await self.fleet.chat("tank", token=token)
            self.assertEqual(answer.status, 401, token[:9])
        self.assertNotIn(b"pound", (await self.fleet.chat("tank", token="no")).body)

    async def test_malformed_http_requests(self):
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        many = b"".join(b"x-%d: y\r\n" % n for n in range(20_000))
        for data, code in (
            (b"\x00\x01\x02\r\n\r\n", b"1001"),
            (b"GET //[ HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", b"100"),
            (head + b"Content-Length: -4\r\n\r\n", b"1001"),
            (head + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\n", b"1001"),
            (head + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", b"1001"),
            (head + b"Transfer-Encoding: gzip\r\n\r\n", b"1001"),
            (head + many + b"\r\n", b"1002"),
        ):
            answer = await self.send_raw(data)
            self.assertIn(b'"code":' + code, answer, data[:60])
        await self.check_still_serves()

    async def test_service_call_forwards_non_ascii_headers(self):
        headers = (("x-name", "Mahoe é"), ("idempotency-key", "k"))
        answer = await self.fleet.post("/services/book/runs", b"{}", *headers)
        self.assertEqual(answer.status, 201)

    async def test_bound_counts_all_that_an_engine_may_read(self):
        """Guards against a prompt bound that ignores tool descriptions."""
        routes = dict(self.fleet.nodes[0].gate.catalogue.routes)
        bounds = []
        for extra in ({}, {"tools": ["x" * 1_000]}):
            body = make_chat("tank", extra={"max_completion_tokens": 5, **extra})
            request = HttpRequest("POST", CHAT, Headers([]), body)
            organisation = self.fleet.nodes[0].gate.catalogue.organisations["pound"]
            job = parse_chat_request(request, organisation, routes, 0.0)
            self.assertEqual((job.answer_bound, job.body["max_tokens"]), (5, 5))
            bounds.append(job.prompt_bound)
        self.assertGreater(bounds[1] - bounds[0], 1_000)

    async def test_unknown_paths(self):
        for path in ("/", "/v1", "/services/", "/services/m/x", "/services/none/x"):
            answer = await self.fleet.post(path, b"")
            self.assertEqual(read_code(answer), (1005, "not run"), path)
        await self.check_still_serves()

    async def answer_with(
        self, body: bytes, status: int = 200, length: str | None = None
    ):
        """Make every engine answer with given bytes; return the caller's response."""

        async def complete(request, responder):
            headers = [("content-length", length)] if length else []
            await responder.start(status, headers)
            await responder.write(body)
            if length:
                responder.abort()
            else:
                await responder.finish()

        patches = [
            mock.patch.object(e, "_complete", complete) for e in self.fleet.engines
        ]
        for patch in patches:
            patch.start()
        answer = await self.fleet.chat("tank")
        for patch in patches:
            patch.stop()
        return answer

    async def test_malformed_engine_answers(self):
        for body, status in (
            (b"", 200),
            (b"data: {]\n\n", 200),
            (b"data: \xff\xfe\n\n", 200),
            (b'data: {"choices":[{"delta":{"content":5}}]}\n\n', 200),
            (b'data: {"choices":"no"}\n\n', 200),
            (b'data: {"usage":{"prompt_tokens":1e999,"completion_tokens":0}}\n\n', 200),
            (b"data: " + b"[" * 100_000 + b"\n\n", 200),
            (b"data: " + b"x" * 2_000_000, 200),
            (b'data: {"choices":[{"delta":{"content":"half"}}]}\n\n', 200),
            (b"gone", 500),
            (b"", 302),
        ):
            answer = await self.answer_with(body, status)
            self.assertEqual(read_code(answer)[1], "unknown", (body[:40], status))
        await self.check_still_serves()

    async def test_engine_that_closes_the_connection_early(self):
        answer = await self.answer_with(b"data: ", length="500")
        self.assertEqual(read_code(answer)[1], "unknown")
        await self.check_still_serves()

    async def test_engine_that_refuses_did_not_run(self):
        for status in (400, 422, 429):
            answer = await self.answer_with(b"no", status)
            self.assertEqual(read_code(answer)[1], "not run", status)
        await self.check_still_serves()


class FuzzTest(unittest.TestCase):
    def setUp(self):
        fleet = Fleetlet()
        self.organisation, self.routes = asyncio.run(read_catalogue(fleet))

    def read(self, body: bytes, headers: list[tuple[str, str]]) -> None:
        request = HttpRequest("POST", CHAT, Headers(headers), body)
        try:
            job = parse_chat_request(request, self.organisation, self.routes, 0.0)
        except AnvilshiftError as error:
            self.assertEqual(error.code.fate.value, "not run")
            return
        self.assertGreater(job.answer_bound, 0)
        self.assertGreaterEqual(job.prompt_bound, 64)
        self.assertLessEqual(job.deadline, 600_000.0)

    @settings(deadline=None, suppress_health_check=[HealthCheck.differing_executors])
    @given(st.dictionaries(CHAT_FIELDS | WORD, JSON), st.binary(max_size=20))
    def test_any_body_is_a_job_or_a_numbered_error(self, changes, random_bytes):
        body = json.loads(make_chat("tank"))
        self.read(json.dumps({**body, **changes}).encode(), [])
        self.read(random_bytes, [])
        self.read(make_chat("tank")[:-1] + random_bytes, [])

    @settings(deadline=None, suppress_health_check=[HealthCheck.differing_executors])
    @given(
        st.sampled_from(
            ["idempotency-key", "anvilshift-deadline-ms", "last-event-id", "x"]
        ),
        st.text(st.characters(max_codepoint=255)) | st.floats().map(str),
    )
    def test_any_header_is_a_job_or_a_numbered_error(self, name, value):
        self.read(make_chat("tank"), [(name, value)])
        request = HttpRequest("POST", "/services/book/x", Headers([(name, value)]))
        try:
            parse_service_call(
                request, self.organisation, self.routes["book"], "x", 0.0
            )
        except AnvilshiftError as error:
            self.assertEqual(error.code.fate.value, "not run")

    @given(st.binary(max_size=60) | JSON.map(lambda v: json.dumps(v).encode()))
    def test_any_event_of_an_engine_is_a_piece_or_a_failure(self, data):
        try:
            for event in _feed(EventReader(), b"data: " + data + b"\n\n"):
                _read_piece(event.data)
        except TargetError:
            pass


async def read_catalogue(fleet: Fleetlet):
    await fleet.start()
    catalogue = fleet.nodes[0].gate.catalogue
    await fleet.close()
    return catalogue.organisations["pound"], dict(catalogue.routes)
