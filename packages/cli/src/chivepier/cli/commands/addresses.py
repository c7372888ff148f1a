"""The addresses command."""

import click

from chivepier.cli.context import Context
from chivepier.cli.context import pass_context


@click.command()
@click.option("--zone", default="", help="The caller's availability zone.")
@pass_context
def addresses(context: Context, zone: str) -> None:
    """Show which entry addresses a caller is told.

    \b
    Example: chivepier addresses --zone a
    """
    answer = context.client.call("GET", f"/v1/addresses?zone={zone}")
    context.show(answer, answer["addresses"], ("address", "zone"))
