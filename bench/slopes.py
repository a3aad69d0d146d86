"""Measure the cost of each role of a router by size, in one process.

Each function builds a state of a given size and returns one measurement.  Most
times are the best processor time of several repeats, which reduces the influence
of other load on the machine.
"""

import asyncio
import contextlib
import random
import time

from anvilshift.core.clock import MonotonicClock
from anvilshift.core.declarations import (
    Budget,
    Catalogue,
    Declaration,
    Engine,
    EngineGroup,
    Organisation,
    Policy,
    Route,
    TargetKind,
)
from anvilshift.core.dispatcher import Dispatcher
from anvilshift.core.labels import Selector
from anvilshift.core.membership import HeartbeatStatus, Member, Roster
from anvilshift.core.work import DispatchSettings, LoadReport, Target, Work
from anvilshift.engines.http import HttpConnector
from anvilshift.peers.generated.peers_pb2 import Heartbeat
from anvilshift.peers.link import GrpcPeerLink, PeerServer
from anvilshift.router.targets import Targets
from anvilshift.router.telemetry import Telemetry
from anvilshift.wire.client import HttpClient
from anvilshift.wire.jsons import dump_json
from anvilshift.wire.messages import JSON_TYPE, Address, HttpRequest, Reply
from anvilshift.wire.responder import Responder
from anvilshift.wire.server import HttpServer
from bench.gauges import MICROS, measure_bytes, time_micros
from bench.ports import take_free_port

MODELS = 24
DOMAINS = 27
ORGANISATIONS = 270
_REPEATED_CALLS = 300


def make_member(index: int) -> Member:
    """Return a member of a large fleet."""
    return Member(
        f"router-{index:04}",
        f"router-{index:04}-0123456789ab",
        f"host-{index:04}",
        f"10.{index % 12}.{index // 256}.{index % 256}:8080",
        f"10.{index % 12}.{index // 256}.{index % 256}:8081",
        f"domain-{index % DOMAINS:02}",
        revision=1_000_000,
        beat=100_000,
    )


def make_members(size: int) -> Roster:
    """Return the roster of a fleet as one of its routers keeps it."""
    members = Roster(lease=5_000.0)
    for index in range(size):
        members = members.record_renewal(make_member(index), 0.0)
    return members


def record_heartbeats(size: int) -> float:
    """Return microseconds to record one heartbeat of every other router."""
    members = make_members(size)

    def work() -> None:
        heard = members
        for index in range(size):
            heard = heard.record_heartbeat(
                make_member(index), HeartbeatStatus(in_flight=10), 1.0
            )

    return time_micros(work)


def make_heartbeat() -> Heartbeat:
    """Return a heartbeat of a member of a large fleet."""
    member = make_member(2_199)
    return Heartbeat(
        router=member.name,
        incarnation=member.incarnation,
        host=member.host,
        address=member.address,
        peer_address=member.peer_address,
        failure_domain=member.failure_domain,
        revision=member.revision,
        beat=member.beat,
        reaches_platform=True,
        in_flight=100,
    )


class _Echo:
    """Handler that answers a heartbeat with the same heartbeat."""

    async def handle_heartbeat(self, beat: Heartbeat) -> Heartbeat:
        return beat


class _CountingRelay:
    """TCP relay that counts the bytes of both directions."""

    def __init__(self, to: int) -> None:
        self.counted = 0
        self._to = to

    async def relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay an accepted connection to the upstream port."""
        upstream_reader, upstream_writer = await asyncio.open_connection(
            "127.0.0.1", self._to
        )
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                self._copy(reader, upstream_writer), self._copy(upstream_reader, writer)
            )

    async def _copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(65_536):
            self.counted += len(data)
            writer.write(data)
        writer.close()


async def _exchange_heartbeats() -> tuple[float, float]:
    """Return processor microseconds of both ends and bytes per heartbeat exchange."""
    port, relay_port = take_free_port(), take_free_port()
    server = PeerServer(_Echo())  # type: ignore[arg-type]
    await server.start(Address("127.0.0.1", port))
    counter = _CountingRelay(port)
    relay = await asyncio.start_server(counter.relay, "127.0.0.1", relay_port)
    link = GrpcPeerLink()
    beat = make_heartbeat()
    direct, counted = f"127.0.0.1:{port}", f"127.0.0.1:{relay_port}"
    await link.beat(direct, beat)
    began = time.process_time()
    for _ in range(_REPEATED_CALLS):
        await link.beat(direct, beat)
    spent = (time.process_time() - began) / _REPEATED_CALLS * MICROS
    await link.beat(counted, beat)
    before = counter.counted
    for _ in range(_REPEATED_CALLS):
        await link.beat(counted, beat)
    size = (counter.counted - before) / _REPEATED_CALLS
    link.close()
    relay.close()
    server.close()
    return spent, size


def measure_heartbeat_exchange(size: int) -> float:
    """Return processor microseconds of both ends for one heartbeat exchange."""
    return asyncio.run(_exchange_heartbeats())[0]


def measure_heartbeat_bytes(size: int) -> float:
    """Return the bytes of one heartbeat exchange, without TCP headers."""
    return asyncio.run(_exchange_heartbeats())[1]


def measure_members_bytes(size: int) -> float:
    """Return the memory of one router's roster in bytes."""
    return measure_bytes(lambda: make_members(size))


def make_declarations(engines: int, budgets: int = 10) -> list[Declaration]:
    """Return a complete set of declarations; the models divide the engines."""
    groups: list[Declaration] = []
    for model in range(MODELS):
        members = tuple(
            Engine(
                f"engine-{index:05}", "10.0.0.1:80", f"domain-{index % DOMAINS:02}", 16
            )
            for index in range(model, engines, MODELS)
        )
        name = f"model-{model:02}"
        labels = {"model": name}
        group = EngineGroup(name, TargetKind.MODEL, members, labels, (name,))
        route = Route(name, TargetKind.MODEL, Selector({"model": name}))
        policy = Policy(name, Selector(), Selector({"model": name}), 1)
        groups += [group, route, policy]
    organisations: list[Declaration] = [
        Organisation(f"organisation-{n:03}", f"budget-{n:05}", {"tier": "gold"})
        for n in range(ORGANISATIONS)
    ]
    named: list[Declaration] = [Budget(f"budget-{n:05}") for n in range(budgets)]
    return [*groups, *organisations, *named]


def measure_metrics_bytes(size: int) -> float:
    """Return the size of a router's rendered metrics in bytes, by organisations."""
    telemetry = Telemetry()
    for index in range(size):
        name = f"organisation-{index:03}"
        telemetry.record_queue_wait(name, "advice", 1.0)
        telemetry.record_first_token_wait(name, "advice", 1.0)
        telemetry.record_whole_answer_wait(name, "advice", 1.0)
        telemetry.record_bill_wait(name, "advice", 1.0)
        telemetry.record_token_gaps(name, "advice", 1.0, 1.0)
        telemetry.count_answer(name, "advice", None)
    return float(len(telemetry.render()))


def publish_by_budgets(size: int) -> float:
    """Return microseconds to build the catalogue after a change, by budgets."""
    declarations = make_declarations(100, size)
    return time_micros(lambda: Catalogue.from_declarations(declarations, 1))


def measure_declarations_bytes(size: int) -> float:
    """Return the memory of the declarations in bytes, by budgets."""
    return measure_bytes(lambda: make_declarations(11_000, size))


def configure_targets(size: int) -> float:
    """Return microseconds to apply a configuration change, by declared engines."""
    catalogue = Catalogue.from_declarations(make_declarations(size), 1)
    targets = Targets(HttpConnector(HttpClient()), MonotonicClock())
    dispatcher = _make_dispatcher(size)
    declared = [
        Target(engine.name, engine.failure_domain, engine.slots)
        for group in catalogue.groups.values()
        for engine in group.engines
    ]

    def work() -> None:
        targets.configure(catalogue)
        dispatcher.configure(declared, 1.0)

    return time_micros(work)


def find_candidates(size: int) -> float:
    """Return microseconds to find a request's candidates, by declared engines."""
    catalogue = Catalogue.from_declarations(make_declarations(size), 1)
    organisation = catalogue.organisations["organisation-001"]
    route = catalogue.routes["model-01"]
    return time_micros(lambda: catalogue.candidates(organisation, route))


def _make_dispatcher(size: int) -> Dispatcher:
    settings = DispatchSettings("domain-00", routers=2_200)
    dispatcher = Dispatcher(settings, random.Random(0))
    targets = [
        Target(f"engine-{n:05}", f"domain-{n % DOMAINS:02}", 16) for n in range(size)
    ]
    dispatcher.configure(targets, 0.0)
    return dispatcher


def place_work(size: int) -> float:
    """Return microseconds from a request's arrival to its end, by engines.

    The candidates of the request are the engines of one model.
    """
    dispatcher = _make_dispatcher(size)
    candidates = {f"engine-{n:05}": 0 for n in range(0, size, MODELS)}

    def work() -> None:
        for number in range(10):
            identity = f"r{number}"
            work_item = Work(identity, "o", "c", candidates, 100, 300, deadline=1e6)
            dispatcher.add_request(work_item, 1.0)
            dispatcher.first_token(identity, 2.0)
            dispatcher.done(identity, 300, 3.0)

    return time_micros(work) / 10


def take_reports(size: int) -> float:
    """Return microseconds to process one load report of each engine."""
    dispatcher = _make_dispatcher(size)
    names = [f"engine-{n:05}" for n in range(size)]

    def work() -> None:
        for name in names:
            dispatcher.load_report(LoadReport(name, 3, 1, 0.0), 10.0)

    return time_micros(work)


def call_http(size: int) -> float:
    """Return microseconds of one HTTP call, both ends, on a warm connection."""
    return asyncio.run(_call_http())


async def _call_http() -> float:
    async def handle(request: HttpRequest, responder: Responder) -> None:
        body = dump_json({"running": 1, "waiting": 0, "age_ms": 3.0})
        await responder.send(Reply(200, [JSON_TYPE], body))

    server = HttpServer(handle)
    address = await server.start(Address("127.0.0.1", 0))
    client = HttpClient()
    await client.call(address, "GET", "/load")
    began = time.process_time()
    for _ in range(_REPEATED_CALLS):
        await client.call(address, "GET", "/load", [JSON_TYPE])
    spent = time.process_time() - began
    client.close()
    await server.close()
    return spent / _REPEATED_CALLS * MICROS
