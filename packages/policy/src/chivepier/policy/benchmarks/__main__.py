"""The command ``bin/bench``."""

import sys

import click

from chivepier.policy.benchmarks.aims import compare_aims
from chivepier.policy.benchmarks.aims import compare_surge
from chivepier.policy.benchmarks.bounds import check_bounds
from chivepier.policy.benchmarks.bounds import load_bounds
from chivepier.policy.benchmarks.bounds import print_bounds
from chivepier.policy.benchmarks.calibration import print_calibration
from chivepier.policy.benchmarks.plot import plot_results
from chivepier.policy.benchmarks.report import render_aims
from chivepier.policy.benchmarks.report import render_groups
from chivepier.policy.benchmarks.report import render_table
from chivepier.policy.benchmarks.runner import Job
from chivepier.policy.benchmarks.runner import OURS
from chivepier.policy.benchmarks.runner import POLICIES
from chivepier.policy.benchmarks.runner import run_jobs
from chivepier.policy.benchmarks.runner import SEED
from chivepier.policy.benchmarks.scenario import SCENARIOS
from chivepier.policy.benchmarks.site import SITES
from chivepier.policy.benchmarks.slopes import print_slopes


@click.command()
@click.option("--check", is_flag=True, help="Check the committed bounds.")
@click.option("--slopes", is_flag=True, help="CPU and memory by size.")
@click.option("--calibration", is_flag=True, help="Length estimates.")
@click.option("--plot", type=click.Path(), help="Write a picture.")
@click.option("--site", "sites", multiple=True, default=tuple(SITES))
@click.option("--scenario", "names", multiple=True, default=tuple(SCENARIOS))
@click.option("--policy", "policies", multiple=True, default=POLICIES)
@click.option("--seed", default=SEED, show_default=True)
@click.option("--details", is_flag=True, help="Classes and teams of ours.")
def main(
    check, slopes, calibration, plot, sites, names, policies, seed, details
) -> None:
    """Measure decisions under load, on a passed-in clock."""
    if check:
        bounds = load_bounds()
        broken = check_bounds(bounds)
        print_bounds(broken, len(bounds))
        sys.exit(1 if broken else 0)
    if slopes:
        print_slopes()
        return
    if calibration:
        print_calibration(seed)
        return
    jobs = [
        Job(site, name, policy, seed)
        for site in sites
        for name in names
        for policy in policies
    ]
    results = run_jobs(jobs)
    for site in sites:
        for name in names:
            _print_scenario(results, site, name, policies, seed, details)
    if plot:
        plot_results(results, plot)


def _print_scenario(results, site, name, policies, seed, details) -> None:
    found = {
        policy: results[Job(site, name, policy, seed)] for policy in policies
    }
    click.echo(render_table(f"== {site}, {name}", list(found.values())))
    if details and OURS in found:
        ours = found[OURS]
        click.echo(render_groups(ours, ours.classes + ours.teams))
    aims = compare_aims(found) if set(POLICIES) <= set(found) else []
    calm = results.get(Job(site, "calm", OURS, seed))
    if name == "surge" and calm and OURS in found:
        aims += compare_surge(calm, found[OURS])
    click.echo(render_aims(aims))


if __name__ == "__main__":
    main()
