"""The voters commands."""

import click

from chivepier.cli.client import Client
from chivepier.cli.context import Context
from chivepier.cli.context import pass_context

PATH = "/v1/operator/voters"
COLUMNS = ("node", "address", "index", "holds")


@click.group()
def voters() -> None:
    """Show and change the instances that vote."""


@voters.command("list")
@pass_context
def list_voters(context: Context) -> None:
    """Show the voters, and whether each holds all that is committed.

    \b
    Example: chivepier voters list
    """
    show_voters(context, context.client.call("GET", PATH))


@voters.command()
@click.argument("peer")
@pass_context
def add(context: Context, peer: str) -> None:
    """Add the instance at the peer address PEER, once it holds all.

    \b
    Example: chivepier voters add 10.0.0.4:7001
    """
    body = {"action": "add", "peer": peer}
    show_voters(context, context.client.call("POST", PATH, body))


@voters.command()
@click.argument("node")
@pass_context
def remove(context: Context, node: str) -> None:
    """Remove the voter with the identity NODE.

    \b
    Example: chivepier voters remove 3f2a9c41
    """
    body = {"action": "remove", "node": node}
    show_voters(context, context.client.call("POST", PATH, body))


@voters.command()
@click.argument("survivor")
@click.argument("gone", nargs=-1, required=True)
@click.option(
    "--accept-loss",
    is_flag=True,
    required=True,
    help="Changes and claims that only the lost voters held are gone.",
)
@pass_context
def force(context: Context, survivor, gone, accept_loss: bool) -> None:
    """Go on from one voter when a majority of the disks is gone for good.

    SURVIVOR is the HTTP address of the instance to go on from; GONE are the
    identities of all voters that are lost. They must never start again.

    \b
    Example: chivepier voters force 10.0.0.1:7000 3f2a9c41 77ab10fe
             --accept-loss
    """
    body = {"action": "force", "accept_loss": accept_loss}
    client = Client((survivor,), context.client.key)
    answer = client.call("POST", PATH, {**body, "gone": list(gone)})
    show_voters(context, answer)


def show_voters(context: Context, answer: dict) -> None:
    """Print the voters and whether the cluster is repaired.

    :param context: client and output
    :param answer: of the voters interface
    """
    context.show(answer, answer.get("voters", []), COLUMNS)
    if context.output == "table":
        for name, value in answer.items():
            if name != "voters":
                click.echo(f"{name}: {value}")
