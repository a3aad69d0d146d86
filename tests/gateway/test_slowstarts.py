"""How routers open a target that starts or comes back, by what they tell each other."""

import unittest
from dataclasses import dataclass
from types import SimpleNamespace

from anvilshift.core.health.slowstart import Outcome
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.targetload import Prompt, TargetInfo
from anvilshift.gateway.datagrams import decode, encode
from anvilshift.gateway.runmessages import Begun
from anvilshift.gateway.slowstarts import SlowStarts
from anvilshift.gateway.startmessages import TargetReturned
from tests.gateway.silent import SilentJournal

ROUTERS = [f"r{n}" for n in range(40)]
SLOTS = 12


class Clock:
    time = 0.0

    def now(self) -> float:
        return self.time


@dataclass
class PeersFake:
    """Hands messages to the other routers at once."""

    name: str
    fleet: dict[str, SlowStarts]

    @property
    def ip(self) -> str:
        return self.name

    def broadcast(self, message) -> None:
        [received] = decode(encode(message))
        for name, router in self.fleet.items():
            if name != self.name:
                is_return = isinstance(received, TargetReturned)
                hear = router.hear_return if is_return else router.hear
                hear(received)

    def list_present(self) -> list[object]:
        return [
            SimpleNamespace(
                beat=SimpleNamespace(
                    incarnation=name,
                    ip=name,
                    failure_domain=find_domain(name),
                    serving=True,
                    leaving=False,
                )
            )
            for name in self.fleet
            if name != self.name
        ]


def find_domain(router: str) -> str:
    return "north" if int(router[1:]) % 4 == 0 else "south"


class SlowStartsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = Clock()
        self.fleet: dict[str, SlowStarts] = {}
        for name in ROUTERS:
            self.fleet[name] = self.make_router(name)
        self.read("old")
        self.clock.time = 10_000.0
        self.read("new")

    def make_router(self, name: str, is_used: bool = True) -> SlowStarts:
        peers = PeersFake(name, self.fleet)
        domain = find_domain(name)
        return SlowStarts(
            name, domain, LoadMap(), peers, self.clock, SilentJournal(), is_used
        )

    def read(self, name: str, born: int = 1, routers=None) -> None:
        info = TargetInfo(name, "llm", "10.0.0.1:80", "north", SLOTS, born=born)
        for router in routers or self.fleet.values():
            router.loads.declare(info)
            router.apply_entry(info)

    def count_open(self, name: str = "new") -> int:
        return sum(name not in one.list_closed("llm") for one in self.fleet.values())

    def answer(self, router: str, outcome: Outcome, took: float = 100.0) -> None:
        self.clock.time += 1.0
        sent = self.clock.time
        self.clock.time += took
        ended = outcome is Outcome.REJECTED
        self.fleet[router].record("new", f"{router}/1", outcome, sent, ended)

    def test_only_as_many_routers_send_to_a_new_target_as_its_pace_is(self):
        """Guards against forty routers that send to an idle target at once."""
        self.assertEqual(self.count_open("old"), 40)
        self.assertEqual(self.count_open(), 4)
        near = [n for n, one in self.fleet.items() if not one.list_closed("llm")]
        self.assertEqual({find_domain(name) for name in near}, {"north"})

    def test_answers_of_some_routers_open_it_for_all(self):
        """Guards against a target that each router has to probe for itself."""
        self.answer("r0", Outcome.IN_TIME)
        self.assertEqual(self.count_open(), 5)
        for _ in range(10):
            self.answer("r4", Outcome.IN_TIME)
        self.assertEqual(self.count_open(), 40)

    def test_late_answers_and_rejections_close_it_for_all(self):
        """Guards against routers that go on sending to a target that is not ready."""
        self.answer("r0", Outcome.LATE)
        self.assertEqual(self.count_open(), 2)
        self.answer("r0", Outcome.REJECTED)
        self.assertEqual(self.count_open(), 1)

    def test_router_sends_no_more_than_its_share(self):
        router = next(r for r in self.fleet.values() if not r.list_closed("llm"))
        router.loads.send("new", f"{router.router}/1", Prompt(), 0, 10_000.0, 0)
        self.assertEqual(router.list_closed("llm"), {"new"})
        router.loads.end("new", f"{router.router}/1")
        self.assertEqual(router.list_closed("llm"), set())

    def test_router_that_starts_takes_no_running_target_for_a_new_one(self):
        """Guards against a restarted router that paces the whole fleet of targets."""
        late = self.make_router("r99")
        self.read("old", routers=[late])
        self.read("new", routers=[late])
        self.assertEqual(late.list_closed("llm"), set())

    def test_entry_that_comes_back_is_no_new_start(self):
        """Guards against an outage of the store after which all targets look new."""
        self.clock.time = 20_000.0
        for router in self.fleet.values():
            router.loads.remove("old", 20_000.0)
        self.read("old")
        self.assertEqual(self.count_open("old"), 40)
        self.read("old", born=2)
        self.assertEqual(self.count_open("old"), 4)

    def test_return_from_an_ejection_is_paced(self):
        for router in self.fleet.values():
            router.record_return(router.loads.targets["old"])
        self.assertEqual(self.count_open("old"), 4)

    def test_outcome_of_another_version_is_ignored(self):
        self.fleet["r0"].hear(Begun("r1/1", "new", outcome="splendid", took=1.0))
        self.assertEqual(self.count_open(), 4)

    def test_nothing_happens_where_it_isnt_asked_for(self):
        """Guards against earlier deployments that are served otherwise."""
        router = self.make_router("r98", is_used=False)
        self.read("old", routers=[router])
        self.clock.time += 10_000.0
        self.read("other", routers=[router])
        self.assertEqual(router.list_closed("llm"), set())
        self.assertEqual(router.list_gauges(), {})

    def test_gauges_tell_what_is_paced(self):
        self.answer("r0", Outcome.IN_TIME)
        gauges = self.fleet["r3"].list_gauges()
        self.assertEqual(gauges["anvilshift_paced_targets"], 1)
        self.assertEqual(gauges["anvilshift_paces_opened"], 1)
        self.assertEqual(gauges['anvilshift_pace{target="new"}'], 5.0)
        self.assertEqual(gauges['anvilshift_pace_changes{why="in time"}'], 1)


if __name__ == "__main__":
    unittest.main()
