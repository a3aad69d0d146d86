"""The store turns some machines away, and other routers leave afterwards."""

import asyncio
import pathlib
import signal
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

from common.deployment import (
    TROUBLE,
    Deployment,
    make_configuration,
    make_route,
    run_case,
)
from common.http import Caller, Message
from common.store import Entrance

_ENGINES = 4
"""Engines of the first service; with that of the later one there are five."""
_AWAY_S = 8.0
"""Time for which the store turns a router away."""
_CUT_S = 5.0
"""Time for which the store turns an engine away."""
_SILENT_S = 3 * 1.2
"""Silence after which the store removes an engine's entry: three heartbeats."""
_GAP_S = 2.0
"""Time between the SIGTERMs of the routers that leave."""
_SETTLE_S = 6.0
_REQUESTS = 30


async def _work(request: Message) -> bytes:
    await asyncio.sleep(0.045)
    return b"done"


async def _count_served(deployment: Deployment, ip: str, prefix: str) -> int:
    """Send requests to a route at one router; return how many are served."""
    statuses = []
    for number in range(_REQUESTS):
        caller = Caller((ip, deployment.front))
        _, _, status = await deployment.ask(
            caller, "GET", f"{prefix}{number}", deadline=2.5
        )
        caller.close()
        statuses.append(status)
        await asyncio.sleep(0.05)
    deployment.record.note(f"{ip} {prefix}: {statuses}")
    return statuses.count(200)


async def play(deployment: Deployment) -> bool:
    """Compare how often routes are served that were there first, and added later."""
    for _ in range(_ENGINES):
        await deployment.make_engine("stock-desk", _work).start()
    later = deployment.make_engine("label-desk", _work)
    routes = [make_route("r-stock", "/stock/", "idempotent", "stock-desk", 2500)]
    configuration = make_configuration(7, routes, ["stock-desk"])
    deployment.store.put("config", "main", configuration)
    await deployment.start_store()
    alone, *others = deployment.ips
    entrance = Entrance(deployment.store)
    await entrance.start(*deployment.write_settings(behind=[alone]))
    for ip in deployment.ips:
        deployment.start_router(ip)
    for ip in deployment.ips:
        await deployment.wait_ready(ip)
    await later.start()
    routes = [
        *routes,
        make_route("r-label", "/label/", "idempotent", "label-desk", 2500),
    ]
    configuration = make_configuration(9, routes, ["stock-desk", "label-desk"])
    deployment.store.put("config", "main", configuration)
    await asyncio.sleep(4.0)
    before = await _count_served(deployment, alone, "/label/")
    assert before == _REQUESTS, "the route that was added isn't served at all"
    if TROUBLE:
        deployment.record.note(f"the store turns {alone} and {later.name} away (503)")
        entrance.closed = True
        later.stop_renewing()
        await asyncio.sleep(_SILENT_S)
        deployment.store.delete("servers", later.name)
        deployment.record.note(f"the store has removed the entry of {later.name}")
        await asyncio.sleep(_CUT_S - _SILENT_S)
        later.renew()
        deployment.record.note(f"the store serves {later.name} again")
        await asyncio.sleep(_AWAY_S - _CUT_S)
        entrance.closed = False
        deployment.record.note(f"the store serves {alone} again")
    else:
        await asyncio.sleep(_AWAY_S)
    await asyncio.sleep(_SETTLE_S)
    for other in others:
        deployment.signal(other, signal.SIGTERM)
        await asyncio.sleep(_GAP_S)
    for other in others:
        while deployment.processes[other].poll() is None:
            await asyncio.sleep(0.05)
        deployment.record.note(f"router {other} has left for good")
    await asyncio.sleep(_SETTLE_S)
    assert await deployment.is_ready(alone), "the router isn't ready"
    served_first = await _count_served(deployment, alone, "/stock/")
    served_later = await _count_served(deployment, alone, "/label/")
    deployment.record.note(
        f"served on the first route: {served_first} of {_REQUESTS}; on the route that"
        f" was added later: {served_later} of {_REQUESTS}"
    )
    assert served_first == _REQUESTS, "the first route isn't served"
    return served_later * 4 >= served_first


if __name__ == "__main__":
    run_case(__file__, play, routers=3)
