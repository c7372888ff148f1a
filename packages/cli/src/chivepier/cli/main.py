"""The chivepier program."""

import json
import pathlib
import uuid

import click
import yaml

from chivepier.cli.client import Client
from chivepier.cli.commanderror import CommandError
from chivepier.types import ErrorKind


@click.group(context_settings={"auto_envvar_prefix": "CHIVEPIER"})
@click.option("--address", "addresses", multiple=True, required=True)
@click.option("--operator-key", required=True)
@click.pass_context
def main(context: click.Context, addresses, operator_key) -> None:
    """Submit and amend what chivepier serves, and look at it."""
    context.obj = Client(addresses, operator_key)


@main.command()
@click.argument("peers", nargs=-1, required=True)
@click.pass_obj
def found(client: Client, peers) -> None:
    """Found a cluster with the instances at PEERS as voters, once."""
    show(client.call("POST", "/v1/operator/found", {"peers": list(peers)}))


@main.command()
@click.option("-f", "--file", "path", type=click.Path(path_type=pathlib.Path))
@click.option("--change-id", help="Give it again to resend a change.")
@click.option("--operator", default="")
@click.pass_obj
def apply(client: Client, path, change_id, operator) -> None:
    """Submit the documents of a file, all or none."""
    documents = load_documents(path)
    edits = [make_edit(client, document) for document in documents]
    change = {
        "change_id": change_id or uuid.uuid4().hex,
        "operator": operator,
        "edits": edits,
    }
    show(client.call("POST", "/v1/operator/changes", change))


def load_documents(path: pathlib.Path) -> list[dict]:
    """Read a file of YAML documents.

    :param path: the file
    :returns: mappings with kind, name and spec
    :raises CommandError: ``bad_request``
    """
    try:
        documents = list(yaml.safe_load_all(path.read_text()))
    except (OSError, yaml.YAMLError) as error:
        raise CommandError(ErrorKind.BAD_REQUEST, f"{path}: {error}")
    for document in documents:
        if not isinstance(document, dict) or "spec" not in document:
            text = f"{path}: a document needs kind, name and spec"
            raise CommandError(ErrorKind.BAD_REQUEST, text)
    return documents


def make_edit(client: Client, document: dict) -> dict:
    """Build an edit on top of the stored version.

    :param client: for looking the version up
    :param document: kind, name, spec and, optionally, version
    :returns: the edit
    """
    kind, name = document.get("kind"), document.get("name")
    version = document.get("version")
    if version is None:
        try:
            path = f"/v1/operator/documents/{kind}/{name}"
            version = client.call("GET", path)["version"]
        except CommandError as error:
            if error.kind is not ErrorKind.NOT_FOUND:
                raise
            version = 0
    return {
        "kind": kind,
        "name": name,
        "base_version": version,
        "spec": document["spec"],
    }


@main.command()
@click.pass_obj
def status(client: Client) -> None:
    """Show members, voters, targets and versions."""
    show(client.call("GET", "/v1/operator/status"))


@main.command()
@click.argument("kind", required=False)
@click.argument("name", required=False)
@click.pass_obj
def get(client: Client, kind, name) -> None:
    """Show documents."""
    if name:
        show(client.call("GET", f"/v1/operator/documents/{kind}/{name}"))
        return
    query = f"?kind={kind}" if kind else ""
    show(client.call("GET", f"/v1/operator/documents{query}"))


@main.command()
@click.option("--zone", default="")
@click.pass_obj
def addresses(client: Client, zone) -> None:
    """Show which entry addresses a caller is told."""
    show(client.call("GET", f"/v1/addresses?zone={zone}"))


def show(answer: dict) -> None:
    """Print an answer.

    :param answer: the parsed answer
    """
    click.echo(json.dumps(answer, indent=2))
