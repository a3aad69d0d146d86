"""Run every trace with every dispatch policy and write the report."""

import concurrent.futures
import json
import pathlib
import sys
import time

import fire

from bench.load.baselines import POLICIES
from bench.load.measures import Metrics, measure
from bench.load.report import Runs, plot_trace, summarise, write_table
from bench.load.runs import Run
from bench.load.traces import TRACES

_OUTPUT = pathlib.Path("out/load")
_PRINTED_METRICS = (
    "in time",
    "urgent in time",
    "worst organisation",
    "of bound, tokens",
    "of bound, answers",
    "wasted tokens",
    "jain",
    "first p95 ms",
    "hopeless p99 ms",
    "recovery s",
    "crashes",
)

Task = tuple[str, str, int]


def run_one(task: Task) -> tuple[Task, Metrics]:
    """Run one trace with one policy and return its metrics."""
    trace, policy, seed = task
    return task, measure(Run(TRACES[trace](seed), POLICIES[policy], seed).run())


def run_all(
    seeds: int = 10, workers: int = 4, traces: str = "", policies: str = ""
) -> None:
    """Run the chosen traces and policies; print and write the comparison.

    Parameters
    ----------
    seeds
        Number of runs of each pair of trace and policy, seeded 0, 1, ….
    workers
        Number of worker processes.
    traces, policies
        Comma-separated names; an empty string selects all.
    """
    began = time.monotonic()
    chosen = traces.split(",") if traces else list(TRACES)
    compared = policies.split(",") if policies else list(POLICIES)
    tasks = [(t, p, s) for t in chosen for p in compared for s in range(seeds)]
    runs: Runs = {(t, p): [] for t in chosen for p in compared}
    with concurrent.futures.ProcessPoolExecutor(workers) as pool:
        for (trace, policy, _), figures in pool.map(run_one, tasks, chunksize=2):
            runs[trace, policy].append(figures)
    _show(runs)
    _write(runs, seeds)
    print(f"report: {_OUTPUT.resolve()}/report.md, {time.monotonic() - began:.0f} s")


def _show(runs: Runs) -> None:
    print(f"{'':34}" + "".join(f"{name[:17]:>18}" for name in _PRINTED_METRICS))
    for (trace, policy), found in runs.items():
        summary = summarise(found)
        cells = "".join(f"{summary[name][0]:18.3f}" for name in _PRINTED_METRICS)
        print(f"{trace:17}{policy:17}{cells}")


def _write(runs: Runs, seeds: int) -> None:
    _OUTPUT.mkdir(parents=True, exist_ok=True)
    (_OUTPUT / "report.md").write_text(write_table(runs, seeds))
    raw = {f"{trace} / {policy}": found for (trace, policy), found in runs.items()}
    (_OUTPUT / "runs.json").write_text(json.dumps(raw))
    for trace in dict.fromkeys(name for name, _ in runs):
        plot_trace(runs, trace, _OUTPUT)


if __name__ == "__main__":
    fire.Fire(run_all)
    sys.exit(0)
