"""Run a case: start the store and the routers, play, and end all processes."""

import asyncio
import os
import pathlib
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from review.standins_2.record import Record
from review.standins_2.routers import Router, end_all, make_routers
from review.standins_2.store import Store

HELD, BROKEN, NOT_RUN = 0, 1, 2
LOGS = "REVIEW_LOGS"
"""Variable with a folder for the routers' logs, for whoever looks into a case."""


@dataclass
class Stage:
    """What a case plays with.

    Parameters
    ----------
    has_trouble
        Whether the disruption of the case is brought about.
    """

    store: Store
    routers: list[Router]
    record: Record
    has_trouble: bool

    async def start_routers(self, configuration: dict[str, Any]) -> None:
        """Start all routers, and wait until each is ready.

        Raises
        ------
        TimeoutError
            When one doesn't become ready.
        """
        self.store.put("config", "main", configuration)
        for router in self.routers:
            router.start()
        for router in self.routers:
            if not await router.wait_ready():
                raise TimeoutError(f"{router.ip} isn't ready")


Play = Callable[[Stage], Awaitable[int]]
"""Plays a case; returns its exit code."""


async def _run(play: Play, folder: pathlib.Path, count: int) -> int:
    record = Record(folder / "record.txt")
    routers: list[Router] = []
    with tempfile.TemporaryDirectory() as settings:
        try:
            store = Store()
            await store.server.start()
            routers = make_routers(pathlib.Path(settings), store.address, count)
            has_trouble = os.environ.get("TROUBLE", "1") != "0"
            return await play(Stage(store, routers, record, has_trouble))
        except (OSError, TimeoutError) as error:
            record.write(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            end_all(routers, record)
            if LOGS in os.environ:
                for one in routers:
                    log = one.settings.with_suffix(".log")
                    target = pathlib.Path(os.environ[LOGS]) / log.name
                    target.write_bytes(log.read_bytes())


def run(play: Play, file: str, count: int = 4) -> None:
    """Run the case of a file, and exit with its result."""
    sys.exit(asyncio.run(_run(play, pathlib.Path(file).parent, count)))
