"""Entries of another writer among those that the routers read from the store."""

import asyncio
import json
from dataclasses import replace
from functools import partial

from anvilshift.gateway.partstore import KIND as PARTS_KIND
from anvilshift.gateway.recording import KIND as USES_KIND
from anvilshift.gateway.retryshares import KIND as ROUTERS_KIND
from tests.platform.gatewaycase import GatewayCase, make_configuration
from tests.platform.stubs import StoreStub

ODD = "i-0000dead"
ORDERS, READS = 20, 10
SOUND = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "north",
    "slots": 8,
    "state": "ready",
    "sequence": 1,
    "born": 1,
    "coldLeftMs": 0.0,
    "version": "v1",
}


def nest(depth: int) -> str:
    return "[" * depth + "]" * depth


def change_field(name: str, text: str) -> str:
    """Return a sound entry with one field replaced by raw text."""
    whole = json.dumps({**SOUND, name: "@"})
    return whole.replace('"@"', text)


ENTRIES = {
    "known field nested 2,000 deep": change_field("version", nest(2_000)),
    "unknown field nested 100,000 deep": change_field("extra", nest(100_000)),
    "field nested 400 deep": change_field("slots", nest(400)),
    "objects nested 5,000 deep": change_field(
        "extra", '{"a":' * 5_000 + "1" + "}" * 5_000
    ),
    "known field of 5,000 digits": change_field("slots", "9" * 5_000),
    "unknown field of 5,000 digits": change_field("extra", "9" * 5_000),
    "slots of 400 digits": change_field("slots", "9" * 400),
    "slots of 31 digits": change_field("slots", "1" + "0" * 30),
    "negative slots": change_field("slots", "-3"),
    "born of 400 digits": change_field("born", "9" * 400),
    "infinite cold time": change_field("coldLeftMs", "1e400"),
    "number that is none": change_field("coldLeftMs", "NaN"),
    "port out of range": change_field("address", '"127.0.0.1:65536"'),
    "port of five digits out of range": change_field("address", '"127.0.0.1:99999"'),
    "port 0": change_field("address", '"127.0.0.1:0"'),
    "address out of range": change_field("address", '"127.0.0.999:80"'),
    "address in other digits": change_field("address", '"127.0.0.1:\\u0668\\u0660"'),
    "half of a pair": change_field("service", '"\\ud800"'),
    "raw control characters": change_field("zone", '"a\nb"'),
    "text": '"text"',
    "list": "[1]",
    "nothing": "null",
}
"""Specifications of odd entries, by what is odd in them, as their writer sent them."""
BYTES = change_field("zone", '"@"').encode().replace(b"@", b"\xff\xfe\x80")
NAMES = ("i 1\r\nx: y", "i-\u0668", "\ud800", "i" * 5_000, "")


class OddStore(StoreStub):
    """A store that answers with some objects' specifications as raw bytes."""

    def __init__(self) -> None:
        super().__init__()
        self.raw: dict[bytes, bytes] = {}

    def put_raw(self, kind: str, name: str, spec: bytes) -> None:
        """Write an object whose specification is sent as it was written."""
        mark = f"@raw-{len(self.raw)}"
        self.raw[json.dumps(mark).encode()] = spec
        self.put(kind, name, mark)

    async def handle(self, request, responder) -> None:
        await super().handle(request, _RawResponder(responder, self.raw))


class _RawResponder:
    def __init__(self, responder, raw: dict[bytes, bytes]) -> None:
        self._responder, self._raw = responder, raw

    async def send(self, reply) -> None:
        body = reply.body
        for mark, spec in self._raw.items():
            body = body.replace(mark, spec)
        await self._responder.send(replace(reply, body=body))


class OddEntryCase(GatewayCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.store_stub.server.close()
        self.store_stub = OddStore()
        self.store_address = await self.store_stub.start()

    def put_odd(self, spec: bytes) -> None:
        self.store_stub.put_raw("servers", ODD, spec)

    async def count_served(self, path: str, count: int) -> int:
        """Return how many of some requests are served."""
        statuses = [(await self.call(f"{path}{n}"))[0] for n in range(count)]
        return statuses.count(200)

    async def check_all_served(self) -> None:
        """Check that work goes on, at a target that registers now too."""
        self.assertEqual(await self.count_served("/order/", ORDERS), ORDERS)
        late = await self.add_target("d-late", "desk")
        await self.wait_for(lambda: "d-late" in self.node.loads.targets)
        await self.targets["d1"].server.close()
        self.assertEqual(await self.count_served("/read/", READS), READS)
        self.assertTrue(late.runs)

    async def play(self, put_odd) -> None:
        """Check the work of a router beside odd entries, old ones and new ones."""
        for is_first in (True, False):
            with self.subTest(is_first=is_first):
                await self.asyncTearDown()
                await self.asyncSetUp()
                await self.add_target("d1", "desk")
                if is_first:
                    put_odd()
                await self.start_node()
                if not is_first:
                    put_odd()
                    await asyncio.sleep(0.7)
                await self.check_all_served()


class OddEntryTest(OddEntryCase):
    """Guards against one odd entry that costs the others."""

    async def test_work_goes_on_beside_an_odd_entry(self):
        for what, spec in ENTRIES.items():
            with self.subTest(what):
                await self.play(partial(self.put_odd, spec.encode()))
                self.assertNotIn(ODD, self.node.loads.targets)

    async def test_work_goes_on_beside_bytes_that_are_no_text(self):
        await self.play(partial(self.put_odd, BYTES))

    async def test_work_goes_on_beside_odd_names(self):
        def put_odd() -> None:
            for name in NAMES:
                self.store_stub.put("servers", name, dict(SOUND))

        await self.play(put_odd)
        self.assertEqual(set(self.node.loads.targets), {"d1", "d-late"})

    async def test_work_goes_on_beside_odd_entries_on_every_page(self):
        """Guards against a list that ends at, or behind, an odd entry."""

        def put_odd() -> None:
            self.store_stub.page = 1
            for number, spec in enumerate(ENTRIES.values()):
                name = f"{'a' if number % 2 else 'z'}-{number}"
                self.store_stub.put_raw("servers", name, spec.encode())

        await self.play(put_odd)

    async def test_one_line_says_which_entry_is_odd(self):
        await self.add_target("d1", "desk")
        await self.start_node()
        for _ in range(3):
            self.store_stub.put_raw("servers", ODD, b'{"slots":' + b"9" * 5_000 + b"}")
            await asyncio.sleep(0.6)
        told = [f for event, f in self.journal.lines if event == "target_unreadable"]
        self.assertEqual(told, [{"target": ODD}])

    async def test_entry_that_turns_odd_and_sound_again_is_used_while_it_is_sound(self):
        await self.add_target("d1", "desk")
        await self.start_node()
        entry = self.store_stub.objects["servers", "d1"]["spec"]
        odd = ENTRIES["slots of 400 digits"].encode()
        for _ in range(2):
            self.store_stub.put_raw("servers", "d1", odd)
            await self.wait_for(lambda: "d1" not in self.node.loads.targets)
            self.assertEqual((await self.call("/order/1"))[0], 503)
            self.store_stub.put("servers", "d1", entry)
            await self.wait_for(lambda: "d1" in self.node.loads.targets)
            self.assertEqual((await self.call("/order/1"))[0], 200)
        told = [f for event, f in self.journal.lines if event == "target_unreadable"]
        self.assertEqual(len(told), 2)


class OddRecordTest(OddEntryCase):
    """Guards against odd objects of other kinds that stop or end a router."""

    async def test_odd_configuration_leaves_the_one_before_in_force(self):
        await self.add_target("d1", "desk")
        await self.start_node()
        text = json.dumps({**make_configuration(2), "version": "@"})
        for spec in (
            text.replace('"@"', "9" * 400),
            text.replace('"@"', nest(5_000)),
            json.dumps(make_configuration(2)).replace(
                '"timeoutMs": 2000', '"timeoutMs": 1e400'
            ),
            '"text"',
        ):
            self.store_stub.put_raw("config", "main", spec.encode())
            self.store_stub.put_raw("config", "other", spec.encode())
            await asyncio.sleep(0.2)
            self.assertEqual(self.node.shared.table.configuration.version, 1)
            self.assertEqual((await self.call("/order/1"))[0], 200)
        self.store_stub.put("config", "main", make_configuration(3))
        await self.wait_for(lambda: self.node.shared.table.configuration.version == 3)

    async def test_odd_objects_among_the_routers_own_end_nothing(self):
        await self.add_target("e1", "llm")
        await self.add_target("d1", "desk")
        specs = [spec.encode() for spec in ENTRIES.values()]
        part = {"scope": "s", "part": "p", "companions": []}
        for number in ("9" * 400, "1e400", "NaN", nest(3_000)):
            text = json.dumps({"parts": [{**part, "crashes": [["a", "@", True]]}]})
            specs.append(text.replace('"@"', number).encode())
        for number, spec in enumerate(specs):
            for kind in (ROUTERS_KIND, USES_KIND, "evacuations"):
                self.store_stub.put_raw(kind, f"odd-{number}", spec)
        self.store_stub.put(ROUTERS_KIND, "\ud800", {"settled": True})
        for spec in specs[-4:]:
            with self.subTest(spec[:60]):
                self.store_stub.put_raw(PARTS_KIND, "main", spec)
                await self.start_node(history=20_000.0)
                await self.warm_up(self.node)
                self.assertEqual(await self.count_served("/order/", 5), 5)
                self.assertNotIn("part_ended", self.journal.list_events())
                await self.node.close()
                self.node = None


if __name__ == "__main__":
    import unittest

    unittest.main()
