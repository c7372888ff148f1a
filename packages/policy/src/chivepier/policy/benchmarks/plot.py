"""A picture of the results."""

from chivepier.policy.benchmarks.runner import POLICIES

PANELS = (
    ("stall p99 (s)", lambda m: m.total.stall_p99),
    ("preemptions", lambda m: m.total.preemptions),
    ("ITL p99 (ms)", lambda m: m.total.itl[2] * 1000),
    ("goodput (tokens/s)", lambda m: m.total.goodput),
)


def plot_results(results: dict, path: str) -> None:
    """Write grouped bars of the main measures for each site.

    :param results: measures by job
    :param path: the PNG file
    """
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    sites = sorted({job.site for job in results})
    figure, axes = pyplot.subplots(
        len(PANELS), len(sites), figsize=(9 * len(sites), 14), squeeze=False
    )
    for column, site in enumerate(sites):
        for row, (title, read) in enumerate(PANELS):
            found = {job: m for job, m in results.items() if job.site == site}
            _plot_panel(axes[row][column], found, read)
            axes[row][column].set_title(f"{site}: {title}")
    axes[0][0].legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def _plot_panel(axis, results, read) -> None:
    names = list(dict.fromkeys(job.scenario for job in results))
    policies = [p for p in POLICIES if any(j.policy == p for j in results)]
    width = 0.8 / len(policies)
    for index, policy in enumerate(policies):
        values = {
            job.scenario: read(measures)
            for job, measures in results.items()
            if job.policy == policy
        }
        places = [number + index * width for number in range(len(names))]
        heights = [values.get(name, 0) for name in names]
        axis.bar(places, heights, width, label=policy)
    axis.set_xticks(range(len(names)), names, rotation=30)
