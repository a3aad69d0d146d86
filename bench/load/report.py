"""Write the comparison as a table and one plot for each trace."""

import pathlib
import statistics
from collections import defaultdict

import matplotlib as mpl

mpl.use("Agg")
from matplotlib import pyplot as plt

from bench.load.measures import Metrics

_PLOTTED_SHARES = (
    "in time",
    "urgent in time",
    "worst organisation",
    "others in time",
    "wasted tokens",
    "of bound, tokens",
    "jain",
)

Runs = dict[tuple[str, str], list[Metrics]]


def summarise(runs: list[Metrics]) -> dict[str, tuple[float, float, float]]:
    """Return the median, minimum and maximum of each metric."""
    values: dict[str, list[float]] = defaultdict(list)
    for run in runs:
        for name, value in run.items():
            values[name].append(value)
    return {n: (statistics.median(v), min(v), max(v)) for n, v in values.items()}


def _format(figure: tuple[float, float, float]) -> str:
    digits = 3 if abs(figure[2]) <= 2 else 0
    median, least, most = (f"{value:.{digits}f}" for value in figure)
    return f"{median} [{least}, {most}]"


def write_table(runs: Runs, seeds: int) -> str:
    """Return the comparison in Markdown, with one table for each trace."""
    lines = [f"# Load policies compared: medians of {seeds} seeds [least, most]"]
    for trace in dict.fromkeys(name for name, _ in runs):
        found = {p: summarise(r) for (t, p), r in runs.items() if t == trace}
        lines += ["", f"## {trace}", "", "| figure | " + " | ".join(found) + " |"]
        lines.append("|---" * (len(found) + 1) + "|")
        for figure in next(iter(found.values())):
            cells = [_format(summary[figure]) for summary in found.values()]
            lines.append(f"| {figure} | " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def plot_trace(runs: Runs, trace: str, folder: pathlib.Path) -> None:
    """Plot the medians of a trace for each policy, with minimum and maximum."""
    found = {p: summarise(r) for (t, p), r in runs.items() if t == trace}
    figure, (shares, waits) = plt.subplots(1, 2, figsize=(13, 4.5), width_ratios=[2, 1])
    width = 0.8 / len(found)
    for place, (policy, summary) in enumerate(found.items()):
        _draw(shares, summary, _PLOTTED_SHARES, place * width, width, policy)
        names = ("first p50 ms", "first p95 ms", "first p99 ms", "refusal p50 ms")
        _draw(waits, summary, names, place * width, width, policy)
    shares.set_title(f"{trace}: shares")
    waits.set_title("milliseconds")
    shares.legend(fontsize=8)
    figure.tight_layout()
    figure.savefig(folder / f"{trace.replace(' ', '-')}.png", dpi=90)
    plt.close(figure)


def _draw(
    axes: plt.Axes,
    summary: dict[str, tuple[float, float, float]],
    names: tuple[str, ...],
    offset: float,
    width: float,
    label: str,
) -> None:
    medians = [summary[name][0] for name in names]
    below = [summary[name][0] - summary[name][1] for name in names]
    above = [summary[name][2] - summary[name][0] for name in names]
    places = [index + offset for index in range(len(names))]
    axes.bar(places, medians, width, yerr=[below, above], label=label)
    ticks = [index + 0.4 for index in range(len(names))]
    axes.set_xticks(ticks, names, rotation=25, ha="right", fontsize=8)
