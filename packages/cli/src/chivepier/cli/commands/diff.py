"""The diff command."""

import difflib
import pathlib

import click
import yaml

from chivepier.cli.context import Context
from chivepier.cli.context import pass_context
from chivepier.cli.documents import find_stored
from chivepier.cli.documents import load_documents

DIFFERENT_EXIT = 3


@click.command()
@click.option(
    "-f",
    "--file",
    "path",
    required=True,
    type=click.Path(path_type=pathlib.Path),
)
@pass_context
def diff(context: Context, path) -> None:
    """Compare a file's documents with the stored ones.

    Exit code 3 when they differ. Values that the file leaves out are shown
    as stored, since a submitted document replaces the whole spec.

    \b
    Example: chivepier diff -f examples/fairway.yaml
    """
    different = False
    for document in load_documents(path):
        kind, name = document["kind"], document["name"]
        stored = find_stored(context.client, kind, name)
        lines = compare(stored["spec"] if stored else {}, document["spec"])
        if lines:
            different = True
            click.echo(f"{kind}/{name}")
            click.echo("\n".join(lines))
    if different:
        raise click.exceptions.Exit(DIFFERENT_EXIT)


def compare(stored: dict, wanted: dict) -> list[str]:
    """Compare two specs.

    >>> compare({"a": 1}, {"a": 2})
    ['-a: 1', '+a: 2']

    :param stored: what is in force
    :param wanted: what a file says
    :returns: lines of a unified diff, without its head
    """
    kept = {k: v for k, v in stored.items() if k in wanted}
    before = yaml.safe_dump(kept, sort_keys=True).splitlines()
    after = yaml.safe_dump(wanted, sort_keys=True).splitlines()
    lines = difflib.unified_diff(before, after, n=0, lineterm="")
    return [s for s in lines if not s.startswith(("---", "+++", "@@"))]
