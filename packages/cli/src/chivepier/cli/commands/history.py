"""The history command."""

import click

from chivepier.cli.context import Context
from chivepier.cli.context import pass_context

COLUMNS = ("version", "kind", "name", "operator", "change_id")


@click.command()
@click.argument("kind", required=False)
@click.argument("name", required=False)
@pass_context
def history(context: Context, kind, name) -> None:
    """Show past changes, the newest last.

    \b
    Example: chivepier history template drafting
    """
    query = f"?kind={kind}" if kind else ""
    query += f"&name={name}" if name else ""
    answer = context.client.call("GET", f"/v1/operator/history{query}")
    context.show(answer, answer["history"], COLUMNS)
