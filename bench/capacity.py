"""Print and plot the cost of each router role by size (`make capacity`)."""

import csv
import pathlib
from collections.abc import Callable
from dataclasses import dataclass

from bench import ledgers, slopes
from bench.fleet import ROOT

OUTPUT = ROOT / "out" / "capacity"
ROUTERS = (2, 8, 32, 64, 256)
BUDGETS = (10, 100, 1_000, 10_000, 53_000)
ENGINES = (24, 240, 2_400, 11_000)
BILLS = (10, 100, 1_000, 5_000)
HOLDERS = (2, 8, 32, 64, 256)
ORGANISATIONS = 270


@dataclass(frozen=True)
class Series:
    """A quantity that is measured at several sizes.

    Parameters
    ----------
    at
        Size to extrapolate to.
    """

    name: str
    unit: str
    sizes: tuple[int, ...]
    measure: Callable[[int], float]
    at: int


@dataclass(frozen=True)
class Slope:
    """A fitted line: value = fixed + each x size."""

    each: float
    fixed: float

    @classmethod
    def from_points(cls, points: list[tuple[int, float]]) -> "Slope":
        """Fit a line by least squares.

        Examples
        --------
        >>> Slope.from_points([(0, 1.0), (10, 21.0)])
        Slope(each=2.0, fixed=1.0)
        """
        count = len(points)
        mean_size = sum(size for size, _ in points) / count
        mean_value = sum(value for _, value in points) / count
        spread = sum((size - mean_size) ** 2 for size, _ in points)
        if not spread:
            return cls(0.0, mean_value)
        shared = sum((s - mean_size) * (v - mean_value) for s, v in points)
        each = shared / spread
        return cls(each, mean_value - each * mean_size)

    def at(self, size: int) -> float:
        """Return the value of the line at a size."""
        return self.fixed + self.each * size


SERIES = (
    Series("heartbeats of all", "us", ROUTERS, slopes.record_heartbeats, 2_200),
    Series("heartbeat, both ends", "us", (1,), slopes.measure_heartbeat_exchange, 1),
    Series("heartbeat, both ways", "B", (1,), slopes.measure_heartbeat_bytes, 1),
    Series("roster memory", "B", ROUTERS, slopes.measure_roster_bytes, 2_200),
    Series("commit by accounts", "us", BUDGETS, ledgers.commit_by_accounts, 53_000),
    Series("commit by bills", "us", BILLS, ledgers.commit_by_bills, 36_000),
    Series(
        "ledger by accounts", "B", BUDGETS, ledgers.weigh_ledger_by_accounts, 53_000
    ),
    Series(
        "account by holders", "B", HOLDERS, ledgers.measure_account_by_holders, 2_200
    ),
    Series("account by bills", "B", BILLS, ledgers.measure_account_by_bills, 36_000),
    Series("gather a commit", "us", BUDGETS, ledgers.begin_commit, 53_000),
    Series("purses memory", "B", BUDGETS, ledgers.measure_escrow_bytes, 53_000),
    Series("change in force", "us", BUDGETS, slopes.publish_by_budgets, 53_000),
    Series(
        "declarations memory", "B", BUDGETS, slopes.measure_declarations_bytes, 53_000
    ),
    Series("targets in force", "us", ENGINES, slopes.configure_targets, 11_000),
    Series("find candidates", "us", ENGINES, slopes.find_candidates, 11_000),
    Series("place a request", "us", ENGINES, slopes.place_work, 11_000),
    Series("take all reports", "us", ENGINES, slopes.take_reports, 11_000),
    Series(
        "metrics, one read", "B", (ORGANISATIONS,), slopes.measure_metrics_bytes, 270
    ),
    Series("HTTP call, both ends", "us", (1,), slopes.call_http, 1),
)


def plot(series: Series, points: list[tuple[int, float]], slope: Slope) -> None:
    """Plot the measured points and the fitted line."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(5, 3.5))
    sizes = [size for size, _ in points]
    axes.loglog(sizes, [value for _, value in points], "o", label="measured")
    line_sizes = sorted({*sizes, series.at})
    values = [max(slope.at(size), 1e-3) for size in line_sizes]
    axes.loglog(line_sizes, values, "-", label="straight line")
    axes.set_xlabel("size")
    axes.set_ylabel(series.unit)
    axes.set_title(series.name)
    axes.legend()
    figure.tight_layout()
    figure.savefig(OUTPUT / f"{series.name.replace(' ', '-')}.png", dpi=90)
    pyplot.close(figure)


def run(output: pathlib.Path = OUTPUT) -> None:
    """Measure every series; print the table, write the points and the plots."""
    output.mkdir(parents=True, exist_ok=True)
    print(f"{'figure':24} {'each':>12} {'fixed':>12} {'at':>7} {'is':>14}  measured")
    with (output / "points.csv").open("w") as file:
        writer = csv.writer(file)
        for series in SERIES:
            points = [(size, series.measure(size)) for size in series.sizes]
            writer.writerows((series.name, series.unit, *point) for point in points)
            slope = Slope.from_points(points)
            measured = dict(points).get(series.at)
            found = measured if measured is not None else slope.at(series.at)
            kind = "measured" if measured is not None else "line"
            shown = " ".join(f"{size}:{value:.0f}" for size, value in points)
            print(
                f"{series.name:24} {slope.each:10.3f}{series.unit:>2} "
                f"{slope.fixed:10.0f}{series.unit:>2} {series.at:7} "
                f"{found:12.0f}{series.unit:>2}  {shown} ({kind})",
                flush=True,
            )
            plot(series, points, slope)
    print(f"points and plots: {output.relative_to(ROOT)}")


if __name__ == "__main__":
    run()
