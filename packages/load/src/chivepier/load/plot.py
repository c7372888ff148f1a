"""A plot of a report."""

import pathlib

import matplotlib
from matplotlib import pyplot

from chivepier.load.report import Report

matplotlib.use("Agg")
PERCENTILES = (50, 75, 90, 95, 99, 99.5, 99.9)


def plot_report(report: Report, path: pathlib.Path) -> None:
    """Draw inter-token latency by percentile, a line per team.

    :param report: what was measured
    :param path: the PNG to write
    """
    figure, axes = pyplot.subplots(figsize=(7, 4))
    for name, team in sorted(report.teams.items()):
        if not team.gap.get_total_count():
            continue
        values = [
            team.gap.get_value_at_percentile(p) / 1000 for p in PERCENTILES
        ]
        ticks = range(len(PERCENTILES))
        axes.plot(ticks, values, marker="o", label=name)
    axes.set_xticks(range(len(PERCENTILES)), [str(p) for p in PERCENTILES])
    axes.set_xlabel("percentile")
    axes.set_ylabel("inter-token latency, ms")
    axes.set_yscale("log")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
