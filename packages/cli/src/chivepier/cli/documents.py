"""Files of documents."""

import pathlib

import yaml

from chivepier.cli.client import Client
from chivepier.cli.commanderror import CommandError
from chivepier.types import ErrorKind

KEYS = {"kind", "name", "spec", "version"}


def load_documents(path: pathlib.Path) -> list[dict]:
    """Read a file of YAML documents.

    :param path: the file
    :returns: mappings with kind, name, spec and, optionally, version
    :raises CommandError: ``bad_request``
    """
    try:
        documents = list(yaml.safe_load_all(path.read_text()))
    except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
        text = f"{path}: {error}".replace("\n", " ")
        raise CommandError(ErrorKind.BAD_REQUEST, text) from None
    for number, document in enumerate(documents, 1):
        _check(document, f"{path}: document {number}")
    return documents


def _check(document: object, where: str) -> None:
    if not isinstance(document, dict):
        text = f"{where} is not a mapping"
        raise CommandError(ErrorKind.BAD_REQUEST, text)
    missing = {"kind", "name", "spec"} - document.keys()
    if missing:
        text = f"{where} lacks {', '.join(sorted(missing))}"
        raise CommandError(ErrorKind.BAD_REQUEST, text)
    unknown = {str(key) for key in document.keys() - KEYS}
    if unknown:
        text = f"{where} has unknown {', '.join(sorted(unknown))}"
        raise CommandError(ErrorKind.BAD_REQUEST, text)


def find_stored(client: Client, kind: str, name: str) -> dict | None:
    """Return the stored document, or ``None``.

    :param client: for the call
    :param kind: ``template`` or ``team``
    :param name: its name
    :returns: kind, name, version and spec
    """
    try:
        return client.call("GET", f"/v1/operator/documents/{kind}/{name}")
    except CommandError as error:
        if error.kind is ErrorKind.NOT_FOUND:
            return None
        raise


def make_edit(client: Client, document: dict) -> dict:
    """Build an edit on top of the given or the stored version.

    :param client: for looking the version up
    :param document: from a file
    :returns: the edit
    """
    kind, name = document["kind"], document["name"]
    version = document.get("version")
    if version is None:
        stored = find_stored(client, kind, name)
        version = stored["version"] if stored else 0
    return {
        "kind": kind,
        "name": name,
        "base_version": version,
        "spec": document["spec"],
    }
