"""The demonstration: a small cluster on this machine under a real load."""

import asyncio
import json
import pathlib
import sys
import tempfile

import click

from chivepier.load.plan import plan_arrivals
from chivepier.load.run import run_plan
from chivepier.load.teamload import TeamLoad
from chivepier.standins.cluster import LocalCluster
from chivepier.types import SystemClock

DISKS = 3
OTHERS = 1
ENGINES = 2
EXAMPLE = pathlib.Path("examples/fairway.yaml")
SEED = 7


def make_loads(scale: float) -> list[TeamLoad]:
    """Return what the demonstration's teams ask for.

    :param scale: multiplies all rates
    :returns: one load per team and template
    """
    advisers = {"team": "advisers", "key": "advisers-key"}
    volunteers = {"team": "volunteers", "key": "volunteers-key"}
    return [
        TeamLoad(**advisers, template="drafting", rate=3 * scale),
        TeamLoad(
            **volunteers,
            template="drafting",
            rate=2 * scale,
            longest=1000,
            burst=4.0,
        ),
        TeamLoad(
            **advisers,
            template="case-records",
            rate=1 * scale,
            service=True,
        ),
    ]


def start_cluster(cluster: LocalCluster) -> None:
    """Start instances and targets and submit the example's documents.

    :param cluster: not started yet
    """
    cluster.start_all()
    for number in range(1, ENGINES + 1):
        cluster.start_standin(
            "engine",
            f"engine-{number}",
            "--pool=drafting",
            "--model=plain-english-8b@1",
        )
    cluster.start_standin("service", "web-app-1", "--pool=web-app")
    cluster.run_cli("apply", "-f", str(EXAMPLE))

    def complete() -> bool:
        status = cluster.run_cli("--output=json", "status").stdout
        return len(json.loads(status)["targets"]) == ENGINES + 1

    cluster.wait_until(complete, "all targets")


@click.command()
@click.option("--seconds", default=10.0, help="Length of the load.")
@click.option("--scale", default=4.0, help="Multiplies all rates.")
def main(seconds: float, scale: float) -> None:
    """Run a small cluster under load and print what was measured."""
    arrivals = plan_arrivals(make_loads(scale), seconds, SEED)
    with tempfile.TemporaryDirectory() as folder:
        with LocalCluster(pathlib.Path(folder), DISKS, OTHERS) as cluster:
            start_cluster(cluster)
            click.echo(f"{len(arrivals)} requests in {seconds:.0f}s ...")
            entries = tuple(cluster.http.values())
            report = asyncio.run(run_plan(SystemClock(), arrivals, entries))
    click.echo(report.render_table())
    if report.problems:
        sys.exit("an answer was broken")


if __name__ == "__main__":
    main()
