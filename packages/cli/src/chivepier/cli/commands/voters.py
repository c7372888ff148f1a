"""The voters command."""

import click

from chivepier.cli.context import Context
from chivepier.cli.context import pass_context


@click.group()
def voters() -> None:
    """Show and change the instances that vote."""


@voters.command("list")
@pass_context
def list_voters(context: Context) -> None:
    """Show the voters."""
    answer = context.client.call("GET", "/v1/operator/status")
    context.show(answer, answer["voters"], ("node", "address"))
