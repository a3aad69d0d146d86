"""Choose the target of a request's next attempt."""

from collections.abc import Mapping, Set
from dataclasses import dataclass

from anvilshift.core.choosing import (
    Choice,
    Demand,
    choose_engine,
    choose_plain_target,
    list_usable,
)
from anvilshift.core.clock import Millis
from anvilshift.core.routing import ModelLimits
from anvilshift.core.targetload import Prompt
from anvilshift.gateway.crashes import CrashTracker
from anvilshift.gateway.permitsession import PermitSession
from anvilshift.gateway.routed import RoutedRequest
from anvilshift.gateway.shared import RouterContext
from anvilshift.gateway.streambinding import StreamBinding


@dataclass(frozen=True)
class TargetChooser:
    """Choose targets for one request among those that it may be sent to."""

    shared: RouterContext
    routed: RoutedRequest
    turn: PermitSession
    crashes: CrashTracker
    stream: StreamBinding

    def choose(self, failed_targets: Set[str]) -> Choice | None:
        """Return the best target; None if there is none.

        Parameters
        ----------
        failed_targets
            Targets at which an attempt failed.
        """
        excluded = self.list_excluded(failed_targets)
        slow_starts = self.shared.sender.slow_starts
        closed = slow_starts.list_closed(self.routed.service) if slow_starts else set()
        if closed:
            choice = self._choose(excluded | closed)
            if choice is not None and choice.turn <= 0.0:
                return choice
        return self._choose(excluded)

    def _choose(self, excluded: Set[str]) -> Choice | None:
        shared, routed, now = self.shared, self.routed, self.shared.clock.now()
        delays = self.turn.list_permit_delays()
        if routed.model is not None:
            demand = self._make_demand(routed.model, delays, now)
            return choose_engine(shared.sender.loads, demand, now, shared.rng, excluded)
        return choose_plain_target(
            shared.sender.loads,
            routed.service,
            shared.domain,
            shared.find_service_time(routed.service).value,
            shared.rng,
            now,
            excluded,
            delays,
            shared.sender.peers.small,
        )

    def choose_spare(self, failed_targets: Set[str]) -> Choice | None:
        """Return the engine where least is lost if the request ends it.

        It need not be a home of the content: a request with a suspect part is sent to
        one engine at a time, through all routers.
        """
        shared, routed, now = self.shared, self.routed, self.shared.clock.now()
        if routed.model is None:
            return None
        present = shared.sender.loads.list_service_targets(routed.service)
        excluded = self._list_unusable(failed_targets)
        excluded |= self.crashes.list_beyond_bound(routed.service)
        running = [one for one in present if one.ended_at is None]
        usable = list_usable(running, excluded) or list_usable(present, excluded)
        if not usable:
            return None
        spare = min(usable, key=lambda one: (len(one.runs), shared.rng.random()))
        others = {one.info.name for one in present if one is not spare}
        delays = self.turn.list_permit_delays()
        demand = self._make_demand(routed.model, delays, now)
        return choose_engine(shared.sender.loads, demand, now, shared.rng, others)

    def list_late(self, left: Millis) -> set[str]:
        """Return the targets where the request's turn comes later than a time."""
        now, delays = self.shared.clock.now(), self.turn.list_permit_delays()
        return {
            target.info.name
            for target in self.shared.sender.loads.list_service_targets(
                self.routed.service
            )
            if max(target.find_admission_delay(now), delays.get(target.info.name, 0.0))
            > left
        }

    def may_come(self, failed_targets: Set[str]) -> bool:
        """Return whether a target may take the request later that can't now.

        One that is ejected, rests or holds too much of such work may; one that has
        failed the request, may not go on with its stream, or is drained, won't.
        """
        loads, service = self.shared.sender.loads, self.routed.service
        present = loads.list_service_targets(service)
        unfit = {
            *failed_targets,
            *self.stream.list_unfit(),
            *loads.list_drained(service),
        }
        return any(target.info.name not in unfit for target in present)

    def lacks_memory(self, failed_targets: Set[str]) -> bool:
        """Return whether there are targets, though none with memory for the prompt."""
        service = self.routed.service
        present = self.shared.sender.loads.list_service_targets(service)
        is_asked = self.routed.model is not None
        return is_asked and bool(
            list_usable(present, self.list_excluded(failed_targets))
        )

    def _list_unusable(self, failed_targets: Set[str]) -> set[str]:
        drained = self.shared.sender.loads.list_drained(self.routed.service)
        unfit = self.stream.list_unfit()
        return {*failed_targets, *self.turn.refused, *unfit, *drained}

    def list_excluded(self, failed_targets: Set[str]) -> set[str]:
        """Return the targets to which the request may not be sent now."""
        routed = self.routed
        prompt = routed.call.prompt if routed.model is not None else Prompt()
        forbidden = self.crashes.list_forbidden(
            routed.service, prompt, self.stream.version
        )
        return self._list_unusable(failed_targets) | forbidden

    def _make_demand(
        self, model: ModelLimits, delays: Mapping[str, Millis], now: Millis
    ) -> Demand:
        routed = self.routed
        return Demand(
            routed.service,
            routed.call.prompt,
            model.cache_tokens,
            self.shared.domain,
            routed.rule.objective - (now - routed.arrived),
            model.tokens_per_event,
            routed.pause,
            len(routed.request.body) / 1_000,
            model.fetch_per_token,
            delays,
        )
