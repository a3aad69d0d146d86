"""One of two applications crashes on a request that the other one answers."""

import asyncio

from review.standins_2.cases import BROKEN, HELD, NOT_RUN, Stage, run
from review.standins_2.client import HOST, Attempt, send
from review.standins_2.configuration import (
    make_configuration,
    make_route,
    make_service,
)
from review.standins_2.engine import Engine
from review.standins_2.http import Message
from review.standins_2.routers import Router

BAD_SERVICE, SOUND_SERVICE, PREFIX = "wuno96b", "tavo31c", "/cufi504/"
BAD_HOST, SOUND_HOST = HOST, "dela17.example"
PATH = f"{PREFIX}status"
ZONES = ("zilina", "banska", "nitra")
STABLE_S = 3.0
BAD_GAP_S, SOUND_GAP_S = 1.0, 0.25
LENGTH_S = 40.0
MOST_RETRIES = 3
DEADLINE_MS = 2500


class Course:
    """One course of the case."""

    def __init__(self, stage: Stage) -> None:
        self.stage, self.record = stage, stage.record
        self.bad = [
            Engine(stage.store, stage.record, BAD_SERVICE, zone, self._crashes)
            for zone in ZONES
        ]
        self.sound = [
            Engine(stage.store, stage.record, SOUND_SERVICE, zone, lambda one: False)
            for zone in ZONES
        ]
        self.attempts: list[tuple[str, Attempt]] = []
        self.is_over = False

    def _crashes(self, request: Message) -> bool:
        return self.stage.has_trouble and request.first[1] == PATH

    async def ask(self, host: str, path: str, gap_s: float) -> None:
        """Send one request again and again, to the machines in turn."""
        turn, sends = 0, []
        while not self.is_over:
            turn += 1
            router = self.stage.routers[turn % len(self.stage.routers)]
            sends.append(asyncio.create_task(self._send(router, host, path)))
            await asyncio.sleep(gap_s)
        await asyncio.gather(*sends)

    async def _send(self, router: Router, host: str, path: str) -> None:
        attempt = await send(router, "GET", path, DEADLINE_MS, host=host)
        self.attempts.append((host, attempt))
        line = f"{attempt.identity} for {host}{path} at {router.ip}"
        self.record.write(f"{line} is answered {attempt.status}")

    def count_denied(self) -> int:
        """Return the refusals of the sound application's requests with a 4xx."""
        statuses = [one.status for host, one in self.attempts if host == SOUND_HOST]
        return sum(400 <= status < 500 for status in statuses)

    def count_late_retries(self) -> int:
        """Return the retries that reached engines, `stableMs` after the third crash."""
        runs = sorted(run for one in self.bad for run in one.poison_runs)
        if len(runs) < 3:
            return 0
        third, _ = runs[2]
        return len({identity for at, identity in runs if at > third + STABLE_S})


async def play(stage: Stage) -> int:
    """Play the case."""
    course = Course(stage)
    for engine in (*course.bad, *course.sound):
        await engine.start()
    fields = {"maxAttempts": 2}
    routes = [
        make_route(BAD_SERVICE, PREFIX, "idempotent", hostname=BAD_HOST, **fields),
        make_route(
            SOUND_SERVICE,
            PREFIX,
            "idempotent",
            hostname=SOUND_HOST,
            name="r-other",
            **fields,
        ),
    ]
    services = [make_service(BAD_SERVICE), make_service(SOUND_SERVICE)]
    await stage.start_routers(make_configuration(routes, services))
    await asyncio.sleep(STABLE_S)
    work = [
        course.ask(BAD_HOST, PATH, BAD_GAP_S),
        course.ask(BAD_HOST, f"{PREFIX}other", SOUND_GAP_S),
        course.ask(SOUND_HOST, PATH, SOUND_GAP_S),
    ]
    tasks = [asyncio.create_task(one) for one in work]
    await asyncio.sleep(LENGTH_S)
    course.is_over = True
    await asyncio.gather(*tasks)
    denied, late = course.count_denied(), course.count_late_retries()
    runs = sum(len(one.poison_runs) for one in course.bad)
    stage.record.write(
        f"engines crashed: {runs}; late retries that reached one: {late};"
        f" sound requests denied: {denied} of {len(course.attempts)} in all"
    )
    if not any(one.status == 200 for _, one in course.attempts):
        return NOT_RUN
    return BROKEN if late > MOST_RETRIES else HELD


if __name__ == "__main__":
    run(play, __file__)
