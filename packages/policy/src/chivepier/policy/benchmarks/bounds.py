"""Committed bounds of a fast subset."""

import json
import pathlib

import click

from chivepier.policy.benchmarks.measures import Measures
from chivepier.policy.benchmarks.runner import Job
from chivepier.policy.benchmarks.runner import run_jobs

BOUNDS_FILE = pathlib.Path("packages/policy/benchmarks/bounds.json")


def load_bounds(path: pathlib.Path = BOUNDS_FILE) -> list[dict]:
    """Read the bounds: for each run, the most or least of each measure."""
    return json.loads(path.read_text())


def check_bounds(bounds: list[dict]) -> list[str]:
    """Run what the bounds name; the first job twice, for exact repeat.

    :param bounds: from :func:`load_bounds`
    :returns: one line for each bound that is broken
    """
    jobs = [
        Job(bound["site"], bound["scenario"], bound["policy"])
        for bound in bounds
    ]
    again = Job(jobs[0].site, jobs[0].scenario, jobs[0].policy)
    results = run_jobs(jobs)
    broken = []
    if run_jobs([again], 1)[again] != results[jobs[0]]:
        broken.append(f"{again}: a second run gives other numbers")
    for job, bound in zip(jobs, bounds):
        broken += _check_run(job, bound, read_measures(results[job]))
    return broken


def _check_run(job: Job, bound: dict, values: dict) -> list[str]:
    broken = []
    for name, most in bound.get("most", {}).items():
        if values[name] > most:
            broken.append(f"{job}: {name} {values[name]:.4f} > {most}")
    for name, least in bound.get("least", {}).items():
        if values[name] < least:
            broken.append(f"{job}: {name} {values[name]:.4f} < {least}")
    return broken


def read_measures(measures: Measures) -> dict[str, float]:
    """Return the measures that bounds can name.

    :param measures: of one run
    """
    total = measures.total
    return {
        "stall_p99": total.stall_p99,
        "gap_p99": total.gap_p99,
        "preemptions": total.preemptions,
        "itl_p95": total.itl[1],
        "itl_p99": total.itl[2],
        "goodput": total.goodput,
        "share_error": measures.share_error,
        "victims_stall_p99": measures.victims.stall_p99,
    }


def print_bounds(broken: list[str], count: int) -> None:
    """Say what is broken.

    :param broken: from :func:`check_bounds`
    :param count: how many runs were checked
    """
    for line in broken:
        click.echo(f"broken bound: {line}")
    if not broken:
        click.echo(f"bench: {count} runs within their bounds")
