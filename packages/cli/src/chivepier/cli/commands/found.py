"""The found command."""

import click

from chivepier.cli.context import Context
from chivepier.cli.context import pass_context


@click.command()
@click.argument("peers", nargs=-1, required=True)
@pass_context
def found(context: Context, peers: tuple[str, ...]) -> None:
    """Found a cluster, once, with the instances at PEERS as voters.

    PEERS are the peer addresses of instances with new data folders.

    \b
    Example: chivepier found 10.0.0.1:7001 10.0.0.2:7001 10.0.0.3:7001
    """
    body = {"peers": list(peers)}
    answer = context.client.call("POST", "/v1/operator/found", body)
    context.show(answer, answer["voters"], ("node", "address"))
