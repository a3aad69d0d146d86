"""What names a request: the caller, its key and, in the ledger, its content."""

import unittest

from anvilshift.core.declarations import Organisation, Route, TargetKind
from anvilshift.router.requests import Job, read_chat
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
    return read_chat(request, organisation, ROUTES, 0.0)


class BillKeyTest(unittest.TestCase):
    def test_key_with_another_body_has_a_bill_of_its_own(self):
        """A caller pays for one answer and sends its key with other bodies.

        Through other routers each was served, and its bill counted as the
        first one's, sent again: all but the first were free.
        """
        self.assertNotEqual(read("tank 1").bill_key, read("tank 2").bill_key)

    def test_request_sent_again_has_the_same_bill(self):
        self.assertEqual(read("tank 1").bill_key, read("tank 1").bill_key)

    def test_resumed_request_has_the_same_bill(self):
        self.assertEqual(read("tank 1").bill_key, read("tank 1", "abc").bill_key)

    def test_same_key_of_another_organisation_is_another_request(self):
        other = read("tank 1", organisation=Organisation("zilina", "zilina"))
        self.assertNotEqual(read("tank 1").bill_key, other.bill_key)
