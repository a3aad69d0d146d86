"""Bind a stream to the version of the software that began it.

From its first event on a stream goes on at its version only, in the same answer and
when its caller takes it up at any router.
"""

from anvilshift.core.origins import Origin
from anvilshift.core.targetload import TargetLoad
from anvilshift.gateway.routed import RoutedRequest
from anvilshift.gateway.shared import RouterContext


class StreamBinding:
    """The version at which one request's stream may go on.

    A stream that began at an unknown version goes on nowhere: no other version is known
    to be the same.
    """

    def __init__(self, shared: RouterContext, routed: RoutedRequest) -> None:
        self._shared = shared
        self._routed = routed
        self._origin = routed.origin
        self._has_begun = routed.origin is not None

    @property
    def version(self) -> str | None:
        """Return the version that began the stream; None if none is known."""
        return self._origin.version if self._origin else None

    def record_event(self, target: TargetLoad) -> None:
        """Record that a target sends an event, and tell where the stream began."""
        if not self._has_begun and target.version is not None:
            self._origin = Origin(target.info.service, target.version)
        self._has_begun = True
        if self._origin is not None and self._routed.rule.resumable:
            lasts = self._routed.caller_end - self._shared.clock.now()
            key = self._routed.stream_key
            self._shared.origins.record(key, self._origin, max(0.0, lasts))

    def list_unfit(self) -> set[str]:
        """Return the targets at which the stream may not go on."""
        if not self._has_begun:
            return set()
        names = {target.info.name for target in self._list_targets()}
        return names - {target.info.name for target in self._list_fitting()}

    def is_stranded(self) -> bool:
        """Return whether the stream has begun and no target of its version is left."""
        return self._has_begun and not self._list_fitting()

    def _list_fitting(self) -> list[TargetLoad]:
        version = self.version
        return [
            target
            for target in self._list_targets()
            if version is not None and target.version == version
        ]

    def _list_targets(self) -> list[TargetLoad]:
        loads = self._shared.sender.loads
        return loads.list_service_targets(self._routed.service)
