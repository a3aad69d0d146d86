"""Streams that are taken up while engines of several versions serve."""

import json

from anvilshift.wire.client import ExchangeError
from tests.platform.gatewaycase import GatewayCase

BEGUN = 3
"""Events after which an engine breaks its streams off."""


class VersionCase(GatewayCase):
    async def add_engines(self, **versions: object) -> None:
        """Add engines with their versions, which break streams off until they go on."""
        for name, version in versions.items():
            engine = await self.add_target(name, "llm", version=version)
            engine.breaks_new = BEGUN

    async def begin(self, identity: str, node=None) -> str:
        """Begin a stream that breaks off, and return the engine that began it."""
        with self.assertRaises(ExchangeError):
            await self.call_stream(identity, node)
        return self.find_runs(identity)[0]

    async def take_up(self, identity: str, began: str, node=None, key="k1"):
        """Take up a stream as its caller does after a broken connection."""
        headers = [("last-event-id", str(BEGUN)), ("resumes", began)]
        return await self.call_stream(identity, node, headers, key)

    async def call_stream(self, identity, node=None, headers=(), key="k1"):
        if node is not None:
            return await self.call_at(
                node, "/chat/1", identity=identity, headers=list(headers), key=key
            )
        return await self.call(
            "/chat/1", identity=identity, headers=list(headers), key=key
        )

    def find_runs(self, identity: str) -> list[str]:
        """Return the engines that ran an attempt of a caller."""
        return [n for n, t in self.targets.items() if identity in t.runs]

    def check_refused(self, status: int, headers, body: bytes) -> None:
        self.assertEqual(status, 503)
        self.assertEqual(json.loads(body)["error"]["fate"], "not run")
        self.assertIsNotNone(headers.get("retry-after"))

    def check_went_on(self, status: int, headers, body: bytes) -> None:
        ids = [line for line in body.splitlines() if line.startswith(b"id")]
        self.assertEqual((status, ids), (200, [b"id: 4", b"id: 5", b"id: 6"]))


class OneAnswerTest(VersionCase):
    async def test_broken_stream_does_not_go_on_at_another_version(self):
        """Guards against an answer that holds events of two versions."""
        await self.add_engines(e1="v1", e2="v2")
        await self.start_node()
        await self.begin("a")
        self.assertEqual(len(self.find_runs("a")), 1)

    async def test_broken_stream_goes_on_at_its_own_version(self):
        """Guards against a stream that is given up though its version serves."""
        await self.add_engines(e1="v1", e2="v1", e3="v2", e4="v2")
        await self.start_node()
        for number in range(8):
            identity = f"a{number}"
            status, _, body = await self.call_stream(identity)
            self.assertEqual((status, body.count(b"\n\n")), (200, 6))
            names = self.find_runs(identity)
            self.assertIn(names, (["e1", "e2"], ["e3", "e4"]))

    async def test_stream_that_has_sent_nothing_may_begin_at_any_version(self):
        """Guards against a bound version of a stream that has no event yet."""
        await self.add_engines(e1="v1", e2="v2")
        for engine in self.targets.values():
            engine.breaks_new = None
        self.targets["e1"].hangs = True
        await self.start_node()
        for number in range(3):
            self.assertEqual((await self.call_stream(f"a{number}"))[0], 200)


class TakenUpTest(VersionCase):
    async def test_stream_is_not_taken_up_at_another_version(self):
        """Guards against a caller's tries that hold events of two versions."""
        await self.add_engines(e1="v1")
        await self.start_node()
        await self.begin("a")
        await self.add_engines(e2="v2")
        self.store_stub.remove("servers", "e1")
        await self.wait_for(lambda: list(self.node.loads.targets) == ["e2"])
        self.check_refused(*await self.take_up("b", "a"))
        self.assertEqual(self.find_runs("b"), [])

    async def test_stream_is_taken_up_at_its_own_version(self):
        """Guards against callers who begin anew though their version serves."""
        await self.add_engines(e1="v1")
        await self.start_node()
        await self.begin("a")
        await self.add_engines(e2="v1", e3="v2", e4="v2")
        await self.wait_for(lambda: len(self.node.loads.targets) == 4)
        for number in range(6):
            self.check_went_on(*await self.take_up(f"b{number}", "a"))
            names = self.find_runs(f"b{number}")
            self.assertIn(names, (["e1"], ["e2"]))

    async def test_stream_that_nobody_knows_is_refused_without_a_run(self):
        """Guards against a stream that goes on at a version by guess."""
        await self.add_engines(e1="v1")
        await self.start_node()
        self.check_refused(*await self.take_up("b", "never-sent"))
        self.check_refused(*await self.take_up("c", "x" * 8_000))
        headers = [("last-event-id", "3")]
        self.check_refused(*await self.call_stream("d", headers=headers))
        self.assertEqual(self.targets["e1"].runs, [])

    async def test_stream_of_unknown_version_is_not_taken_up(self):
        """Guards against two unknown versions that count as equal."""
        for version in ({}, {"version": ""}, {"version": 7}, {"version": None}):
            with self.subTest(version):
                self.store_stub.objects.clear()
                await self.add_engines()
                engine = await self.add_target("e1", "llm", **version)
                engine.breaks_new = BEGUN
                await self.start_node()
                await self.begin("a")
                self.check_refused(*await self.take_up("b", "a"))
                self.assertEqual(self.find_runs("b"), [])
                await self.node.close()
                await engine.server.close()

    async def test_stream_is_taken_up_at_another_router(self):
        """Guards against a version that is lost with the router that began it."""
        await self.add_engines(e1="v1", e2="v1", e3="v2", e4="v2")
        for engine in self.targets.values():
            engine.breaks_new = None
        await self.start_fleet(3)
        for engine in self.targets.values():
            engine.breaks_new = BEGUN
        first, *others = self.nodes
        for number in range(4):
            began = f"a{number}"
            # The second engine of its version is not to go on in the same answer.
            for engine in self.targets.values():
                engine.breaks_all = True
            name = await self.begin(began, first)
            for engine in self.targets.values():
                engine.breaks_all = False
            for node in others:
                identity = f"{began}-{node.settings.name}"
                self.check_went_on(*await self.take_up(identity, began, node))
                (ran,) = self.find_runs(identity)
                self.assertEqual(ran in ("e1", "e2"), name in ("e1", "e2"))
