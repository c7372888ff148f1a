"""The get command."""

import click

from chivepier.cli.context import Context
from chivepier.cli.context import pass_context


@click.command()
@click.argument("kind", required=False)
@click.argument("name", required=False)
@pass_context
def get(context: Context, kind, name) -> None:
    """Show stored documents: all, of one KIND, or one by NAME.

    \b
    Example: chivepier get team advisers
    """
    path = "/v1/operator/documents"
    if name:
        answer = context.client.call("GET", f"{path}/{kind}/{name}")
        rows = [answer]
    else:
        query = f"?kind={kind}" if kind else ""
        answer = context.client.call("GET", f"{path}{query}")
        rows = answer["documents"]
    context.show(answer, rows, ("kind", "name", "version", "spec"))
