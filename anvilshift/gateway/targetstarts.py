"""Verify that a target still is the start that its entry describes.

A target that starts anew under its name accepts what was meant for the start before,
and may run another version of its software, until its changed entry has been read.
"""

import asyncio
import weakref
from dataclasses import dataclass, field
from enum import Enum

from anvilshift.core.clock import SECOND, Clock, Millis
from anvilshift.core.targetload import TargetInfo, TargetLoad
from anvilshift.gateway.border import Dialect
from anvilshift.gateway.journal import Journal
from anvilshift.wire.client import HttpClient
from anvilshift.wire.connection import Connection
from anvilshift.wire.messages import Address
from anvilshift.wire.response import ExchangeError

_REPORT_TIMEOUT: Millis = 250.0
_DOUBT_LIFETIME: Millis = 6 * SECOND
"""Time after which the entry of a target that started anew has been read, as long as
the platform's store answers: a start writes its entry at once."""


class StartCheck(Enum):
    """Whether a target is the start that its entry describes."""

    SAME = "same"
    OTHER = "other"
    UNKNOWN = "unknown"


@dataclass
class TargetStarts:
    """Ask targets when they started, and remember whose start is in doubt.

    A target whose report doesn't say when it started isn't asked again.
    """

    client: HttpClient
    dialect: Dialect
    clock: Clock
    journal: Journal
    _doubted: dict[TargetLoad, Millis] = field(default_factory=dict)
    _silent: weakref.WeakSet[TargetLoad] = field(default_factory=weakref.WeakSet)
    _checks: dict[str, asyncio.Task[None]] = field(default_factory=dict)

    def doubt(self, target: TargetLoad) -> None:
        """Doubt the start of a target that accepted no connection, and check it."""
        self._mark(target)
        self.recheck(target)

    def _mark(self, target: TargetLoad) -> None:
        target.is_start_doubted = True
        self._doubted[target] = self.clock.now()

    def expire(self, is_fresh: bool) -> None:
        """End doubts that the target's entry would have confirmed by now.

        Parameters
        ----------
        is_fresh
            Whether the targets' entries are being read from the platform's store.
        """
        now = self.clock.now()
        for target, since in list(self._doubted.items()):
            if not target.is_start_doubted:
                del self._doubted[target]
            elif not is_fresh:
                self._doubted[target] = now
            elif now - since > _DOUBT_LIFETIME:
                target.is_start_doubted = False
                del self._doubted[target]

    def can_ask(self, target: TargetLoad) -> bool:
        """Return whether a target's own word can show that its start is the same."""
        return bool(target.info.born) and target not in self._silent

    def recheck(self, target: TargetLoad) -> None:
        """Check a target in the background if its start is in doubt."""
        if not target.is_start_doubted or not self.can_ask(target):
            return
        name = target.info.name
        if name not in self._checks:
            task = asyncio.get_running_loop().create_task(self._check_doubted(target))
            self._checks[name] = task
            task.add_done_callback(lambda done: self._checks.pop(name, None))

    async def _check_doubted(self, target: TargetLoad) -> None:
        address = Address.parse(target.info.address)
        try:
            connection = await self.client.open(address, _REPORT_TIMEOUT)
            result = (await self.check(target, connection)).value
        except (ExchangeError, TimeoutError) as error:
            result = repr(error)
        self.journal.write("start_checked", target=target.info.name, result=result)

    async def check(self, target: TargetLoad, connection: Connection) -> StartCheck:
        """Ask a target on a connection when it started.

        The connection is idle afterwards, if it is kept.

        Raises
        ------
        ExchangeError
            When the target doesn't answer.
        """
        info = target.info
        async with (
            asyncio.timeout(_REPORT_TIMEOUT / SECOND),
            self.client.exchange(
                connection.address,
                "GET",
                self.dialect.report_path,
                connection=connection,
            ) as response,
        ):
            body = await response.read()
        born = self.dialect.read_start(response.status, body)
        if born is None:
            self._silent.add(target)
        result = self._compare(info, born)
        if result is StartCheck.SAME:
            target.is_start_doubted = False
        elif result is StartCheck.OTHER:
            self._mark(target)
            self.journal.write("target_started_anew", target=info.name)
        return result

    def _compare(self, info: TargetInfo, born: int | None) -> StartCheck:
        if born is None or not info.born:
            return StartCheck.UNKNOWN
        return StartCheck.SAME if born == info.born else StartCheck.OTHER

    def close(self) -> None:
        """Cancel the checks that are running."""
        for task in self._checks.values():
            task.cancel()
