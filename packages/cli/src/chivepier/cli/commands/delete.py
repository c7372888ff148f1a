"""The delete command."""

import uuid

import click

from chivepier.cli.commanderror import CommandError
from chivepier.cli.context import Context
from chivepier.cli.context import pass_context
from chivepier.cli.documents import find_stored
from chivepier.types import ErrorKind


@click.command()
@click.argument("kind", type=click.Choice(["template", "team"]))
@click.argument("name")
@click.option("--version", type=int, help="Only if it is at this version.")
@click.option("--operator", default="", help="Who removes it.")
@pass_context
def delete(context: Context, kind, name, version, operator) -> None:
    """Remove a document.

    \b
    Example: chivepier delete team volunteers
    """
    stored = find_stored(context.client, kind, name)
    if stored is None:
        raise CommandError(ErrorKind.NOT_FOUND, f"no {kind} {name!r}")
    edit = {
        "kind": kind,
        "name": name,
        "base_version": stored["version"] if version is None else version,
        "spec": None,
    }
    change = {
        "change_id": uuid.uuid4().hex,
        "operator": operator,
        "edits": [edit],
    }
    answer = context.client.call("POST", "/v1/operator/changes", change)
    context.show(answer, [{"kind": kind, "name": name}], ("kind", "name"))
