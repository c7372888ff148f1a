"""The status command."""

import time

import click

from chivepier.cli.context import Context
from chivepier.cli.context import pass_context

MEMBER_COLUMNS = (
    "name",
    "zone",
    "address",
    "draining",
    "voter",
    "leader",
    "silent_s",
)
ZONE_COLUMNS = ("zone", "evacuated", "targets")
LIMIT_COLUMNS = ("target", "rate", "source", "seconds")
TARGET_COLUMNS = (
    "target",
    "pool",
    "zone",
    "models",
    "role",
    "leaving",
    "silent_s",
    "load",
)


@click.command()
@click.option("--watch", is_flag=True, help="Show it again and again.")
@click.option("--interval", default=2.0, help="Seconds between two.")
@pass_context
def status(context: Context, watch: bool, interval: float) -> None:
    """Show instances, voters, targets and versions.

    \b
    Example: chivepier status --watch
    """
    while True:
        show_status(context)
        if not watch:
            return
        time.sleep(interval)
        click.echo()


def show_status(context: Context) -> None:
    """Print the status once.

    :param context: client and output
    """
    answer = context.client.call("GET", "/v1/operator/status")
    voters = {voter["node"] for voter in answer["voters"]}
    members = [
        {
            **member,
            "voter": member["node"] in voters,
            "leader": member["peer_address"] == answer["leader"],
        }
        for member in answer["members"]
    ]
    context.show(answer, members, MEMBER_COLUMNS)
    if context.output == "json":
        return
    click.echo()
    context.show(answer, answer["targets"], TARGET_COLUMNS)
    zones = answer.get("evacuations", ())
    if any(zone["evacuated"] for zone in zones):
        click.echo()
        context.show(answer, list(zones), ZONE_COLUMNS)
    limits = answer.get("limits", ())
    if limits:
        click.echo()
        context.show(answer, list(limits), LIMIT_COLUMNS)
    click.echo(f"\nversion {answer['version']}, in force {answer['in_force']}")
