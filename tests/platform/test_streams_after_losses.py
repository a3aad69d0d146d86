"""Streams that are taken up after routers were lost beside a change of versions."""

import asyncio

from anvilshift.core.origins import MAX_LIFETIME, Origin, make_stream_key
from anvilshift.gateway.streammessages import HistorySeen, StreamBegan
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError
from tests.platform.gatewaycase import make_configuration
from tests.platform.test_versions import BEGUN, LONG_MS, VersionCase

RESUMED = ("last-event-id", str(BEGUN))
V1 = Origin("llm", "v1")


class LossCase(VersionCase):
    async def start_seasoned(self, count: int) -> None:
        """Start routers that have followed the register for long."""
        await self.add_engines(e1="v1")
        for engine in self.targets.values():
            engine.breaks_new = None
        await self.start_fleet(count)
        self.targets["e1"].breaks_new = BEGUN
        for node in self.nodes:
            origins = node.shared.origins
            origins.began = node.clock.now()
            origins.adopt_history(HistorySeen(LONG_MS, (), ()))

    async def replace_engines(self) -> None:
        """Let the engines of the new version take the place of the old ones'."""
        self.store_stub.remove("servers", "e1")
        await self.add_engines(e2="v2")

    async def wait_for_new(self, *nodes) -> None:
        await self.wait_for(lambda: all(list(n.loads.targets) == ["e2"] for n in nodes))

    @staticmethod
    async def lose(*nodes) -> None:
        """Close routers, and let the loop close their sockets."""
        for node in nodes:
            await node.close()
        await asyncio.sleep(0)

    async def start_again(self, node, port: int | None = None):
        """Start a router under the name of one that was killed."""
        old = node.settings
        new = self.make_node(
            old.name,
            old.ip,
            peer_port=port or old.peer_port,
            seeds=old.seeds,
            forward_port=old.forward_port,
            configuration_port=old.configuration_port,
        )
        self.nodes.append(new)
        await new.start()
        await self.wait_for(new.is_ready)
        await self.wait_for(lambda: new.loads.targets)
        await self.warm_up_whole(new)
        return new

    async def warm_up_whole(self, node) -> None:
        """Let a router draw tokens, with streams that engines don't break off."""
        for engine in self.targets.values():
            engine.breaks_new = engine.crash_after = None
        await self.warm_up(node)
        for engine in self.targets.values():
            engine.breaks_new = BEGUN

    async def check_unnamed_refused(self, node, name: str) -> None:
        """Check that a stream whose first attempt isn't named doesn't go on."""
        told = await self.call_stream(name, node, headers=[RESUMED])
        self.check_refused(*told)
        self.assertEqual(self.find_runs(name), [])

    async def check_unnamed_goes_on(self, node, name: str) -> None:
        told = await self.call_stream(name, node, headers=[RESUMED])
        self.check_went_on(*told)


class AllLostTest(LossCase):
    async def test_nobody_knows_the_stream(self):
        """Guards against a new version for a stream of before the loss."""
        await self.start_seasoned(2)
        await self.begin("a", self.nodes[0])
        lost = list(self.nodes)
        await self.lose(*lost)
        await self.replace_engines()
        back = [await self.start_again(node) for node in lost]
        await self.wait_for_new(*back)
        for number, node in enumerate(back):
            self.check_refused(*await self.take_up(f"b{number}", "a", node))
            self.assertEqual(self.find_runs(f"b{number}"), [])
            await self.check_unnamed_refused(node, f"c{number}")

    async def test_resumption_that_broke_off_itself_is_not_known_either(self):
        """Guards against a chain of tries with a loss of all in its midst."""
        await self.start_seasoned(1)
        await self.begin("a", self.nodes[0])
        self.targets["e1"].crash_after = BEGUN + 1
        with self.assertRaises(ExchangeError):
            await self.take_up("b", "a", self.nodes[0])
        await self.lose(self.nodes[0])
        await self.replace_engines()
        back = await self.start_again(self.nodes[0])
        await self.wait_for_new(back)
        for number, began in enumerate(("a", "b")):
            self.check_refused(*await self.take_up(f"c{number}", began, back))
            self.assertEqual(self.find_runs(f"c{number}"), [])


class SurvivorTest(LossCase):
    async def test_survivor_that_is_cut_off_keeps_what_it_knows_to_itself(self):
        """Guards against a router that answers for a stream it wasn't told of."""
        await self.start_seasoned(3)
        await self.begin("a", self.nodes[0])
        survivor = self.nodes[2]
        table = survivor.shared.origins.table
        key = make_stream_key("pounds", "a")
        await self.wait_for(lambda: table.is_known(key, survivor.clock.now()))
        await self.lose(*self.nodes[:2])
        alone = await self.start_again(self.nodes[0], port=survivor.peers.port + 1)
        await self.wait_for(lambda: "e1" in alone.loads.targets)
        self.check_refused(*await self.take_up("b", "a", alone))
        self.check_went_on(*await self.take_up("c", "a", survivor))

    async def test_router_under_the_same_name_asks_for_the_streams_of_before(self):
        """Guards against a router that has started anew and knows nothing."""
        await self.start_seasoned(2)
        await self.begin("a", self.nodes[1])
        await self.lose(self.nodes[1])
        back = await self.start_again(self.nodes[1])
        await self.wait_for(lambda: back.peers.routers and back.loads.targets)
        self.check_went_on(*await self.take_up("b", "a", back))
        await self.replace_engines()
        await self.wait_for_new(back)
        self.check_refused(*await self.take_up("c", "a", back))
        self.assertEqual(self.find_runs("c"), [])

    async def test_version_that_has_just_gone_is_told_to_a_router_that_starts(self):
        """Guards against an old version whose engines left as a router started."""
        await self.start_seasoned(2)
        await self.lose(self.nodes[1])
        await self.replace_engines()
        await self.wait_for_new(self.nodes[0])
        back = await self.start_again(self.nodes[1])
        await self.wait_for_new(back)
        history = back.shared.origins.history
        await self.wait_for(
            lambda: history.find_covered(back.clock.now()) > MAX_LIFETIME
        )
        await self.check_unnamed_refused(back, "b")

    async def test_router_that_starts_takes_a_survivors_history_over(self):
        """Guards against callers who are refused though only one version served."""
        await self.start_seasoned(2)
        await self.lose(self.nodes[1])
        back = await self.start_again(self.nodes[1])
        history = back.shared.origins.history
        await self.wait_for(
            lambda: history.find_covered(back.clock.now()) > MAX_LIFETIME
        )
        await self.check_unnamed_goes_on(back, "b")

    async def test_engine_that_started_anew_is_found_by_a_router_that_did_too(self):
        """Guards against an entry that doesn't show the new start's version yet."""
        await self.start_seasoned(2)
        await self.begin("a", self.nodes[0])
        await self.lose(self.nodes[1])
        back = await self.start_again(self.nodes[1])
        await self.wait_for(lambda: back.peers.routers)
        self.targets["e1"].report["born"] = 2
        status, _, _ = await self.take_up("b", "a", back)
        self.assertEqual((status, self.find_runs("b")), (503, []))
        self.assertIn("target_started_anew", self.journal.list_events())


class RegisterTest(LossCase):
    async def test_entry_that_lapsed_in_an_outage_counts(self):
        """Guards against a version that is gone when the register is read again."""
        await self.start_seasoned(1)
        (node,) = self.nodes
        await self.check_unnamed_goes_on(node, "b")
        self.store_stub.status = 503
        await self.wait_for(lambda: not node.target_follower.is_fresh())
        await self.replace_engines()
        self.store_stub.status = None
        await self.wait_for_new(node)
        await self.check_unnamed_refused(node, "c")
        self.check_refused(*await self.take_up("d", "never-told", node))

    async def test_target_that_came_and_went_in_one_answer_counts(self):
        """Guards against an entry that is written and removed between two reads."""
        await self.start_seasoned(1)
        (node,) = self.nodes
        await self.add_engines(e2="v2")
        self.store_stub.remove("servers", "e2")
        await self.wait_for(
            lambda: ("llm", "v2") in {one[:2] for one in list_seen(node)}
        )
        await self.check_unnamed_refused(node, "b")

    async def test_new_version_is_told_to_routers_that_read_it_later(self):
        """Guards against a router that reads the register later than another."""
        await self.start_seasoned(1)
        (node,) = self.nodes
        await self.check_unnamed_goes_on(node, "b")
        told = []
        node.peers.broadcast = told.append
        await self.add_engines(e2="v2")
        await self.wait_for(lambda: "e2" in node.loads.targets)
        (seen,) = [one for one in told if isinstance(one, HistorySeen)]
        self.assertEqual(seen.seen, (("llm", "v2", 0.0),))

    async def test_version_that_another_router_has_seen_counts(self):
        """Guards against the same, at the router that reads it later."""
        await self.start_seasoned(1)
        (node,) = self.nodes
        await self.check_unnamed_goes_on(node, "b")
        seen = HistorySeen(0.0, (("llm", "v2", 0.0),), ())
        node.messenger.handle_message(seen)
        await self.check_unnamed_refused(node, "c")

    async def test_version_of_a_stream_that_was_told_counts(self):
        """Guards against a router that sends to an engine without an entry."""
        await self.start_seasoned(1)
        (node,) = self.nodes
        await self.check_unnamed_goes_on(node, "b")
        node.messenger.handle_message(StreamBegan("k", "llm", "v0", 1_000.0))
        await self.check_unnamed_refused(node, "c")

    async def test_nothing_is_inferred_beside_another_configuration(self):
        """Guards against a route that leads elsewhere at a router that is ahead."""
        await self.start_seasoned(2)
        (first, _), version = self.nodes, 1
        rule = first.shared.table.find("shop.example", "/chat/1")
        origins = first.shared.origins
        self.assertEqual(origins.infer(rule, 1_000.0, version), V1)
        self.assertIsNone(origins.infer(rule, 1_000.0, version + 1))

    async def test_nothing_is_inferred_for_who_waits_longer_than_origins_are_kept(self):
        """Guards against a caller who comes back after the window."""
        await self.start_seasoned(1)
        (node,) = self.nodes
        rule = node.shared.table.find("shop.example", "/chat/1")
        origins = node.shared.origins
        self.assertEqual(origins.infer(rule, MAX_LIFETIME, 1), V1)
        self.assertIsNone(origins.infer(rule, MAX_LIFETIME + 1.0, 1))


class FirstStartTest(LossCase):
    async def wait_until_read(self) -> None:
        """Wait until the router vouches for what it has read of the register."""
        history, clock = self.node.shared.origins.history, self.node.clock
        await self.wait_for(lambda: history.find_covered(clock.now()) > 0.0)

    async def test_router_that_found_no_configuration_knows_all_versions(self):
        """Guards against callers of a new fleet who are refused for two minutes."""
        await self.add_engines(e1="v1")
        await self.start_node(configured=False)
        await self.wait_for(lambda: self.node.configuration_follower.revision)
        self.store_stub.put("config", "main", make_configuration())
        await self.wait_for(lambda: self.node.is_ready() and self.node.loads.targets)
        self.address = Address("127.0.0.1", self.node.server.port)
        await self.warm_up_whole(self.node)
        await self.check_unnamed_goes_on(None, "a")
        await self.add_engines(e2="v2")
        await self.wait_for(lambda: "e2" in self.node.loads.targets)
        await self.check_unnamed_refused(None, "b")

    async def test_router_that_could_not_read_the_configuration_knows_none(self):
        """Guards against a configuration that others could read, as no one."""
        await self.add_engines(e1="v1")
        self.store_stub.put("config", "main", {"version": "unreadable"})
        await self.start_node(configured=False)
        await self.wait_for(lambda: self.node.configuration_follower.revision)
        self.store_stub.put("config", "main", make_configuration())
        await self.wait_for(lambda: self.node.is_ready() and self.node.loads.targets)
        self.address = Address("127.0.0.1", self.node.server.port)
        await self.wait_until_read()
        await self.check_unnamed_refused(None, "a")

    async def test_router_that_found_a_configuration_knows_none(self):
        """Guards against a restart that counts as the beginning."""
        await self.add_engines(e1="v1")
        await self.start_node()
        await self.wait_until_read()
        await self.check_unnamed_refused(None, "a")


def list_seen(node):
    return node.shared.origins.history.list_seen(node.clock.now())
