"""Tests of document files: bad input gets one clear line."""

import pathlib

import pytest

from chivepier.cli.commanderror import CommandError
from chivepier.cli.documents import load_documents
from chivepier.documents import parse_spec

EXAMPLES = pathlib.Path(__file__).parents[6] / "examples"


@pytest.mark.parametrize("name", ["fairway", "almaty"])
def test_examples_are_valid(name):
    documents = load_documents(EXAMPLES / f"{name}.yaml")
    assert documents
    for document in documents:
        parsed = parse_spec(document["kind"], document["spec"])
        assert parsed.is_ok(), parsed


@pytest.mark.parametrize(
    "text",
    ["- 1", "kind: team\nname: a", "{kind: a, name: b, spec: {}, x: 1}", "{"],
    ids=["not a mapping", "no spec", "unknown field", "not yaml"],
)
def test_bad_file_is_one_clear_line(tmp_path, text):
    path = tmp_path / "bad.yaml"
    path.write_text(text)
    with pytest.raises(CommandError) as caught:
        load_documents(path)
    assert str(path) in caught.value.message
    assert "\n" not in caught.value.message
    assert caught.value.exit_code == 2


def test_missing_file_is_an_error(tmp_path):
    with pytest.raises(CommandError):
        load_documents(tmp_path / "absent.yaml")
