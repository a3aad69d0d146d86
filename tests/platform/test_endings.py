"""Answers that targets frame and end in every way, as their callers receive them."""

import asyncio
import json

from anvilshift.wire.endings import Ending, Framing
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError
from tests.platform.cutnetwork import Cut
from tests.platform.gatewaycase import GatewayCase
from tests.platform.rawtarget import End, Frame, RawAnswer, RawTarget, make_events
from tests.platform.test_cut_routers import CutCase

HALF = b"id: 4\nda"
"""The beginning of a stream's fourth event."""


def make_half(frame: Frame, end: End = End.CLOSE) -> RawAnswer:
    """Return a stream of three events that ends inside the fourth."""
    return RawAnswer([make_events(1, 3) + HALF], frame, end)


class EndingCase(GatewayCase):
    async def add_raw(
        self,
        name: str,
        service: str,
        answer: RawAnswer,
        resumed: RawAnswer | None = None,
    ) -> RawTarget:
        target = RawTarget(name, answer, resumed)
        self.targets[name] = target
        self.register(name, service, await target.start())
        return target

    async def call_to_end(self, path: str, **rest):
        """Return an answer's status, framing, ending and body, also of a broken one."""
        headers = [("anvilshift-attempt-id", "a"), ("authorization", "Bearer k1")]
        headers.append(("anvilshift-deadline-ms", "2000"))
        if path.startswith(("/chat", "/review")):
            headers.append(("anvilshift-token-usage", "100,30"))
            headers.append(("anvilshift-prefix-hash", "a:60,b:40"))
        body = bytearray()
        exchange = self.client.exchange(
            self.address, "POST", path, headers, b"", host="shop.example"
        )
        async with asyncio.timeout(10), exchange as response:
            try:
                async for chunk in response.chunks():
                    body += chunk
            except ExchangeError:
                self.assertIs(response.ending, Ending.BROKEN)
            return response.status, response.framing, response.ending, bytes(body)

    def find_line(self, event: str) -> dict:
        """Return the fields of the last log line of an event."""
        lines = reversed(self.journal.lines)
        return next(fields for name, fields in lines if name == event)


class StreamEndTest(EndingCase):
    async def check_broken(self, answer: RawAnswer) -> None:
        """Check that the caller sees three whole events and a broken connection."""
        await self.add_raw("e1", "llm", answer)
        await self.start_node()
        _, _, ending, body = await self.call_to_end("/review/1")
        self.assertEqual((ending, body), (Ending.BROKEN, make_events(1, 3)))

    async def test_stream_without_framing_that_closes_inside_an_event_is_broken(self):
        """Guards against a stream that broke off and is told as complete."""
        await self.check_broken(make_half(Frame.NONE))

    async def test_stream_whose_last_chunk_follows_a_half_event_is_broken(self):
        """Guards against the framing of a stream that hides a half event."""
        await self.check_broken(make_half(Frame.CHUNKS))

    async def test_stream_whose_length_ends_inside_an_event_is_broken(self):
        """Guards against the framing of a stream that hides a half event."""
        await self.check_broken(make_half(Frame.LENGTH))

    async def test_stream_that_ends_inside_an_event_goes_on_elsewhere(self):
        """Guards against a stream that could be resumed and is told as complete."""
        rest = RawAnswer([make_events(4, 6)], Frame.CHUNKS, End.KEEP)
        for name in ("e1", "e2"):
            await self.add_raw(name, "llm", make_half(Frame.CHUNKS), rest)
        await self.start_node()
        status, _, ending, body = await self.call_to_end("/chat/1")
        self.assertEqual((status, ending), (200, Ending.FRAMED))
        self.assertEqual(body, make_events(1, 6))
        self.assertEqual(self.list_resumed(), ["3"])

    async def test_half_event_counts_against_its_target_and_not_its_content(self):
        """Guards against content that is quarantined for a target's broken answers."""
        for name in ("e1", "e2"):
            await self.add_raw(name, "llm", make_half(Frame.NONE))
        await self.start_node()
        for _ in range(4):
            _, _, ending, _ = await self.call_to_end("/review/1")
            self.assertIs(ending, Ending.BROKEN)
        failure = self.find_line("attempt_failed")
        self.assertEqual(failure["framing"], "connection")
        self.assertEqual((failure["ending"], failure["rest"]), ("inside an event", 8))
        self.assertNotIn("content_blamed", self.journal.list_events())
        reported = self.node.shared.health.reports.list_targets()
        self.assertIn(failure["target"], reported)

    def list_resumed(self) -> list[str]:
        """Return the last event ids of the requests that took a stream up."""
        requests = [one for t in self.targets.values() for one in t.requests]
        return [one["last-event-id"] for one in requests if "last-event-id" in one]

    async def test_stream_told_without_framing_is_passed_on_without_framing(self):
        """Guards against an end that looks surer than the target's own."""
        await self.add_raw("e1", "llm", RawAnswer([make_events(1, 6)]))
        await self.start_node()
        status, framing, ending, body = await self.call_to_end("/review/1")
        self.assertEqual((status, body), (200, make_events(1, 6)))
        self.assertEqual((framing, ending), (Framing.CONNECTION, Ending.CLOSED))

    async def test_stream_taken_up_without_framing_does_not_end_as_framed(self):
        """Guards against chunks that vouch for an end that no target has shown."""
        rest = RawAnswer([make_events(4, 6)], Frame.NONE)
        for name in ("e1", "e2"):
            await self.add_raw(name, "llm", make_half(Frame.CHUNKS), rest)
        await self.start_node()
        _, framing, ending, body = await self.call_to_end("/chat/1")
        self.assertEqual(body, make_events(1, 6))
        self.assertEqual((framing, ending), (Framing.CHUNKS, Ending.BROKEN))
        self.assertEqual(self.find_line("request")["outcome"], "end not shown")

    async def test_stream_without_framing_that_is_reset_is_reset_for_its_caller(self):
        """Guards against a reset that its caller sees as an orderly close."""
        answer = RawAnswer([make_events(1, 3)], Frame.NONE, End.RESET)
        await self.add_raw("e1", "llm", answer)
        await self.start_node()
        _, framing, ending, body = await self.call_to_end("/review/1")
        self.assertEqual((framing, body), (Framing.CONNECTION, make_events(1, 3)))
        self.assertIs(ending, Ending.BROKEN)


class PlainEndTest(EndingCase):
    whole = json.dumps({"lobsters": [1, 2, 3]}).encode()

    def make_json(self, body: bytes, frame: Frame = Frame.NONE) -> RawAnswer:
        return RawAnswer([body], frame, content_type="application/json")

    async def test_json_without_framing_that_breaks_off_is_an_error(self):
        """Guards against half a JSON text with a content length of the router's."""
        await self.add_raw("d1", "desk", self.make_json(self.whole[:-4]))
        await self.start_node()
        status, framing, _, body = await self.call_to_end("/order/1")
        self.assertEqual((status, framing), (502, Framing.LENGTH))
        self.assertEqual(json.loads(body)["error"]["fate"], "unknown")

    async def test_half_json_of_a_read_is_replaced_by_another_targets(self):
        """Guards against an error for a request that could be served elsewhere."""
        await self.add_raw("d1", "desk", self.make_json(self.whole[:-4]))
        await self.add_target("d2", "desk")
        await self.start_node()
        answers = [await self.call_to_end("/read/1") for _ in range(4)]
        self.assertEqual([one[0] for one in answers], [200] * 4)
        self.assertEqual({one[3] for one in answers}, {b"answer of "})

    async def test_half_json_with_a_length_is_the_targets_own(self):
        """Guards against a router that judges what the target has framed."""
        await self.add_raw("d1", "desk", self.make_json(self.whole[:-4], Frame.LENGTH))
        await self.start_node()
        status, framing, _, body = await self.call_to_end("/order/1")
        self.assertEqual((status, framing), (200, Framing.LENGTH))
        self.assertEqual(body, self.whole[:-4])

    async def test_plain_answer_without_framing_is_passed_on_without_framing(self):
        """Guards against an end that looks surer than the target's own."""
        await self.add_raw("d1", "desk", self.make_json(self.whole))
        await self.start_node()
        status, framing, ending, body = await self.call_to_end("/order/1")
        self.assertEqual((status, body), (200, self.whole))
        self.assertEqual((framing, ending), (Framing.CONNECTION, Ending.CLOSED))


class OddAnswerTest(EndingCase):
    """Answers that the protocol allows and that few targets send."""

    async def check(self, answer: RawAnswer, framing: Framing, body: bytes) -> None:
        """Check two calls in a row, which may share a connection to the target."""
        await self.add_raw("d1", "desk", answer)
        await self.start_node()
        for _ in range(2):
            result = await self.call_to_end("/order/1")
            self.assertEqual(result[0], answer.status)
            self.assertEqual(result[1], framing)
            self.assertEqual(result[3], body)

    async def test_interim_answers_are_passed_over(self):
        early = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
        answer = RawAnswer([b"whole"], Frame.LENGTH, End.KEEP, before=early * 2)
        await self.check(answer, Framing.LENGTH, b"whole")

    async def test_answer_of_an_old_target_without_length_is_passed_on_as_such(self):
        answer = RawAnswer([b"whole"], version="1.0", content_type="text/plain")
        await self.check(answer, Framing.CONNECTION, b"whole")

    async def test_close_beside_a_length_does_not_change_the_framing(self):
        answer = RawAnswer([b"whole"], Frame.LENGTH, headers=["Connection: close"])
        await self.check(answer, Framing.LENGTH, b"whole")
        self.assertEqual(self.targets["d1"].connections, 2)

    async def test_bytes_behind_an_answer_belong_to_no_request(self):
        """Guards against a second answer that is read as the next caller's."""
        extra = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nother"
        answer = RawAnswer([b"whole"], Frame.LENGTH, End.KEEP, after=extra)
        await self.check(answer, Framing.LENGTH, b"whole")
        self.assertEqual(self.targets["d1"].connections, 2)

    async def test_connection_that_ended_an_answer_is_not_used_again(self):
        answer = RawAnswer([b"whole"], content_type="text/plain")
        await self.check(answer, Framing.CONNECTION, b"whole")
        self.assertEqual(self.targets["d1"].connections, 2)

    async def test_answer_whose_status_has_no_body_gets_no_length(self):
        answer = RawAnswer([], Frame.NONE, End.KEEP, status=204, content_type="")
        await self.check(answer, Framing.NO_BODY, b"")
        _, headers, _ = await self.call("/order/3")
        self.assertIsNone(headers.get("content-length"))

    async def test_not_modified_keeps_the_length_that_its_target_gave(self):
        """Guards against a length of zero for a body that has one."""
        answer = RawAnswer([], Frame.NONE, End.KEEP, status=304, content_type="")
        answer.headers.append("Content-Length: 70")
        await self.check(answer, Framing.NO_BODY, b"")
        _, headers, _ = await self.call("/order/3")
        self.assertEqual(headers.get("content-length"), "70")

    async def test_close_before_the_first_byte_is_an_error(self):
        """Guards against an empty answer that nobody gave."""
        target = await self.add_raw("d1", "desk", RawAnswer([b"whole"]))
        await self.start_node()
        target.hangs_up = True
        status, _, _, _ = await self.call_to_end("/order/1")
        self.assertEqual(status, 502)

    async def test_slow_caller_gets_all_of_a_stream_whose_target_has_closed(self):
        """Guards against what is still to be read when the target closes."""
        events = make_events(1, 20_000)
        pieces = [events[at : at + 5_000] for at in range(0, len(events), 5_000)]
        await self.add_raw("e1", "llm", RawAnswer(pieces))
        await self.start_node()
        headers = [("anvilshift-attempt-id", "a"), ("authorization", "Bearer k1")]
        headers.append(("anvilshift-token-usage", "100,30"))
        body = bytearray()
        exchange = self.client.exchange(
            self.address, "POST", "/review/1", headers, b"", host="shop.example"
        )
        async with asyncio.timeout(10), exchange as response:
            await asyncio.sleep(0.5)
            async for chunk in response.chunks():
                body += chunk
                await asyncio.sleep(0.001)
        self.assertEqual((bytes(body), response.ending), (events, Ending.CLOSED))


class ForwardedEndTest(CutCase, EndingCase):
    async def start_cut(self, answer: RawAnswer) -> None:
        """Start three routers, the first of which reaches its target through others."""
        await self.add_target("e1", "llm")
        await self.add_raw("d1", "desk", answer)
        await self.start_fleet(3)
        self.networks[0].cut(self.list_addresses(("d1",)), Cut.RESET)
        first = self.nodes[0]
        self.address = Address(first.settings.ip, first.server.port)

    async def test_whole_answer_without_framing_comes_through_another_router(self):
        """Guards against whole answers that a router in between makes unusable."""
        await self.start_cut(RawAnswer([b"a whole answer"], content_type="text/plain"))
        status, framing, ending, body = await self.call_to_end("/order/1")
        self.assertEqual((status, body), (200, b"a whole answer"))
        self.assertEqual((framing, ending), (Framing.CONNECTION, Ending.CLOSED))
        self.assertTrue(self.find_line("request")["via"])

    async def test_answer_without_framing_is_broken_when_the_router_between_ends(self):
        """Guards against the end of a router that is taken for the end of an answer."""
        half = RawAnswer([b"half"], end=End.WAIT, content_type="text/plain")
        await self.start_cut(half)
        calling = asyncio.create_task(self.call_to_end("/order/1"))
        await self.wait_for(lambda: self.targets["d1"].requests)
        await asyncio.sleep(0.1)
        for node in self.nodes[1:]:
            for entrance in list(node.forwarding.server.entrances):
                entrance.transport.close()
        self.assertEqual((await calling)[0], 502)
