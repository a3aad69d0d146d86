"""Nothing is sent to a drained failure domain, whatever way a request would take."""

import asyncio
import json
from contextlib import asynccontextmanager
from dataclasses import replace

from anvilshift.core.ejection import HealthState
from anvilshift.core.partrecord import PartCrash, make_scope
from anvilshift.core.placement.domaindrains import DomainDrain
from anvilshift.core.targetload import Prompt
from anvilshift.gateway.drainmessages import DrainsTold
from anvilshift.gateway.node import GatewayNode
from anvilshift.wire.response import ExchangeError
from tests.platform.gatewaycase import GatewayCase, make_configuration
from tests.platform.test_turned_away import WAYS, TurnedAwayCase

KIND = "evacuations"
BOUND_S = 5.0
"""Seconds from the acknowledgement of a drain until nothing is sent there any more."""
_PACE_S = 0.1
"""Seconds between events of a stream, in which a test has time to change something."""


class DrainCase(GatewayCase):
    drain_bound = BOUND_S * 1_000

    async def add_engines(self, **domains: str) -> None:
        for name, domain in domains.items():
            await self.add_target(name, "llm", zone=domain)

    async def drain(self, *domains: str) -> None:
        """Request drains, and wait until the router knows of them."""
        for domain in domains:
            self.store_stub.put(KIND, domain, {})
        known = self.node.loads.drains
        await self.wait_for(lambda: not any(known.may_send(one) for one in domains))

    async def end(self, domain: str) -> None:
        self.store_stub.remove(KIND, domain)
        await self.wait_for(lambda: self.node.loads.drains.may_send(domain))

    def drain_now(self, domain: str) -> None:
        """Let the router learn of a drain at this moment."""
        drains = self.node.loads.drains
        drains.begin(DomainDrain(domain, self.store_stub.revision + 1_000, 0.0))

    def count_runs(self, *names: str) -> int:
        return sum(len(self.targets[name].requests) for name in names)


class SendTest(DrainCase):
    """Guards against a way to a target that doesn't ask whether it is drained."""

    async def test_requests_go_to_other_domains_until_the_drain_ends(self):
        """Each content has homes in other domains, and the idle targets stay idle."""
        await self.add_engines(e1="south", e2="south", e3="south", e4="north")
        await self.add_target("d1", "desk", zone="south")
        await self.add_target("d2", "desk", zone="north")
        await self.start_node()
        await self.drain("south")
        for path in ("/chat/1", "/read/1", "/order/1") * 8:
            status, _, _ = await self.call(path, f"content {self.count}".encode())
            self.assertEqual(status, 200)
        self.assertEqual(self.count_runs("e1", "e2", "e3", "d1"), 0)
        # None of them was chosen and turned back, which costs time.
        self.assertNotIn("attempt_failed", self.journal.list_events())
        await self.end("south")
        calls = [self.call("/chat/1", b"%d" % number) for number in range(20)]
        await asyncio.gather(*calls)
        self.assertGreater(self.count_runs("e1", "e2", "e3"), 0)

    async def test_streams_that_run_there_end_there(self):
        await self.add_engines(e1="south")
        await self.start_node()
        await self.warm_up(self.node)
        runs = self.count_runs("e1")
        self.targets["e1"].pace = _PACE_S
        call = asyncio.create_task(self.call("/chat/1"))
        await self.wait_for(lambda: self.count_runs("e1") > runs)
        await self.drain("south")
        status, _, body = await call
        self.assertEqual((status, body.count(b"id: ")), (200, 6))

    async def test_retry_goes_to_no_drained_target(self):
        await self.add_engines(e1="north", e2="south")
        await self.start_node()
        self.targets["e1"].refuses = True
        await self.drain("south")
        status, _, _ = await self.call("/chat/1")
        self.assertEqual((status, self.count_runs("e2")), (503, 0))

    async def test_broken_stream_goes_on_at_no_drained_target(self):
        await self.add_engines(e1="north", e2="south", e3="east")
        await self.start_node()
        for target in self.targets.values():
            target.breaks_new = 3
        self.node.loads.targets["e3"].avoided_until = 1e15
        await self.drain("south")
        status, _, body = await self.call("/chat/1")
        self.assertEqual((status, body.count(b"id: ")), (200, 6))
        self.assertEqual(self.count_runs("e2"), 0)

    async def test_broken_stream_waits_for_no_drained_target(self):
        """Guards against a search of a second that can find nothing."""
        await self.add_engines(e1="north", e2="south")
        await self.start_node()
        await self.warm_up(self.node)
        runs = self.count_runs("e2")
        self.targets["e1"].crash_after = 3
        await self.drain("south")
        loop = asyncio.get_running_loop()
        began = loop.time()
        with self.assertRaises(ExchangeError):
            await self.call("/chat/1")
        self.assertLess(loop.time() - began, 0.5)
        self.assertEqual(self.count_runs("e2"), runs)

    async def test_stream_that_its_caller_takes_up_goes_to_no_drained_target(self):
        await self.add_engines(e1="north", e2="south")
        await self.start_node()
        await self.drain("south")
        await self.call("/chat/1", identity="first")
        self.targets["e1"].refuses = True
        headers = [("last-event-id", "3"), ("resumes", "first")]
        status, _, _ = await self.call("/chat/1", headers=headers)
        self.assertEqual((status, self.count_runs("e2")), (503, 0))

    async def test_try_of_a_suspect_part_goes_to_no_drained_target(self):
        await self.add_engines(e1="south", e2="north")
        await self.start_node()
        crash = PartCrash("e9/1", self.node.clock.now(), False)
        self.node.shared.parts.blame.record_crash(make_scope("llm", ""), ["a"], crash)
        await self.drain("south")
        # The spare engine is the one with fewest runs.
        loads, now = self.node.loads, self.node.clock.now()
        loads.send("e2", "other", Prompt(), 0, now, 0)
        tried = []
        start = self.node.shared.tries.start
        self.node.shared.tries.start = lambda one: tried.append(one) or start(one)
        status, _, _ = await self.call("/chat/1")
        self.assertEqual((status, self.count_runs("e1")), (200, 0))
        self.assertEqual([one.target for one in tried], ["e2"])

    async def test_silent_target_is_left_for_no_drained_one(self):
        await self.add_engines(e1="north", e2="south")
        await self.start_node()
        self.targets["e1"].hangs = True
        await self.drain("south")
        status, _, _ = await self.call("/chat/1")
        self.assertGreaterEqual(status, 500)
        self.assertEqual(self.count_runs("e2"), 0)


class LastCheckTest(DrainCase):
    """Guards against a drain that is learned between a choice and its first byte."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        await self.add_engines(e1="south", e2="north")
        await self.start_node()
        self.prefer("e1")

    def prefer(self, name: str) -> None:
        for target in self.node.loads.targets.values():
            if target.info.name != name:
                target.avoided_until = 1e15

    def intercept(self, place, name: str) -> None:
        """Drain the domain while some work is being done."""
        work = getattr(place, name)

        async def do(*arguments, **rest):
            found = await work(*arguments, **rest)
            self.drain_now("south")
            return found

        setattr(place, name, do)

    async def check_served(self) -> None:
        """Check that the other target serves it, with no retry and no blame."""
        drawn = []
        take = self.node.shared.retries.take
        self.node.shared.retries.take = lambda *of: drawn.append(of) or take(*of)
        status, _, _ = await self.call("/chat/1")
        self.assertEqual(status, 200)
        self.assertEqual((self.count_runs("e1"), self.count_runs("e2")), (0, 1))
        self.assertEqual(drawn, [])
        health = self.node.loads.targets["e1"].health
        self.assertEqual(health, type(health)())

    async def test_drain_while_a_connection_opens(self):
        self.intercept(self.node.reach, "connect")
        await self.check_served()

    async def test_drain_while_a_permit_is_asked_for(self):
        self.node.permits.is_limited = lambda target: target.info.name == "e1"
        self.intercept(self.node.permits, "ask")
        await self.check_served()

    async def test_drain_while_the_next_attempt_is_planned(self):
        """A silent target stays rather than that a drained one gets its request."""
        self.prefer("e2")
        self.targets["e2"].hangs = True
        self.intercept(self.node.shared.sender, "connect")
        await self.call("/chat/1")
        self.assertEqual(self.count_runs("e1"), 0)
        self.assertNotIn("south", self.list_domains_that_may_be_sent_to())

    async def test_drain_after_the_next_attempt_is_planned(self):
        self.prefer("e2")
        self.targets["e2"].hangs = True
        sender = self.node.shared.sender
        send = sender.send

        @asynccontextmanager
        async def drain_first(outgoing):
            if outgoing.connection is not None:
                self.drain_now("south")
            async with send(outgoing) as answer:
                yield answer

        sender.send = drain_first
        await self.call("/chat/1")
        self.assertEqual(self.count_runs("e1"), 0)
        self.assertNotIn("south", self.list_domains_that_may_be_sent_to())

    def list_domains_that_may_be_sent_to(self) -> list[str]:
        drains = self.node.loads.drains
        return [one for one in ("north", "south") if drains.may_send(one)]

    async def test_drain_of_the_source_of_cached_parts(self):
        """The request goes on without a fetch from there."""
        sender, asked = self.node.shared.sender, []
        send = sender.send

        @asynccontextmanager
        async def fetch(outgoing):
            source = self.node.loads.targets["e1"]
            choice = outgoing.choice.__class__(
                **{**vars(outgoing.choice), "fetch_from": source}
            )
            delivery = outgoing.delivery.__class__(
                **{**vars(outgoing.delivery), "fetch_from": source.info.address}
            )
            changed = {"choice": choice, "delivery": delivery}
            outgoing = outgoing.__class__(**{**vars(outgoing), **changed})
            async with send(outgoing) as answer:
                yield answer

        sender.send = fetch
        self.prefer("e2")
        for _ in range(2):
            await self.call("/chat/1")
            request = self.targets["e2"].requests[-1]
            asked.append(request.headers.get("kv-fetch"))
            self.drain_now("south")
        source = self.node.loads.targets["e1"].info.address
        self.assertEqual(asked, [source, None])


class EjectionTest(DrainCase):
    """Guards against a drain that lets all other targets be ejected."""

    async def test_ejections_leave_half_of_the_targets_in_use(self):
        await self.add_engines(e1="south", e2="south", e3="north", e4="north")
        await self.start_node()
        await self.drain("south")
        health, loads = self.node.shared.health, self.node.loads
        for name in ("e3", "e4"):
            target = loads.targets[name]
            if health._may_eject(target):
                health._eject(target)
        states = [loads.targets[name].health.state for name in ("e3", "e4")]
        self.assertEqual(states.count(HealthState.EJECTED), 1)


class StartTest(DrainCase):
    """Guards against a router that starts in a drain and sends there at first."""

    async def test_router_that_does_not_know_the_drains_serves_nobody(self):
        await self.add_engines(e1="south")
        self.store_stub.put("config", "main", make_configuration())
        self.store_stub.put(KIND, "south", ["unreadable"])
        self.store_stub.refused_kind = KIND
        await self.start_node(configured=False)
        node: GatewayNode = self.node
        await self.wait_for(lambda: "e1" in node.loads.targets and node.shared.table)
        await asyncio.sleep(0.5)
        status, headers, body = await self.call("/chat/1")
        self.assertEqual((status, node.is_ready()), (503, False))
        self.assertEqual(json.loads(body)["error"]["fate"], "not run")
        self.assertLessEqual(float(headers.get("retry-after")), 0.5)
        self.store_stub.refused_kind = None
        await self.wait_for(node.is_ready)
        status, _, _ = await self.call("/chat/1")
        self.assertEqual((status, self.count_runs("e1")), (503, 0))
        await self.end("south")
        status, _, _ = await self.call("/chat/1")
        self.assertEqual(status, 200)

    async def test_router_that_is_new_to_another_one_is_told_at_once(self):
        await self.start_node()
        await self.drain("south")
        told = []
        self.node.peers.send = lambda message, ip: told.append((message, ip))
        beat = replace(
            self.node.messenger.make_heartbeat(), router="n2", ip="127.0.0.9"
        )
        self.node.messenger.send_known_state(beat)
        views = [(one, ip) for one, ip in told if isinstance(one, DrainsTold)]
        self.assertEqual([ip for _, ip in views], ["127.0.0.9"])
        self.assertEqual([name for name, _, _ in views[0][0].drains], ["south"])

    async def test_router_asks_nothing_where_no_domain_can_be_drained(self):
        self.drain_bound = None
        await self.add_engines(e1="south")
        self.store_stub.put(KIND, "south", {})
        await self.start_node()
        status, _, _ = await self.call("/chat/1")
        self.assertEqual(status, 200)
        asked = [one for one in self.store_stub.calls if KIND in one]
        self.assertEqual((asked, self.node.list_gauges().get(_METRIC)), ([], None))


_METRIC = "anvilshift_drained_domains"


class TurnedAwayTest(TurnedAwayCase):
    """Guards against requests there, while the store turns single routers away."""

    drain_bound = BOUND_S * 1_000

    async def asyncSetUp(self):
        await super().asyncSetUp()
        for name in ("south1", "south2"):
            await self.add_target(name, "llm", zone="south")

    async def keep_calling(self, until: float) -> None:
        """Call all routers; a busy machine may answer late, which isn't judged here."""
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            calls = (self.call_at(node, "/chat/1") for node in self.nodes)
            await asyncio.gather(*calls, return_exceptions=True)
            await asyncio.sleep(0.05)

    async def test_no_router_sends_to_a_drained_domain_later_than_the_bound(self):
        await self.start()
        for node in self.nodes:
            # Without the drain all requests would go to the domain.
            for name in ("e0", "e1"):
                node.loads.targets[name].avoided_until = 1e15
        loop = asyncio.get_running_loop()
        await self.keep_calling(loop.time() + 1.0)
        acknowledged = loop.time()
        self.store_stub.put(KIND, "south", {})
        await self.keep_calling(acknowledged + BOUND_S + 2.0)
        for name in ("south1", "south2"):
            arrivals = self.targets[name].arrivals
            self.assertTrue(arrivals, "the domain was used before")
            self.assertLessEqual(max(arrivals), acknowledged + BOUND_S)
        gauges = [node.list_gauges()[_METRIC] for node in self.nodes]
        self.assertEqual(gauges, [1] * (len(WAYS) + 1))


if __name__ == "__main__":
    import unittest

    unittest.main()
