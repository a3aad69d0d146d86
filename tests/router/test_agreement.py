"""Engines that are new count once every router has them in force."""

from anvilshift.core.homes import choose_homes
from anvilshift.core.work import LoadReport, Send, Work
from tests.router.nodes import Nodes, VirtualTestCase, wait_until

OLD = ("e1", "e2", "e3", "e4")
NEW = (*OLD, "e5")


def make_group(names):
    engines = [
        {"name": name, "address": "127.0.0.1:1", "failure_domain": "north"}
        for name in names
    ]
    return {
        "kind": "EngineGroup",
        "name": "models",
        "target": "model",
        "models": ["advice"],
        "engines": engines,
    }


def find_homes(content, names):
    return set(choose_homes(content, dict.fromkeys(names, "north")))


CHANGED = next(f"c{n}" for n in range(99) if "e5" in find_homes(f"c{n}", NEW))
"""A content that has the new engine for a home."""


class Idle:
    """An engine that answers its polls."""

    def __init__(self, name):
        self.name = name

    async def load(self):
        return LoadReport(self.name, 0, 0, 0.0)

    async def cache_events(self, after):
        return ()


class AgreementTest(VirtualTestCase):
    async def asyncSetUp(self):
        self.fleet = Nodes(engine=lambda engine, router: Idle(engine.name))
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.platform.put("EngineGroup", "models", make_group(OLD), 0)
        await self.fleet.start("r1", "r2", "r3")
        self.count = 0

    async def declare_behind_a_cut(self):
        """Declare an engine while r3 can't hear of it."""
        self.fleet.cut_from_platform("r3")
        self.fleet.cut_peers("r3")
        platform = self.fleet.platform
        found = await platform.get("EngineGroup", "models")
        await platform.put("EngineGroup", "models", make_group(NEW), found.version)
        await wait_until(lambda: self.fleet.nodes["r1"].targets.engine("e5"))

    def list_used(self, router, content=CHANGED):
        """Return the engines that a router uses for new copies of a content."""
        node = self.fleet.nodes[router]
        used = set()
        for _ in range(20):
            self.count += 1
            name = f"w{self.count}"
            now = self.fleet.clock.now()
            candidates = dict.fromkeys(NEW, 0)
            work = Work(
                name, "org", "x", candidates, 10, 10, now + 1e6, content=content
            )
            sent = node.dispatcher.arrive(work, now)
            used |= {action.target for action in sent if isinstance(action, Send)}
            node.dispatcher.cancel(name, now)
        return used

    async def test_new_engine_is_no_home_until_a_router_behind_a_cut_is_removed(self):
        """Guards against a third engine through a router that has not heard of one."""
        await self.declare_behind_a_cut()
        common = find_homes(CHANGED, OLD) & find_homes(CHANGED, NEW)
        self.assertLessEqual(self.list_used("r1"), common)
        roster = self.fleet.nodes["r1"].fleet
        await wait_until(lambda: "r3" not in roster.roster.sightings)
        await wait_until(
            lambda: roster.find_common_revision() == roster.member.revision
        )
        other = next(f"d{n}" for n in range(99) if "e5" in find_homes(f"d{n}", NEW))
        await wait_until(lambda: "e5" in self.list_used("r1", other))

    async def test_router_that_starts_waits_for_one_that_is_behind(self):
        """Guards against a newcomer that knows only engines others don't know."""
        await self.declare_behind_a_cut()
        newcomer = self.fleet.start_one("r4")
        await wait_until(lambda: newcomer.fleet.member.revision > 0)
        self.assertFalse(newcomer.is_ready())
        await wait_until(newcomer.is_ready)
        self.assertNotIn("r3", newcomer.fleet.roster.sightings)
