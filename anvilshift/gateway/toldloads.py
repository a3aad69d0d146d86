"""Record the load and the speed of targets, and tell the other routers of them."""

from dataclasses import dataclass, field

from anvilshift.core.clock import Millis
from anvilshift.core.loadmap import LoadMap
from anvilshift.core.placement.learnedspeeds import WorkKind
from anvilshift.core.placement.toldload import SLOWNESS_VALID, LoadReport, ToldLoad
from anvilshift.core.targetload import TargetLoad
from anvilshift.gateway.border import AnswerFields
from anvilshift.gateway.runmessages import Begun, Ended

_MEASURED = (WorkKind.PREFILL, WorkKind.DECODE, WorkKind.PLAIN)
_DIGITS = 3
"""Significant digits of a speed that are told: it varies by more than that."""


@dataclass
class ToldLoads:
    """What targets tell of their load, from their answers and from other routers.

    Attributes
    ----------
    read, heard, bad
        Loads read in answers, heard of from other routers, and those of either origin
        that were ignored because they can't be true.
    """

    loads: LoadMap
    read: int = 0
    heard: int = 0
    bad: int = 0
    _samples: dict[str, dict[WorkKind, float]] = field(default_factory=dict)

    def record_answer(
        self, target: TargetLoad, notes: AnswerFields, now: Millis
    ) -> None:
        """Record the load that an answer tells."""
        self.bad += notes.has_bad_load
        if notes.load is not None:
            self.read += 1
            target.record_told(notes.load, now)

    def add_sample(
        self, target: TargetLoad, run: str, kind: WorkKind, sample: Millis, now: Millis
    ) -> None:
        """Record how fast a target did a kind of work, and keep it for the others."""
        target.learned_speeds.add(kind, sample, now)
        if target.learned_speeds.service.are_used:
            self._samples.setdefault(run, {})[kind] = sample

    def make_begun(self, run: str, target: TargetLoad, now: Millis) -> Begun:
        """Return the message that a run began to answer."""
        told, age = self._describe(target, now)
        return Begun(run, target.info.name, told, age, self._take_samples(run))

    def make_ended(self, run: str, target: TargetLoad, now: Millis) -> Ended:
        """Return the message that a run ended."""
        told, age = self._describe(target, now)
        return Ended(run, target.info.name, told, age, self._take_samples(run))

    def apply(self, message: Begun | Ended, now: Millis) -> None:
        """Record what another router tells of a target beside a run."""
        target = self.loads.targets.get(message.target)
        if target is None:
            return
        if message.told and 0.0 <= message.told_age < SLOWNESS_VALID:
            try:
                load = ToldLoad.from_figures(message.told)
            except ValueError:
                self.bad += 1
            else:
                self.heard += 1
                target.record_told(load, now - message.told_age)
        target.learned_speeds.add_all(_MEASURED, message.speeds, now)

    def list_gauges(self) -> dict[str, float]:
        """Return present values for monitoring, by metric.

        They are absent where no target tells how slow it is.
        """
        used = [s for s in self.loads.learned_speeds.values() if s.are_used]
        if not used and not self.bad:
            return {}
        return {
            "anvilshift_told_loads_read": self.read,
            "anvilshift_told_loads_heard": self.heard,
            "anvilshift_told_loads_bad": self.bad,
        }

    def _describe(
        self, target: TargetLoad, now: Millis
    ) -> tuple[tuple[float, ...], float]:
        """Return the figures that the target told lately, with their age."""
        report = target.report
        if report is None or not target.learned_speeds.service.are_used:
            return (), 0.0
        age = now - report.at
        if age >= SLOWNESS_VALID:
            return (), 0.0
        return report.load.list_figures(), round(max(0.0, age), 1)

    def _take_samples(self, run: str) -> tuple[float, ...]:
        samples = self._samples.pop(run, None)
        if samples is None:
            return ()
        return tuple(
            float(f"{samples.get(kind, 0.0):.{_DIGITS}g}") for kind in _MEASURED
        )


def describe_report(report: LoadReport | None, now: Millis) -> dict[str, object]:
    """Return the log fields of what a target had told, and its age; none if nothing."""
    if report is None:
        return {}
    return {"told": report.load.list_figures(), "told_age": round(now - report.at)}
