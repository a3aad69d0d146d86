"""New engines become homes of contents once every router has them in force."""

from anvilshift.core.homes import choose_homes
from anvilshift.core.work import LoadReport, Send, Work
from tests.router.nodes import InProcessFleet, VirtualTestCase, wait_until

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
"""A content that has the new engine among its homes."""


class IdleEngine:
    """An idle engine that answers its polls."""

    def __init__(self, name):
        self.name = name

    async def load(self):
        return LoadReport(self.name, 0, 0, 0.0)

    async def cache_events(self, after):
        return ()


class AgreementTest(VirtualTestCase):
    async def asyncSetUp(self):
        self.fleet = InProcessFleet(
            engine=lambda engine, router: IdleEngine(engine.name)
        )
        self.addAsyncCleanup(self.fleet.close)
        await self.fleet.platform.put("EngineGroup", "models", make_group(OLD), 0)
        await self.fleet.start("r1", "r2", "r3")
        self.count = 0

    async def declare_during_partition(self):
        """Declare an engine while r3 reaches neither the platform nor its peers."""
        self.fleet.cut_from_platform("r3")
        self.fleet.cut_peers("r3")
        platform = self.fleet.platform
        found = await platform.get("EngineGroup", "models")
        await platform.put("EngineGroup", "models", make_group(NEW), found.version)
        await wait_until(lambda: self.fleet.nodes["r1"].targets.engine("e5"))

    def list_used_engines(self, router, content=CHANGED):
        """Return the engines to which a router sends requests with a content."""
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
            sent = node.dispatcher.add_request(work, now)
            used |= {action.target for action in sent if isinstance(action, Send)}
            node.dispatcher.cancel(name, now)
        return used

    async def test_new_engine_is_no_home_until_a_router_behind_a_cut_is_removed(self):
        """A content must not reach three engines because routers know different ones.

        A partitioned router doesn't know the new engine yet, and sends the content
        to its homes among the old engines.  Until its record is removed, the others
        use only engines that are homes both with and without the new one.
        """
        await self.declare_during_partition()
        common = find_homes(CHANGED, OLD) & find_homes(CHANGED, NEW)
        self.assertLessEqual(self.list_used_engines("r1"), common)
        fleet = self.fleet.nodes["r1"].fleet
        await wait_until(lambda: "r3" not in fleet.members.member_statuses)
        await wait_until(lambda: fleet.find_common_revision() == fleet.member.revision)
        other = next(f"d{n}" for n in range(99) if "e5" in find_homes(f"d{n}", NEW))
        await wait_until(lambda: "e5" in self.list_used_engines("r1", other))

    async def test_router_that_starts_waits_for_one_that_is_behind(self):
        """A new router must not use engines that another router doesn't know yet.

        It becomes ready only when the router that is behind has been removed.
        """
        await self.declare_during_partition()
        newcomer = self.fleet.start_one("r4")
        await wait_until(lambda: newcomer.fleet.member.revision > 0)
        self.assertFalse(newcomer.is_ready())
        await wait_until(newcomer.is_ready)
        self.assertNotIn("r3", newcomer.fleet.members.member_statuses)
