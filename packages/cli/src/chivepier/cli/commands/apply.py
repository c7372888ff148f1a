"""The apply command."""

import pathlib
import uuid

import click

from chivepier.cli.context import Context
from chivepier.cli.context import pass_context
from chivepier.cli.documents import load_documents
from chivepier.cli.documents import make_edit


@click.command()
@click.option(
    "-f",
    "--file",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
)
@click.option("--change-id", help="Give it again to resend a change.")
@click.option("--operator", default="", help="Who submits it.")
@pass_context
def apply(context: Context, path, change_id, operator) -> None:
    """Submit the documents of a file, all or none.

    Ends once the change is in force on every instance that takes work. A
    document with a version is applied to that version only; without one, to
    the version stored now. After a lost reply, send it again with the same
    --change-id: it never runs twice.

    \b
    Example: chivepier apply -f examples/fairway.yaml --operator amina
    """
    edits = [make_edit(context.client, d) for d in load_documents(path)]
    identifier = change_id or uuid.uuid4().hex
    change = {"change_id": identifier, "operator": operator, "edits": edits}
    if not change_id:
        click.echo(f"change id {identifier}", err=True)
    answer = context.client.call("POST", "/v1/operator/changes", change)
    rows = [
        {"kind": e["kind"], "name": e["name"], "version": version}
        for e, version in zip(edits, answer["versions"])
    ]
    context.show(answer, rows, ("kind", "name", "version"))
