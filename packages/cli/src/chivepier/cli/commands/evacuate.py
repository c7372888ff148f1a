"""The evacuate and readmit commands."""

import urllib.parse

import click

from chivepier.cli.context import Context
from chivepier.cli.context import pass_context

PATH = "/v1/operator/evacuations/"


@click.command()
@click.argument("zone")
@pass_context
def evacuate(context: Context, zone: str) -> None:
    """Send nothing new to the targets of an availability zone.

    What runs there ends there. The order survives restarts of everything;
    readmit ends it.

    \b
    Example: chivepier evacuate hall-a
    """
    context.client.call("POST", PATH + urllib.parse.quote(zone, safe=""))
    click.echo(f"{zone} is evacuated")


@click.command()
@click.argument("zone")
@pass_context
def readmit(context: Context, zone: str) -> None:
    """Send new work to the targets of an availability zone again.

    They count as cold until they say otherwise.

    \b
    Example: chivepier readmit hall-a
    """
    context.client.call("DELETE", PATH + urllib.parse.quote(zone, safe=""))
    click.echo(f"{zone} is readmitted")
