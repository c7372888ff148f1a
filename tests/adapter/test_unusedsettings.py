"""Test that settings and limits that are read are also used."""

import pathlib
import re

import attrs
import pytest

from chivepier.gateway.config import Limits
from chivepier.gateway.config import Route
from chivepier.gateway.config import Service
from chivepier.gateway.settings import EntrySettings
from chivepier.gateway.settings import InstanceLimits
from chivepier.gateway.settings import VoterSettings

ROOT = pathlib.Path(__file__).parents[2]
FOLDERS = (ROOT / "platform", ROOT / "packages" / "gateway" / "src")
TYPES = (
    EntrySettings,
    InstanceLimits,
    Limits,
    Route,
    Service,
    VoterSettings,
)
# Told to operators, and nothing else.
NAMES_ONLY = {("Route", "name")}


def read_sources() -> str:
    """Return all product code in one text."""
    return "\n".join(
        path.read_text()
        for folder in FOLDERS
        for path in sorted(folder.rglob("*.py"))
        if "tests" not in path.parts
    )


FIELDS = [
    (owner.__name__, field.name)
    for owner in TYPES
    for field in attrs.fields(owner)
    if (owner.__name__, field.name) not in NAMES_ONLY
]


@pytest.mark.parametrize("owner, name", FIELDS)
def test_setting_is_used_somewhere(owner, name):
    # A timeout was read and checked, and ended nothing.
    assert re.search(rf"\.{name}\b", read_sources()), f"{owner}.{name}"
