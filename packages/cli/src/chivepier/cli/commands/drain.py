"""The drain command."""

import click

from chivepier.cli.client import Client
from chivepier.cli.context import Context
from chivepier.cli.context import pass_context


@click.command()
@click.argument("instance")
@pass_context
def drain(context: Context, instance: str) -> None:
    """Let the instance at the HTTP address INSTANCE leave gracefully.

    It leaves the addresses answer, accepts until every handed-out answer
    has expired, finishes its requests and ends.

    \b
    Example: chivepier drain 10.0.0.4:7000
    """
    client = Client((instance,), context.client.key)
    answer = client.call("POST", "/v1/operator/drain", {})
    context.show(answer, [answer], ("draining",))
