"""A bill key depends on the organisation, the idempotency key and the content."""

import unittest

from anvilshift.core.declarations import Organisation, Route, TargetKind
from anvilshift.router.requests import Job, parse_chat_request
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import Headers, HttpRequest

ROUTES = {"advice": Route("advice", TargetKind.MODEL)}
KOSICE = Organisation("kosice", "kosice")


def read(text: str, received: str = "", organisation: Organisation = KOSICE) -> Job:
    body = {"model": "advice", "messages": [{"role": "user", "content": text}]}
    if received:
        body["anvilshift"] = {"received": received}
    headers = Headers([("idempotency-key", "key-1")])
    request = HttpRequest("POST", "/v1/chat/completions", headers, dump_json(body))
    return parse_chat_request(request, organisation, ROUTES, 0.0)


class BillKeyTest(unittest.TestCase):
    def test_reused_key_with_another_body_has_another_bill(self):
        """Guards against unbilled requests that reuse a key with another body.

        Other routers served each of them, and its bill was taken for a duplicate
        of the first one, so that only the first request was paid for.
        """
        self.assertNotEqual(read("tank 1").bill_key, read("tank 2").bill_key)

    def test_request_sent_again_has_the_same_bill(self):
        self.assertEqual(read("tank 1").bill_key, read("tank 1").bill_key)

    def test_resumed_request_has_the_same_bill(self):
        self.assertEqual(read("tank 1").bill_key, read("tank 1", "abc").bill_key)

    def test_same_key_of_another_organisation_is_another_request(self):
        other = read("tank 1", organisation=Organisation("zilina", "zilina"))
        self.assertNotEqual(read("tank 1").bill_key, other.bill_key)
