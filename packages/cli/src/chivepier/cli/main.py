"""The chivepier program."""

import click

from chivepier.cli.client import Client
from chivepier.cli.commands import COMMANDS
from chivepier.cli.context import Context

# these commands ask no instance
OFFLINE = ("explain",)


@click.group(context_settings={"auto_envvar_prefix": "CHIVEPIER"})
@click.option(
    "--address",
    "addresses",
    multiple=True,
    help="HTTP address of an instance; may be repeated.",
)
@click.option("--operator-key", help="Needed where an instance is asked.")
@click.option(
    "--output", type=click.Choice(["table", "json"]), default="table"
)
@click.pass_context
def main(context: click.Context, addresses, operator_key, output) -> None:
    """Submit and amend what chivepier serves, and look at it.

    Options can be given as environment variables: CHIVEPIER_ADDRESS (with
    spaces between several), CHIVEPIER_OPERATOR_KEY, CHIVEPIER_OUTPUT. The
    exit code tells the kind of error; docs/OPERATIONS.md lists them.

    \b
    Example: chivepier --address 10.0.0.1:7000 apply -f examples/fairway.yaml
    """
    if context.invoked_subcommand not in OFFLINE:
        if not addresses:
            raise click.UsageError("Missing option '--address'.")
        if not operator_key:
            raise click.UsageError("Missing option '--operator-key'.")
    client = Client(addresses, operator_key)
    context.obj = Context(client, output, addresses)


for command in COMMANDS:
    main.add_command(command)
