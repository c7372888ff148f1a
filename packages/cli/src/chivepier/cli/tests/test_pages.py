"""Tests that operators' pages keep up with the code."""

import pathlib

from chivepier.node.main import main as daemon
from chivepier.types import ERROR_TABLE

PAGE = pathlib.Path(__file__).parents[6] / "docs" / "OPERATING.md"


def test_every_error_kind_is_explained_with_its_codes():
    lines = PAGE.read_text().splitlines()
    for kind, rule in ERROR_TABLE.items():
        start = f"| `{kind.value}` | {rule.status} |"
        found = [line for line in lines if line.startswith(start)]
        assert len(found) == 1, start
        assert found[0].endswith(f"| {rule.exit_code} |"), found[0]


def test_every_setting_is_explained():
    text = PAGE.read_text()
    for option in daemon.params:
        assert f"`{option.opts[0]}`" in text, option.opts[0]
